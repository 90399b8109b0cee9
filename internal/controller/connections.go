package controller

import "glenport/scheduler"

const (
	unobservedTimeout = 10 * scheduler.Second       // idempotent work of a lost scheduler is started elsewhere after it
	lookupDelay       = 500 * scheduler.Millisecond // after a reconnect; up to three times that, at random
)

// schedulerConnected goes on with a replica that waited for this scheduler, or for any.
func (l *lifecycle) schedulerConnected(r *replica, number int) {
	switch {
	case r.state == replicaUnobserved && r.scheduler == number && r.terminating:
		l.cancelKey(r, eventSchedulerConnected)
	case r.state == replicaUnobserved && r.scheduler == number:
		l.requests.close(r)
		r.keyUse = keySticky
		delay := lookupDelay + l.random.jitter(2*lookupDelay) + r.lookupDelay
		l.enterPending(r, eventSchedulerConnected, delay, statusSchedulerBack)
		r.lookupDelay = 0
	case r.state == replicaPending && r.until == 0:
		l.enterPending(r, eventSchedulerConnected, l.random.jitter(4*restartDelay), r.lastStatus)
	}
}

// schedulerLost is the loss of the connection to a replica's scheduler. What was requested there and may run twice is
// requested elsewhere; the rest waits. What runs there runs on, and is looked up by its key once the scheduler is
// connected again.
func (l *lifecycle) schedulerLost(r *replica) {
	switch {
	case r.state == replicaRunning:
		l.enter(r, eventSchedulerLost, replicaUnobserved, unobservedTimeout, statusSchedulerLost)
	case !r.requestOpen():
	case !l.classes.idempotent(r.job):
		l.fence(r, eventSchedulerLost, statusSchedulerLostMayRun)
	default:
		l.requestLost(r)
	}
}

// requestLost goes on with idempotent work whose open request was lost with its scheduler.
func (l *lifecycle) requestLost(r *replica) {
	l.recordOrphan(r)
	if r.terminating {
		l.remove(r, eventSchedulerLost)
		return
	}
	l.requests.close(r)
	delay := restartDelay + l.random.jitter(4*restartDelay)
	l.enterPending(r, eventSchedulerLost, delay, statusSchedulerLost)
}

// unobservedTooLong starts idempotent work elsewhere whose scheduler has not come back. Other work waits for it.
func (l *lifecycle) unobservedTooLong(r *replica) {
	if !l.classes.idempotent(r.job) {
		return
	}
	l.recordOrphan(r)
	l.requests.close(r)
	l.renewIdempotencyKey(r)
	l.enterPending(r, eventTimerFired, restartDelay, statusSchedulerStaysAway)
}

// recordOrphan records that an idempotent replica's request may have led to a copy that runs at its scheduler.
func (l *lifecycle) recordOrphan(r *replica) {
	if r.scheduler == noScheduler {
		return
	}
	l.orphans.record(r.orphan())
	l.outbox.emit(OrphanRecorded{r.orphan()})
}
