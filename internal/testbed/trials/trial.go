// Package trials plays trials, each of which proves one subsystem end to end, with faults. The packages below it hold a
// trial each.
package trials

import (
	"errors"
	"io"

	"glenport/internal/testbed/report"
	"glenport/internal/testbed/scenario"
)

// ErrFailed is returned for a trial in which something did not hold; the verdict has been printed.
var ErrFailed = errors.New("the trial failed")

// Setup is what a trial is played on.
type Setup struct {
	Scenario *scenario.Scenario // gives the cluster
	Dir      string             // for recordings and logs
	Program  []string           // command of a scheduler
}

// Trial proves one subsystem.
type Trial interface {
	// Verdict returns the name of the trial and what its verdict says if something did not hold.
	Verdict() (name, failure string)
	// Run plays the steps of the trial. An error ends the trial; what did not hold is noted with the runner.
	Run(runner *Runner, setup Setup) error
}

// Run plays a trial and prints its verdict.
func Run(trial Trial, setup Setup, out io.Writer) error {
	runner := &Runner{Out: out}
	name, failure := trial.Verdict()
	if err := trial.Run(runner, setup); err != nil {
		report.Printf(out, "trial %s: FAILED %v\n", name, err)
		return ErrFailed
	}
	if !runner.passed() {
		report.Printf(out, "trial %s: FAILED %s\n", name, failure)
		return ErrFailed
	}
	report.Printf(out, "trial %s: ok\n", name)
	return nil
}
