package trials

import (
	"fmt"
	"io"
	"time"

	"glenport/internal/testbed/report"
)

// printedMisses is how many of a trial's misses are printed.
const printedMisses = 5

// Step is one step of a trial. It returns the figures to print, if any; what did not hold goes to the runner's misses,
// an error ends the trial.
type Step struct {
	Name string
	Play func() (figures string, err error)
}

// WithoutFigures makes the function of a step of one that has no figures to print.
func WithoutFigures(play func() error) func() (string, error) {
	return func() (string, error) { return "", play() }
}

// Runner plays the steps of a trial and collects what did not hold.
type Runner struct {
	Out    io.Writer
	misses []string
}

// Missf notes what did not hold.
func (r *Runner) Missf(format string, args ...any) {
	r.misses = append(r.misses, fmt.Sprintf(format, args...))
}

// Printf prints a line of a step beside its figures.
func (r *Runner) Printf(format string, args ...any) { report.Printf(r.Out, format, args...) }

func (r *Runner) passed() bool { return len(r.misses) == 0 }

// Play plays steps in order and prints a line for each, and the first misses.
func (r *Runner) Play(steps ...Step) error {
	width := 0
	for _, step := range steps {
		width = max(width, len(step.Name))
	}
	for _, step := range steps {
		if err := r.playStep(step, width); err != nil {
			return fmt.Errorf("%s: %w", step.Name, err)
		}
	}
	for _, miss := range r.misses[:min(len(r.misses), printedMisses)] {
		r.Printf("missed: %s\n", miss)
	}
	return nil
}

func (r *Runner) playStep(step Step, width int) error {
	missedBefore, began := len(r.misses), time.Now()
	figures, err := step.Play()
	if err != nil {
		return err
	}
	if figures != "" {
		figures += ", "
	}
	missed := len(r.misses) - missedBefore
	r.Printf("%-*s %5.1f s, %s%d missed\n", width, step.Name, time.Since(began).Seconds(), figures, missed)
	return nil
}
