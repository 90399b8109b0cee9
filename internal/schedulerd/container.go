package schedulerd

import (
	"time"

	"glenport/internal/protocol"
	"glenport/internal/schedulerd/reconcile"
	"glenport/scheduler"
)

// Messages of replies to clients. They are sent as they are, so that a change of one changes the wire.
const (
	messageAlreadyRunning = "it runs already"
	messageNotRunning     = "nothing of it runs"
	messageCancelled      = "cancelled"
	messageOtherClient    = "it is another owner's"
)

// container is one that was admitted or adopted.
type container struct {
	request           scheduler.PlacementRequest
	dedupWindow       protocol.Duration
	client            *clientConn // nil after an adoption, until a client asks for it again
	clientContainerID string      // its ID in the client's last request
	answered          bool        // the client has, or is owed, no answer any more
	attempts          int         // so far
	attempt           *attempt    // the pending one, or the one that was accepted
	submittedAt       time.Duration
}

// admit hands an admitted request to the scheduler.
func (s *Server) admit(action reconcile.Admit) {
	id := action.Request.ID
	class := s.config.Policy.WorkloadClasses[action.Request.WorkloadClass]
	s.containers[id] = &container{
		request:           action.Request,
		dedupWindow:       protocol.Duration(class.DedupWindow),
		client:            s.clients[action.Client],
		clientContainerID: string(id),
		submittedAt:       s.submittedAt[id],
	}
	s.enqueueSchedulerEvent(scheduler.RequestReceived{PlacementRequest: action.Request})
}

// refuse answers a request that is not admitted.
func (s *Server) refuse(action reconcile.Reject) {
	s.stats.countAnswer(protocol.VerdictNotAdmitted)
	s.sendToClient(action.Client, &protocol.PlacementReply{
		ContainerID: string(action.ID), Verdict: protocol.VerdictNotAdmitted,
		RetryAfter: protocol.Duration(action.RetryAfter), Message: action.Reason.Error(),
	})
}

// replyAlreadyRunning answers a request for what runs. The client that requested it last receives its termination.
func (s *Server) replyAlreadyRunning(action reconcile.AlreadyRunning) {
	s.sendToClient(action.Client, &protocol.PlacementReply{
		ContainerID: string(action.ID), Verdict: protocol.VerdictPlaced,
		Machine: string(action.Machine), Message: messageAlreadyRunning,
	})
	if c := s.containers[action.RunningID]; c != nil {
		c.client, c.clientContainerID = s.clients[action.Client], string(action.ID)
	}
}

// answer sends the final answer of a request that is not placed.
func (s *Server) answer(id scheduler.ContainerID, reply *protocol.PlacementReply) {
	c := s.containers[id]
	if c == nil || c.answered {
		return
	}
	c.answered = true
	reply.ContainerID = string(id)
	s.stats.countAnswer(reply.Verdict)
	if c.client != nil {
		c.client.send(reply)
	}
	s.enqueueReconcilerEvent(reconcile.RequestFailed{ID: id})
	if c.attempt == nil {
		s.removeContainer(c)
	}
}

// terminate ends a container that a client has cancelled. The client that cancels receives the termination, whoever
// requested the container.
func (s *Server) terminate(action reconcile.TerminateContainer) {
	c, client := s.containers[action.ID], s.clients[action.Client]
	if c == nil || client == nil {
		return
	}
	requestedID := string(action.RequestedID)
	if c.client != nil && c.client != client && !c.client.disconnected {
		client.send(
			&protocol.PlacementReply{
				ContainerID: requestedID,
				Verdict:     protocol.VerdictNotAdmitted,
				Message:     messageOtherClient,
			},
		)
		return
	}
	if c.attempt != nil && c.attempt.accepted {
		c.client, c.clientContainerID = client, requestedID
		s.cancelAttempt(c.attempt) // the machine's result ends it
		return
	}
	s.enqueueSchedulerEvent(scheduler.ContainerRemoved{ID: action.ID})
	if !c.answered {
		s.answerCancelled(c, client, requestedID)
	}
	if c.attempt != nil {
		a := c.attempt
		s.cancelAttempt(a)
		s.endAttempt(a, scheduler.AttemptEnded{Outcome: scheduler.OutcomeStopped, Final: true})
		return
	}
	s.removeContainer(c)
}

// answerCancelled answers the client that cancels, and the request itself if that went by another ID.
func (s *Server) answerCancelled(c *container, client *clientConn, requestedID string) {
	c.answered = true
	s.stats.countAnswer(protocol.VerdictFailed)
	if c.client != nil && c.clientContainerID != requestedID {
		c.client.send(
			&protocol.PlacementReply{
				ContainerID: c.clientContainerID,
				Verdict:     protocol.VerdictFailed,
				Message:     messageCancelled,
			},
		)
	}
	client.send(
		&protocol.PlacementReply{ContainerID: requestedID, Verdict: protocol.VerdictFailed, Message: messageCancelled},
	)
	s.enqueueReconcilerEvent(reconcile.RequestFailed{ID: c.request.ID})
}

// containerLost ends a container whose machine is lost, or silent for too long. In the second case it may still run.
func (s *Server) containerLost(action reconcile.ContainerLost) {
	c := s.containers[action.ID]
	if c == nil || c.attempt == nil || !c.attempt.accepted {
		return
	}
	if !action.Confirmed {
		s.outcomeUnknown(c.attempt)
	}
	s.endAttempt(c.attempt, scheduler.AttemptEnded{Outcome: scheduler.OutcomeLost, Final: true})
}

// adopt takes over a container that runs, as an accepted attempt of another incarnation or one that was over.
func (s *Server) adopt(found reconcile.Attempt) {
	m := s.machines[found.Machine]
	if m == nil || s.containers[found.Request.ID] != nil {
		return
	}
	c := &container{request: found.Request, answered: true, attempts: 1}
	a := &attempt{
		number:      found.Number,
		incarnation: found.Incarnation,
		container:   c,
		machine:     m,
		decidedAt:   s.loop.Now(),
		sent:        true,
		accepted:    true,
	}
	c.attempt, m.attempts[found.Number] = a, a
	if s.state != nil {
		s.state.logAdopted(a, found)
	}
	s.containers[found.Request.ID] = c
	s.stats.running++
	s.stats.adopted++
	if found.Running {
		s.announceRunning(a)
	}
	s.adoptions.adopted(found.Request.Service)
	s.enqueueSchedulerEvent(scheduler.ContainerAdopted{PlacementRequest: found.Request, Machine: m.id})
}

func (s *Server) removeContainer(c *container) {
	delete(s.containers, c.request.ID)
	s.enqueueReconcilerEvent(reconcile.ContainerRemoved{ID: c.request.ID})
}
