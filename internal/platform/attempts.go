package platform

import (
	"glenport/internal/eventloop"
	"glenport/scheduler"
)

// attempt is one try to start a container on a machine. It waits for a connection, then for the answer to its offer;
// once the machine has accepted it, it stands for the running container. Invariant: every attempt has exactly one
// outcome, reported by finishAttempt.
type attempt struct {
	container     *container
	number        int // within its container, from 0
	machine       *machine
	conn          *machineConn // nil for a container that was adopted, or before there is a connection
	sent          bool
	running       bool
	endedByClient bool // a client has ended the running container
	createdAt     eventloop.Tick
	deadline      eventloop.Tick
	timer         *eventloop.Timer
}

// startAttempt offers a container to a machine.
func (s *Server) startAttempt(action scheduler.StartAttempt) {
	c := s.containers[action.ID]
	if c == nil || c.answered || c.attempt != nil {
		// The client was disconnected in the same batch, because the answer to another of its requests could not be
		// written. Every attempt needs an outcome all the same, or the scheduler would count it as pending forever.
		s.log.Info("attempt for a request that is not open", "request_id", action.ID)
		s.notifyScheduler(
			scheduler.AttemptEnded{
				ID:      action.ID,
				Machine: action.Machine,
				Outcome: scheduler.OutcomeNotSent,
				Final:   true,
			},
		)
		return
	}
	a := s.newAttempt(c, action)
	if a.machine.addr == "" {
		s.finishAttempt(a, scheduler.AttemptEnded{Outcome: scheduler.OutcomeNotSent})
		return
	}
	a.timer = s.loop.After(a.deadline-a.createdAt, func() { s.timeOut(a) })
	if a.conn = a.machine.acquireConn(); a.conn == nil {
		s.finishAttempt(a, scheduler.AttemptEnded{Outcome: scheduler.OutcomeNotSent})
		return
	}
	a.conn.attempts[action.ID] = a
	a.conn.whenEstablished(func() {
		if c.attempt == a {
			s.sendOffer(a)
		}
	})
}

// newAttempt makes the pending attempt of a container. It ends with the request's deadline, or with its own if that is
// earlier.
func (s *Server) newAttempt(c *container, action scheduler.StartAttempt) *attempt {
	now := s.loop.Now()
	deadline := eventloop.Tick(c.request.Deadline)
	if action.Timeout != 0 {
		deadline = min(deadline, now+eventloop.Tick(action.Timeout))
	}
	a := &attempt{
		container: c,
		number:    c.attemptsMade,
		machine:   s.machineByID(action.Machine),
		createdAt: now,
		deadline:  deadline,
	}
	c.attemptsMade++
	c.attempt = a
	a.machine.attempts[c.request.ID] = a
	return a
}

// sendOffer sends the offer of an attempt, unless the machine has stopped taking new containers since the attempt was
// made.
func (s *Server) sendOffer(a *attempt) {
	if a.machine.state != scheduler.MachineServing {
		s.finishAttempt(a, scheduler.AttemptEnded{Outcome: scheduler.OutcomeNotSent})
		return
	}
	a.sent = a.conn.send(offerMessage(a.container, a.deadline-s.loop.Now()))
	if !a.sent {
		s.finishAttempt(a, scheduler.AttemptEnded{Outcome: scheduler.OutcomeNotSent})
	}
}

// timeOut ends an attempt whose deadline has passed. One that was never sent has waited for its connection.
func (s *Server) timeOut(a *attempt) {
	if !a.sent {
		s.finishAttempt(a, scheduler.AttemptEnded{Outcome: scheduler.OutcomeConnectFailed})
		return
	}
	s.cancelOffer(a)
	s.finishAttempt(a, scheduler.AttemptEnded{Outcome: scheduler.OutcomeTimedOut})
}

// cancelAttempt carries out the scheduler's cancellation of a pending attempt.
func (s *Server) cancelAttempt(action scheduler.CancelAttempt) {
	c := s.containers[action.ID]
	if c == nil || c.attempt == nil || c.attempt.running || c.attempt.number != action.Attempt {
		return
	}
	s.cancelOffer(c.attempt)
	s.finishAttempt(c.attempt, scheduler.AttemptEnded{Outcome: scheduler.OutcomeStopped, Final: c.answered})
}

// cancelOffer cancels a sent offer at its machine.
func (s *Server) cancelOffer(a *attempt) {
	if a.sent && a.conn != nil {
		a.conn.send(cancelMessage(a.container.request.ID))
	}
}

// acceptAttempt marks a container as running after its machine accepted the offer, and answers the request.
func (s *Server) acceptAttempt(a *attempt, accepted offerAccepted) error {
	if len(accepted.description) == 0 {
		return errNoDescription
	}
	if a.machine.state == scheduler.MachineGone {
		// Invariant: no container counts as running at a machine that is gone. The accept was sent before it went.
		s.cancelOffer(a)
		s.finishAttempt(a, scheduler.AttemptEnded{Outcome: scheduler.OutcomeLost})
		return nil
	}
	id := a.container.request.ID
	s.loop.Cancel(a.timer)
	delete(a.conn.attempts, id)
	a.running = true
	a.conn.running++
	a.machine.addRunning(1)
	s.notifyScheduler(
		scheduler.AttemptAccepted{
			ID:      id,
			Attempt: a.number,
			Machine: a.machine.id,
			Elapsed: s.elapsedSince(a.createdAt),
		},
	)
	s.answer(id, acceptMessage(id, accepted.description))
	return nil
}

// finishUnaccepted ends a container whose machine evicted, preempted or drained it before its accept was read. Machines
// do that to running containers only, so the accept is late or lost. The request fails: a retry would continue with a
// container that machine and platform count as ended.
func (s *Server) finishUnaccepted(a *attempt, ended scheduler.AttemptEnded) {
	ended.Final = true
	s.finishAttempt(a, ended)
	id := a.container.request.ID
	s.answer(id, failMessage(id))
}

// finishAttempt ends an attempt with its one outcome. Identifiers and the elapsed time are filled in.
func (s *Server) finishAttempt(a *attempt, ended scheduler.AttemptEnded) {
	c := a.container
	if c.attempt != a {
		return // the attempt has its outcome already
	}
	s.loop.Cancel(a.timer)
	a.release()
	c.attempt = nil
	ended.ID, ended.Attempt, ended.Machine = c.request.ID, a.number, a.machine.id
	ended.Elapsed = s.elapsedSince(a.createdAt)
	s.notifyScheduler(ended)
	s.removeIfDone(c)
	a.machine.evictIfGone()
}

// release removes an attempt from its connection and its machine.
func (a *attempt) release() {
	id := a.container.request.ID
	if a.conn != nil && !a.running {
		delete(a.conn.attempts, id)
	}
	delete(a.machine.attempts, id)
	if !a.running {
		return
	}
	if a.conn != nil {
		a.conn.running--
	}
	a.machine.addRunning(-1)
}

func (s *Server) elapsedSince(start eventloop.Tick) scheduler.Time {
	return scheduler.Time(s.loop.Now() - start)
}
