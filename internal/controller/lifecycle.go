package controller

import (
	"fmt"

	"glenport/scheduler"
)

// replica is one container that a job wants, or wanted and that has not ended.
type replica struct {
	Container
	job      *job
	revision int // of the spec in its last placement request
	// added to its next lookup, so that a restarted controller does not look up all at once
	lookupDelay     scheduler.Time
	timerGeneration int  // timers of earlier generations are void
	cancelling      bool // its open request is the one of cancelAttempt
	changed         bool // it is in Controller.changed
	removed         bool
}

// setState enters a state for a delay, or without end for noTimer.
func (c *Controller) setState(r *replica, state ContainerState, delay scheduler.Time, status string) {
	r.State, r.Since, r.LastStatus, r.cancelling = state, c.now, status, false
	c.setTimer(r, delay)
	c.markChanged(r)
}

// setPending has the placement of a replica requested, or the replica looked up if it is sticky, after a delay.
func (c *Controller) setPending(r *replica, delay scheduler.Time, status string) {
	r.Machine, r.Refused = "", false
	c.setState(r, StatePending, delay, status)
}

// complete ends a replica that is not started again.
func (c *Controller) complete(r *replica, status string) {
	r.Machine = ""
	c.setState(r, StateCompleted, noTimer, status)
}

// timerFired takes the step that was due after the delay of a replica's state.
func (c *Controller) timerFired(r *replica) {
	switch r.State {
	case StatePending:
		c.place(r)
	case StateFencing:
		c.fencingOver(r)
	case StateUnobserved:
		c.unobservedTooLong(r)
	}
}

// terminate ends a replica that is not wanted. One that may run is cancelled, or waited for, first.
func (c *Controller) terminate(r *replica) {
	r.Terminating = true
	c.markChanged(r)
	switch r.State {
	case StatePlacing, StateRunning:
		c.cancel(r)
	case StatePending:
		if r.Sticky {
			c.cancelAttempt(r)
			return
		}
		c.remove(r)
	case StateCompleted:
		c.remove(r)
	case StateFencing, StateUnobserved: // the end of the fencing delay, or the scheduler's connection, goes on with it
	}
}

// cancel ends the open request of a replica.
func (c *Controller) cancel(r *replica) {
	c.emit(CancelRequest{r.Scheduler, r.RequestID, r.IdempotencyKey})
}

// cancelAttempt ends a replica that may run, by a request of its own to the scheduler that can know. While that is not
// connected the replica stays, as one that takes its place could be a second copy.
func (c *Controller) cancelAttempt(r *replica) {
	if r.Scheduler == noScheduler || !c.connected[r.Scheduler] {
		c.setState(r, StateUnobserved, noTimer, r.LastStatus)
		return
	}
	c.openRequest(r)
	c.setState(r, StatePlacing, noTimer, statusCancelled)
	r.cancelling = true
	c.cancel(r)
}

func (c *Controller) remove(r *replica) {
	r.removed = true
	c.closeRequest(r)
	c.emit(ContainerRemoved{r.Job, r.Index})
	if r.Index < r.job.count { // it was wanted again meanwhile
		c.createReplica(r.job, r.Index)
	}
	c.trim(r.job)
}

// newIdempotencyKey separates the next container of a replica from those before: what ran under the old key has surely
// ended, or may run twice.
func (c *Controller) newIdempotencyKey(r *replica) {
	r.IdempotencyKey = fmt.Sprintf("%s/%d/%d", r.Job, r.Index, c.nextSequence())
	r.Sticky, r.Submitted = false, false
}

// openRequest gives a replica a new request id in place of its last.
func (c *Controller) openRequest(r *replica) {
	c.closeRequest(r)
	r.RequestID = fmt.Sprintf("%s/%d#%d", r.Job, r.Index, c.nextSequence())
	c.requests[r.RequestID] = r
}

// closeRequest has later answers to a replica's request ignored.
func (c *Controller) closeRequest(r *replica) {
	if c.requests[r.RequestID] == r {
		delete(c.requests, r.RequestID)
	}
}

func (c *Controller) containerEnded(e ContainerEnded) {
	if orphan, ok := parseOrphanRequestID(e.RequestID); ok {
		c.resolveOrphan(orphan)
		return
	}
	r := c.requests[e.RequestID]
	if r == nil || !r.mayEnd() {
		return
	}
	machineLost := e.Outcome == scheduler.OutcomeLost && e.Reason == scheduler.ReasonNone
	if machineLost && !c.idempotent(r) {
		c.fence(r, statusMachineLostMayRun)
		return
	}
	c.closeRequest(r)
	if r.Terminating {
		c.remove(r)
		return
	}
	c.newIdempotencyKey(r)
	r.Replacing = false
	switch {
	case e.Outcome == scheduler.OutcomeFinished && r.job.spec.RunOnce:
		c.complete(r, statusFinished)
	case e.Reason == scheduler.ReasonOutOfMemory:
		c.setPending(r, c.backoff(r, 0), statusOutOfMemory)
	case machineLost:
		c.setPending(r, c.jitter(2*restartDelay), statusMachineLost)
	default:
		c.setPending(r, c.jitter(2*restartDelay), outcomeStatus(e))
	}
}

// mayEnd says that the end of its container is expected. While it is being placed that is so only once it was
// cancelled.
func (r *replica) mayEnd() bool {
	switch r.State {
	case StateRunning, StateUnobserved:
		return true
	case StatePlacing:
		return r.Terminating
	}
	return false
}
