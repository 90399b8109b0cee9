package controller

import (
	"fmt"

	"glenport/scheduler"
)

// lifecycle takes the steps of replicas: each event about a replica has a method, which ends in the states that
// transitions allows.
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

// enter takes a replica to a state for a delay, or without end for noTimer.
func (l *lifecycle) enter(r *replica, event replicaEvent, to replicaState, delay scheduler.Time, status string) {
	if err := r.transition(event, to); err != nil {
		l.outbox.emit(TransitionRejected{err})
		return
	}
	r.since, r.lastStatus = l.clock.now(), status
	r.until = l.timers.set(r, delay)
	l.outbox.markChanged(r)
}

// enterPending has the placement of a replica requested, or the replica looked up if it is sticky, after a delay.
func (l *lifecycle) enterPending(r *replica, event replicaEvent, delay scheduler.Time, status string) {
	r.machine, r.refused = "", false
	l.enter(r, event, replicaPending, delay, status)
}

// complete ends a replica that is not started again.
func (l *lifecycle) complete(r *replica, event replicaEvent, status string) {
	r.machine = ""
	l.enter(r, event, replicaCompleted, noTimer, status)
}

// remove ends a replica that its job does not want. One that is wanted again meanwhile is begun anew.
func (l *lifecycle) remove(r *replica, event replicaEvent) {
	if err := r.transition(event, replicaRemoved); err != nil {
		l.outbox.emit(TransitionRejected{err})
		return
	}
	l.timers.cancel(r)
	l.requests.close(r)
	l.outbox.emit(ContainerRemoved{r.job.id, r.index})
	if r.index < r.job.count {
		l.created(r.job, r.index)
	}
	l.jobs.trim(r.job)
}

// created begins a replica of a job, in place of one that was removed.
func (l *lifecycle) created(j *job, index int) {
	r := newReplica(j, index)
	j.replicas[index] = r
	l.renewIdempotencyKey(r)
	l.enterPending(r, eventCreated, l.random.jitter(restartDelay), statusNotRequested)
}

// renewIdempotencyKey separates the next container of a replica from those before: what ran under the old key has
// surely ended, or may run twice.
func (l *lifecycle) renewIdempotencyKey(r *replica) {
	r.idempotencyKey = fmt.Sprintf("%s/%d/%d", r.job.id, r.index, l.sequence.next())
	r.keyUse = keyUnused
}

// timerFired takes the step that was due after the delay of a replica's state.
func (l *lifecycle) timerFired(r *replica) {
	switch r.state {
	case replicaPending:
		l.request(r)
	case replicaFencing:
		l.fencingOver(r)
	case replicaUnobserved:
		l.unobservedTooLong(r)
	case replicaCreated, replicaPlacing, replicaLookingUp, replicaCancelling, replicaRunning, replicaCompleted,
		replicaRemoved: // these last until another event
	}
}

// ended is the end of a container that a scheduler has accepted, or was to cancel.
func (l *lifecycle) ended(r *replica, e ContainerEnded) {
	if !r.mayEnd() {
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
	r.replacing = false
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
