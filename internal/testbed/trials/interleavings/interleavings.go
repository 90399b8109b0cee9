// Package interleavings is the trial that plays random orders of events against the platform process on a simulated
// network.
package interleavings

import (
	"fmt"
	"time"

	"glenport/internal/testbed/platformcheck"
	"glenport/internal/testbed/trials"
)

// eventsPerFault is the number of events within which each fault must be detected.
const eventsPerFault = 60_000

// Trial plays random orders of events. Afterwards it checks that each of a list of injected faults is detected.
type Trial struct {
	Events    int // total
	FirstSeed uint64
	Workers   int                   // runs that are played in parallel
	Faults    []platformcheck.Fault // faults that must be detected
	Fault     platformcheck.Fault   // if set, this fault is injected while the random orders are played
}

// Verdict implements trials.Trial.
func (t *Trial) Verdict() (name, failure string) {
	return "platform", "a rule was broken in an order of events, or a fault was not found"
}

// Run implements trials.Trial.
func (t *Trial) Run(runner *trials.Runner, _ trials.Setup) error {
	steps := []trials.Step{{
		Name: "random orders", Run: func() (string, error) { return t.runRandomOrders(runner), nil },
	}}
	if len(t.Faults) > 0 {
		steps = append(steps, trials.Step{
			Name: "faults", Run: func() (string, error) { return t.findFaults(runner), nil },
		})
	}
	return runner.RunSteps(steps...)
}

func (t *Trial) campaign(fault platformcheck.Fault, events int) platformcheck.Campaign {
	return platformcheck.Campaign{FirstSeed: t.FirstSeed, Events: events, Fault: fault, Workers: t.Workers}
}

// runRandomOrders plays the random orders. The first failing order is reduced and printed.
func (t *Trial) runRandomOrders(runner *trials.Runner) (figures string) {
	began := time.Now()
	result := t.campaign(t.Fault, t.Events).Play()
	elapsed := time.Since(began).Seconds()
	if result.FailedRuns > 0 {
		seed := result.FirstFailure.Run.Seed
		reduced := platformcheck.Reduce(result.FirstFailure.Run)
		runner.Failf("seed %d: %v", seed, reduced.Violations[0])
		printReproduction(runner, seed, reduced)
	}
	return fmt.Sprintf("%d seeds from %d, %d events, %.0f events a second",
		result.Seeds, t.FirstSeed, result.Events, float64(result.Events)/elapsed)
}

// printReproduction prints the shortest order of events that fails.
func printReproduction(runner *trials.Runner, seed uint64, reduced platformcheck.Failure) {
	runner.Printf("seed %d fails, reduced to %d events:\n", seed, len(reduced.Run.Events))
	for _, event := range reduced.Run.Events {
		runner.Printf("  %v\n", event)
	}
	runner.Printf("  %v\n", reduced.Violations[0])
}

// findFaults plays random orders with each fault until the fault is detected.
func (t *Trial) findFaults(runner *trials.Runner) (figures string) {
	found := 0
	for _, fault := range t.Faults {
		result := t.campaign(fault, eventsPerFault).Play()
		if result.FailedRuns == 0 {
			runner.Failf("fault %s was not found in %d events", fault, result.Events)
			continue
		}
		found++
		reduced := platformcheck.Reduce(result.FirstFailure.Run)
		runner.Printf("fault %s: found by seed %d, reduced to %d events: %s\n",
			fault, result.FirstFailure.Run.Seed, len(reduced.Run.Events), reduced.Violations[0].Rule)
	}
	return fmt.Sprintf("%d of %d faults found", found, len(t.Faults))
}
