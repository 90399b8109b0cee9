package scheduler

import "log/slog"

// This file handles containers from the request to the outcome. There is no queue: when a container becomes unplaced,
// the same batch starts an attempt for it or answers the client.

func (s *Scheduler) handleRequestReceived(e RequestReceived) {
	if c := s.register(e.PlacementRequest); c != nil {
		s.unplacedContainers = append(s.unplacedContainers, c)
	} else {
		s.actions.emit(Fail{ID: e.ID})
	}
}

func (s *Scheduler) handleContainerAdopted(e ContainerAdopted) {
	c := s.register(e.PlacementRequest)
	if c == nil {
		return
	}
	s.containers.adopt(c, s.machines.findOrAdd(e.Machine), s.now)
}

// register adds a container. It returns nil if the configuration does not have the workload class.
func (s *Scheduler) register(request PlacementRequest) *container {
	c := s.containers.add(request)
	if c == nil {
		s.actions.log("container of unknown workload class",
			slog.String("container", string(request.ID)),
			slog.Int("workload_class", request.WorkloadClass))
	}
	return c
}

func (s *Scheduler) handleContainerRemoved(e ContainerRemoved) {
	if c := s.containers.find(e.ID); c != nil {
		s.containers.close(c)
	}
}

// placeAll places the containers that became unplaced in this batch and are still open.
func (s *Scheduler) placeAll() {
	for _, c := range s.unplacedContainers {
		if !c.closed {
			s.place(c)
		}
	}
}

// place starts an attempt on a machine. If there is none for the container, it answers the client.
func (s *Scheduler) place(c *container) {
	m := s.choose(c)
	if m == nil {
		s.respond(c)
		return
	}
	s.slowStart.recordSend(m, s.now)
	s.containers.startAttempt(c, m, s.now)
	s.actions.emit(StartAttempt{ID: c.request.ID, Machine: m.id, Timeout: s.attemptTimeout(c)})
}

// choose returns the machine for the next attempt. It returns nil if no attempts or no time are left, if the container
// is shed, or if no machine is eligible.
func (s *Scheduler) choose(c *container) *machine {
	attemptsLeft := c.attempts < s.config.MaxAttempts
	timeLeft := s.now+deadlineMargin < c.request.Deadline
	if !attemptsLeft || !timeLeft || s.shedder.shouldShed(c, s.now) {
		return nil
	}
	return s.draw.draw(c, s.machines.all(), s.now)
}

// attemptTimeout returns how long the next attempt may take. It leaves time for a retry on another machine if one is
// allowed.
func (s *Scheduler) attemptTimeout(c *container) Time {
	timeLeft := c.request.Deadline - s.now
	if c.class.Idempotency == AtMostOnce || c.attempts >= s.config.MaxAttempts {
		return timeLeft
	}
	return min(timeLeft, c.class.PlacementTimeout/2)
}

// respond gives the client its final answer: a rejection if a retry by the client is safe, else a failure. An attempt
// without an outcome counts as one that may have run.
func (s *Scheduler) respond(c *container) {
	c.recordRunWithoutOutcome()
	if c.clientRetryIsSafe() {
		s.actions.emit(Reject{ID: c.request.ID})
	} else {
		s.actions.emit(Fail{ID: c.request.ID})
	}
	s.outcomes.recordAnswered(c, s.now)
	s.containers.close(c)
}

func (s *Scheduler) handleAttemptAccepted(e AttemptAccepted) {
	if c := s.containers.findPlaced(e.ID); c != nil {
		c.accept()
		s.outcomes.recordAccepted(c, s.now)
		s.latency.recordAccepted(c, s.now)
	}
}

func (s *Scheduler) handleUsageReported(e UsageReported) {
	if c := s.containers.findPlaced(e.ID); c != nil {
		c.machine.contact.recordContact(s.now)
		if e.Metric == MetricRunning {
			s.latency.recordRunning(c, s.now)
		}
		s.containers.reportUse(c, e.Metric, e.Value)
	}
}

// handleAttemptEnded handles the outcome of an attempt; each attempt has one. Unless the outcome is final, the client
// still waits and the container is placed again. An outcome whose message crossed the acceptance is not final either.
func (s *Scheduler) handleAttemptEnded(e AttemptEnded) {
	c := s.containers.findPlaced(e.ID)
	if c == nil {
		return
	}
	attempt := s.containers.endAttempt(c)
	if attempt.isOfCurrentIncarnation() {
		s.outcomes.recordEnded(attempt, e, s.now)
	}
	if mayHaveRun(e.Outcome) {
		c.recordPossibleRun(attempt.machine, attempt.sentAt)
	}
	if c.indicatesDrain(e.Reason) {
		s.outcomes.recordSelfDraining(attempt.machine, s.now)
	}
	c.exclude(attempt.machine)
	switch {
	case e.Final || c.closed:
		s.containers.close(c)
	case e.Outcome == OutcomeFinished: // it ran to its end before it was accepted: a retry would be pointless
		s.respond(c)
	default:
		s.unplacedContainers = append(s.unplacedContainers, c)
	}
}

func mayHaveRun(outcome Outcome) bool {
	switch outcome {
	case OutcomeFull, OutcomeConnectFailed, OutcomeNotSent:
		return false
	case OutcomeFinished, OutcomeErrored, OutcomeTimedOut, OutcomeLost, OutcomeStopped:
		return true
	default:
		return true
	}
}
