package controller

import "glenport/scheduler"

// request requests the placement of a pending replica from a connected scheduler drawn at random. A sticky replica is
// looked up at its own scheduler instead, which starts nothing: only that scheduler knows whether the replica runs, and
// a key under which a container ran is not requested again.
func (l *lifecycle) request(r *replica) {
	target := r.scheduler
	if !r.sticky() {
		target = l.schedulers.draw(l.random)
	}
	switch {
	case !l.schedulers.isConnected(target):
		l.enter(r, eventTimerFired, replicaPending, noTimer, statusNoSchedulerConnected)
	case r.sticky():
		l.lookUp(r, target)
	default:
		l.submit(r, target)
	}
}

func (l *lifecycle) lookUp(r *replica, target int) {
	if !l.enter(r, eventTimerFired, replicaLookingUp, noTimer, statusLookedUp) {
		return
	}
	l.requests.open(r)
	l.outbox.emit(LookupRequest{target, r.requestID, r.idempotencyKey})
}

func (l *lifecycle) submit(r *replica, target int) {
	if !l.enter(r, eventTimerFired, replicaPlacing, noTimer, statusRequested) {
		return
	}
	l.requests.open(r)
	r.scheduler, r.revision, r.submittedSpec = target, r.job.revision, r.job.spec
	r.attempts++
	l.outbox.emit(SubmitRequest{
		Scheduler: target, RequestID: r.requestID, IdempotencyKey: r.idempotencyKey, Spec: r.job.spec,
		Timeout: l.classes.classOf(r.job).PlacementTimeout, Retry: r.keyUse != keyUnused,
	})
	r.keyUse = keySubmitted
}

// handleAnswer applies the answer to the open request of a replica.
func (l *lifecycle) handleAnswer(r *replica, e PlacementAnswered) {
	if !r.hasOpenRequest() {
		return
	}
	switch e.Verdict {
	case VerdictAccepted:
		l.handleAccepted(r, e)
	case VerdictRejected:
		l.handleRejected(r, e)
	case VerdictFailed:
		l.handleFailed(r, e)
	case VerdictRefused:
		l.handleRefused(r, e)
	}
}

// handleAccepted handles VerdictAccepted: a machine runs the container, even if its scheduler was asked to cancel it.
func (l *lifecycle) handleAccepted(r *replica, e PlacementAnswered) {
	if !l.enter(r, eventAccepted, replicaRunning, noTimer, statusRunning) {
		return
	}
	// The scheduler now knows the key and keeps a single copy, so a recorded orphan of this key is resolved.
	if l.orphans.resolve(r.orphan()) {
		l.outbox.emit(OrphanResolved{r.orphan()})
	}
	r.machine, r.attempts = e.Machine, 0
	r.starts++
	if r.terminating {
		l.cancelRequest(r)
	}
	l.rollOut(r.job)
}

// handleRejected handles VerdictRejected: the container does not run.
func (l *lifecycle) handleRejected(r *replica, e PlacementAnswered) {
	l.requests.close(r)
	l.handleNotRunning(r, eventRejected, e)
}

// handleFailed handles VerdictFailed: no machine accepted in time. Unless the request was cancelled, the container may
// be running nevertheless, and is fenced if its work is not idempotent.
func (l *lifecycle) handleFailed(r *replica, e PlacementAnswered) {
	l.requests.close(r)
	if e.Message != messageCancelled && !l.classes.idempotent(r.job) {
		l.fence(r, eventFailed, statusFailedMayRun)
		return
	}
	l.handleNotRunning(r, eventFailed, e)
}

// handleRefused handles VerdictRefused: the scheduler did not admit the request, or does not know whether the container
// runs. A terminating container that may be running is cancelled again later.
func (l *lifecycle) handleRefused(r *replica, e PlacementAnswered) {
	l.requests.close(r)
	mayRun := r.sticky() || r.state == replicaCancelling
	switch {
	case r.terminating && mayRun:
		l.enter(r, eventRefused, replicaFencing, max(restartDelay, e.RetryAfter), r.lastStatus)
	case r.terminating:
		l.remove(r, eventRefused)
	default:
		l.retryLater(r, eventRefused, e)
		r.wasRefused = true
	}
}

// handleNotRunning removes, replaces or retries a replica whose container does not run.
func (l *lifecycle) handleNotRunning(r *replica, event replicaEvent, e PlacementAnswered) {
	switch {
	case r.terminating:
		l.remove(r, event)
	case r.sticky():
		l.restartOrComplete(r, event)
	default:
		l.retryLater(r, event, e)
	}
}

func (l *lifecycle) retryLater(r *replica, event replicaEvent, e PlacementAnswered) {
	l.enterPending(r, event, l.random.backoff(r.attempts, e.RetryAfter), answerStatus(e))
}

// restartOrComplete starts a new container in place of one that no longer runs. At-most-once work of a RunOnce job is
// completed instead, because it may have run to its end.
func (l *lifecycle) restartOrComplete(r *replica, event replicaEvent) {
	if r.job.spec.RunOnce && l.classes.classOf(r.job).Idempotency == scheduler.AtMostOnce {
		r.keyUse = keySubmitted
		l.complete(r, event, statusMayHaveFinished)
		return
	}
	l.renewIdempotencyKey(r)
	l.enterPending(r, event, l.random.jitter(restartDelay), statusNotRunning)
}
