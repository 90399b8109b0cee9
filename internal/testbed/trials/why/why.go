// Package why is the trial of the reasons for which containers are pending.
package why

import (
	"glenport/internal/testbed/cluster"
	"glenport/internal/testbed/process"
	"glenport/internal/testbed/trials"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Trial starts a cluster with a controller, makes containers pend for known reasons, and compares what a client reads
// through the API with the state of the emulated machines themselves.
type Trial struct {
	Cycles int // of draining and filling; each holds four changes
	Steps  int // how many of the trial's steps are played; 0: all
	Codes  Codes

	*process.Controller
	*trials.Runner
	cluster *cluster.Cluster
	delays  *hdrhistogram.Histogram // milliseconds
	checks  int
}

// Codes says which codes of reasons the trial reads.
type Codes int

// A sabotaged trial reads other codes than the API returns, to show that the trial sees it.
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
		{Name: "drains and room", Play: trials.WithoutFigures(t.playDrainsAndRoom)},
		{Name: "four reasons at once", Play: trials.WithoutFigures(t.playCombinedReasons)},
		{Name: "spread", Play: trials.WithoutFigures(t.playSpread)},
		{Name: "fencing delay", Play: trials.WithoutFigures(t.playFencing)},
		{Name: "scaled down while fenced", Play: trials.WithoutFigures(t.playScaleDownWhileFenced)},
		{Name: "machine list unavailable", Play: trials.WithoutFigures(t.playListUnavailable)},
		{Name: "schedulers killed while the client reads", Play: trials.WithoutFigures(t.playSchedulersKilled)},
	}
	if t.Steps > 0 {
		steps = steps[:min(t.Steps, len(steps))]
	}
	if err := t.Play(steps...); err != nil {
		return err
	}
	t.Printf("%d changes: the true reason was read after p50 %d ms, p99 %d ms, worst %d ms\n", t.checks,
		t.delays.ValueAtQuantile(50), t.delays.ValueAtQuantile(99), t.delays.Max())
	return nil
}
