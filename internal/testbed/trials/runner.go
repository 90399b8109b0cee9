// Package trials plays trials, each of which proves one subsystem end to end, step by step.
package trials

import (
	"fmt"
	"io"

	"glenport/internal/testbed/report"
)

// printedMisses is how many of a trial's misses are printed.
const printedMisses = 5

// Step is one step of a trial. It returns the figures to print; what did not hold goes to the trial's misses, an
// error ends the trial.
type Step struct {
	Name string
	Play func() (figures string, err error)
}

// Runner collects what did not hold in a trial.
type Runner struct{ misses []string }

// Miss notes what did not hold.
func (m *Runner) Miss(format string, args ...any) {
	m.misses = append(m.misses, fmt.Sprintf(format, args...))
}

// Passed reports whether nothing was missed.
func (m *Runner) Passed() bool { return len(m.misses) == 0 }

// Play plays steps in order and prints a line for each, with names padded to nameWidth, and the first misses.
func (m *Runner) Play(out io.Writer, nameWidth int, steps []Step) error {
	for _, step := range steps {
		before := len(m.misses)
		figures, err := step.Play()
		if err != nil {
			return fmt.Errorf("%s: %w", step.Name, err)
		}
		report.Printf(out, "%-*s %s, %d missed\n", nameWidth, step.Name, figures, len(m.misses)-before)
	}
	for _, miss := range m.misses[:min(len(m.misses), printedMisses)] {
		report.Printf(out, "missed: %s\n", miss)
	}
	return nil
}
