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
	deploymentFile = "ROUTER_CONFIG" // names the file that the platform writes
	heapShare      = 0.6             // of the memory that a placer may have
)

func platformCommand() *cobra.Command {
	var file string
	var trace bool
	c := &cobra.Command{Use: "platform", Short: "Run one placer behind the platform's protocol", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if file == "" {
				return errors.New("neither --config nor " + deploymentFile + " names a file")
			}
			d, err := platform.LoadConfig(file)
			if err != nil {
				return err
			}
			runtime.GOMAXPROCS(1)
			debug.SetMemoryLimit(int64(heapShare * float64(d.MemoryMB<<20)))
			level := slog.LevelInfo
			if trace {
				level = slog.LevelDebug
			}
			log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
			leave, renew := make(chan os.Signal, 1), make(chan os.Signal, 1) // of each sort the last one waits
			signal.Notify(leave, syscall.SIGINT, syscall.SIGTERM)
			signal.Notify(renew, syscall.SIGHUP)
			p, err := platform.New(d, scheduler.New(d.Scheduler), log, trace)
			if err != nil {
				return err
			}
			p.HandleSignals(leave, renew, func() (*platform.Config, error) { return platform.LoadConfig(file) })
			runtime.LockOSThread()
			return p.Run()
		}}
	c.Flags().StringVarP(&file, "config", "c", os.Getenv(deploymentFile), "the platform's file")
	c.Flags().BoolVar(&trace, "trace", false, "log every message")
	return c
}
