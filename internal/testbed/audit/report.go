// Package audit checks the five rules of the scheduler on a recording of what passed over the sockets, and on nothing
// else: no scheduler's own account is believed. The checker holds the state that the recorded frames add up to; each
// rule has a file.
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
	RuleDuplicateRun                 // nothing runs twice that must not
	RuleDraining                     // a machine that drains or is gone gets no offers
	RuleSlowStart                    // a machine in slow start gets no more offers than its budget
	RuleSpread                       // no more containers of a service in one scope than allowed

	LastRule = RuleSpread
)

// Violation is one break of a rule.
type Violation struct {
	Rule     Rule
	At       scheduler.Time // since the recording's start
	Message  string
	Evidence []string // the frames that show it
}

// String is the violation on one line and its evidence, one frame a line, below it.
func (v Violation) String() string {
	lines := []string{fmt.Sprintf("rule %d at %.1f ms: %s", v.Rule, milliseconds(v.At), v.Message)}
	return strings.Join(append(lines, v.Evidence...), "\n    ")
}

// Report is the outcome of an audit.
type Report struct {
	Violations []Violation // in order of time, some of each rule at most
	Frames     int
	Submitted  int
	Replies    [5]int // by verdict
	Offers     int
	Accepted   int // offers whose container ran
	Abandoned  int // requests whose scheduler or connection ended before a reply was due

	SlowStartPeak   int     // offers in a window that came nearest to a machine's slow-start budget
	SlowStartBudget int     // which is this
	DrainLatency    float64 // milliseconds from the notice of a drain to the last offer to its machine

	LargestLag     float64 // milliseconds, of all entries
	WidenedEntries int     // entries that were judged with a slack widened by their own lag
	WidenedLag     float64 // milliseconds, the largest of these
}

// Passed reports whether no rule was broken.
func (r *Report) Passed() bool { return len(r.Violations) == 0 }

// CheckRecording checks the rules on the recording in a file.
func CheckRecording(path string) (*Report, error) {
	c := newChecker()
	if err := faultproxy.Read(path, &c.header, c.process); err != nil {
		return nil, fmt.Errorf("audit: %w", err)
	}
	c.finish()
	return &c.report.Report, nil
}

func (r *Report) sortViolations() {
	slices.SortStableFunc(r.Violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
}

func milliseconds(t scheduler.Time) float64 { return float64(t) / float64(scheduler.Millisecond) }
