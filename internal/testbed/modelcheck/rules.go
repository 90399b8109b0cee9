package modelcheck

import (
	"fmt"

	"glenport/internal/testbed/audit"
	"glenport/scheduler"
)

// ObserveAction updates the state by an action of a scheduler and checks the rules on it.
func (c *Checker) ObserveAction(index int, now scheduler.Time, action scheduler.Action) {
	in := c.incarnations[index]
	switch action := action.(type) {
	case scheduler.StartAttempt:
		c.checkAttempt(in, now, action)
	case scheduler.Probe:
		c.checkSlowStart(in, action.Machine, now)
	case scheduler.Reject:
		c.checkReject(in, action.ID)
	case scheduler.Fail:
		c.recordReply(in, action.ID)
	}
}

// CheckDeadlines checks that no reply is overdue.
func (c *Checker) CheckDeadlines(now scheduler.Time) {
	for _, in := range c.incarnations {
		for id, container := range in.containers {
			if !container.replied && now > container.request.Deadline+c.config.AnswerGrace {
				late := (now - container.request.Deadline) / scheduler.Millisecond
				c.violate(audit.RuleFinalReply, "%s has no reply %d ms after the deadline", id, late)
				container.replied = true
			}
		}
	}
}

// checkReject checks that no attempt of a rejected container may have run, unless the container may run again anywhere.
func (c *Checker) checkReject(in *incarnation, id scheduler.ContainerID) {
	container, due := c.recordReply(in, id)
	if !due {
		return
	}
	class := c.config.WorkloadClasses[container.request.WorkloadClass]
	safe := class.Idempotency == scheduler.Idempotent ||
		class.Idempotency == scheduler.IdempotentWithKey && class.DedupScope == scheduler.ScopeFleet
	if safe {
		return
	}
	for _, attempt := range container.attempts {
		if attempt.outstanding || attempt.mayRun {
			c.violate(audit.RuleDuplicateRun, "%s is rejected but may run on %s", id, attempt.machine)
		}
	}
}

// recordReply checks that a final reply is due, and records it.
func (c *Checker) recordReply(in *incarnation, id scheduler.ContainerID) (found *container, due bool) {
	found = in.containers[id]
	if found == nil || found.replied {
		c.violate(audit.RuleFinalReply, "%s gets a reply but none is due", id)
		return nil, false
	}
	found.replied, found.closed = true, true
	return found, true
}

func (c *Checker) checkAttempt(in *incarnation, now scheduler.Time, start scheduler.StartAttempt) {
	container, m := in.containers[start.ID], in.machines[start.Machine]
	if container == nil || container.replied || container.closed {
		c.violate(audit.RuleFinalReply, "%s is offered to %s without an open request", start.ID, start.Machine)
		return
	}
	if m == nil {
		c.violate(audit.RuleDraining, "%s is offered to %s, which no machine list names", start.ID, start.Machine)
		return
	}
	c.attemptsChecked++
	if m.unavailableSince > 0 && now > m.unavailableSince+c.drainGrace {
		c.violate(audit.RuleDraining, "%s is offered to %s, known for %d ms to be draining or gone",
			start.ID, start.Machine, (now-m.unavailableSince)/scheduler.Millisecond)
	}
	next := &attempt{machine: start.Machine, sentAt: now, outstanding: true}
	next.setLocation(m)
	c.checkIdempotency(start.ID, container, next)
	container.attempts = append(container.attempts, next)
	c.checkSlowStart(in, start.Machine, now)
	c.checkSpread(in, start.ID, container, next)
}

// checkIdempotency checks an attempt against the earlier ones of its container.
func (c *Checker) checkIdempotency(id scheduler.ContainerID, container *container, next *attempt) {
	var firstRun *attempt // the first attempt that may have run
	for _, earlier := range container.attempts {
		if earlier.machine == next.machine {
			c.Violations = append(c.Violations, fmt.Sprintf("placement: %s is offered to %s again", id, next.machine))
		}
		if earlier.outstanding {
			c.violate(audit.RuleDuplicateRun, "%s is offered to %s while its attempt at %s is outstanding",
				id, next.machine, earlier.machine)
		}
		if earlier.mayRun && firstRun == nil {
			firstRun = earlier
		}
	}
	class := c.config.WorkloadClasses[container.request.WorkloadClass]
	switch {
	case firstRun == nil || class.Idempotency == scheduler.Idempotent:
	case class.Idempotency == scheduler.AtMostOnce:
		c.violate(audit.RuleDuplicateRun, "%s is offered to %s but may have run on %s",
			id, next.machine, firstRun.machine)
	case !next.sharesScope(firstRun, class.DedupScope) || next.sentAt >= firstRun.sentAt+class.DedupWindow:
		c.violate(audit.RuleDuplicateRun, "%s is offered to %s, outside the deduplication scope or window of %s",
			id, next.machine, firstRun.machine)
	}
}

// checkSpread checks how many containers of a service are in the scope of a new attempt. The new attempt is already in
// the list of attempts of its container.
func (c *Checker) checkSpread(in *incarnation, id scheduler.ContainerID, container *container, next *attempt) {
	class := c.config.WorkloadClasses[container.request.WorkloadClass]
	if class.SpreadScope == scheduler.ScopeNone {
		return
	}
	service, count := container.request.Service, 0
	for _, other := range in.containers {
		if other.request.Service != service {
			continue
		}
		for _, attempt := range other.attempts {
			if attempt.outstanding && attempt.sharesScope(next, class.SpreadScope) {
				count++
			}
		}
	}
	if count > class.MaxPerScope {
		c.violate(audit.RuleSpread, "%s is offered to %s: %d of service %s in its scope, limit %d",
			id, next.machine, count, service, class.MaxPerScope)
	}
}

// checkSlowStart records an offer or a probe, and checks it against the slow-start budget if the sender knows of the
// machine's start. Everything that the sender has sent since the start counts. What another scheduler sent counts if
// that scheduler knew of the slow start when it sent.
func (c *Checker) checkSlowStart(in *incarnation, id scheduler.MachineID, now scheduler.Time) {
	m := in.machines[id]
	knows := m != nil && m.StartedAt > 0 && now < m.StartedAt+c.config.SlowStartPeriod
	in.sent[id] = append(in.sent[id], recordedSend{now, knows})
	if !knows {
		return
	}
	count := 0
	for _, other := range c.incarnations {
		for _, send := range other.sent[id] {
			inWindow := send.at > now-c.config.SlowStartWindow && send.at >= m.StartedAt
			if inWindow && (send.knewSlowStart || other == in) {
				count++
			}
		}
	}
	if count > c.config.SlowStartBudget {
		c.violate(audit.RuleSlowStart, "%s in slow start gets %d offers and probes in a window, budget %d",
			id, count, c.config.SlowStartBudget)
	}
}
