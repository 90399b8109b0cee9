package main

import (
	"errors"
	"fmt"
	"os"

	"glenport/internal/testbed/crashcheck"
	"glenport/internal/testbed/trials"
	"glenport/internal/testbed/trials/bgp"
	"glenport/internal/testbed/trials/overload"
	"glenport/internal/testbed/trials/restart"
	"glenport/internal/testbed/trials/why"

	"github.com/spf13/cobra"
)

func trialCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "trial", Short: "Test a subsystem end to end, with faults",
		Example: "  glenport-testbed trial why --cycles 2\n  glenport-testbed trial restart --short --kills 60",
	}
	c.AddCommand(
		whyTrialCommand(), bgpTrialCommand(), restartTrialCommand(), overloadTrialCommand(), platformTrialCommand(),
	)
	return c
}

// runTrial runs a trial and prints its verdict.
func runTrial(trial trials.Trial, setup trials.Setup) error {
	err := trials.Run(trial, setup, os.Stdout)
	if errors.Is(err, trials.ErrFailed) {
		return errFailed
	}
	return err
}

// runClusterTrial runs a trial on the cluster of a scenario file. Program is the command of a scheduler; path is passed
// to outputDir.
func runClusterTrial(trial trials.Trial, scenarioFile, path string, program []string) error {
	s, err := loadScenario(scenarioFile)
	if err != nil {
		return err
	}
	dir, cleanup, err := outputDir(path)
	if err != nil {
		return err
	}
	defer cleanup()
	return runTrial(trial, trials.Setup{Scenario: s, Dir: dir, Program: program})
}

func whyTrialCommand() *cobra.Command {
	var dir string
	var sabotaged bool
	t := &why.Trial{}
	c := &cobra.Command{
		Use:     "why",
		Short:   "Check that the API returns the true reason why containers are pending, within a second",
		Args:    cobra.NoArgs,
		Example: "  glenport-testbed trial why --cycles 2",
		RunE: func(*cobra.Command, []string) error {
			if sabotaged {
				t.Codes = why.SabotagedCodes
			}
			program, err := schedulerProgram(0)
			if err != nil {
				return err
			}
			return runClusterTrial(t, "scenarios/why.yaml", dir, program)
		},
	}
	c.Flags().StringVar(&dir, "dir", "", "directory in which to keep the logs")
	c.Flags().IntVar(&t.Cycles, "cycles", 50, "number of cycles of draining and filling, with four changes each")
	c.Flags().IntVar(&t.Steps, "steps", 0, "run only this number of steps, from the first; 0: all")
	c.Flags().BoolVar(&sabotaged, "sabotage", false, "check wrong reasons in place of those that the API returns")
	return c
}

func bgpTrialCommand() *cobra.Command {
	var dir, sabotage string
	t := &bgp.Trial{}
	c := &cobra.Command{
		Use:     "bgp",
		Short:   "Check that addresses are announced while containers run, in time and without update storms",
		Args:    cobra.NoArgs,
		Example: "  glenport-testbed trial bgp --rounds 1",
		RunE: func(*cobra.Command, []string) error {
			program, err := schedulerProgram(0)
			if err == nil && sabotage != "" {
				program, err = testbedScheduler("--sabotage-routes", sabotage)
			}
			if err != nil {
				return err
			}
			return runClusterTrial(t, "scenarios/why.yaml", dir, program)
		},
	}
	c.Flags().StringVar(&dir, "dir", "", "directory in which to keep the logs")
	c.Flags().IntVar(&t.Rounds, "rounds", 10, "number of rounds, in each of which fifty containers end")
	const sabotageHelp = "late: delay withdrawals; storm: announce each change immediately"
	c.Flags().StringVar(&sabotage, "sabotage", "", sabotageHelp)
	return c
}

func restartTrialCommand() *cobra.Command {
	var dir string
	var short bool
	t := &restart.Trial{}
	c := &cobra.Command{
		Use:     "restart",
		Short:   "Check that no acknowledged request is lost when processes are killed while they write",
		Args:    cobra.NoArgs,
		Example: "  glenport-testbed trial restart --short --kills 60",
		RunE: func(*cobra.Command, []string) error {
			if t.Sabotage != "" && t.Sabotage != crashcheck.SabotageSync && t.Sabotage != crashcheck.SabotageChecksum {
				return fmt.Errorf("--sabotage %q is neither sync nor checksum", t.Sabotage)
			}
			t.LogSizes = []int{100, 10_000, 100_000}
			if short {
				t.LogSizes, t.Losses = t.LogSizes[:1], restart.LossesLeftOut
			}
			program, err := schedulerProgram(0)
			if err != nil {
				return err
			}
			return runClusterTrial(t, "scenarios/short.yaml", dir, program)
		},
	}
	c.Flags().StringVar(&dir, "dir", "", "directory in which to keep the recordings and the logs")
	c.Flags().IntVar(&t.Kills, "kills", 1000, "number of scheduler kills; the controller is killed a tenth as often")
	c.Flags().BoolVar(&short, "short", false, "skip the long measurements")
	c.Flags().StringVar(&t.Sabotage, "sabotage", "", "sync or checksum: run with a log that omits it")
	return c
}

func overloadTrialCommand() *cobra.Command {
	var dir string
	t := &overload.Trial{IgnoringClients: 0.5}
	c := &cobra.Command{
		Use:     "storm",
		Short:   "Check that the cluster recovers when most of its machines restart at once under load",
		Args:    cobra.NoArgs,
		Example: "  glenport-testbed trial storm --seeds 2 --sockets 0",
		RunE: func(*cobra.Command, []string) error {
			program, err := schedulerProgram(0)
			if err != nil {
				return err
			}
			if t.LimitedProgram, err = testbedScheduler("--damped"); err != nil {
				return err
			}
			return runClusterTrial(t, "scenarios/storm.yaml", dir, program)
		},
	}
	c.Flags().StringVar(&dir, "dir", "", "directory in which to keep the recordings and the logs")
	c.Flags().IntVar(&t.Seeds, "seeds", 10, "number of seeds of the simulation")
	c.Flags().IntVar(&t.Sockets, "sockets", 1, "number of runs over sockets for each form of damping")
	c.Flags().IntVar(&t.Schedulers, "schedulers", 3, "number of schedulers in the runs over sockets")
	addFormerFlag(c, "placers", "schedulers")
	return c
}
