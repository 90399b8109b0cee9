// Package trials runs trials. A trial tests one subsystem end to end with injected faults. Each package below this one
// holds one trial.
package trials

import (
	"errors"
	"io"

	"glenport/internal/testbed/report"
	"glenport/internal/testbed/scenario"
)

// ErrFailed is returned for a failed trial, after its verdict has been printed.
var ErrFailed = errors.New("the trial failed")

// Setup holds the cluster description, the output folder and the scheduler command of a trial.
type Setup struct {
	Scenario *scenario.Scenario // describes the cluster
	Dir      string             // for recordings and logs
	Program  []string           // command that starts a scheduler
}

// Trial tests one subsystem.
type Trial interface {
	// Verdict returns the name of the trial and the text that its verdict gives if a check failed.
	Verdict() (name, failure string)
	// Run runs the steps of the trial. An error ends the trial; failed checks are recorded with the runner.
	Run(runner *Runner, setup Setup) error
}

// Run runs a trial and prints its verdict.
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
