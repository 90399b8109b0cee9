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
		Use: "trial", Short: "Prove a subsystem end to end, with faults",
		Example: "  glenport-testbed trial why --cycles 2\n  glenport-testbed trial restart --short --kills 60",
	}
	c.AddCommand(
		whyTrialCommand(), bgpTrialCommand(), restartTrialCommand(), overloadTrialCommand(), platformTrialCommand(),
	)
	return c
}

// runTrial plays a trial and prints its verdict.
func runTrial(trial trials.Trial, setup trials.Setup) error {
	err := trials.Run(trial, setup, os.Stdout)
	if errors.Is(err, trials.ErrFailed) {
		return errFailed
	}
	return err
}

// playTrial plays a trial with a scheduler program on the cluster of a scenario file.
func playTrial(trial trials.Trial, scenarioFile, namedDir string, program []string) error {
	s, err := loadScenario(scenarioFile)
	if err != nil {
		return err
	}
	dir, done, err := folder(namedDir)
	if err != nil {
		return err
	}
	defer done()
	return runTrial(trial, trials.Setup{Scenario: s, Dir: dir, Program: program})
}

func whyTrialCommand() *cobra.Command {
	var dir string
	var sabotaged bool
	t := &why.Trial{}
	c := &cobra.Command{
		Use:     "why",
		Short:   "Clients read the true reason why their containers are pending, within a second",
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
			return playTrial(t, "scenarios/why.yaml", dir, program)
		},
	}
	c.Flags().StringVar(&dir, "dir", "", "folder to keep the logs in")
	c.Flags().IntVar(&t.Cycles, "cycles", 50, "of draining and filling, four changes each")
	c.Flags().IntVar(&t.Steps, "steps", 0, "play the first so many steps only; 0: all")
	c.Flags().BoolVar(&sabotaged, "sabotage", false, "read another reason than the API returns")
	return c
}

func bgpTrialCommand() *cobra.Command {
	var dir, sabotage string
	t := &bgp.Trial{}
	c := &cobra.Command{
		Use:     "bgp",
		Short:   "Addresses are announced while containers run, in time and without storms",
		Args:    cobra.NoArgs,
		Example: "  glenport-testbed trial bgp --rounds 1",
		RunE: func(*cobra.Command, []string) error {
			program, err := schedulerProgram(0)
			if err == nil && sabotage != "" {
				program, err = ownScheduler("--sabotage-routes", sabotage)
			}
			if err != nil {
				return err
			}
			return playTrial(t, "scenarios/why.yaml", dir, program)
		},
	}
	c.Flags().StringVar(&dir, "dir", "", "folder to keep the logs in")
	c.Flags().IntVar(&t.Rounds, "rounds", 10, "of fifty ends each")
	const sabotageHelp = "late or storm: withdrawals come late, or every change is announced at once"
	c.Flags().StringVar(&sabotage, "sabotage", "", sabotageHelp)
	return c
}

func restartTrialCommand() *cobra.Command {
	var dir string
	var short bool
	t := &restart.Trial{}
	c := &cobra.Command{
		Use:     "restart",
		Short:   "Nothing that was acknowledged is lost when programs are killed while they write",
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
			return playTrial(t, "scenarios/short.yaml", dir, program)
		},
	}
	c.Flags().StringVar(&dir, "dir", "", "folder to keep the recordings and the logs in")
	c.Flags().IntVar(&t.Kills, "kills", 1000, "of schedulers; the controller is killed now and then beside")
	c.Flags().BoolVar(&short, "short", false, "leave out the long measurements")
	c.Flags().StringVar(&t.Sabotage, "sabotage", "", "sync or checksum: the log leaves it out")
	return c
}

func overloadTrialCommand() *cobra.Command {
	var dir string
	t := &overload.Trial{IgnoringClients: 0.5}
	c := &cobra.Command{
		Use:     "storm",
		Short:   "When most of a fleet restarts at once, what follows is not worse than that",
		Args:    cobra.NoArgs,
		Example: "  glenport-testbed trial storm --seeds 2 --sockets 0",
		RunE: func(*cobra.Command, []string) error {
			program, err := schedulerProgram(0)
			if err != nil {
				return err
			}
			if t.LimitedProgram, err = ownScheduler("--damped"); err != nil {
				return err
			}
			return playTrial(t, "scenarios/storm.yaml", dir, program)
		},
	}
	c.Flags().StringVar(&dir, "dir", "", "folder to keep the recordings and the logs in")
	c.Flags().IntVar(&t.Seeds, "seeds", 10, "of the simulated form")
	c.Flags().IntVar(&t.Sockets, "sockets", 1, "runs of each damping over sockets")
	c.Flags().IntVar(&t.Schedulers, "schedulers", 3, "over sockets")
	formerFlag(c, "placers", "schedulers")
	return c
}
