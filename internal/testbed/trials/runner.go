package trials

import (
	"fmt"
	"io"
	"time"

	"glenport/internal/testbed/report"
)

// maxPrintedFailures is the number of failed checks that are printed for a trial.
const maxPrintedFailures = 5

// Step is one step of a trial. Its function returns the figures to print, if any. Failed checks are recorded with the
// runner; an error ends the trial.
type Step struct {
	Name string
	Run  func() (figures string, err error)
}

// WithoutFigures wraps a function that has no figures to print as the function of a step.
func WithoutFigures(run func() error) func() (string, error) {
	return func() (string, error) { return "", run() }
}

// Runner runs the steps of a trial and collects the failed checks.
type Runner struct {
	Out      io.Writer
	failures []string
}

// Failf records a failed check.
func (r *Runner) Failf(format string, args ...any) {
	r.failures = append(r.failures, fmt.Sprintf(format, args...))
}

// Printf prints a line of a step, in addition to its figures.
func (r *Runner) Printf(format string, args ...any) { report.Printf(r.Out, format, args...) }

func (r *Runner) passed() bool { return len(r.failures) == 0 }

// RunSteps runs steps in order. It prints a line for each step, and then the first failed checks.
func (r *Runner) RunSteps(steps ...Step) error {
	width := 0
	for _, step := range steps {
		width = max(width, len(step.Name))
	}
	for _, step := range steps {
		if err := r.runStep(step, width); err != nil {
			return fmt.Errorf("%s: %w", step.Name, err)
		}
	}
	for _, failure := range r.failures[:min(len(r.failures), maxPrintedFailures)] {
		r.Printf("check failed: %s\n", failure)
	}
	return nil
}

func (r *Runner) runStep(step Step, width int) error {
	failedBefore, began := len(r.failures), time.Now()
	figures, err := step.Run()
	if err != nil {
		return err
	}
	if figures != "" {
		figures += ", "
	}
	failed := len(r.failures) - failedBefore
	r.Printf("%-*s %5.1f s, %s%d checks failed\n", width, step.Name, time.Since(began).Seconds(), figures, failed)
	return nil
}
