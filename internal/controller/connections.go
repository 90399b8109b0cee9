package controller

import "glenport/scheduler"

const (
	// unobservedTimeout is the time after which idempotent work of a lost scheduler is started elsewhere.
	unobservedTimeout = 10 * scheduler.Second
	// lookupDelay is the minimum delay of a lookup after a reconnect. A random part makes it up to three times as long.
	lookupDelay = 500 * scheduler.Millisecond
)

// handleSchedulerConnected schedules the next step of a replica that waited for this scheduler, or for any scheduler.
func (l *lifecycle) handleSchedulerConnected(r *replica, number int) {
	switch {
	case r.state == replicaUnobserved && r.scheduler == number && r.terminating:
		l.cancelKey(r, eventSchedulerConnected)
	case r.state == replicaUnobserved && r.scheduler == number:
		l.requests.close(r)
		r.keyUse = keySticky
		delay := lookupDelay + l.random.jitter(2*lookupDelay) + r.lookupDelay
		l.enterPending(r, eventSchedulerConnected, delay, statusSchedulerReconnected)
		r.lookupDelay = 0
	case r.state == replicaPending && r.nextStepAt == 0:
		l.enterPending(r, eventSchedulerConnected, l.random.jitter(4*restartDelay), r.lastStatus)
	}
}

// handleSchedulerLost handles the loss of the connection to a replica's scheduler. An open request is repeated
// elsewhere if its work is idempotent, and fenced otherwise. A running container keeps running, and is looked up by its
// key once the scheduler is connected again.
func (l *lifecycle) handleSchedulerLost(r *replica) {
	switch {
	case r.state == replicaRunning:
		l.enter(r, eventSchedulerLost, replicaUnobserved, unobservedTimeout, statusSchedulerLost)
	case !r.hasOpenRequest():
	case !l.classes.idempotent(r.job):
		l.fence(r, eventSchedulerLost, statusSchedulerLostMayRun)
	default:
		l.handleRequestLost(r)
	}
}

// handleRequestLost records an orphan for idempotent work whose open request was lost with its scheduler. The replica
// is then requested again, or removed if it is terminating.
func (l *lifecycle) handleRequestLost(r *replica) {
	l.recordOrphan(r)
	if r.terminating {
		l.remove(r, eventSchedulerLost)
		return
	}
	l.requests.close(r)
	delay := restartDelay + l.random.jitter(4*restartDelay)
	l.enterPending(r, eventSchedulerLost, delay, statusSchedulerLost)
}

// handleUnobservedTimeout starts idempotent work elsewhere because its scheduler has not reconnected. Other work keeps
// waiting for the scheduler.
func (l *lifecycle) handleUnobservedTimeout(r *replica) {
	if !l.classes.idempotent(r.job) {
		return
	}
	l.recordOrphan(r)
	l.requests.close(r)
	l.renewIdempotencyKey(r)
	l.enterPending(r, eventTimerFired, restartDelay, statusSchedulerNotReconnected)
}

// recordOrphan records that the request of an idempotent replica may have started a copy that runs at its scheduler.
func (l *lifecycle) recordOrphan(r *replica) {
	if r.scheduler == noScheduler {
		return
	}
	l.orphans.record(r.orphan())
	l.outbox.emit(OrphanRecorded{r.orphan()})
}
