package main

import (
	"fmt"
	"os"

	"glenport/internal/testbed/audit"
	"glenport/internal/testbed/report"
	"glenport/internal/testbed/scenario"

	"github.com/spf13/cobra"
)

func scenarioCommand() *cobra.Command {
	var dir string
	var rule int
	c := &cobra.Command{
		Use:     "scenario FILE",
		Aliases: []string{"day"},
		Short:   "Run a scenario with its faults on a cluster and audit the recording",
		Example: "  glenport-testbed scenario scenarios/short.yaml\n" +
			"  glenport-testbed scenario scenarios/short.yaml --sabotage 2",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			s, err := loadScenario(args[0])
			if err != nil {
				return err
			}
			return runScenario(s, dir, rule)
		},
	}
	c.Flags().StringVar(&dir, "dir", "", "directory in which to keep the recording and the logs")
	c.Flags().IntVar(&rule, "sabotage", 0, "run schedulers that break this rule, 1 to 5")
	return c
}

func auditCommand() *cobra.Command {
	var container string
	c := &cobra.Command{
		Use: "audit RECORD", Short: "Audit an existing recording",
		Example: "  glenport-testbed audit /tmp/run/record\n  glenport-testbed audit /tmp/run/record --show job-1/0/1",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if container != "" {
				return audit.PrintContainer(args[0], container, os.Stdout)
			}
			findings, err := audit.CheckRecording(args[0])
			if err != nil {
				return err
			}
			fmt.Printf("%d frames, %d submissions, %d offers\n", findings.Frames, findings.Submitted, findings.Offers)
			report.RecordingLag(os.Stdout, findings)
			report.Violations(os.Stdout, findings)
			if !findings.Passed() {
				return errFailed
			}
			fmt.Println("rules: kept")
			return nil
		},
	}
	c.Flags().StringVar(&container, "show", "", "print the recorded messages of this container instead of the audit")
	return c
}

func replayCommand() *cobra.Command {
	var dir, template string
	var rate float64
	c := &cobra.Command{
		Use: "replay DAY.json", Short: "Run the faults of a simulated day, scaled down, on real schedulers",
		Example: "  glenport-testbed replay day.json --rate 150",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			s, err := scenario.LoadReplay(args[0], template, rate, os.Stdout)
			if err != nil {
				return err
			}
			return runScenario(s, dir, 0)
		},
	}
	c.Flags().StringVar(&dir, "dir", "", "directory in which to keep the recording and the logs")
	c.Flags().StringVar(&template, "scenario", "scenarios/bad-day.yaml", "scenario file that describes the cluster")
	addFormerFlag(c, "day", "scenario")
	c.Flags().Float64Var(&rate, "rate", 150, "submissions per second at the mean load of the day")
	return c
}
