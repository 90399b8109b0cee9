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
	platformFileVariable = "ROUTER_CONFIG" // environment variable with the path of the file that the platform writes
	heapShare            = 0.6             // of the memory that the process may have, for the heap
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
		Short: "Run one scheduler behind the platform's protocol",
		Long: "Run one scheduler behind the platform's protocol. Without --config, " + platformFileVariable +
			" names the platform's file.",
		Example: "  glenport platform -c router.toml --trace",
		Args:    cobra.NoArgs,
		RunE:    func(*cobra.Command, []string) error { return flags.run() },
	}
	c.Flags().StringVarP(&flags.file, "config", "c", os.Getenv(platformFileVariable), "the platform's file")
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
	// Of each sort of signal one may be pending while the last is handled.
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
