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

// container is a container that a client has requested or that is running. Invariant: its request gets exactly one
// answer, unless the client cancels it or disconnects first. A container is kept until it is answered and has no
// attempt.
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

// openContainer opens a request whose container is to be placed.
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

// adopt adds a container that a client claims to be running at a machine, unless the container is known already.
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
		// Invariant: no container counts as running at a machine that is gone. A successor may be at its address, and
		// its activity would be attributed to the machine that is gone.
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
	if client := c.client; client != nil {
		client.send(msg) // may disconnect the client, and c.client is nil then
		s.notifyConnManager(connmanager.MessageSent{Client: client.id, ClosedRequests: 1})
		if isAccept(msg) {
			s.notifyConnManager(connmanager.OwnershipProven{Client: client.id})
		}
	}
	s.cancelPendingAttempt(c)
}

// cancelRequest closes an unanswered request whose client has cancelled it or is disconnected.
func (s *Server) cancelRequest(c *container) {
	s.markAnswered(c)
	if c.client != nil {
		s.notifyConnManager(connmanager.RequestCancelled{Client: c.client.id})
	}
	s.notifyScheduler(scheduler.ContainerRemoved{ID: c.request.ID})
	s.cancelPendingAttempt(c)
}

// markAnswered marks a request as closed.
func (s *Server) markAnswered(c *container) {
	c.answered = true
	s.unanswered--
}

// cancelPendingAttempt cancels the pending attempt of a closed request. A running container is not affected.
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

// finishRunning ends a running container. A client is notified, unless a client has ended the container.
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

// terminateRunning forwards a client's order to end a running container. Its machine reports the end later.
func (s *Server) terminateRunning(c *container, cause terminationCause) {
	a := c.attempt
	if a.endedByClient {
		return
	}
	a.endedByClient = true
	s.sendTermination(a, cause)
}

// sendTermination orders a machine to end a running container. Without a connection it is retried every maintenance
// interval until the container has ended.
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

// sortedKeys returns the keys of a map in order, so that equal events have equal effects.
func sortedKeys[K cmp.Ordered, V any](table map[K]V) []K {
	return slices.Sorted(maps.Keys(table))
}
