package main

import (
	"errors"
	"log/slog"
	"net/http"
	"runtime"

	"glenport/internal/config"
	"glenport/internal/metrics"
	"glenport/internal/schedulerd"
	"glenport/scheduler"

	"github.com/spf13/cobra"
)

func newSchedulerCommand() *cobra.Command {
	var flags processFlags
	c := &cobra.Command{
		Use:     "scheduler",
		Aliases: []string{"placer"},
		Short:   "Run one scheduler until SIGINT or SIGTERM",
		Example: "  glenport scheduler -c deploy/scheduler.yaml --log json",
		Args:    cobra.NoArgs,
		RunE:    func(*cobra.Command, []string) error { return runScheduler(&flags) },
	}
	flags.register(c, "the scheduler's settings file")
	return c
}

func runScheduler(flags *processFlags) error {
	log, err := flags.logger()
	if err != nil {
		return err
	}
	settings, err := config.LoadScheduler(flags.configFile)
	if err != nil {
		return err
	}
	config.LogDeprecations(log, settings.Deprecations)
	process, err := schedulerd.New(settings, scheduler.New(settings.Policy), log)
	if err != nil {
		return err
	}
	if settings.MetricsAddr != "" {
		stop := serveMetrics(settings.MetricsAddr, process, log)
		defer stop()
	}
	stopOnSignal(process.Stop)
	runtime.LockOSThread()
	return process.Run()
}

// serveMetrics serves the metrics of a process. If that fails, the process continues without metrics.
func serveMetrics(address string, source metrics.Source, log *slog.Logger) (stop func()) {
	server := metrics.NewServer(address, source)
	go func() {
		if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			log.Error("metrics not served", "error", err)
		}
	}()
	return func() {
		_ = server.Close() // the process exits, which closes the listener and the connections
	}
}
