// Command glenport places long-running work on the machines of a cluster.
package main

import (
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"glenport/internal/config"
	"glenport/internal/metrics"
	"glenport/internal/schedulerd"
	"glenport/scheduler"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{Use: "glenport", Short: "Place long-running work on the machines of a cluster",
		SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(placerCommand(), keeperCommand(), checkCommand(), submitCommand(), statusCommand(), jobCommand(), whyCommand(),
		machinesCommand(), bgpCommand(), stateCommand(), platformCommand())
	if err := root.Execute(); err != nil {
		var code exitCode
		if errors.As(err, &code) {
			os.Exit(int(code))
		}
		fmt.Fprintln(os.Stderr, "glenport:", err)
		os.Exit(2)
	}
}

// exitCode ends the program without a further word.
type exitCode int

func (c exitCode) Error() string { return fmt.Sprintf("exit %d", int(c)) }

func placerCommand() *cobra.Command {
	var file, form string
	c := &cobra.Command{Use: "scheduler", Aliases: []string{"placer"}, Short: "Run one placer until it is told to stop", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			log, err := logger(form)
			if err != nil {
				return err
			}
			s, err := config.LoadScheduler(file)
			if err != nil {
				return err
			}
			h, err := schedulerd.New(s, scheduler.New(s.Policy), log)
			if err != nil {
				return err
			}
			if s.MetricsAddr != "" {
				server := metrics.Serve(s.MetricsAddr, h)
				go func() {
					if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
						log.Error("no metrics", "why", err)
					}
				}()
				defer server.Close()
			}
			return runUntilTold(h)
		}}
	c.Flags().StringVarP(&file, "config", "c", "", "the placer's file")
	c.Flags().StringVar(&form, "log", "text", "form of the log: text or json")
	c.MarkFlagRequired("config")
	return c
}

func logger(form string) (*slog.Logger, error) {
	switch form {
	case "text":
		return slog.New(slog.NewTextHandler(os.Stderr, nil)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(os.Stderr, nil)), nil
	}
	return nil, fmt.Errorf("--log %q is neither text nor json", form)
}

// runUntilTold runs a host until it ends or an interrupt or a termination comes.
func runUntilTold(h *schedulerd.Server) error {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-told
		h.Stop()
	}()
	runtime.LockOSThread()
	return h.Run()
}

func checkCommand() *cobra.Command {
	return &cobra.Command{Use: "check FILE...", Short: "Check placers' files", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			bad := false
			for _, f := range files {
				s, err := config.LoadScheduler(f)
				if err != nil {
					fmt.Fprintln(c.ErrOrStderr(), err)
					bad = true
					continue
				}
				fmt.Fprintf(c.OutOrStdout(), "%s: placer %s, %d of %d, %d workloads, %d kinds of machine: good\n",
					f, s.Name, s.Policy.SchedulerIndex+1, s.Policy.SchedulerCount, len(s.Policy.WorkloadClasses), len(s.Policy.MachineTypes))
			}
			if bad {
				return exitCode(1)
			}
			return nil
		}}
}
