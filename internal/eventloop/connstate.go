package eventloop

import (
	"fmt"
	"slices"
)

// connState is how far a connection has got.
type connState uint8

const (
	connDialing    connState = iota // the handshake lasts
	connOpen                        // the handshake has succeeded
	connEnding                      // the peer has closed its side; the handler is being notified
	connHalfClosed                  // the handler was notified; the peer may still take the pending output
	connClosing                     // Close was called; the pending output is to be written first
	connClosed                      // the handler is notified; the flush of the iteration releases the descriptor
)

func (s connState) String() string {
	return [...]string{"dialing", "open", "ending", "half-closed", "closing", "closed"}[s]
}

// connSuccessors are the states that may follow each state.
var connSuccessors = [...][]connState{
	connDialing:    {connOpen, connClosed},
	connOpen:       {connEnding, connClosing, connClosed},
	connEnding:     {connHalfClosed, connClosed},
	connHalfClosed: {connClosed},
	connClosing:    {connClosed},
	connClosed:     nil,
}

// TransitionError is the reason of a connection's end where its state machine was to make a transition that it does not
// have. That is a fault of this package.
type TransitionError struct{ from, to connState }

func (e *TransitionError) Error() string {
	return fmt.Sprintf("connection: no transition from %s to %s", e.from, e.to)
}

// transition takes the connection to another state; only here its state changes. A transition that it does not have
// ends it, with a *TransitionError as the reason.
func (c *Conn) transition(to connState) {
	if !slices.Contains(connSuccessors[c.state], to) {
		c.fail(&TransitionError{c.state, to})
		return
	}
	c.state = to
}

// isEstablished reports whether the handshake has succeeded and the connection has not ended.
func (c *Conn) isEstablished() bool { return c.state != connDialing && c.state != connClosed }

// isFinishing reports whether input is ignored and the connection ends once its output is written.
func (c *Conn) isFinishing() bool { return c.state == connHalfClosed || c.state == connClosing }
