package main

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// processFlags holds the flags of a command that runs a process with a settings file.
type processFlags struct {
	configFile string
	logFormat  string
}

func (f *processFlags) register(c *cobra.Command, fileUsage string) {
	c.Flags().StringVarP(&f.configFile, "config", "c", "", fileUsage)
	c.Flags().StringVar(&f.logFormat, "log", "text", "format of the log: text or json")
	requireFlag(c, "config")
}

// logger returns a logger that writes to standard error.
func (f *processFlags) logger() (*slog.Logger, error) {
	switch f.logFormat {
	case "text":
		return slog.New(slog.NewTextHandler(os.Stderr, nil)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(os.Stderr, nil)), nil
	}
	return nil, fmt.Errorf("--log %q is neither text nor json", f.logFormat)
}

// stopOnSignal calls stop once, in a new goroutine, when SIGINT or SIGTERM arrives.
func stopOnSignal(stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		stop()
	}()
}
