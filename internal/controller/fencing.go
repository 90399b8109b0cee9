package controller

import "glenport/scheduler"

// minFencingDelay is what an attempt that was sent to a machine is given to become known at its scheduler.
const minFencingDelay = 3 * scheduler.Second

// fence does nothing about a replica that may run until its scheduler surely knows of it, or it surely did not start.
func (l *lifecycle) fence(r *replica, event replicaEvent, status string) {
	r.machine = ""
	delay := max(minFencingDelay, l.classes.of(r.job).DedupWindow)
	l.enter(r, event, replicaFencing, delay, status)
}

// fencingOver has a replica looked up at the scheduler that was sent its request, or cancelled there if it is not
// wanted.
func (l *lifecycle) fencingOver(r *replica) {
	if r.terminating {
		l.cancelKey(r, eventTimerFired)
		return
	}
	r.keyUse = keySticky
	l.enterPending(r, eventTimerFired, 0, statusFenced)
}
