// Package restart is the trial of the state that schedulers and the controller persist: they are killed while they
// write it.
package restart

import (
	"fmt"
	"path/filepath"

	"glenport/internal/testbed/crashcheck"
	"glenport/internal/testbed/scenario"
	"glenport/internal/testbed/trials"
)

// Trial kills schedulers and the controller while they write. It checks that nothing acknowledged is lost: in the state
// folder after each kill, in the API and on the machines at the end, and in the recording.
type Trial struct {
	Kills    int   // kills of schedulers; the controller is killed about a tenth as often
	LogSizes []int // numbers of containers in the logs with which starts are timed
	Losses   Losses
	Sabotage string // crashcheck.SabotageSync, crashcheck.SabotageChecksum or none

	*trials.Runner
	scenario *scenario.Scenario
	dir      string
	program  []string
}

// Losses says whether the trial measures the container starts that are lost after a restart.
type Losses int

// LossesLeftOut skips the measurement, which takes more than a minute.
const (
	LossesMeasured Losses = iota
	LossesLeftOut
)

// Verdict implements [trials.Trial].
func (t *Trial) Verdict() (name, failure string) {
	return "restart", "what was promised was lost, or a rule broken"
}

// Run implements [trials.Trial].
func (t *Trial) Run(runner *trials.Runner, setup trials.Setup) error {
	t.Runner, t.scenario, t.dir, t.program = runner, setup.Scenario, setup.Dir, setup.Program
	steps := []trials.Step{{Name: "crash states", Run: t.checkCrashStates}}
	if t.Sabotage != "" {
		return t.RunSteps(steps...)
	}
	steps = append(steps,
		trials.Step{Name: "commits", Run: trials.WithoutFigures(t.measureCommits)},
		trials.Step{Name: "kills", Run: trials.WithoutFigures(t.killProcesses)},
	)
	for _, n := range t.LogSizes {
		steps = append(steps, trials.Step{
			Name: fmt.Sprintf("start with %d containers in the log", n),
			Run:  trials.WithoutFigures(func() error { return t.measureStart(n) }),
		})
	}
	if t.Losses == LossesMeasured {
		steps = append(steps, trials.Step{Name: "starts lost", Run: trials.WithoutFigures(t.measureLostStarts)})
	}
	return t.RunSteps(steps...)
}

// path returns the path of a folder of the trial.
func (t *Trial) path(name string) string { return filepath.Join(t.dir, name) }

// checkCrashStates checks the disk states that a crash may leave. A violation is a failed check of the trial, not an
// error.
func (t *Trial) checkCrashStates() (string, error) {
	const histories = 5
	var sum crashcheck.Check
	for seed := uint64(1); seed <= histories; seed++ {
		check := &crashcheck.Check{Seed: seed, Commits: 60, RandomStates: 8, Sabotage: t.Sabotage}
		err := check.Run()
		sum.Add(check)
		if err != nil {
			t.Failf("crash states, history %d: %v", seed, err)
			break
		}
	}
	return fmt.Sprintf(
		"%d operations, %d states after one crash and %d after a second in recovery; "+
			"%d of %d single-bit flips were detected, the others were in the last commit group",
		sum.Operations, sum.States, sum.SecondCrashes, sum.Refused, sum.BitFlips,
	), nil
}
