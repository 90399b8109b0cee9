package audit

import (
	"glenport/internal/testbed/faultproxy"
	"glenport/scheduler"
)

// duplicateRunRule checks that no container runs twice that must not.
type duplicateRunRule struct {
	report    *reporter
	header    *faultproxy.Header
	locations machineLocations
	ran       map[string]*attempt // at-most-once containers that ran, by idempotency key
	overlaps  []overlap
}

// overlap is an attempt that was sent while the one before it seems to be in flight. A scheduler that resets a
// connection sends the next attempt in the same moment, over another connection; which of the two the recording shows
// first is chance. So an overlap is checked only once the slack is over, and of two attempts sent that close to each
// other the one of the lower id went first.
type overlap struct{ first, second *attempt }

func newDuplicateRunRule(
	report *reporter, header *faultproxy.Header, locations machineLocations,
) *duplicateRunRule {
	return &duplicateRunRule{report: report, header: header, locations: locations, ran: map[string]*attempt{}}
}

// violate reports a break of this rule, with the two frames that show it.
func (r *duplicateRunRule) violate(at scheduler.Time, first, second string, format string, args ...any) {
	r.report.violate(RuleDuplicateRun, at, []string{first, second}, format, args...)
}

// checkOverlaps checks the overlaps for which the slack is over by now.
func (r *duplicateRunRule) checkOverlaps(now scheduler.Time) {
	for len(r.overlaps) > 0 {
		o := r.overlaps[0]
		if now <= max(o.first.sent, o.second.sent)+r.header.Slack {
			return
		}
		r.overlaps = r.overlaps[1:]
		if !o.first.ended {
			r.violate(o.second.sent, o.first.text, o.second.text,
				"container %s has two attempts in flight", o.second.spec.ContainerID)
		}
	}
}

// checkRetry holds an attempt that is sent now against the earlier ones of its request: one that may have run limits
// where and when the container may run again.
func (r *duplicateRunRule) checkRetry(s *schedulerState, req *request, a *attempt, class scheduler.WorkloadClass) {
	for _, earlier := range req.attempts {
		if earlier.neverRan {
			continue
		}
		r.noteOverlap(earlier, a)
		switch class.Idempotency {
		case scheduler.AtMostOnce:
			r.violate(a.sent, earlier.text, a.text,
				"at-most-once container %s is offered again though it may have run", req.container)
		case scheduler.IdempotentWithKey:
			r.checkDeduplicated(s, earlier, a, class)
		case scheduler.Idempotent:
		}
	}
}

// checkDeduplicated checks that the key of an earlier attempt still keeps this one from running a second time.
func (r *duplicateRunRule) checkDeduplicated(s *schedulerState, earlier, a *attempt, class scheduler.WorkloadClass) {
	switch {
	case !r.locations.sameScope(s, earlier.machine, a.machine, class.DedupScope):
		r.violate(a.sent, earlier.text, a.text,
			"container %s leaves the scope that deduplicates its key", a.spec.ContainerID)
	case a.sent > earlier.sent+class.DedupWindow+r.header.Slack:
		r.violate(a.sent, earlier.text, a.text,
			"container %s is offered after the deduplication window of its key", a.spec.ContainerID)
	}
}

func (r *duplicateRunRule) noteOverlap(earlier, a *attempt) {
	if earlier.ended || a.sent >= earlier.deadline-r.header.Slack {
		return
	}
	o := overlap{earlier, a}
	if a.id < earlier.id && a.sent < earlier.sent+r.header.Slack {
		o = overlap{a, earlier}
	}
	r.overlaps = append(r.overlaps, o)
}

// checkRanOnce checks that no other attempt with the idempotency key of an at-most-once container ran, whichever
// scheduler sent it. The function same reports whether the attempt that ran before is this one.
func (r *duplicateRunRule) checkRanOnce(a *attempt, now scheduler.Time, same func(earlier *attempt) bool) {
	class, known := workloadClass(r.header, a.spec.WorkloadClass)
	if !known || class.Idempotency != scheduler.AtMostOnce {
		return
	}
	key := a.spec.IdempotencyKey
	if earlier := r.ran[key]; earlier != nil && !same(earlier) {
		r.violate(now, earlier.text, a.text, "at-most-once key %s ran twice", key)
	}
	r.ran[key] = a
}

// checkRejectIsSafe checks a reject: the client may submit the container again, anywhere.
func (r *duplicateRunRule) checkRejectIsSafe(req *request, now scheduler.Time, reply string) {
	class, known := workloadClass(r.header, req.spec.WorkloadClass)
	if !known || mayRunAnywhereAgain(class) {
		return
	}
	for _, a := range req.attempts {
		if !a.neverRan {
			r.violate(now, a.text, reply, "container %s is rejected though it may have run", req.container)
			return
		}
	}
}

func mayRunAnywhereAgain(class scheduler.WorkloadClass) bool {
	switch class.Idempotency {
	case scheduler.AtMostOnce:
		return false
	case scheduler.IdempotentWithKey:
		return class.DedupScope == scheduler.ScopeFleet
	default:
		return true
	}
}
