package platform

import (
	"glenport/internal/eventloop"
	"glenport/scheduler"
)

// attempt is one try to start a container on a machine. It waits for a connection, then for the answer to its offer;
// once the machine has accepted it, it stands for the running container. Invariant: every attempt has exactly one
// outcome, reported by finish.
type attempt struct {
	env       *environment
	container *container
	number    int // within its container, from 0
	machine   *machine
	conn      *machineConn // nil for a container that was adopted, or before there is a connection
	state     attemptState
	createdAt eventloop.Tick
	deadline  eventloop.Tick
	timer     *eventloop.Timer // fires at the deadline

	machineStart    scheduler.Time // of the machine's incarnation, when the attempt was decided
	adoptionsBefore int            // when the attempt was decided
}

// id is the identifier of the container.
func (a *attempt) id() scheduler.ContainerID { return a.container.request.ID }

// hasKey reports whether the container was requested with an idempotency key.
func (a *attempt) hasKey(key string) bool { return a.container.request.IdempotencyKey == key }

// usesConn reports whether the attempt waits for a connection or is pending on it.
func (a *attempt) usesConn(mc *machineConn) bool { return a.conn == mc }

// createdAtOrBefore reports whether the attempt was made up to a point in time.
func (a *attempt) createdAtOrBefore(moment eventloop.Tick) bool { return a.createdAt <= moment }

// start makes the attempt pending. It ends at its deadline at the latest.
func (a *attempt) start() {
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

// isStale reports whether what the attempt was decided on has changed: the machine has stopped taking new containers or
// has started anew, or more containers of the service were found running.
func (a *attempt) isStale() bool {
	return !a.machine.isServing() || a.machine.startedAt != a.machineStart ||
		a.env.adoptions.Since(a.container.request.Service, a.adoptionsBefore)
}

// connEstablished sends the offer, unless the attempt has ended or is stale, in which case the scheduler decides again
// by what it knows now, or less time is left than an offer can state. A machine counts the time from when it receives
// the offer, so that it is what is left now and not at the start of the iteration, which may be long past where the
// process was not run. It may be over: timers run later in an iteration than connections.
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

// deadlinePassed ends a pending attempt. One that was never sent has waited for its connection.
func (a *attempt) deadlinePassed() {
	if a.state == attemptConnecting {
		a.finish(scheduler.AttemptEnded{Outcome: scheduler.OutcomeConnectFailed})
		return
	}
	a.cancel(scheduler.AttemptEnded{Outcome: scheduler.OutcomeTimedOut})
}

// cancel ends a pending attempt with an outcome, and cancels its offer at the machine if that was sent.
func (a *attempt) cancel(ended scheduler.AttemptEnded) {
	if a.awaitsAnswer() {
		a.conn.send(cancelMessage(a.id()))
	}
	a.finish(ended)
}

// accept marks the container as running after its machine accepted the offer, and answers the request.
func (a *attempt) accept(accepted offerAccepted) error {
	if len(accepted.description) == 0 {
		return errNoDescription
	}
	if a.machine.isGone() {
		// Invariant: no container counts as running at a machine that is gone. The accept was sent before it went.
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

// handleEnd handles the end that the machine reports: of the running container, or of the pending attempt that it rejects.
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

// connClosed ends a pending attempt whose connection is closed. A container whose offer was never sent never ran; one
// whose offer was sent may have run.
func (a *attempt) connClosed(notSent scheduler.Outcome, err error) {
	outcome := notSent
	if a.isOffered() {
		a.env.log.Debug("attempt lost with its connection",
			"request_id", a.id(), "machine", a.machine.id, "error", err)
		outcome = scheduler.OutcomeLost
		a.container.recordLostOffer(a.machine)
	}
	a.finish(scheduler.AttemptEnded{Outcome: outcome, Final: a.container.isAnswered()})
}

// terminate forwards a client's order to end the running container, once. Its machine reports the end later.
func (a *attempt) terminate(cause terminationCause) {
	repeated := a.state == attemptTerminating
	if a.transition(terminationRequested) != nil || repeated {
		return
	}
	a.sendTermination(cause)
}

// sendTermination orders the machine to end the running container. Without a connection it is retried every maintenance
// interval until the container has ended.
func (a *attempt) sendTermination(cause terminationCause) {
	if !a.machine.hasAddr() || a.state == attemptFinished {
		return
	}
	if !a.machine.send(machineTerminationMessage(a.id(), cause)) {
		a.env.loop.After(maintenanceInterval, func() { a.sendTermination(cause) })
	}
}

// finishUnaccepted ends a container whose machine evicted, preempted or drained it before its accept was read. Machines
// do that to running containers only, so the accept is late or lost. The request fails: a retry would continue with a
// container that machine and platform count as ended.
func (a *attempt) finishUnaccepted(ended scheduler.AttemptEnded) {
	ended.Final = true
	a.finish(ended)
	a.container.answer(failMessage(a.id()))
}

// finishRunning ends a running container. A client is notified, unless a client has ended the container.
func (a *attempt) finishRunning(cause terminationCause, ended scheduler.AttemptEnded) {
	endedByClient := a.state == attemptTerminating || cause == causeCancelled
	ended.Final = true
	a.finish(ended)
	if !endedByClient {
		a.container.notifyTerminated(cause)
	}
}

// finish ends the attempt with its one outcome. Identifiers and the elapsed time are filled in.
func (a *attempt) finish(ended scheduler.AttemptEnded) {
	wasRunning := a.isRunning()
	if a.transition(outcomeKnown) != nil {
		return
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

// releaseRunning removes a running container from the connection that carried its offer and from its machine.
func (a *attempt) releaseRunning() {
	a.machine.removeAttempt(a.id())
	if a.conn != nil {
		a.conn.containerEnded()
	}
	a.machine.containerEnded(a.container)
}
