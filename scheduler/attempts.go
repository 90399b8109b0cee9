package scheduler

func (s *Scheduler) requestReceived(e RequestReceived) {
	if c := s.addContainer(e.PlacementRequest); c != nil {
		s.unplaced = append(s.unplaced, c)
	} else {
		s.emit(Fail{e.ID})
	}
}

func (s *Scheduler) containerAdopted(e ContainerAdopted) {
	if c := s.addContainer(e.PlacementRequest); c != nil {
		c.attempts = 1
		c.accepted = true
		s.reserve(c, s.findOrAddMachine(e.Machine))
	}
}

func (s *Scheduler) containerRemoved(e ContainerRemoved) {
	if c := s.containers[e.ID]; c != nil {
		c.closed = true
		s.removeIfClosed(c)
	}
}

// place starts an attempt on a machine, or answers the client at once: no container waits.
func (s *Scheduler) place(c *container) {
	m := s.choose(c)
	if m == nil {
		s.respond(c)
		return
	}
	m.recentSends = append(s.trimmedSends(m), s.now)
	c.attempts++
	s.reserve(c, m)
	s.emit(StartAttempt{c.request.ID, m.id, s.attemptTimeout(c)})
}

// choose returns nil where no attempt is left, no machine is eligible or the container is shed.
func (s *Scheduler) choose(c *container) *machine {
	if c.attempts >= s.config.MaxAttempts || s.now+deadlineMargin >= c.request.Deadline || s.shed(c) {
		return nil
	}
	return s.draw(c)
}

// attemptTimeout leaves time for a retry, unless none can follow.
func (s *Scheduler) attemptTimeout(c *container) Time {
	left := c.request.Deadline - s.now
	if c.class.Idempotency == AtMostOnce || c.attempts >= s.config.MaxAttempts {
		return left
	}
	return min(left, c.class.PlacementTimeout/2)
}

// respond answers the client: a rejection where a retry by it does no harm, else a failure.
func (s *Scheduler) respond(c *container) {
	if c.firstRunOn == nil {
		c.firstRunOn = c.machine // an attempt without an outcome may run
	}
	if c.retryIsSafe() {
		s.emit(Reject{ID: c.request.ID})
	} else {
		s.emit(Fail{c.request.ID})
	}
	c.closed = true
	if len(c.failures) == 1 {
		s.attributeFailures(c)
	}
	s.removeIfClosed(c)
}

func (c *container) retryIsSafe() bool {
	switch c.class.Idempotency {
	case Idempotent:
		return true
	case IdempotentWithKey:
		return c.firstRunOn == nil || c.class.DedupScope == ScopeFleet
	}
	return c.firstRunOn == nil
}

// mayRunOn keeps a container that may have run already to the machines where a second run does no harm.
func (s *Scheduler) mayRunOn(c *container, m *machine) bool {
	if c.firstRunOn == nil {
		return true
	}
	switch c.class.Idempotency {
	case AtMostOnce:
		return false
	case IdempotentWithKey:
		windowEnd := c.firstRunAt + c.class.DedupWindow
		return c.firstRunOn.sharesScope(m, c.class.DedupScope) && s.now+deadlineMargin < windowEnd
	}
	return true
}

func (s *Scheduler) attemptAccepted(e AttemptAccepted) {
	c := s.containers[e.ID]
	if c == nil || c.machine == nil {
		return
	}
	c.accepted = true
	c.machine.lastHeardAt = s.now
	s.attributeFailures(c)
	s.recordRoom()
	s.recordSuccess(c.machine)
	s.recordClassOutcome(c, c.machine, answered)
}

func (s *Scheduler) usageReported(e UsageReported) {
	c := s.containers[e.ID]
	if c == nil || c.machine == nil {
		return
	}
	m := c.machine
	m.lastHeardAt = s.now
	m.used.subtract(c.used)
	switch e.Metric {
	case MetricCoresUsed:
		c.used.cores = e.Value
	case MetricMemoryUsed:
		c.used.memory = e.Value
	}
	m.used.add(c.used)
}

// attemptEnded takes in the one outcome of an attempt. Where it is not final the container is placed again.
func (s *Scheduler) attemptEnded(e AttemptEnded) {
	c := s.containers[e.ID]
	if c == nil || c.machine == nil {
		return
	}
	m, accepted, silent := c.machine, c.accepted, c.machine.lastHeardAt < c.sentAt
	c.accepted = false
	s.release(c)
	if c.sentAt >= m.startedAt { // else it tells nothing of this incarnation
		s.recordAttempt(c, m, e, accepted, silent)
	}
	if c.firstRunOn == nil && mayHaveRun(e.Outcome) {
		c.firstRunOn = m
		c.firstRunAt = c.sentAt
	}
	if c.refusedByDraining(e.Reason) {
		s.markSelfDraining(m)
	}
	c.excluded = append(c.excluded, m)
	m.excludedBy++
	switch {
	case e.Final || c.closed: // one that an acceptance crossed is not final: the client still waits
		c.closed = true
		s.removeIfClosed(c)
	case e.Outcome == OutcomeFinished: // its run time passed unaccepted: a retry would be for nothing
		s.respond(c)
	default:
		s.unplaced = append(s.unplaced, c)
	}
}

func mayHaveRun(o Outcome) bool {
	return o != OutcomeFull && o != OutcomeConnectFailed && o != OutcomeNotSent
}

// refusedByDraining holds for a machine that sends containers away, or does not know one that can run nowhere
// else. Either comes before the machine list has the drain.
func (c *container) refusedByDraining(r Reason) bool {
	neverRan := c.firstRunOn == nil && !c.request.ClientRetry
	return r == ReasonDrained || r == ReasonWrongMachine && neverRan
}
