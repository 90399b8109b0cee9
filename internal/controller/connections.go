package controller

import "glenport/scheduler"

const (
	unobservedTimeout = 10 * scheduler.Second       // idempotent work of a lost scheduler is started elsewhere after it
	lookupDelay       = 500 * scheduler.Millisecond // after a reconnect; up to three times that, at random
)

// schedulerConnection follows the connection to a scheduler. What was requested there and may run twice is requested
// elsewhere; the rest waits. What runs there runs on, and is looked up by its key once the scheduler is connected
// again.
func (c *Controller) schedulerConnection(e SchedulerConnection) {
	if e.Scheduler < 0 || e.Scheduler >= len(c.connected) || c.connected[e.Scheduler] == e.Connected {
		return
	}
	c.connected[e.Scheduler] = e.Connected
	c.rescheduleOrphans(e.Scheduler)
	for _, r := range c.sortedReplicas() {
		if e.Connected {
			c.schedulerConnected(r, e.Scheduler)
		} else if r.Scheduler == e.Scheduler {
			c.schedulerLost(r)
		}
	}
}

// schedulerConnected goes on with a replica that waited for this scheduler, or for any.
func (c *Controller) schedulerConnected(r *replica, number int) {
	switch {
	case r.State == StateUnobserved && r.Scheduler == number && r.Terminating:
		c.cancelAttempt(r)
	case r.State == StateUnobserved && r.Scheduler == number:
		c.closeRequest(r)
		r.Sticky, r.Submitted = true, true
		c.setPending(r, lookupDelay+c.jitter(2*lookupDelay)+r.lookupDelay, statusSchedulerBack)
		r.lookupDelay = 0
	case r.State == StatePending && r.Until == 0:
		c.setPending(r, c.jitter(4*restartDelay), r.LastStatus)
	}
}

// schedulerLost is the loss of the connection to a replica's scheduler.
func (c *Controller) schedulerLost(r *replica) {
	switch r.State {
	case StatePlacing:
		c.schedulerLostWhilePlacing(r)
	case StateRunning:
		c.setState(r, StateUnobserved, unobservedTimeout, statusSchedulerLost)
	}
}

func (c *Controller) schedulerLostWhilePlacing(r *replica) {
	if !c.idempotent(r) {
		c.fence(r, statusSchedulerLostMayRun)
		return
	}
	c.recordOrphan(r)
	if r.Terminating {
		c.remove(r)
		return
	}
	c.closeRequest(r)
	c.setPending(r, restartDelay+c.jitter(4*restartDelay), statusSchedulerLost)
}

// unobservedTooLong starts idempotent work elsewhere whose scheduler has not come back. Other work waits for it.
func (c *Controller) unobservedTooLong(r *replica) {
	if !c.idempotent(r) {
		return
	}
	c.recordOrphan(r)
	c.closeRequest(r)
	c.newIdempotencyKey(r)
	c.setPending(r, restartDelay, statusSchedulerStaysAway)
}
