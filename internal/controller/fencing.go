package controller

import "glenport/scheduler"

// minFencingDelay is what an attempt that was sent to a machine is given to become known at its scheduler.
const minFencingDelay = 3 * scheduler.Second

// fence does nothing about a replica that may run until its scheduler surely knows of it, or it surely did not start.
func (c *Controller) fence(r *replica, status string) {
	r.Machine = ""
	c.setState(r, StateFencing, max(minFencingDelay, c.classOf(r).DedupWindow), status)
}

// fencingOver has a replica looked up at the scheduler that was sent its request, or cancelled there if it is not
// wanted.
func (c *Controller) fencingOver(r *replica) {
	if r.Terminating {
		c.cancelAttempt(r)
		return
	}
	r.Sticky, r.Submitted = true, true
	c.setPending(r, 0, statusFenced)
}
