package controller

// place requests the placement of a replica from a connected scheduler drawn at random. A sticky one is looked up at
// its scheduler instead, which starts nothing: only that scheduler can know whether it runs, and a key that ran is not
// run again.
func (c *Controller) place(r *replica) {
	target := r.Scheduler
	if !r.Sticky {
		target = c.drawScheduler()
	}
	if target == noScheduler || !c.connected[target] {
		c.setState(r, StatePending, noTimer, statusNoSchedulerConnected)
		return
	}
	c.openRequest(r)
	if r.Sticky {
		c.setState(r, StatePlacing, noTimer, statusLookedUp)
		c.emit(LookupRequest{target, r.RequestID, r.IdempotencyKey})
		return
	}
	r.Scheduler, r.revision, r.SubmittedSpec = target, r.job.revision, r.job.spec
	r.Attempts++
	c.setState(r, StatePlacing, noTimer, statusRequested)
	c.emit(SubmitRequest{target, r.RequestID, r.IdempotencyKey, r.job.spec, c.classOf(r).PlacementTimeout, r.Submitted})
	r.Submitted = true
}

// drawScheduler returns a connected scheduler, or noScheduler.
func (c *Controller) drawScheduler() int {
	var connected []int
	for n, ok := range c.connected {
		if ok {
			connected = append(connected, n)
		}
	}
	if len(connected) == 0 {
		return noScheduler
	}
	return connected[int(c.random()*float64(len(connected)))]
}

func (c *Controller) placementAnswered(e PlacementAnswered) {
	if orphan, ok := parseOrphanRequestID(e.RequestID); ok {
		c.orphanAnswered(orphan, e)
		return
	}
	r := c.requests[e.RequestID]
	if r == nil || r.State != StatePlacing {
		return
	}
	if e.Verdict == VerdictAccepted {
		c.accepted(r, e.Machine)
		return
	}
	c.closeRequest(r)
	switch {
	case e.Verdict == VerdictFailed && e.Message != messageCancelled && !c.idempotent(r):
		c.fence(r, statusFailedMayRun)
	case r.Terminating:
		c.terminatingAnswered(r, e)
	case r.Sticky && e.Verdict != VerdictRefused:
		c.replaceEnded(r)
	default:
		c.setPending(r, c.backoff(r, e.RetryAfter), answerStatus(e))
		r.Refused = e.Verdict == VerdictRefused
	}
}

func (c *Controller) accepted(r *replica, machine string) {
	// The scheduler knows the key now and keeps one copy of it.
	c.resolveOrphan(Orphan{r.Scheduler, r.IdempotencyKey})
	r.Machine, r.Attempts = machine, 0
	r.Starts++
	c.setState(r, StateRunning, noTimer, statusRunning)
	if r.Terminating {
		c.cancel(r)
	}
	c.rollOut(r.job)
}

// terminatingAnswered removes a replica that was not accepted, unless it may run and its scheduler is not sure: then it
// is cancelled again later.
func (c *Controller) terminatingAnswered(r *replica, e PlacementAnswered) {
	mayRun := r.Sticky || r.cancelling
	if e.Verdict == VerdictRefused && mayRun {
		c.setState(r, StateFencing, max(restartDelay, e.RetryAfter), r.LastStatus)
		return
	}
	c.remove(r)
}
