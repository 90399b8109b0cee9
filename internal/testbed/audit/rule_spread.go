package audit

import (
	"slices"

	"glenport/scheduler"
)

// checkSpread checks how many containers of a service a scheduler has in the scope of an attempt's machine. Running
// containers count, and attempts that have not timed out, including this attempt.
func (c *checker) checkSpread(s *schedulerState, a *attempt, class scheduler.WorkloadClass) {
	if class.SpreadScope == scheduler.ScopeNone {
		return
	}
	counted := c.spreadAttempts(s, a, class.SpreadScope)
	if len(counted) > class.MaxPerScope {
		counted = slices.DeleteFunc(counted, func(other *attempt) bool {
			return other != a && !other.ran && c.report.timedOut(other, c.now.at+c.header.Slack)
		})
	}
	if count := len(counted); count > class.MaxPerScope {
		var evidence []string
		for _, other := range counted {
			evidence = append(evidence, other.text)
		}
		slices.Sort(evidence)
		c.report.violate(RuleSpread, a.sent.at, evidence,
			"%s has %d containers of service %s in one scope, limit %d",
			s.name, count, a.spec.Service, class.MaxPerScope)
	}
}

// spreadAttempts returns the attempts of the same service in the same scope as an attempt, itself included. It leaves
// out attempts that have timed out by their recorded times.
func (c *checker) spreadAttempts(s *schedulerState, a *attempt, scope scheduler.Scope) (counted []*attempt) {
	for other := range s.inFlight {
		sameScope := c.locations.sameScope(s, other.machine, a.machine, scope)
		if !sameScope || other.spec.Service != a.spec.Service {
			continue
		}
		if timedOut := c.now.at >= other.deadline()-c.header.Slack; timedOut && !other.ran && other != a {
			continue
		}
		counted = append(counted, other)
	}
	return counted
}
