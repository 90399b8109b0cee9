package restart

import (
	"fmt"
	"io"
	"path/filepath"

	"glenport/internal/testbed/crashcheck"
	"glenport/internal/testbed/report"
	"glenport/internal/testbed/scenario"
)

// Trial kills schedulers and the controller while they write, and looks for anything that was acknowledged and
// is not there: in every folder after every kill, in the API and on the machines at the end, in the recording.
type Trial struct {
	Kills       int    // of schedulers; the controller is killed a tenth as often
	LogSizes    []int  // containers in the log at a start that is timed
	MeasureLost bool   // measure the starts lost after a restart
	Sabotage    string // crashcheck.SabotageSync, crashcheck.SabotageChecksum or none
	Out         io.Writer
}

// Run reports whether all held.
func (t *Trial) Run(s *scenario.Scenario, dir string, program []string) (bool, error) {
	ok := t.checkCrashStates()
	if t.Sabotage != "" {
		return ok, nil
	}
	if err := t.measureCommits(filepath.Join(dir, "commits")); err != nil {
		return false, err
	}
	kept, err := t.killProcesses(s, filepath.Join(dir, "kills"), program)
	if err != nil {
		return false, err
	}
	ok = ok && kept
	for _, n := range t.LogSizes {
		if err := t.measureStart(s, filepath.Join(dir, fmt.Sprint("start-", n)), program, n); err != nil {
			return false, err
		}
	}
	if t.MeasureLost {
		if err := t.measureLost(s, dir, program); err != nil {
			return false, err
		}
	}
	return ok, nil
}

// checkCrashStates walks through the states that a crash may leave. A violation is printed; it is a result of the
// trial, not an error.
func (t *Trial) checkCrashStates() bool {
	const histories = 5
	var sum crashcheck.Check
	for seed := uint64(1); seed <= histories; seed++ {
		check := &crashcheck.Check{Seed: seed, Commits: 60, RandomStates: 8, Sabotage: t.Sabotage}
		err := check.Run()
		sum.Add(check)
		if err != nil {
			report.Printf(t.Out, "crash states, history %d: %v\n", seed, err)
			return false
		}
	}
	report.Printf(
		t.Out,
		"crash states: %d operations, %d states after one crash and %d after a second in recovery, all legal; "+
			"%d of %d single bits turned over were refused, the others were in the last group\n",
		sum.Operations,
		sum.States,
		sum.SecondCrashes,
		sum.Refused,
		sum.BitFlips,
	)
	return true
}
