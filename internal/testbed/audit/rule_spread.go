package audit

import (
	"slices"

	"glenport/scheduler"
)

// checkSpread counts what a scheduler has of a service in the scope of an attempt's machine, with this attempt: what
// runs, and the attempts whose timeout is not over.
func (c *checker) checkSpread(s *schedulerState, a *attempt, class scheduler.WorkloadClass) {
	if class.SpreadScope == scheduler.ScopeNone {
		return
	}
	counted := c.countedForSpread(s, a, class.SpreadScope)
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
			"%s has %d containers of service %s in one scope, %d are allowed",
			s.name, count, a.spec.Service, class.MaxPerScope)
	}
}

// countedForSpread returns the attempts of a service in the scope of one of them, going by when they were recorded.
func (c *checker) countedForSpread(s *schedulerState, a *attempt, scope scheduler.Scope) (counted []*attempt) {
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
