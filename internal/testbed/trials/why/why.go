// Package why is the trial of the reasons that the API gives for pending containers.
package why

import (
	"glenport/internal/testbed/cluster"
	"glenport/internal/testbed/process"
	"glenport/internal/testbed/trials"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Trial starts a cluster with a controller, keeps containers pending for known reasons, and compares the reasons that a
// client reads from the API with the state of the emulated machines themselves.
type Trial struct {
	Cycles int // of draining and filling; each has four changes
	Steps  int // number of steps to run; 0: all
	Codes  Codes

	*process.Controller
	*trials.Runner
	cluster *cluster.Cluster
	delays  *hdrhistogram.Histogram // milliseconds
	checks  int
}

// Codes selects the reason codes that the trial reads.
type Codes int

// SabotagedCodes replaces the codes that the API returns by wrong ones, to show that the trial detects them.
const (
	TrueCodes Codes = iota
	SabotagedCodes
)

// Verdict implements [trials.Trial].
func (t *Trial) Verdict() (name, failure string) {
	return "why", "an owner read what was not so, or too late"
}

// Run implements [trials.Trial].
func (t *Trial) Run(runner *trials.Runner, setup trials.Setup) (err error) {
	t.Runner, t.delays = runner, hdrhistogram.New(1, 60_000, 3)
	if t.cluster, err = cluster.Start(setup.Scenario.Spec, setup.Dir, setup.Program); err != nil {
		return err
	}
	defer t.cluster.Shutdown()
	if t.Controller, err = t.cluster.StartController(setup.Program[0], nil, ""); err != nil {
		return err
	}
	defer t.Terminate()
	steps := []trials.Step{
		{Name: "drains and room", Run: trials.WithoutFigures(t.runDrainsAndRoom)},
		{Name: "four reasons at once", Run: trials.WithoutFigures(t.runCombinedReasons)},
		{Name: "spread", Run: trials.WithoutFigures(t.runSpread)},
		{Name: "fencing delay", Run: trials.WithoutFigures(t.runFencing)},
		{Name: "scaled down while fenced", Run: trials.WithoutFigures(t.runScaleDownWhileFenced)},
		{Name: "machine list unavailable", Run: trials.WithoutFigures(t.runListUnavailable)},
		{Name: "schedulers killed while the client reads", Run: trials.WithoutFigures(t.runSchedulersKilled)},
	}
	if t.Steps > 0 {
		steps = steps[:min(t.Steps, len(steps))]
	}
	if err := t.RunSteps(steps...); err != nil {
		return err
	}
	t.Printf("%d changes: the true reason was read after p50 %d ms, p99 %d ms, worst %d ms\n", t.checks,
		t.delays.ValueAtQuantile(50), t.delays.ValueAtQuantile(99), t.delays.Max())
	return nil
}
