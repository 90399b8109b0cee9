// Package overload is the trial of the recovery after most machines of a cluster restart at once under load.
package overload

import (
	"fmt"

	"glenport/internal/testbed/simulation"
	"glenport/internal/testbed/trials"
)

// Trial restarts most machines of a cluster at once under load, simulated and over sockets. It compares three dampings:
// none, exponential backoff of the clients, and the concurrency limit of the schedulers. With the limit, goodput must
// recover in every run, and fewer starts must be lost than with the other two.
type Trial struct {
	Seeds           int      // simulated runs of each damping
	Sockets         int      // runs of each damping over sockets; 0: none
	Schedulers      int      // in runs over sockets
	IgnoringClients float64  // share of the simulated clients that ignore retry-after
	LimitedProgram  []string // command that starts a scheduler with a concurrency limit

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
		{Name: "simulated", Run: trials.WithoutFigures(t.runSimulations)},
		{Name: "simulated, no fault", Run: t.runBaseline},
		{Name: "simulated, schedulers restart", Run: trials.WithoutFigures(t.runSchedulerRestarts)},
	}
	for run := range t.Sockets {
		steps = append(steps, trials.Step{
			Name: fmt.Sprintf("sockets, run %d", run),
			Run:  trials.WithoutFigures(func() error { return t.compareOnSockets(run) }),
		})
	}
	return t.RunSteps(steps...)
}
