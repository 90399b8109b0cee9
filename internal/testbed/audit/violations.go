package audit

import (
	"fmt"

	"glenport/scheduler"
)

// maxViolations of one rule are reported.
const maxViolations = 20

// reporter is the report in the making, to which each rule adds.
type reporter struct {
	Report
	violations map[Rule]int // all of them, also those beyond what is reported
	widened    map[int]bool // entries that only their lag kept from being a violation
}

// violate reports a break of a rule.
func (r *reporter) violate(rule Rule, at scheduler.Time, evidence []string, format string, args ...any) {
	r.violations[rule]++
	if r.violations[rule] <= maxViolations {
		r.Violations = append(r.Violations, Violation{rule, at, fmt.Sprintf(format, args...), evidence})
	}
}
