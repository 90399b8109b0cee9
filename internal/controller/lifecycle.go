package controller

import (
	"fmt"

	"glenport/scheduler"
)

// lifecycle changes the state of replicas. It has a method for each event of a replica. Each method moves the
// replica to one of the states that transitions allows.
type lifecycle struct {
	clock      *clock
	sequence   *sequence
	random     *randomSource
	classes    workloadClasses
	jobs       *jobRegistry
	schedulers *schedulerSet
	requests   *requestTable
	timers     *timerQueue
	orphans    *orphanTable
	outbox     *outbox
}

// enter changes the state of a replica. The next step of the new state is due after a delay; with noTimer there is no
// next step. It returns false if the state machine does not allow the transition.
func (l *lifecycle) enter(r *replica, event replicaEvent, to replicaState, delay scheduler.Time, status string) bool {
	if err := r.transition(event, to); err != nil {
		l.outbox.emit(TransitionRejected{err})
		return false
	}
	r.enteredStateAt, r.lastStatus = l.clock.now(), status
	r.nextStepAt = l.timers.set(r, delay)
	l.outbox.markChanged(r)
	return true
}

// enterPending schedules, after a delay, the placement request of a replica, or its lookup if the replica is sticky.
func (l *lifecycle) enterPending(r *replica, event replicaEvent, delay scheduler.Time, status string) {
	r.machine, r.wasRefused = "", false
	l.enter(r, event, replicaPending, delay, status)
}

// complete marks a replica as completed. It is not started again.
func (l *lifecycle) complete(r *replica, event replicaEvent, status string) {
	r.machine = ""
	l.enter(r, event, replicaCompleted, noTimer, status)
}

// remove removes a replica that has ended and was no longer wanted. If its job wants a replica with this index again by
// now, a new replica is created in its place.
func (l *lifecycle) remove(r *replica, event replicaEvent) {
	if err := r.transition(event, replicaRemoved); err != nil {
		l.outbox.emit(TransitionRejected{err})
		return
	}
	l.timers.cancel(r)
	l.requests.close(r)
	l.outbox.emit(ContainerRemoved{r.job.id, r.index})
	if r.index < r.job.count {
		l.create(r.job, r.index)
	}
	l.jobs.trim(r.job)
}

// create adds a new replica to a job, in place of a removed one if there is one.
func (l *lifecycle) create(j *job, index int) {
	r := newReplica(j, index)
	j.replicas[index] = r
	l.renewIdempotencyKey(r)
	l.enterPending(r, eventCreated, l.random.jitter(restartDelay), statusNotRequested)
}

// renewIdempotencyKey gives a replica a new idempotency key, which separates its next container from earlier ones. It
// is called if the container under the old key has certainly ended, or if its work may run twice.
func (l *lifecycle) renewIdempotencyKey(r *replica) {
	r.idempotencyKey = fmt.Sprintf("%s/%d/%d", r.job.id, r.index, l.sequence.next())
	r.keyUse = keyUnused
}

// handleTimer takes the step that follows the delay of a replica's state.
func (l *lifecycle) handleTimer(r *replica) {
	switch r.state {
	case replicaPending:
		l.request(r)
	case replicaFencing:
		l.endFencing(r)
	case replicaUnobserved:
		l.handleUnobservedTimeout(r)
	case replicaCreated, replicaPlacing, replicaLookingUp, replicaCancelling, replicaRunning, replicaCompleted,
		replicaRemoved: // these have no timer
	}
}

// handleEnd handles the end of a container that a scheduler had accepted or was asked to cancel.
func (l *lifecycle) handleEnd(r *replica, e ContainerEnded) {
	if !r.expectsEnd() {
		return
	}
	machineLost := e.Outcome == scheduler.OutcomeLost && e.Reason == scheduler.ReasonNone
	if machineLost && !l.classes.idempotent(r.job) {
		l.fence(r, eventEnded, statusMachineLostMayRun)
		return
	}
	l.requests.close(r)
	if r.terminating {
		l.remove(r, eventEnded)
		return
	}
	l.renewIdempotencyKey(r)
	r.beingReplaced = false
	switch {
	case e.Outcome == scheduler.OutcomeFinished && r.job.spec.RunOnce:
		l.complete(r, eventEnded, statusFinished)
	case e.Reason == scheduler.ReasonOutOfMemory:
		l.enterPending(r, eventEnded, l.random.backoff(r.attempts, 0), statusOutOfMemory)
	case machineLost:
		l.enterPending(r, eventEnded, l.random.jitter(2*restartDelay), statusMachineLost)
	default:
		l.enterPending(r, eventEnded, l.random.jitter(2*restartDelay), outcomeStatus(e))
	}
}
