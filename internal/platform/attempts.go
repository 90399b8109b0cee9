package platform

import (
	"glenport/internal/eventloop"
	"glenport/internal/platform/connmanager"
	"glenport/scheduler"
)

// attempt is one try to start a container on a machine. It waits for a connection, then for the answer to its offer.
// Once the machine has accepted the offer, the attempt represents the running container. Invariant: every attempt has
// exactly one outcome, reported by finish.
type attempt struct {
	env       *environment
	container *container
	number    int // index among the attempts of its container, from 0
	machine   *machine
	conn      *machineConn // nil for an adopted container, and until a connection is acquired
	state     attemptState
	createdAt eventloop.Tick
	deadline  eventloop.Tick
	timer     *eventloop.Timer // fires at the deadline

	machineStart    scheduler.Time // start of the machine's incarnation when the scheduler decided on the attempt
	adoptionsBefore int            // number of adoptions when the scheduler decided on the attempt
}

// id is the identifier of the container.
func (a *attempt) id() scheduler.ContainerID { return a.container.request.ID }

// hasKey reports whether the container was requested with an idempotency key.
func (a *attempt) hasKey(key string) bool { return a.container.request.IdempotencyKey == key }

// usesConn reports whether the attempt waits for a connection, or has sent its offer on it.
func (a *attempt) usesConn(mc *machineConn) bool { return a.conn == mc }

// createdAtOrBefore reports whether the attempt was created at or before a point in time.
func (a *attempt) createdAtOrBefore(moment eventloop.Tick) bool { return a.createdAt <= moment }

// start acquires a connection for the attempt. The attempt ends at its deadline at the latest.
func (a *attempt) start() {
	a.env.cancels.Discard(a.machine.cancelFor(a.id())) // of an earlier attempt at the machine
	a.machine.addAttempt(a)
	if !a.machine.hasAddr() {
		a.finish(scheduler.AttemptEnded{Outcome: scheduler.OutcomeNotSent})
		return
	}
	a.timer = a.env.loop.After(a.deadline-a.createdAt, a.deadlinePassed)
	if a.conn = a.machine.conns.acquire(); a.conn == nil {
		a.finish(scheduler.AttemptEnded{Outcome: scheduler.OutcomeNotSent})
		return
	}
	a.conn.addAttempt(a)
	a.conn.whenEstablished(a.connEstablished)
}

// isStale reports whether the information that the scheduler decided on is outdated: since then the machine has stopped
// accepting new containers or has restarted, or further containers of the service were adopted.
func (a *attempt) isStale() bool {
	return !a.machine.isServing() || a.machine.startedAt != a.machineStart ||
		a.env.adoptions.Since(a.container.request.Service, a.adoptionsBefore)
}

// connEstablished sends the offer, unless the attempt has ended. A stale attempt ends as not sent, so that the
// scheduler decides again with current information. An attempt that has less time left than an offer can state ends as
// not sent too.
//
// A machine counts the time left from the receipt of the offer. The time left is therefore calculated from the clock:
// the start of the iteration may be long past if the process was not run for a while. The deadline may even have
// passed, because timers run later in an iteration than connections.
func (a *attempt) connEstablished() {
	if a.state == attemptFinished {
		return
	}
	left := a.deadline - a.env.loop.ReadClock()
	if left < eventloop.Millisecond || a.isStale() || !a.conn.send(offerMessage(a.container, left)) {
		a.finish(scheduler.AttemptEnded{Outcome: scheduler.OutcomeNotSent})
		return
	}
	_ = a.transition(offerSent) // logged
}

// deadlinePassed ends a pending attempt. If its offer was never sent, the attempt was still waiting for its connection.
func (a *attempt) deadlinePassed() {
	if a.state == attemptConnecting {
		a.finish(scheduler.AttemptEnded{Outcome: scheduler.OutcomeConnectFailed})
		return
	}
	a.cancel(scheduler.AttemptEnded{Outcome: scheduler.OutcomeTimedOut})
}

// cancel ends a pending attempt with an outcome. If the offer was sent, it is cancelled at the machine.
func (a *attempt) cancel(ended scheduler.AttemptEnded) {
	if a.awaitsAnswer() {
		a.cancelOffer()
	}
	a.finish(ended)
}

// cancelOffer cancels the offer on its connection. The machine may have accepted it already, and the container then
// belongs to no connection. The cancel is therefore sent again if the connection fails.
func (a *attempt) cancelOffer() {
	now, cancel := connmanager.Time(a.env.loop.Now()), a.machine.cancelFor(a.id())
	var carriedBy connmanager.MachineConnID
	if a.conn.send(cancelMessage(a.id())) {
		carriedBy = a.conn.id
	}
	a.env.cancels.Add(now, cancel)
	a.env.cancels.RecordTry(now, cancel, carriedBy)
}

// accept marks the container as running after its machine accepted the offer, and answers the request.
func (a *attempt) accept(accepted offerAccepted) error {
	if len(accepted.description) == 0 {
		return errNoDescription
	}
	if a.machine.isGone() {
		// Invariant: no container counts as running at a machine that is gone. The accept was sent before that.
		a.cancel(scheduler.AttemptEnded{Outcome: scheduler.OutcomeLost})
		return nil
	}
	if err := a.transition(offerWasAccepted); err != nil {
		return err
	}
	id := a.id()
	a.env.loop.Cancel(a.timer)
	a.conn.attemptAccepted(id)
	a.container.markAccepted(a.machine)
	a.machine.containerStarted(a.container)
	a.env.notifyScheduler(scheduler.AttemptAccepted{
		ID:      id,
		Attempt: a.number,
		Machine: a.machine.id,
		Elapsed: a.env.elapsedSince(a.createdAt),
	})
	a.container.answer(acceptMessage(id, accepted.description))
	return nil
}

// handleEnd handles an end that the machine reports: the end of the running container, or the rejection of the pending
// attempt.
func (a *attempt) handleEnd(event containerEnded) {
	ended := scheduler.AttemptEnded{Reason: event.reason, Report: event.report}
	if a.isRunning() {
		ended.Outcome = event.cause.outcomeAfterAccept()
		a.finishRunning(event.cause, ended)
		return
	}
	ended.Outcome = event.cause.outcomeBeforeAccept()
	if ended.Outcome == scheduler.OutcomeLost && ended.Reason >= scheduler.ReasonOutOfMemory {
		a.finishUnaccepted(ended)
		return
	}
	a.finish(ended)
}

// connClosed ends a pending attempt whose connection is closed. If the offer was never sent, the container has not run,
// and the attempt ends with unsentOutcome. If it was sent, the container may have run.
func (a *attempt) connClosed(unsentOutcome scheduler.Outcome, err error) {
	outcome := unsentOutcome
	if a.isOffered() {
		a.env.log.Debug("attempt lost: machine connection closed",
			"request_id", a.id(), "machine", a.machine.id, "error", err)
		outcome = scheduler.OutcomeLost
		a.container.recordLostOffer(a.machine)
	}
	a.finish(scheduler.AttemptEnded{Outcome: outcome, Final: a.container.isAnswered()})
}

// terminate forwards a client's order to end the running container to its machine. The termination is pending until the
// container has ended: it is sent again until the machine reports the end.
func (a *attempt) terminate(cause terminationCause) {
	repeated := a.state == attemptTerminating
	if a.transition(terminationRequested) != nil {
		return
	}
	now := connmanager.Time(a.env.loop.Now())
	if repeated {
		a.env.cancels.Repeat(now, a.termination())
		return
	}
	a.env.cancels.AddTermination(now, a.termination(), int(cause))
	a.machine.sendCancel(connmanager.DueCancel{Cancel: a.termination()})
}

// termination returns the order to end the running container.
func (a *attempt) termination() connmanager.Cancel { return a.machine.cancelFor(a.id()) }

// finishUnaccepted ends a container that its machine evicted, preempted or drained before the accept was read. A
// machine does so only with a running container, so the accept is late or lost. The request fails, because a retry
// would continue with a container that machine and platform count as ended.
func (a *attempt) finishUnaccepted(ended scheduler.AttemptEnded) {
	ended.Final = true
	a.finish(ended)
	a.container.answer(failMessage(a.id()))
}

// finishRunning ends a running container. A client is notified, unless a client ordered the end.
func (a *attempt) finishRunning(cause terminationCause, ended scheduler.AttemptEnded) {
	endedByClient := a.state == attemptTerminating || cause == causeCancelled
	ended.Final = true
	a.finish(ended)
	if !endedByClient {
		a.container.notifyTerminated(cause)
	}
}

// finish ends the attempt with its only outcome. It fills in the identifiers and the elapsed time.
func (a *attempt) finish(ended scheduler.AttemptEnded) {
	wasRunning, wasTerminating := a.isRunning(), a.state == attemptTerminating
	if a.transition(outcomeKnown) != nil {
		return
	}
	if wasTerminating {
		a.env.cancels.Release(a.termination())
	}
	a.env.loop.Cancel(a.timer)
	if wasRunning {
		a.releaseRunning()
	} else {
		a.releasePending()
	}
	ended.ID, ended.Attempt, ended.Machine = a.id(), a.number, a.machine.id
	ended.Elapsed = a.env.elapsedSince(a.createdAt)
	a.env.notifyScheduler(ended)
	a.container.attemptFinished()
	a.machine.evictIfGone()
}

// releasePending removes a pending attempt from its connection and its machine.
func (a *attempt) releasePending() {
	if a.conn != nil {
		a.conn.removeAttempt(a.id())
	}
	a.machine.removeAttempt(a.id())
}

// releaseRunning removes a running container from the connection on which it was offered and from its machine.
func (a *attempt) releaseRunning() {
	a.machine.removeAttempt(a.id())
	if a.conn != nil {
		a.conn.containerEnded()
	}
	a.machine.containerEnded(a.container)
}
