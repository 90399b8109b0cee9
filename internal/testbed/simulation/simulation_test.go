package simulation

import (
	"fmt"
	"testing"

	"glenport/internal/testutil"
	"glenport/scheduler"
)

func runSimulation(d Damping) (*Simulation, Recovery) {
	sim := &Simulation{
		Seed:       1,
		Schedulers: 2,
		Machines:   12,
		Rate:       420,
		Length:     40 * scheduler.Second,
		Damping:    d,
		Restart:    10,
		RestartAt:  8 * scheduler.Second,
		DownFor:    2 * scheduler.Second,
	}
	sim.Run()
	return sim, EvaluateRecovery(sim.Goodput(), 8)
}

// With a concurrency limit a small fleet recovers from a restart. Without one, retries keep the fleet overloaded after
// the machines are back. Equal seeds give equal outcomes.
func TestConcurrencyLimitRecoversFromFleetRestart(t *testing.T) {
	sim, limited := runSimulation(Limited)
	_, undamped := runSimulation(NoDamping)
	again, _ := runSimulation(Limited)
	testutil.Expect(t, fmt.Sprint(sim.Seconds) == fmt.Sprint(again.Seconds), "equal seeds gave different outcomes")
	if limited.SecondsToRecover < 0 || limited.Lost >= undamped.Lost {
		t.Errorf("limited: %s; undamped: %s", limited, undamped)
	} else {
		t.Logf("limited: %s; undamped: %s", limited, undamped)
	}
}
