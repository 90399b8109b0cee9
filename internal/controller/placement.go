package controller

import "glenport/scheduler"

// request requests the placement of a pending replica from a connected scheduler drawn at random. A sticky one is
// looked up at its scheduler instead, which starts nothing: only that scheduler can know whether it runs, and a key
// that ran is not run again.
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
		Timeout: l.classes.of(r.job).PlacementTimeout, Retry: r.keyUse != keyUnused,
	})
	r.keyUse = keySubmitted
}

// answered applies the answer to the open request of a replica.
func (l *lifecycle) answered(r *replica, e PlacementAnswered) {
	if !r.requestOpen() {
		return
	}
	switch e.Verdict {
	case VerdictAccepted:
		l.accepted(r, e)
	case VerdictRejected:
		l.rejected(r, e)
	case VerdictFailed:
		l.failed(r, e)
	case VerdictRefused:
		l.refused(r, e)
	}
}

// accepted handles VerdictAccepted: a machine runs the container, even if its scheduler was asked to cancel it.
func (l *lifecycle) accepted(r *replica, e PlacementAnswered) {
	if !l.enter(r, eventAccepted, replicaRunning, noTimer, statusRunning) {
		return
	}
	// The scheduler knows the key now and keeps one copy of it.
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

// rejected handles VerdictRejected: nothing of the container runs.
func (l *lifecycle) rejected(r *replica, e PlacementAnswered) {
	l.requests.close(r)
	l.notRunning(r, eventRejected, e)
}

// failed handles VerdictFailed: no machine accepted in time. The container may run nevertheless, unless it was
// cancelled, and is fenced then unless its work is idempotent.
func (l *lifecycle) failed(r *replica, e PlacementAnswered) {
	l.requests.close(r)
	if e.Message != messageCancelled && !l.classes.idempotent(r.job) {
		l.fence(r, eventFailed, statusFailedMayRun)
		return
	}
	l.notRunning(r, eventFailed, e)
}

// refused handles VerdictRefused: the scheduler did not admit the request, or does not know whether the container runs.
// A terminating container that may run is cancelled again later.
func (l *lifecycle) refused(r *replica, e PlacementAnswered) {
	l.requests.close(r)
	mayRun := r.sticky() || r.state == replicaCancelling
	switch {
	case r.terminating && mayRun:
		l.enter(r, eventRefused, replicaFencing, max(restartDelay, e.RetryAfter), r.lastStatus)
	case r.terminating:
		l.remove(r, eventRefused)
	default:
		l.retryLater(r, eventRefused, e)
		r.refused = true
	}
}

// notRunning removes, replaces or retries a replica of which nothing runs.
func (l *lifecycle) notRunning(r *replica, event replicaEvent, e PlacementAnswered) {
	switch {
	case r.terminating:
		l.remove(r, event)
	case r.sticky():
		l.replaceEnded(r, event)
	default:
		l.retryLater(r, event, e)
	}
}

func (l *lifecycle) retryLater(r *replica, event replicaEvent, e PlacementAnswered) {
	l.enterPending(r, event, l.random.backoff(r.attempts, e.RetryAfter), answerStatus(e))
}

// replaceEnded starts a new container in place of one of which nothing runs any more. Work that is at-most-once and not
// restarted once finished is complete instead: it may have run to its end.
func (l *lifecycle) replaceEnded(r *replica, event replicaEvent) {
	if r.job.spec.RunOnce && l.classes.of(r.job).Idempotency == scheduler.AtMostOnce {
		r.keyUse = keySubmitted
		l.complete(r, event, statusMayHaveFinished)
		return
	}
	l.renewIdempotencyKey(r)
	l.enterPending(r, event, l.random.jitter(restartDelay), statusNotRunning)
}
