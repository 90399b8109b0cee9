package controller

import "glenport/scheduler"

// minFencingDelay is the minimum fencing delay: the time that a scheduler needs to learn of an attempt that was sent to
// a machine.
const minFencingDelay = 3 * scheduler.Second

// fence delays the next request for a replica that may be running, until its scheduler can tell whether the replica
// runs.
func (l *lifecycle) fence(r *replica, event replicaEvent, status string) {
	r.machine = ""
	delay := max(minFencingDelay, l.classes.classOf(r.job).DedupWindow)
	l.enter(r, event, replicaFencing, delay, status)
}

// endFencing has a replica looked up at the scheduler that received its request. A terminating replica is cancelled
// there instead.
func (l *lifecycle) endFencing(r *replica) {
	if r.terminating {
		l.cancelKey(r, eventTimerFired)
		return
	}
	r.keyUse = keySticky
	l.enterPending(r, eventTimerFired, 0, statusFenced)
}
