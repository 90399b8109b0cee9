package scheduler

import "log/slog"

// outcomeRecorder takes the outcomes of attempts as evidence on machines, traffic classes and room.
type outcomeRecorder struct {
	outliers    *outlierDetector
	classes     *classFailureDetector
	shedder     *loadShedder
	eligibility *eligibility
	actions     *actionBuffer
}

// recordAccepted counts in favor of the container's machine, and against those where it failed before.
func (r *outcomeRecorder) recordAccepted(c *container, now Time) {
	c.machine.contact.recordContact(now)
	r.attributeFailures(c, now)
	r.shedder.recordRoom(now)
	r.outliers.recordSuccess(c.machine)
	r.classes.record(c, c.machine, attemptAnswered, now)
}

// recordEnded takes the outcome of an attempt as evidence on its machine.
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
	case OutcomeStopped, OutcomeNotSent: // the machine had no part in it
	default:
	}
}

// recordFull counts a refusal as a sign of life. Without a reason, though the list has room, it is a loss of the
// container's traffic classes.
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

// recordAnswered is called when a container is answered without a machine. An error that stayed the only one counts
// against its machine: a container that failed on several machines is itself taken as faulty.
func (r *outcomeRecorder) recordAnswered(c *container, now Time) {
	if c.failedOnce() {
		r.attributeFailures(c, now)
	}
}

// attributeFailures counts the errors that were held back against their machines, but for earlier incarnations.
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

// recordSelfDraining excludes a machine from every draw for a while.
func (r *outcomeRecorder) recordSelfDraining(m *machine, now Time) {
	if m.selfDrain.extend(now) {
		excluded := slog.Int64("excluded_ms", int64(selfDrainingTime/Millisecond))
		r.actions.logMachine("machine drains itself", m, excluded)
	}
}
