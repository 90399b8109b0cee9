// Package overload is the trial of what follows when most of a fleet restarts at once under load.
package overload

import (
	"fmt"

	"glenport/internal/testbed/simulation"
	"glenport/internal/testbed/trials"
)

// Trial restarts most of a fleet at once under load, without damping, with clients that back off, and with glenport's
// concurrency limit, on a virtual clock and over sockets. glenport must recover in every run, with fewer starts lost
// than the others.
type Trial struct {
	Seeds           int // of the simulated form
	Sockets         int // runs of each form over sockets; 0: none
	Schedulers      int // over sockets
	IgnoringClients float64
	LimitedProgram  []string // command of a scheduler with a concurrency limit

	*trials.Runner
	setup trials.Setup
}

var dampings = []simulation.Damping{simulation.NoDamping, simulation.Exponential, simulation.Limited}

// Verdict implements [trials.Trial].
func (t *Trial) Verdict() (name, failure string) {
	return "storm", "a storm outlived its cause, or a rule was broken"
}

// Run implements [trials.Trial].
func (t *Trial) Run(runner *trials.Runner, setup trials.Setup) error {
	t.Runner, t.setup = runner, setup
	steps := []trials.Step{
		{Name: "simulated", Play: trials.WithoutFigures(t.runSimulations)},
		{Name: "simulated, calm", Play: t.runCalm},
		{Name: "simulated, schedulers restart", Play: trials.WithoutFigures(t.runSchedulerRestarts)},
	}
	for run := range t.Sockets {
		steps = append(steps, trials.Step{
			Name: fmt.Sprintf("sockets, run %d", run),
			Play: trials.WithoutFigures(func() error { return t.compareOnSockets(run) }),
		})
	}
	return t.Play(steps...)
}
