package controller

import "glenport/scheduler"

const (
	// after the first request that was not accepted; doubled with each further one
	backoffInitial      = scheduler.Second
	backoffMax          = 16 * scheduler.Second
	backoffMaxDoublings = 5
	restartDelay        = 100 * scheduler.Millisecond // the scale of delays where nothing was rejected
)

// backoff is the delay before the next request of a replica, at least least: between half and the whole of a span that
// doubles with each attempt, at random, so that requests that were rejected together do not come again together.
func (c *Controller) backoff(r *replica, least scheduler.Time) scheduler.Time {
	doublings := min(max(0, r.Attempts-1), backoffMaxDoublings)
	span := min(backoffMax, backoffInitial<<doublings)
	return max(least, span/2) + c.jitter(span/2)
}

// replaceEnded begins a new container in place of one of which nothing runs any more. Work that is to run once, and
// must not run twice, is complete instead: it may have run to its end.
func (c *Controller) replaceEnded(r *replica) {
	if r.job.spec.RunOnce && c.classOf(r).Idempotency == scheduler.AtMostOnce {
		r.Sticky = false
		c.complete(r, statusMayHaveFinished)
		return
	}
	c.newIdempotencyKey(r)
	c.setPending(r, c.jitter(restartDelay), statusNotRunning)
}
