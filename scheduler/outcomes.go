package scheduler

import "log/slog"

// outcomeRecorder records the outcomes of attempts as evidence about machines, traffic classes and room.
type outcomeRecorder struct {
	outliers    *outlierDetector
	classes     *classFailureDetector
	shedder     *loadShedder
	eligibility *eligibility
	actions     *actionBuffer
}

// recordAccepted records an acceptance as a success of the machine. The acceptance also shows that earlier failures of
// the container were caused by the machines, so the failures count against these machines.
func (r *outcomeRecorder) recordAccepted(c *container, now Time) {
	c.machine.contact.recordContact(now)
	r.attributeFailures(c, now)
	r.shedder.recordRoom(now)
	r.outliers.recordSuccess(c.machine)
	r.classes.record(c, c.machine, attemptAnswered, now)
}

// recordEnded records the outcome of an attempt as evidence about its machine.
func (r *outcomeRecorder) recordEnded(a endedAttempt, e AttemptEnded, now Time) {
	unanswered := a.silent && !a.accepted
	switch e.Outcome {
	case OutcomeFinished:
		a.machine.contact.recordContact(now)
	case OutcomeFull:
		r.recordFull(a, e.Reason, now)
	case OutcomeConnectFailed:
		r.outliers.recordFailure(a.machine, now)
	case OutcomeErrored:
		if !a.accepted {
			a.container.holdBackFailure(unattributedFailure{machine: a.machine, sentAt: a.sentAt, silent: a.silent})
		}
	case OutcomeTimedOut:
		if unanswered {
			r.outliers.recordFailure(a.machine, now)
		} else if !a.accepted {
			r.classes.record(a.container, a.machine, attemptLost, now)
		}
	case OutcomeLost:
		if unanswered || e.Reason == ReasonNone {
			r.outliers.recordFailure(a.machine, now)
		}
	case OutcomeStopped, OutcomeNotSent: // not caused by the machine
	default:
	}
}

// recordFull records a refusal, which shows that the machine responds. A refusal without a reason counts as a loss of
// the container's traffic classes if the machine has room according to the machine list.
func (r *outcomeRecorder) recordFull(a endedAttempt, reason Reason, now Time) {
	a.machine.contact.recordContact(now)
	if reason == ReasonNoCores || reason == ReasonNoMemory {
		r.shedder.recordNoRoom(a.container, now)
	}
	r.outliers.recordSuccess(a.machine)
	if reason == ReasonNone && r.eligibility.listHasRoom(a.container, a.machine) {
		r.classes.record(a.container, a.machine, attemptLost, now)
	}
}

// recordAnswered is called when a client is answered because no machine is left to try. If the container failed on one
// machine only, the failure counts against that machine. If the container failed on several machines, it is assumed to
// be faulty itself.
func (r *outcomeRecorder) recordAnswered(c *container, now Time) {
	if c.failedOnce() {
		r.attributeFailures(c, now)
	}
}

// attributeFailures counts the failures that were held back against their machines. Failures on earlier incarnations of
// the machines are ignored.
func (r *outcomeRecorder) attributeFailures(c *container, now Time) {
	for _, f := range c.takeFailures() {
		switch {
		case f.sentAt < f.machine.listing.startedAt:
		case f.silent:
			r.outliers.recordFailure(f.machine, now)
		default:
			r.classes.record(c, f.machine, attemptLost, now)
		}
	}
}

// recordSelfDraining records a sign that a machine drains itself, which excludes it from every draw for
// selfDrainingTime.
func (r *outcomeRecorder) recordSelfDraining(m *machine, now Time) {
	if m.selfDrain.extend(now) {
		excluded := slog.Int64("excluded_ms", int64(selfDrainingTime/Millisecond))
		r.actions.logMachine("machine drains itself", m, excluded)
	}
}
