package audit

import "glenport/scheduler"

// overlap is an attempt that was sent while the one before it seems to be in flight. A scheduler that resets a
// connection sends the next attempt in the same moment, over another connection; which of the two the recording shows
// first is chance. So an overlap is checked only once the slack is over, and of two attempts sent that close to each
// other the one of the lower id went first.
type overlap struct{ first, second *attempt }

// checkOverlaps checks the overlaps for which the slack is over by now.
func (c *checker) checkOverlaps(now scheduler.Time) {
	for len(c.overlaps) > 0 {
		o := c.overlaps[0]
		if now <= max(o.first.sent, o.second.sent)+c.header.Slack {
			return
		}
		c.overlaps = c.overlaps[1:]
		if !o.first.ended {
			c.violate(RuleDuplicateRun, o.second.sent, []string{o.first.text, o.second.text},
				"container %s has two attempts in flight", o.second.spec.ContainerID)
		}
	}
}

// checkRetry holds an attempt against the earlier ones of its request: one that may have run limits where and when the
// container may run again.
func (c *checker) checkRetry(s *schedulerState, r *request, a *attempt, class scheduler.WorkloadClass) {
	for _, earlier := range r.attempts {
		if earlier.neverRan {
			continue
		}
		c.noteOverlap(earlier, a)
		evidence := []string{earlier.text, a.text}
		switch class.Idempotency {
		case scheduler.AtMostOnce:
			c.violate(
				RuleDuplicateRun,
				c.now,
				evidence,
				"at-most-once container %s is offered again though it may have run",
				r.container,
			)
		case scheduler.IdempotentWithKey:
			if !c.sameScope(s, earlier.machine, a.machine, class.DedupScope) {
				c.violate(
					RuleDuplicateRun,
					c.now,
					evidence,
					"container %s leaves the scope that deduplicates its key",
					r.container,
				)
			} else if c.now > earlier.sent+class.DedupWindow+c.header.Slack {
				c.violate(
					RuleDuplicateRun,
					c.now,
					evidence,
					"container %s is offered after the deduplication window of its key",
					r.container,
				)
			}
		}
	}
}

func (c *checker) noteOverlap(earlier, a *attempt) {
	if earlier.ended || c.now >= earlier.deadline-c.header.Slack {
		return
	}
	o := overlap{earlier, a}
	if a.id < earlier.id && c.now < earlier.sent+c.header.Slack {
		o = overlap{a, earlier}
	}
	c.overlaps = append(c.overlaps, o)
}

// checkRanOnce checks that no other attempt with the idempotency key of an at-most-once container ran, whichever
// scheduler sent it. The function same reports whether the attempt that ran before is this one.
func (c *checker) checkRanOnce(a *attempt, same func(earlier *attempt) bool) {
	class, known := c.workloadClass(a.spec.WorkloadClass)
	if !known || class.Idempotency != scheduler.AtMostOnce {
		return
	}
	key := a.spec.IdempotencyKey
	if earlier := c.ran[key]; earlier != nil && !same(earlier) {
		c.violate(RuleDuplicateRun, c.now, []string{earlier.text, a.text}, "at-most-once key %s ran twice", key)
	}
	c.ran[key] = a
}

// checkRejectIsSafe checks a reject: the client may submit the container again, anywhere.
func (c *checker) checkRejectIsSafe(r *request, reply string) {
	class, known := c.workloadClass(r.spec.WorkloadClass)
	if !known || mayRunAnywhereAgain(class) {
		return
	}
	for _, a := range r.attempts {
		if !a.neverRan {
			c.violate(
				RuleDuplicateRun,
				c.now,
				[]string{a.text, reply},
				"container %s is rejected though it may have run",
				r.container,
			)
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
