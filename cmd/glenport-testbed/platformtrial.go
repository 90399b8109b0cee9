package main

import (
	"runtime"
	"runtime/debug"

	"glenport/internal/testbed/platformcheck"
	"glenport/internal/testbed/trials"
	"glenport/internal/testbed/trials/interleavings"

	"github.com/spf13/cobra"
)

// simulationGCPercent is the garbage collection target. It is high to save time: simulations allocate much and keep
// little live memory.
const simulationGCPercent = 400

func platformTrialCommand() *cobra.Command {
	var sabotage string
	t := &interleavings.Trial{}
	c := &cobra.Command{
		Use:   "platform",
		Short: "Check that the platform's process keeps the rules in random orders of events, on a simulated network",
		Args:  cobra.NoArgs,
		Example: "  glenport-testbed trial platform --events 100000\n" +
			"  glenport-testbed trial platform --sabotage drain",
		RunE: func(*cobra.Command, []string) error {
			var err error
			if t.Fault, err = platformcheck.ParseFault(sabotage); err != nil {
				return err
			}
			if t.Fault == platformcheck.NoFault {
				t.Faults = platformcheck.Faults
			}
			debug.SetGCPercent(simulationGCPercent)
			return runTrial(t, trials.Setup{})
		},
	}
	c.Flags().IntVar(&t.Events, "events", 1_000_000, "total number of events, in runs of 60")
	c.Flags().Uint64Var(&t.FirstSeed, "seed", 0, "seed of the first run; each further run uses the next seed")
	c.Flags().IntVar(&t.Workers, "workers", runtime.GOMAXPROCS(0), "number of concurrent runs")
	c.Flags().StringVar(&sabotage, "sabotage", "", "run with this fault only: "+platformcheck.FaultNames())
	return c
}
