// Package audit checks the five rules of the scheduler on a recording of the frames that passed over the sockets. It
// relies on nothing else, in particular on no status that a scheduler reports. The checker reconstructs the state from
// the recorded frames; each rule has a file.
package audit

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"glenport/internal/testbed/faultproxy"
	"glenport/scheduler"
)

// Rule is the number of a rule in the documentation.
type Rule int

// The five rules.
const (
	RuleFinalReply   Rule = 1 + iota // each request gets one final reply in time
	RuleDuplicateRun                 // no container runs twice unless its class allows it
	RuleDraining                     // a machine that is draining or gone gets no offers
	RuleSlowStart                    // a machine in slow start gets no more offers than its budget
	RuleSpread                       // no more containers of a service in one scope than allowed

	LastRule = RuleSpread
)

// Violation is one break of a rule.
type Violation struct {
	Rule     Rule
	At       scheduler.Time // since the recording's start
	Message  string
	Evidence []string // the frames that show the violation
}

// String returns the violation on one line, followed by its evidence with one frame a line.
func (v Violation) String() string {
	lines := []string{fmt.Sprintf("rule %d at %.1f ms: %s", v.Rule, milliseconds(v.At), v.Message)}
	return strings.Join(append(lines, v.Evidence...), "\n    ")
}

// Report is the outcome of an audit.
type Report struct {
	Violations []Violation // in order of time, at most maxViolations of each rule
	Frames     int
	Submitted  int
	Replies    [5]int // by verdict
	Offers     int
	Accepted   int // accepts that report a running container
	Abandoned  int // requests whose scheduler or client connection ended before the reply was due

	SlowStartPeak   int     // largest number of offers and probes to a machine in a slow-start window
	SlowStartBudget int     // slow-start budget of a machine in a window
	DrainLatency    float64 // milliseconds from the update that reports a drain to the last offer to the machine

	LargestLag     float64 // milliseconds, of all entries
	WidenedEntries int     // entries that are in time only if their own lag is added to the slack
	WidenedLag     float64 // milliseconds, the largest lag of these entries
}

// Passed reports whether no rule was broken.
func (r *Report) Passed() bool { return len(r.Violations) == 0 }

// CheckRecording checks the rules on a recording file.
func CheckRecording(path string) (*Report, error) {
	c := newChecker()
	if err := faultproxy.Read(path, &c.header, c.handleEntry); err != nil {
		return nil, fmt.Errorf("audit: %w", err)
	}
	c.finish()
	return &c.report.Report, nil
}

func (r *Report) sortViolations() {
	slices.SortStableFunc(r.Violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
}

func milliseconds(t scheduler.Time) float64 { return float64(t) / float64(scheduler.Millisecond) }
