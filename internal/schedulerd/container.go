package schedulerd

import (
	"time"

	"glenport/internal/protocol"
	"glenport/scheduler"
)

// Messages of replies to clients. They are part of the wire format.
const (
	messageAlreadyRunning = "it runs already"
	messageNotRunning     = "nothing of it runs"
	messageCancelled      = protocol.MessageCancelled
	messageOtherClient    = "it is another owner's"
)

// container is an admitted or adopted container.
type container struct {
	request           scheduler.PlacementRequest
	dedupWindow       protocol.Duration
	client            *clientConn // nil after an adoption, until a client requests it again
	clientContainerID string      // container ID in the last request of the client
	answered          bool        // the client has its final answer, or waits for none
	attempts          int         // number of attempts started so far
	attempt           *attempt    // the pending or accepted attempt; nil if there is none
	submittedAt       time.Duration
}

// beginAttempt sets the current attempt and returns its ordinal.
func (c *container) beginAttempt(a *attempt) (ordinal int) {
	c.attempt = a
	c.attempts++
	return c.attempts - 1
}

func (c *container) endAttempt() { c.attempt = nil }

// currentAttempt returns the pending or accepted attempt, or nil if there is none.
func (c *container) currentAttempt() *attempt { return c.attempt }

func (c *container) attemptCount() int { return c.attempts }

// firstAttempt returns the time of the submission, and whether the current attempt is the first one.
func (c *container) firstAttempt() (submittedAt time.Duration, first bool) {
	return c.submittedAt, c.attempts == 1
}

// mayStart reports whether another attempt may be started.
func (c *container) mayStart() bool { return c.attempt == nil && !c.answered }

func (c *container) isAnswered() bool { return c.answered }

func (c *container) markAnswered() { c.answered = true }

// answer sends the final answer to the request.
func (c *container) answer(reply *protocol.PlacementReply) {
	c.markAnswered()
	c.send(reply)
}

func (c *container) setClient(client *clientConn, clientContainerID string) {
	c.client, c.clientContainerID = client, clientContainerID
}

// belongsToAnother reports whether a client other than the given one is connected and has requested the container.
func (c *container) belongsToAnother(client *clientConn) bool {
	return c.client != nil && c.client != client && !c.client.disconnected()
}

// send sends a frame to the client that requested the container, if there is one.
func (c *container) send(f protocol.Frame) {
	if c.client != nil {
		c.client.send(f)
	}
}

// notifyTerminated tells the client that a running container has ended.
func (c *container) notifyTerminated(machine scheduler.MachineID, ended scheduler.AttemptEnded) {
	c.send(&protocol.Termination{
		ContainerID: c.clientContainerID, Machine: string(machine),
		Outcome: protocol.OutcomeFromScheduler(ended.Outcome), Reason: protocol.Reason(ended.Reason),
	})
}
