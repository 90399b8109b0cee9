package controller

import "glenport/scheduler"

// minFencingDelay is the least time for a scheduler to learn of an attempt that was sent to a machine.
const minFencingDelay = 3 * scheduler.Second

// fence delays the next request for a replica that may run, until its scheduler must know whether it runs.
func (l *lifecycle) fence(r *replica, event replicaEvent, status string) {
	r.machine = ""
	delay := max(minFencingDelay, l.classes.of(r.job).DedupWindow)
	l.enter(r, event, replicaFencing, delay, status)
}

// fencingOver has a replica looked up at the scheduler that was sent its request, or cancelled there if it is
// terminating.
func (l *lifecycle) fencingOver(r *replica) {
	if r.terminating {
		l.cancelKey(r, eventTimerFired)
		return
	}
	r.keyUse = keySticky
	l.enterPending(r, eventTimerFired, 0, statusFenced)
}
