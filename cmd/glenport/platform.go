package main

import (
	"errors"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"glenport/internal/platform"
	"glenport/scheduler"

	"github.com/spf13/cobra"
)

const (
	platformFileVariable = "ROUTER_CONFIG" // environment variable with the path of the platform's configuration file
	heapShare            = 0.6             // memory limit of the Go runtime, as a fraction of the process's limit
)

// platformFlags are the flags of the platform command.
type platformFlags struct {
	file  string
	trace bool // log every message
}

func newPlatformCommand() *cobra.Command {
	var flags platformFlags
	c := &cobra.Command{
		Use:   "platform",
		Short: "Run one scheduler that speaks the platform's protocol",
		Long: "Run one scheduler that speaks the platform's protocol. Without --config, " + platformFileVariable +
			" names the platform's configuration file.",
		Example: "  glenport platform -c router.toml --trace",
		Args:    cobra.NoArgs,
		RunE:    func(*cobra.Command, []string) error { return flags.run() },
	}
	c.Flags().StringVarP(&flags.file, "config", "c", os.Getenv(platformFileVariable),
		"the platform's configuration file")
	c.Flags().BoolVar(&flags.trace, "trace", false, "log every message")
	return c
}

func (f *platformFlags) run() error {
	if f.file == "" {
		return errors.New("neither --config nor " + platformFileVariable + " names a file")
	}
	settings, err := platform.LoadConfig(f.file)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(heapShare * float64(settings.MemoryMB<<20)))
	level := slog.LevelInfo
	if f.trace {
		level = slog.LevelDebug
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	// One signal of each kind may be pending while another is handled.
	shutdown, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(shutdown, syscall.SIGINT, syscall.SIGTERM)
	signal.Notify(reload, syscall.SIGHUP)
	process, err := platform.New(settings, scheduler.New(settings.Scheduler), log, f.trace)
	if err != nil {
		return err
	}
	process.HandleSignals(shutdown, reload, func() (*platform.Config, error) { return platform.LoadConfig(f.file) })
	runtime.LockOSThread()
	return process.Run()
}
