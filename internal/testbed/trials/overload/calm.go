package overload

import (
	"fmt"

	"glenport/internal/testbed/simulation"
	"glenport/scheduler"
)

// baselineRun counts the containers of a simulated run without a fault.
type baselineRun struct{ inTime, submitted, shed int }

func simulateBaseline(d simulation.Damping) (run baselineRun) {
	s := &simulation.Simulation{
		Seed:       5,
		Schedulers: 3,
		Machines:   simulatedMachines,
		Rate:       700,
		Length:     120 * scheduler.Second,
		Damping:    d,
	}
	s.Run()
	for _, second := range s.Seconds {
		run.inTime += second.Placed
		run.submitted += second.Submitted
		run.shed += second.Shed
	}
	return run
}

func (r baselineRun) share() float64 { return float64(r.inTime) / float64(r.submitted) }

// runBaseline simulates load without a fault, with and without the concurrency limit. The limit must cost almost none
// of the starts within the latency objective, and should shed almost nothing.
func (t *Trial) runBaseline() (string, error) {
	const maxCost = 0.01 // as a share of the starts within the latency objective
	without, with := simulateBaseline(simulation.NoDamping), simulateBaseline(simulation.Limited)
	if cost := 1 - with.share()/without.share(); cost >= maxCost {
		t.Failf("the limit costs %.1f%% of the starts within the latency objective", 100*cost)
	}
	return fmt.Sprintf("%d submitted, %d shed; starts in time %.2f%% without the limit, %.2f%% with it",
		with.submitted, with.shed, 100*without.share(), 100*with.share()), nil
}
