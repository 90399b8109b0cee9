package platform

import (
	"glenport/internal/eventloop"
	"glenport/internal/platform/adoption"
	"glenport/internal/platform/connmanager"
	"glenport/internal/platform/jsonlines"
	"glenport/scheduler"
)

// container is a container that a client has requested or that is running. Invariant: its request gets exactly one
// answer, unless the client cancels it or disconnects first. A container is kept until its request is answered and it
// has no attempt.
type container struct {
	env            *environment
	registry       *containerRegistry
	request        scheduler.PlacementRequest
	className      string
	idempotencyKey string
	description    []byte
	client         *clientConn // connection on which the container was requested; nil once it has ended
	answered       bool
	attemptsMade   int
	attempt        *attempt      // the pending attempt, or the attempt of the running container; nil: none
	lostOffers     []*machine    // machines that may run a copy, because an offer was lost; cleared by an accept
	pendingClaim   *runningClaim // claim of another client; decided once the request is closed
}

func (c *container) wasRequestedOn(cc *clientConn) bool { return c.client == cc }

func (c *container) isOpenRequestOf(cc *clientConn) bool { return !c.answered && c.wasRequestedOn(cc) }

func (c *container) isAnswered() bool { return c.answered }

// awaitsAttempt reports whether the request is open and has no attempt.
func (c *container) awaitsAttempt() bool { return !c.answered && c.attempt == nil }

// startAttempt offers the container to a machine.
func (c *container) startAttempt(m *machine, timeout scheduler.Time) {
	now := c.env.loop.Now()
	deadline := eventloop.Tick(c.request.Deadline)
	if timeout != 0 {
		deadline = min(deadline, now+eventloop.Tick(timeout))
	}
	c.attempt = &attempt{
		env:       c.env,
		container: c,
		machine:   m,
		number:    c.attemptsMade,
		state:     attemptConnecting,
		createdAt: now,
		deadline:  deadline,

		machineStart:    m.startedAt,
		adoptionsBefore: c.env.adoptions.Count(),
	}
	c.attemptsMade++
	c.env.adoptions.AttemptWaiting()
	c.attempt.start()
}

// startAdopted creates the attempt of a running container that a client has reclaimed.
func (c *container) startAdopted(m *machine) {
	c.attempt = &attempt{
		env:       c.env,
		container: c,
		machine:   m,
		state:     attemptRunning,
		createdAt: c.env.loop.Now(),
	}
	m.addAttempt(c.attempt)
	m.containerStarted(c)
}

// displace stops counting an adopted container as running, because another claim has displaced its claim. No client is
// notified, because the container may be running.
func (c *container) displace() {
	c.attempt.finish(scheduler.AttemptEnded{Outcome: scheduler.OutcomeStopped, Final: true})
}

// load is the load that the container requests.
func (c *container) load() adoption.Load {
	return adoption.Load{Cores: c.request.Cores, Memory: c.request.Memory, Containers: 1}
}

// attemptFinished removes the attempt once it has its outcome.
func (c *container) attemptFinished() {
	c.attempt = nil
	c.removeIfDone()
}

// markAccepted handles the accept of a machine: a claim that the container is running elsewhere is void, and copies
// elsewhere are cancelled.
func (c *container) markAccepted(by *machine) {
	c.pendingClaim = nil
	c.cancelLostOffers(by)
}

// answer sends the one final answer to the request.
func (c *container) answer(msg *jsonlines.Message) {
	if c.answered {
		return
	}
	c.markAnswered()
	if client := c.client; client != nil {
		client.send(msg) // may disconnect the client, which sets c.client to nil
		c.env.notifyConnManager(connmanager.MessageSent{Client: client.id, ClosedRequests: 1})
		if isAccept(msg) {
			c.env.notifyConnManager(connmanager.OwnershipProven{Client: client.id})
		}
	}
	c.cancelPendingAttempt()
}

// cancel closes the unanswered request after its client has cancelled it or disconnected.
func (c *container) cancel() {
	c.markAnswered()
	if c.client != nil {
		c.env.notifyConnManager(connmanager.RequestCancelled{Client: c.client.id})
	}
	c.env.notifyScheduler(scheduler.ContainerRemoved{ID: c.request.ID})
	c.cancelPendingAttempt()
}

// closeAsRunning closes the unanswered request, because its client claims that the container is running at a machine.
// An offer to that machine is not cancelled there: a cancel would end the container.
func (c *container) closeAsRunning(at scheduler.MachineID) {
	c.pendingClaim = nil
	if a := c.attempt; a != nil && a.machine.id == at {
		a.finish(scheduler.AttemptEnded{Outcome: scheduler.OutcomeStopped, Final: true})
	}
	c.cancel()
}

// clientDisconnected cancels the request if it is open. A running container belongs to no connection.
func (c *container) clientDisconnected() {
	if !c.answered {
		c.cancel()
	}
	c.client = nil
}

func (c *container) markAnswered() {
	c.answered = true
	c.registry.requestClosed()
}

// cancelPendingAttempt cancels the pending attempt of the closed request. A running container is not affected.
func (c *container) cancelPendingAttempt() {
	if c.attempt != nil && !c.attempt.isRunning() {
		c.attempt.cancel(scheduler.AttemptEnded{Outcome: scheduler.OutcomeStopped, Final: true})
	}
	c.removeIfDone()
}

// cancelAttempt cancels the attempt with a number if it is pending.
func (c *container) cancelAttempt(number int) {
	if a := c.attempt; a != nil && !a.isRunning() && a.number == number {
		a.cancel(scheduler.AttemptEnded{Outcome: scheduler.OutcomeStopped, Final: c.answered})
	}
}

// endOpenAttempt ends the attempt of an unanswered request.
func (c *container) endOpenAttempt() {
	if !c.answered && c.attempt != nil {
		c.attempt.cancel(scheduler.AttemptEnded{Outcome: scheduler.OutcomeFinished})
	}
}

// removeIfDone removes a container that is answered and has no attempt.
func (c *container) removeIfDone() {
	if c.answered && c.attempt == nil {
		c.registry.remove(c)
	}
}

// terminate forwards a client's order to end the container if it is running.
func (c *container) terminate(cause terminationCause) {
	if c.attempt != nil && c.attempt.isRunning() {
		c.attempt.terminate(cause)
	}
}

// notifyTerminated has the connection manager notify a client of the end of the container.
func (c *container) notifyTerminated(cause terminationCause) {
	terminated := connmanager.ContainerTerminated{RequestID: string(c.request.ID), Cause: int(cause)}
	if c.client != nil {
		terminated.Client = c.client.id
	}
	c.env.notifyConnManager(terminated)
}
