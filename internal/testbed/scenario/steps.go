package scenario

import (
	"fmt"
	"io"

	"glenport/internal/testbed/report"
)

// printedMisses is how many of a trial's misses are printed.
const printedMisses = 5

// trialStep is one step of a trial. It returns the figures to print; what did not hold goes to the trial's misses, an
// error ends the trial.
type trialStep struct {
	name string
	play func() (figures string, err error)
}

// missList collects what did not hold in a trial.
type missList struct{ misses []string }

func (m *missList) miss(format string, args ...any) {
	m.misses = append(m.misses, fmt.Sprintf(format, args...))
}

// passed reports whether nothing was missed.
func (m *missList) passed() bool { return len(m.misses) == 0 }

// playSteps plays steps in order and prints a line for each, with names padded to nameWidth, and the first misses.
func (m *missList) playSteps(out io.Writer, nameWidth int, steps []trialStep) error {
	for _, step := range steps {
		before := len(m.misses)
		figures, err := step.play()
		if err != nil {
			return fmt.Errorf("%s: %w", step.name, err)
		}
		report.Printf(out, "%-*s %s, %d missed\n", nameWidth, step.name, figures, len(m.misses)-before)
	}
	for _, miss := range m.misses[:min(len(m.misses), printedMisses)] {
		report.Printf(out, "missed: %s\n", miss)
	}
	return nil
}
