package main

import (
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"glenport/internal/bgp/speaker"
	"glenport/internal/config"
	"glenport/internal/schedulerd"
	"glenport/internal/testbed/mutants"
	"glenport/scheduler"

	"github.com/spf13/cobra"
)

// schedulerFlags holds the flags of the testbed's scheduler.
type schedulerFlags struct {
	file          string
	brokenRule    int
	routeMutation string
	adaptiveLimit bool
}

// schedulerCommand returns the command that runs a scheduler as glenport does, optionally with one rule broken.
func schedulerCommand() *cobra.Command {
	var f schedulerFlags
	c := &cobra.Command{
		Use: "scheduler", Aliases: []string{"placer"}, Hidden: true, Args: cobra.NoArgs,
		Example: "  glenport-testbed scheduler -c scheduler.yaml --sabotage 2",
		RunE:    func(*cobra.Command, []string) error { return f.run() },
	}
	c.Flags().StringVarP(&f.file, "config", "c", "", "the scheduler's settings file")
	c.Flags().IntVar(&f.brokenRule, "sabotage", 0, "rule to break")
	c.Flags().BoolVar(&f.adaptiveLimit, "damped", false, "limit concurrency when placements become slow")
	c.Flags().StringVar(&f.routeMutation, "sabotage-routes", "", "late or storm, as in trial bgp")
	addFormerFlag(c, "spoil-routes", "sabotage-routes")
	return c
}

func (f *schedulerFlags) run() error {
	settings, err := config.LoadScheduler(f.file)
	if err != nil {
		return err
	}
	settings.AdaptiveLimit = settings.AdaptiveLimit || f.adaptiveLimit
	var decider schedulerd.Scheduler = scheduler.New(settings.Policy)
	if f.brokenRule > 0 {
		if decider, err = mutants.New(f.brokenRule, settings.Policy, decider); err != nil {
			return err
		}
	}
	server, err := schedulerd.New(settings, decider, slog.New(slog.NewTextHandler(os.Stderr, nil)))
	if err != nil {
		return err
	}
	if routes := server.Speaker(); routes != nil && f.routeMutation != "" {
		routes.WrapDecider(func(d speaker.RouteDecider) speaker.RouteDecider {
			return mutants.NewRouteMutant(mutants.RouteMutation(f.routeMutation), d)
		})
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		server.Stop()
	}()
	runtime.LockOSThread()
	return server.Run()
}
