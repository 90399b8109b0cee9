package simulation

import (
	"fmt"
	"testing"

	"glenport/internal/testutil"
	"glenport/scheduler"
)

func simulatedOnce(d Damping) (*Simulation, Recovery) {
	w := &Simulation{
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
	w.Run()
	return w, EvaluateRecovery(w.Goodput(), 8)
}

// With a concurrency limit a small fleet recovers from a restart; without one the overload outlives its cause. The same
// seed gives the same outcome.
func TestConcurrencyLimitRecoversFromFleetRestart(t *testing.T) {
	w, damped := simulatedOnce(Limited)
	_, none := simulatedOnce(NoDamping)
	again, _ := simulatedOnce(Limited)
	testutil.Expect(t, fmt.Sprint(w.Seconds) == fmt.Sprint(again.Seconds), "one seed, two outcomes")
	if damped.SecondsToRecover < 0 || damped.Lost >= none.Lost {
		t.Errorf("damped: %s; not: %s", damped, none)
	} else {
		t.Logf("damped: %s; not: %s", damped, none)
	}
}
