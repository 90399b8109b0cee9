package platform

import (
	"cmp"
	"maps"
	"slices"

	"glenport/internal/platform/connmanager"
	"glenport/internal/platform/failuredetector"
	"glenport/internal/platform/jsonlines"
	"glenport/scheduler"
)

// container is one that a client has requested or that is running. Its request gets exactly one answer, unless the client
// cancels it or leaves before. It is kept until it is answered and has no attempt.
type container struct {
	request        scheduler.PlacementRequest
	className      string
	idempotencyKey string
	description    []byte
	client         *clientConn // nil once its connection has ended
	answered       bool
	attemptsMade   int
	attempt        *attempt // the pending one, or the one by which it is running
}

// openContainer takes in a request whose container is to be placed.
func (s *Server) openContainer(cc *clientConn, offer placementOffer) {
	c := &container{
		request:        offer.request,
		className:      offer.className,
		idempotencyKey: offer.idempotencyKey,
		description:    offer.description,
		client:         cc,
	}
	s.containers[c.request.ID] = c
	s.unanswered++
	s.notifyConnManager(connmanager.PlacementRequested{Client: cc.id})
	s.notifyScheduler(scheduler.RequestReceived{PlacementRequest: c.request})
}

// adopt counts a container that a client has named as running at a machine, unless it is known already.
func (s *Server) adopt(cc *clientConn, request scheduler.PlacementRequest, at scheduler.MachineID) {
	if s.containers[request.ID] != nil {
		return
	}
	m := s.machineByID(at)
	if m.runs(request.IdempotencyKey) {
		return
	}
	c := &container{request: request, client: cc, answered: true, attemptsMade: 1}
	c.attempt = &attempt{container: c, machine: m, running: true, sent: true, createdAt: s.loop.Now()}
	s.containers[request.ID] = c
	m.attempts[request.ID] = c.attempt
	m.addRunning(1)
	s.notifyScheduler(scheduler.ContainerAdopted{PlacementRequest: request, Machine: at})
	if m.listed() && m.state == scheduler.MachineGone {
		// The list said that the machine is gone before the container was named. A successor may be at its address: its signs
		// of life would be taken for those of the machine that is gone. So nothing ever runs at a machine that is gone.
		m.failRunning(s.loop.Now())
		return
	}
	s.notifyFailureDetector(failuredetector.ContainerReclaimed{Machine: string(at), RequestID: string(request.ID)})
}

// answer sends the one final answer to a request.
func (s *Server) answer(id scheduler.ContainerID, msg *jsonlines.Message) {
	c := s.containers[id]
	if c == nil || c.answered {
		return
	}
	s.markAnswered(c)
	if c.client != nil {
		c.client.send(msg)
		s.notifyConnManager(connmanager.MessageSent{Client: c.client.id, ClosedRequests: 1})
		if isAccept(msg) {
			s.notifyConnManager(connmanager.OwnershipProven{Client: c.client.id})
		}
	}
	s.cancelPendingAttempt(c)
}

// cancelRequest closes a request whose client cancels it, or has gone, before it is answered.
func (s *Server) cancelRequest(c *container) {
	s.markAnswered(c)
	if c.client != nil {
		s.notifyConnManager(connmanager.RequestCancelled{Client: c.client.id})
	}
	s.notifyScheduler(scheduler.ContainerRemoved{ID: c.request.ID})
	s.cancelPendingAttempt(c)
}

// markAnswered notes that a request awaits no answer any more.
func (s *Server) markAnswered(c *container) {
	c.answered = true
	s.unanswered--
}

// cancelPendingAttempt cancels the attempt of a request that awaits no answer any more. A running container goes on.
func (s *Server) cancelPendingAttempt(c *container) {
	if c.attempt != nil && !c.attempt.running {
		s.cancelOffer(c.attempt)
		s.finishAttempt(c.attempt, scheduler.AttemptEnded{Outcome: scheduler.OutcomeStopped, Final: true})
	}
	s.removeIfDone(c)
}

func (s *Server) removeIfDone(c *container) {
	if c.answered && c.attempt == nil {
		delete(s.containers, c.request.ID)
	}
}

// finishRunning ends a container that was running, and has a client notified unless a client ended it.
func (s *Server) finishRunning(a *attempt, cause terminationCause, ended scheduler.AttemptEnded) {
	c := a.container
	ended.Final = true
	s.finishAttempt(a, ended)
	if a.endedByClient || cause == causeCancelled {
		return
	}
	terminated := connmanager.ContainerTerminated{RequestID: string(c.request.ID), Cause: int(cause)}
	if c.client != nil {
		terminated.Client = c.client.id
	}
	s.notifyConnManager(terminated)
}

// terminateRunning passes on that a client ends a running container. The machine then reports its end.
func (s *Server) terminateRunning(c *container, cause terminationCause) {
	a := c.attempt
	if a.endedByClient {
		return
	}
	a.endedByClient = true
	s.sendTermination(a, cause)
}

// sendTermination tells a machine that a client ends a container there. Where no connection is to be had it is sent as soon
// as there is one, unless the container has ended by then.
func (s *Server) sendTermination(a *attempt, cause terminationCause) {
	c := a.container
	if a.machine.addr == "" || c.attempt != a {
		return
	}
	mc := a.machine.acquireConn()
	if mc == nil {
		s.loop.After(maintenanceInterval, func() { s.sendTermination(a, cause) })
		return
	}
	mc.whenEstablished(func() { mc.send(machineTerminationMessage(c.request.ID, cause)) })
}

// sortedKeys returns the keys of a table in their order, so that equal events are handled alike.
func sortedKeys[K cmp.Ordered, V any](table map[K]V) []K {
	return slices.Sorted(maps.Keys(table))
}
