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
	var evidence []string
	for other := range s.inFlight {
		sameScope := c.locations.sameScope(s, other.machine, a.machine, class.SpreadScope)
		if !sameScope || other.spec.Service != a.spec.Service {
			continue
		}
		if timedOut := c.now >= other.deadline-c.header.Slack; timedOut && !other.ran && other != a {
			continue
		}
		evidence = append(evidence, other.text)
	}
	if count := len(evidence); count > class.MaxPerScope {
		slices.Sort(evidence)
		c.report.violate(RuleSpread, a.sent, evidence,
			"%s has %d containers of service %s in one scope, %d are allowed",
			s.name, count, a.spec.Service, class.MaxPerScope)
	}
}
