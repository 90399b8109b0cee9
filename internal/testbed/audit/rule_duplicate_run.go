package audit

import (
	"glenport/internal/testbed/faultproxy"
	"glenport/scheduler"
)

// duplicateRunRule checks that no container runs twice unless its workload class allows it.
type duplicateRunRule struct {
	report    *reporter
	header    *faultproxy.Header
	locations machineLocations
	ranByKey  map[string]*attempt // attempts whose at-most-once container ran, by idempotency key
	overlaps  []overlap
}

// overlap is a pair of attempts of one request. According to the recording, the second was sent while the first was in
// flight. A scheduler that resets a connection sends the next attempt at the same time over another connection, and the
// recording may show the two events in either order. An overlap is therefore checked only at the end of the recording,
// when it is known whether the first attempt ended within the slack. Of two attempts sent within the slack of each
// other, the one with the lower id counts as the first.
type overlap struct{ first, second *attempt }

func newDuplicateRunRule(
	report *reporter, header *faultproxy.Header, locations machineLocations,
) *duplicateRunRule {
	return &duplicateRunRule{report: report, header: header, locations: locations, ranByKey: map[string]*attempt{}}
}

// violate reports a violation of this rule, with the two frames that show it.
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

// firstTimedOut reports whether the first attempt, given the lag of its entry, may have timed out before the second was
// sent.
func (r *duplicateRunRule) firstTimedOut(o overlap) bool {
	return o.first.sent.entry < o.second.sent.entry && r.report.timedOut(o.first, o.second.sent.at+r.header.Slack)
}

// checkRetry checks a new attempt against the earlier ones of its request: an earlier attempt that may have run limits
// where and when the container may run again.
func (r *duplicateRunRule) checkRetry(s *schedulerState, req *request, a *attempt, class scheduler.WorkloadClass) {
	for _, earlier := range req.attempts {
		if earlier.neverRan {
			continue
		}
		r.recordOverlap(earlier, a)
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

// checkDeduplicated checks that the new attempt lies within the scope and the window in which machines deduplicate the
// key of the earlier attempt.
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

func (r *duplicateRunRule) recordOverlap(earlier, a *attempt) {
	if earlier.ended || a.sent.at >= earlier.deadline()-r.header.Slack {
		return
	}
	o := overlap{earlier, a}
	if sentBefore := earlier.sent.at + r.header.Slack; a.id < earlier.id && r.report.inTime(a.sent, sentBefore-1) {
		o = overlap{a, earlier}
	}
	r.overlaps = append(r.overlaps, o)
}

// checkAtMostOnce checks that no other attempt with the idempotency key of an at-most-once container ran, whichever
// scheduler sent it. The function same reports whether an attempt that is known to have run is attempt a itself.
func (r *duplicateRunRule) checkAtMostOnce(a *attempt, now scheduler.Time, same func(earlier *attempt) bool) {
	class, known := workloadClass(r.header, a.spec.WorkloadClass)
	if !known || class.Idempotency != scheduler.AtMostOnce {
		return
	}
	key := a.spec.IdempotencyKey
	if earlier := r.ranByKey[key]; earlier != nil && !same(earlier) {
		r.violate(now, earlier.text, a.text, "at-most-once key %s ran twice", key)
	}
	r.ranByKey[key] = a
}

// checkReject checks that no attempt of a rejected container may have run, unless the container may run again anywhere:
// after a reject the client may submit it to any scheduler.
func (r *duplicateRunRule) checkReject(req *request, now scheduler.Time, reply string) {
	class, known := workloadClass(r.header, req.spec.WorkloadClass)
	if !known || mayRerunAnywhere(class) {
		return
	}
	for _, a := range req.attempts {
		if !a.neverRan {
			r.violate(now, a.text, reply, "container %s is rejected though it may have run", req.container)
			return
		}
	}
}

func mayRerunAnywhere(class scheduler.WorkloadClass) bool {
	switch class.Idempotency {
	case scheduler.AtMostOnce:
		return false
	case scheduler.IdempotentWithKey:
		return class.DedupScope == scheduler.ScopeFleet
	default:
		return true
	}
}
