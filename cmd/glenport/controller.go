package main

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"runtime"
	"time"

	"glenport/internal/config"
	"glenport/internal/controller/api"
	"glenport/internal/controller/server"
	"glenport/internal/controller/watchcache"

	"github.com/spf13/cobra"
)

// apiShutdownTimeout is how long API requests in progress may take once the controller is stopping.
const apiShutdownTimeout = 2 * time.Second

func newControllerCommand() *cobra.Command {
	var flags processFlags
	c := &cobra.Command{
		Use:     "controller",
		Aliases: []string{"keeper"},
		Short:   "Keep jobs running and serve the API",
		Example: "  glenport controller -c deploy/controller.yaml --log json",
		Args:    cobra.NoArgs,
		RunE:    func(*cobra.Command, []string) error { return runController(&flags) },
	}
	flags.register(c, "the controller's settings file")
	return c
}

func runController(flags *processFlags) error {
	log, err := flags.logger()
	if err != nil {
		return err
	}
	settings, err := config.LoadController(flags.configFile)
	if err != nil {
		return err
	}
	config.LogDeprecations(log, settings.Deprecations)
	process, err := newControllerProcess(settings, log)
	if err != nil {
		return err
	}
	httpServer := api.NewHTTPServer(settings.APIAddr, api.New(process))
	failed := serveAPI(httpServer, process)
	stopOnSignal(func() {
		shutdownAPI(httpServer)
		process.Stop()
	})
	log.Info("controller started",
		"name", settings.Name, "api", settings.APIAddr, "schedulers", len(settings.SchedulerAddrs))
	runtime.LockOSThread()
	if err := process.Run(); err != nil {
		return err
	}
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

func newControllerProcess(settings *config.Controller, log *slog.Logger) (*server.Server, error) {
	return server.New(server.Config{
		Name:            settings.Name,
		Schedulers:      settings.SchedulerAddrs,
		MachineList:     settings.MachineListAddr,
		Seed:            settings.Seed,
		StateDir:        settings.StateDir,
		SchedulerConfig: settings.Scheduler,
	}, watchcache.New(api.EncodeWatchEvent), log)
}

// serveAPI serves the API in a new goroutine. If that fails, it sends the error to the channel and stops the process.
func serveAPI(httpServer *http.Server, process *server.Server) (failed <-chan error) {
	failures := make(chan error, 1)
	go func() {
		if err := httpServer.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			failures <- err
			process.Stop()
		}
	}()
	return failures
}

// shutdownAPI lets requests in progress end within apiShutdownTimeout, and then closes all connections.
func shutdownAPI(s *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), apiShutdownTimeout)
	defer cancel()
	_ = s.Shutdown(ctx) // on a timeout, as with an open watch, Close ends the remaining requests
	_ = s.Close()       // the process exits
}
