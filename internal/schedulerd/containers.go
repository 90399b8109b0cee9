package schedulerd

import (
	"glenport/internal/protocol"
	"glenport/internal/schedulerd/reconcile"
	"glenport/scheduler"
)

// containerRegistry owns the containers. A container is removed once it is answered and has no attempt.
type containerRegistry struct {
	*process
	decisions  *decisions
	clients    *clientRegistry
	machines   *machineRegistry
	dispatcher *attemptDispatcher
	routes     *routeAnnouncer
	byID       map[scheduler.ContainerID]*container
}

// find returns nil if the container is not known.
func (r *containerRegistry) find(id scheduler.ContainerID) *container { return r.byID[id] }

func (r *containerRegistry) count() int { return len(r.byID) }

func (r *containerRegistry) remove(c *container) {
	delete(r.byID, c.request.ID)
	r.decisions.notifyReconciler(reconcile.ContainerRemoved{ID: c.request.ID})
}

// admit passes an admitted request to the scheduler.
func (r *containerRegistry) admit(action reconcile.Admit) {
	id := action.Request.ID
	class := r.config.Policy.WorkloadClasses[action.Request.WorkloadClass]
	r.byID[id] = &container{
		request:           action.Request,
		dedupWindow:       protocol.Duration(class.DedupWindow),
		client:            r.clients.find(action.Client),
		clientContainerID: string(id),
		submittedAt:       r.clients.submissionTime(id),
	}
	r.decisions.notifyScheduler(scheduler.RequestReceived{PlacementRequest: action.Request})
}

// replyNotAdmitted answers a request that is not admitted.
func (r *containerRegistry) replyNotAdmitted(action reconcile.Reject) {
	r.stats.countAnswer(protocol.VerdictNotAdmitted)
	r.clients.send(action.Client, &protocol.PlacementReply{
		ContainerID: string(action.ID), Verdict: protocol.VerdictNotAdmitted,
		RetryAfter: protocol.Duration(action.RetryAfter), Message: action.Reason.Error(),
	})
}

// replyAlreadyRunning answers a request for a container that already runs. The termination is later sent to the client
// that requested the container last.
func (r *containerRegistry) replyAlreadyRunning(action reconcile.AlreadyRunning) {
	r.clients.send(action.Client, &protocol.PlacementReply{
		ContainerID: string(action.ID), Verdict: protocol.VerdictPlaced,
		Machine: string(action.Machine), Message: messageAlreadyRunning,
	})
	if c := r.byID[action.RunningID]; c != nil {
		c.setClient(r.clients.find(action.Client), string(action.ID))
	}
}

func (r *containerRegistry) replyNotRunning(action reconcile.NotRunning) {
	r.clients.send(action.Client, &protocol.PlacementReply{
		ContainerID: string(action.ID), Verdict: protocol.VerdictRejected, Message: messageNotRunning,
	})
}

func (r *containerRegistry) replyAlreadyTerminated(action reconcile.AlreadyTerminated) {
	r.clients.send(action.Client, &protocol.PlacementReply{
		ContainerID: string(action.ID), Verdict: protocol.VerdictFailed, Message: messageCancelled,
	})
}

// answerPlaced sends the final answer to a request whose container was accepted.
func (r *containerRegistry) answerPlaced(c *container, machine scheduler.MachineID) {
	r.stats.countAnswer(protocol.VerdictPlaced)
	c.answer(&protocol.PlacementReply{
		ContainerID: string(c.request.ID), Verdict: protocol.VerdictPlaced, Machine: string(machine),
	})
}

// answer sends the final answer to a request that is not placed.
func (r *containerRegistry) answer(id scheduler.ContainerID, reply *protocol.PlacementReply) {
	c := r.byID[id]
	if c == nil || c.isAnswered() {
		return
	}
	reply.ContainerID = string(id)
	r.stats.countAnswer(reply.Verdict)
	c.answer(reply)
	r.decisions.notifyReconciler(reconcile.RequestFailed{ID: id})
	if c.currentAttempt() == nil {
		r.remove(c)
	}
}

// terminate ends a container that a client has cancelled. The client that cancels receives the termination, even if
// another client requested the container.
func (r *containerRegistry) terminate(action reconcile.TerminateContainer) {
	c, client := r.byID[action.ID], r.clients.find(action.Client)
	if c == nil || client == nil {
		return
	}
	requestedID := string(action.RequestedID)
	if c.belongsToAnother(client) {
		client.send(&protocol.PlacementReply{
			ContainerID: requestedID, Verdict: protocol.VerdictNotAdmitted, Message: messageOtherClient,
		})
		return
	}
	a := c.currentAttempt()
	if a != nil && a.accepted() {
		c.setClient(client, requestedID)
		r.dispatcher.terminate(a)
		return
	}
	r.decisions.notifyScheduler(scheduler.ContainerRemoved{ID: action.ID})
	if !c.isAnswered() {
		r.answerCancelled(c, client, requestedID)
	}
	if a != nil {
		r.dispatcher.cancel(a, scheduler.AttemptEnded{Outcome: scheduler.OutcomeStopped, Final: true})
		return
	}
	r.remove(c)
}

// answerCancelled answers the client that cancels. If the placement request had another container ID than the cancel,
// the placement request is answered under its own ID as well.
func (r *containerRegistry) answerCancelled(c *container, client *clientConn, requestedID string) {
	r.stats.countAnswer(protocol.VerdictFailed)
	cancelled := func(id string) *protocol.PlacementReply {
		return &protocol.PlacementReply{ContainerID: id, Verdict: protocol.VerdictFailed, Message: messageCancelled}
	}
	c.markAnswered()
	if c.clientContainerID != requestedID {
		c.send(cancelled(c.clientContainerID))
	}
	client.send(cancelled(requestedID))
	r.decisions.notifyReconciler(reconcile.RequestFailed{ID: c.request.ID})
}

// handleLost ends a container whose loss is confirmed, or whose machine has not reported for too long. In the second
// case the container may still run.
func (r *containerRegistry) handleLost(action reconcile.ContainerLost) {
	c := r.byID[action.ID]
	if c == nil {
		return
	}
	a := c.currentAttempt()
	if a == nil || !a.accepted() {
		return
	}
	if !action.Confirmed {
		r.dispatcher.reportOutcomeUnknown(a)
	}
	r.dispatcher.end(a, scheduler.AttemptEnded{Outcome: scheduler.OutcomeLost, Final: true})
}

// adopt adds a container that was found running on a machine.
func (r *containerRegistry) adopt(found reconcile.Attempt) {
	m := r.machines.find(found.Machine)
	if m == nil || r.byID[found.Request.ID] != nil {
		return
	}
	c := &container{request: found.Request, answered: true}
	r.dispatcher.adopt(c, m, found)
	r.byID[found.Request.ID] = c
	r.stats.countAdopted()
	if found.Running {
		r.routes.updateContainer(c.currentAttempt())
	}
	r.decisions.notifyScheduler(scheduler.ContainerAdopted{PlacementRequest: found.Request, Machine: m.id})
}
