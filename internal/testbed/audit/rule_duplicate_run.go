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
// first is chance. So an overlap is checked only at the end, when it is known whether the first attempt ended within
// the slack, and of two attempts sent that close to each other the one of the lower id went first.
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

// checkOverlaps checks, at the end of the recording, that the first attempt of each overlap ended in time.
func (r *duplicateRunRule) checkOverlaps() {
	for _, o := range r.overlaps {
		if !r.firstEnded(o) && !r.firstTimedOut(o) {
			r.violate(o.second.sent.at, o.first.text, o.second.text,
				"container %s has two attempts in flight", o.second.spec.ContainerID)
		}
	}
}

func (r *duplicateRunRule) firstEnded(o overlap) bool {
	return o.first.ended && r.report.inTime(o.first.endedAt, max(o.first.sent.at, o.second.sent.at)+r.header.Slack)
}

// firstTimedOut reports whether the first attempt may have been sent long enough before it was recorded for the second
// to follow its timeout.
func (r *duplicateRunRule) firstTimedOut(o overlap) bool {
	return o.first.sent.entry < o.second.sent.entry && r.report.timedOut(o.first, o.second.sent.at+r.header.Slack)
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
			r.violate(a.sent.at, earlier.text, a.text,
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
		r.violate(a.sent.at, earlier.text, a.text,
			"container %s leaves the scope that deduplicates its key", a.spec.ContainerID)
	case !r.report.inTime(a.sent, earlier.sent.at+class.DedupWindow+r.header.Slack):
		r.violate(a.sent.at, earlier.text, a.text,
			"container %s is offered after the deduplication window of its key", a.spec.ContainerID)
	}
}

func (r *duplicateRunRule) noteOverlap(earlier, a *attempt) {
	if earlier.ended || a.sent.at >= earlier.deadline()-r.header.Slack {
		return
	}
	o := overlap{earlier, a}
	if sentBefore := earlier.sent.at + r.header.Slack; a.id < earlier.id && r.report.inTime(a.sent, sentBefore-1) {
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
