package schedulerd

import (
	"cmp"
	"maps"
	"slices"

	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/internal/schedulerd/reconcile"
	"glenport/scheduler"
)

// attempt is an offer of a container to a machine: queued, sent, or accepted and running.
type attempt struct {
	number      uint64
	incarnation uint64 // of the scheduler that made it
	ordinal     int    // among the attempts of its container, from 0
	container   *container
	machine     *machine
	decidedAt   eventloop.Tick
	deadline    eventloop.Tick
	timer       *eventloop.Timer // for the deadline; nil once accepted or timed out

	sent            bool
	accepted        bool
	cancelRequested bool
	inLog           bool // the log holds it
	awaitingLog     bool // it must not be sent before the log holds it

	machineIncarnation uint64 // when it was decided
	adoptionsBefore    int    // when it was decided
}

// startAttempt offers a container to a machine, at once or as soon as the connection is ready and the log holds what it
// must. Each attempt ends in exactly one AttemptEnded, also one that cannot be sent.
func (s *Server) startAttempt(action scheduler.StartAttempt) {
	c, m := s.containers[action.ID], s.machines[action.Machine]
	if c == nil {
		s.log.Error("attempt for an unknown container", "container", action.ID)
		return
	}
	if c.attempt != nil || m == nil || c.answered {
		s.enqueueSchedulerEvent(scheduler.AttemptEnded{
			ID: action.ID, Outcome: scheduler.OutcomeNotSent, Machine: action.Machine,
			Attempt: c.attempts, Final: c.answered,
		})
		return
	}
	a := s.newAttempt(c, m, eventloop.Tick(action.Timeout))
	if s.state != nil {
		s.logAttempt(a)
	}
	if m.ready && !a.awaitingLog {
		m.sendOffer(a)
		return
	}
	s.queueAttempt(a)
}

// newAttempt starts the clock of an attempt. Without a timeout it may wait until the deadline of the request.
func (s *Server) newAttempt(c *container, m *machine, timeout eventloop.Tick) *attempt {
	now := s.loop.Now()
	deadline := eventloop.Tick(c.request.Deadline)
	if timeout > 0 {
		deadline = min(deadline, now+timeout)
	}
	s.lastAttempt++
	a := &attempt{
		number:             s.lastAttempt,
		incarnation:        s.incarnation,
		ordinal:            c.attempts,
		container:          c,
		machine:            m,
		decidedAt:          now,
		deadline:           deadline,
		machineIncarnation: m.incarnation,
		adoptionsBefore:    s.adoptions.total,
	}
	c.attempt = a
	c.attempts++
	a.timer = s.loop.After(deadline-now, func() { s.attemptTimedOut(a) })
	return a
}

// logAttempt holds an attempt back until the log holds what must be known of it after a crash.
func (s *Server) logAttempt(a *attempt) {
	write, sync := s.state.logAttempt(a)
	if !write {
		return
	}
	a.awaitingLog = true
	s.state.afterCommit(sync, func(err error) { s.attemptLogged(a, err) })
}

// attemptLogged sends an attempt that waited for the log. One that could not be logged is never sent.
func (s *Server) attemptLogged(a *attempt, err error) {
	a.awaitingLog = false
	switch {
	case err == nil && a.machine.ready:
		a.machine.sendQueued()
	case err != nil && a.machine.dequeue(a):
		s.attemptNotSent(a)
	}
}

// attemptUnreached ends an attempt whose machine was not reached in time. If the connection is ready the attempt waited
// for the log, which is no failure of the machine.
func (s *Server) attemptUnreached(a *attempt) {
	if a.awaitingLog || a.machine.ready {
		s.attemptNotSent(a)
		return
	}
	s.stats.countOutcome(statConnectFailed)
	s.endAttempt(a, scheduler.AttemptEnded{Outcome: scheduler.OutcomeConnectFailed})
}

func (s *Server) attemptNotSent(a *attempt) {
	s.stats.countOutcome(statNotSent)
	s.endAttempt(a, scheduler.AttemptEnded{Outcome: scheduler.OutcomeNotSent})
}

func (s *Server) attemptTimedOut(a *attempt) {
	a.timer = nil
	if !a.sent {
		a.machine.dequeue(a)
		s.attemptUnreached(a)
		return
	}
	s.stats.countOutcome(statTimedOut)
	a.machine.rememberExpired(a)
	s.outcomeUnknown(a)
	s.endAttempt(a, scheduler.AttemptEnded{Outcome: scheduler.OutcomeTimedOut})
}

// attemptAccepted handles the accept of a machine: the container runs, or will run where an accept does not mean that
// it runs already.
func (s *Server) attemptAccepted(a *attempt) {
	c := a.container
	s.loop.Cancel(a.timer)
	a.timer, a.accepted = nil, true
	s.stats.running++
	s.announceRunning(a)
	s.enqueueReconcilerEvent(reconcile.AttemptAccepted{ID: c.request.ID, Machine: a.machine.id, Attempt: a.number})
	if c.answered { // too late for the client: the container is known until it ends
		s.enqueueReconcilerEvent(reconcile.LateAccept{Attempt: a.record()})
		return
	}
	c.answered = true
	s.stats.countAnswer(protocol.VerdictPlaced)
	s.enqueueSchedulerEvent(
		scheduler.AttemptAccepted{ID: c.request.ID, Attempt: a.ordinal, Machine: a.machine.id, Elapsed: s.elapsed(a)},
	)
	if c.client != nil {
		c.client.send(
			&protocol.PlacementReply{
				ContainerID: string(c.request.ID),
				Verdict:     protocol.VerdictPlaced,
				Machine:     string(a.machine.id),
			},
		)
	}
}

// cancelUnanswered cancels an attempt that the scheduler does not want to wait for any longer.
func (s *Server) cancelUnanswered(action scheduler.CancelAttempt) {
	c := s.containers[action.ID]
	if c == nil || c.attempt == nil || c.attempt.accepted || c.attempt.ordinal != action.Attempt {
		return
	}
	a := c.attempt
	s.cancelAttempt(a)
	s.endAttempt(a, scheduler.AttemptEnded{Outcome: scheduler.OutcomeStopped, Final: c.answered})
}

// cancelUnknown cancels an attempt that only the reconciler tracks.
func (s *Server) cancelUnknown(action reconcile.CancelAttempt) {
	if m := s.machines[action.Machine]; m != nil && m.ready {
		m.send(&protocol.CancelAttempt{SchedulerIncarnation: action.Incarnation, AttemptID: action.Attempt})
	}
}

// cancelAttempt asks the machine to stop an attempt or its container.
func (s *Server) cancelAttempt(a *attempt) {
	a.cancelRequested = true
	if !a.sent {
		a.machine.dequeue(a)
		return
	}
	if a.machine.ready {
		a.machine.send(&protocol.CancelAttempt{SchedulerIncarnation: a.incarnation, AttemptID: a.number})
	}
	if !a.accepted {
		a.machine.rememberExpired(a)
	}
}

// outcomeUnknown leaves it to the reconciler when the log may forget an attempt: it may run though it has ended here.
func (s *Server) outcomeUnknown(a *attempt) {
	s.enqueueReconcilerEvent(reconcile.AttemptOutcomeUnknown{Attempt: a.record()})
	a.inLog = false
}

// endAttempt ends an attempt with its one outcome, and its container if nothing more is owed for that.
func (s *Server) endAttempt(a *attempt, ended scheduler.AttemptEnded) {
	c, m := a.container, a.machine
	s.loop.Cancel(a.timer)
	delete(m.attempts, a.number)
	if c.attempt != a {
		return
	}
	c.attempt = nil
	if a.sent && !a.accepted && ended.Outcome == scheduler.OutcomeStopped { // the cancel may come too late
		s.outcomeUnknown(a)
	}
	if a.inLog {
		s.state.removeAttempt(a.number)
	}
	ended.ID, ended.Attempt, ended.Machine = c.request.ID, a.ordinal, m.id
	ended.Elapsed = s.elapsed(a)
	ended.Final = ended.Final || c.answered
	if a.accepted {
		s.stopRunning(a, ended)
	}
	s.enqueueSchedulerEvent(ended)
	if ended.Final {
		s.removeContainer(c)
	}
	m.removeIfGone()
}

// stopRunning withdraws an accepted container and notifies its client.
func (s *Server) stopRunning(a *attempt, ended scheduler.AttemptEnded) {
	s.stats.running--
	s.announceEnded(a)
	if client := a.container.client; client != nil {
		client.send(&protocol.Termination{
			ContainerID: a.container.clientContainerID, Machine: string(a.machine.id),
			Outcome: protocol.OutcomeFromScheduler(ended.Outcome), Reason: protocol.Reason(ended.Reason),
		})
	}
}

func (s *Server) elapsed(a *attempt) scheduler.Time {
	return scheduler.Time(s.loop.Now() - a.decidedAt)
}

// record is the attempt as the reconciler and the log know it.
func (a *attempt) record() reconcile.Attempt {
	return reconcile.Attempt{
		Request:     a.container.request,
		Machine:     a.machine.id,
		Incarnation: a.incarnation,
		Number:      a.number,
		Running:     true,
	}
}

// stale reports whether what a queued attempt was decided on has changed: the machine drains, is gone or has restarted,
// or more containers of the service were found running.
func (a *attempt) stale() bool {
	m := a.machine
	return m.gone || m.draining || m.incarnation != a.machineIncarnation ||
		m.server.adoptions.since(a.container.request.Service, a.adoptionsBefore)
}

// inOrder returns attempts in the order in which they were made.
func inOrder(attempts map[uint64]*attempt) []*attempt {
	return slices.SortedFunc(maps.Values(attempts), func(a, b *attempt) int { return cmp.Compare(a.number, b.number) })
}
