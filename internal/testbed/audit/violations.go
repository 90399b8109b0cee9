package audit

import (
	"fmt"

	"glenport/scheduler"
)

// maxViolations is how many violations of one rule are reported.
const maxViolations = 20

// reporter accumulates the report; all rules write to it.
type reporter struct {
	Report
	violationCounts map[Rule]int // all violations, including those that are not reported
	widenedEntries  map[int]bool // numbers of the entries that are in time only because of their lag
}

// violate reports a violation of a rule.
func (r *reporter) violate(rule Rule, at scheduler.Time, evidence []string, format string, args ...any) {
	r.violationCounts[rule]++
	if r.violationCounts[rule] <= maxViolations {
		r.Violations = append(r.Violations, Violation{rule, at, fmt.Sprintf(format, args...), evidence})
	}
}
