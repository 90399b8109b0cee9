package overload

import (
	"fmt"

	"glenport/internal/testbed/simulation"
	"glenport/scheduler"
)

// calmRun counts the containers of a run without a fault.
type calmRun struct{ inTime, submitted, shed int }

func playCalm(d simulation.Damping) (run calmRun) {
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

func (r calmRun) share() float64 { return float64(r.inTime) / float64(r.submitted) }

// runCalm plays an ordinary time without and with the limit: it must shed next to nothing and cost no start within the
// latency objective.
func (t *Trial) runCalm() (string, error) {
	const tolerated = 0.01 // of the starts in time
	without, with := playCalm(simulation.NoDamping), playCalm(simulation.Limited)
	if cost := 1 - with.share()/without.share(); cost >= tolerated {
		t.Missf("the limit costs %.1f%% of the starts in time", 100*cost)
	}
	return fmt.Sprintf("%d submitted, %d shed; starts in time %.2f%% without the limit, %.2f%% with it",
		with.submitted, with.shed, 100*without.share(), 100*with.share()), nil
}
