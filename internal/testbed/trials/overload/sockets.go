package overload

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"time"

	"glenport/internal/testbed/cluster"
	"glenport/internal/testbed/emulator"
	"glenport/internal/testbed/report"
	"glenport/internal/testbed/simulation"
)

// The restart of machines over sockets.
const (
	socketRestart   = 20 // machines
	socketRestartAt = 10 // seconds
	socketDownFor   = 1500 * time.Millisecond
)

// runSockets runs the restart with real schedulers. No rule may be broken, and no machine in slow start may
// be overloaded.
func (t *Trial) runSockets(d simulation.Damping, run int) (simulation.Recovery, error) {
	s, seed := t.setup.Scenario, uint64(run)
	s.Schedulers = t.Schedulers
	program := t.setup.Program
	if d == simulation.Limited {
		program = t.LimitedProgram
	}
	c, err := cluster.Start(s.Spec, filepath.Join(t.setup.Dir, fmt.Sprintf("%s-%d", d, run)), program)
	if err != nil {
		return simulation.Recovery{}, err
	}
	defer c.Shutdown()
	began := time.Now()
	measured := newGoodputMeter(c, began, int(s.Length.Seconds()))
	c.Clients.OnPlaced = measured.recordPlacement
	c.Clients.Backoff = clientBackoff(d, rand.New(rand.NewPCG(seed, 8)))
	c.Clients.Start(s.Rate, s.Seed+seed)
	time.Sleep(time.Until(began.Add(socketRestartAt * time.Second)))
	if err := restartFor(c.Machines[:socketRestart], socketDownFor); err != nil {
		return simulation.Recovery{}, err
	}
	time.Sleep(time.Until(began.Add(s.Length)))
	c.Clients.SetRate(0)
	c.WaitForReplies(s.Settle)
	if err := t.auditRun(c); err != nil {
		return simulation.Recovery{}, err
	}
	return simulation.EvaluateRecovery(measured.perSecond, socketRestartAt), nil
}

// auditRun ends a run, prints its figures and records the failed checks.
func (t *Trial) auditRun(c *cluster.Cluster) error {
	overloaded := c.CountOverloaded()
	tally := c.Clients.Close()
	findings, err := c.CloseAndAudit()
	if err != nil {
		return err
	}
	report.RecordingLag(t.Out, findings)
	report.Violations(t.Out, findings)
	t.Printf("  %d submitted (%d retries), %d placed, %d rejected, %d not admitted, %d failed; "+
		"%d machines overloaded, those in slow start at most at %d of %d offers\n",
		tally.Submitted, tally.Retried, tally.Placed, tally.Rejected, tally.NotAdmitted, tally.Failed,
		overloaded, findings.SlowStartPeak, findings.SlowStartBudget)
	if !findings.Passed() {
		t.Failf("%d violations of rules in the recording", len(findings.Violations))
	}
	if overloaded > 0 {
		t.Failf("%d machines in slow start failed under load", overloaded)
	}
	return nil
}

func restartFor(machines []*emulator.Machine, down time.Duration) error {
	for _, m := range machines {
		m.Crash()
	}
	time.Sleep(down)
	for _, m := range machines {
		if err := m.Start(false); err != nil {
			return err
		}
	}
	return nil
}

// compareOnSockets does one run with each damping. The limit must lose the fewest starts.
func (t *Trial) compareOnSockets(run int) error {
	recoveries := map[simulation.Damping]simulation.Recovery{}
	for _, d := range dampings {
		recovery, err := t.runSockets(d, run)
		if err != nil {
			return err
		}
		t.Printf("sockets, %d schedulers, damping %-11s: %s\n", t.Schedulers, d, recovery)
		recoveries[d] = recovery
	}
	limited := recoveries[simulation.Limited]
	if limited.SecondsToRecover < 0 {
		t.Failf("with the limit goodput did not recover")
	}
	for _, d := range dampings {
		if d != simulation.Limited && limited.Lost >= recoveries[d].Lost {
			t.Failf("%.0f starts lost with the limit, %.0f with damping %s", limited.Lost, recoveries[d].Lost, d)
		}
	}
	return nil
}
