// Package interleavings is the trial of the platform's process in random orders of events, on a simulated network.
package interleavings

import (
	"fmt"
	"time"

	"glenport/internal/testbed/platformcheck"
	"glenport/internal/testbed/trials"
)

// eventsPerFault bounds the events in which each fault has to be found.
const eventsPerFault = 60_000

// Trial plays random orders of events. Then each fault has to be found.
type Trial struct {
	Events    int // in all
	FirstSeed uint64
	Workers   int                   // that play at the same time
	Faults    []platformcheck.Fault // that have to be found then
	Fault     platformcheck.Fault   // if set, it is in the process while the orders are played
}

// Verdict implements trials.Trial.
func (t *Trial) Verdict() (name, failure string) {
	return "platform", "a rule was broken in an order of events, or a fault was not found"
}

// Run implements trials.Trial.
func (t *Trial) Run(runner *trials.Runner, _ trials.Setup) error {
	steps := []trials.Step{{Name: "random orders", Play: func() (string, error) { return t.playOrders(runner), nil }}}
	if len(t.Faults) > 0 {
		steps = append(steps, trials.Step{
			Name: "faults", Play: func() (string, error) { return t.findFaults(runner), nil },
		})
	}
	return runner.Play(steps...)
}

func (t *Trial) campaign(fault platformcheck.Fault, events int) platformcheck.Campaign {
	return platformcheck.Campaign{FirstSeed: t.FirstSeed, Events: events, Fault: fault, Workers: t.Workers}
}

// playOrders plays the random orders. The first that fails is reduced and printed.
func (t *Trial) playOrders(runner *trials.Runner) (figures string) {
	began := time.Now()
	result := t.campaign(t.Fault, t.Events).Play()
	elapsed := time.Since(began).Seconds()
	if result.Failed > 0 {
		seed := result.First.Run.Seed
		reduced := platformcheck.Reduce(result.First.Run)
		runner.Missf("seed %d: %v", seed, reduced.Violations[0])
		printOrder(runner, seed, reduced)
	}
	return fmt.Sprintf("%d seeds from %d, %d events, %.0f events a second",
		result.Seeds, t.FirstSeed, result.Events, float64(result.Events)/elapsed)
}

// printOrder prints the shortest order of events that fails.
func printOrder(runner *trials.Runner, seed uint64, reduced platformcheck.Failure) {
	runner.Printf("seed %d fails, reduced to %d events:\n", seed, len(reduced.Run.Events))
	for _, event := range reduced.Run.Events {
		runner.Printf("  %v\n", event)
	}
	runner.Printf("  %v\n", reduced.Violations[0])
}

// findFaults plays each fault until it is found.
func (t *Trial) findFaults(runner *trials.Runner) (figures string) {
	found := 0
	for _, fault := range t.Faults {
		result := t.campaign(fault, eventsPerFault).Play()
		if result.Failed == 0 {
			runner.Missf("fault %s was not found in %d events", fault, result.Events)
			continue
		}
		found++
		reduced := platformcheck.Reduce(result.First.Run)
		runner.Printf("fault %s: found by seed %d, reduced to %d events: %s\n",
			fault, result.First.Run.Seed, len(reduced.Run.Events), reduced.Violations[0].Rule)
	}
	return fmt.Sprintf("%d of %d faults found", found, len(t.Faults))
}
