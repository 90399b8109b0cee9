package eventloop

import "glenport/internal/statemachine"

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
var connSuccessors = statemachine.Successors[connState]{
	connDialing:    {connOpen, connClosed},
	connOpen:       {connEnding, connClosing, connClosed},
	connEnding:     {connHalfClosed, connClosed},
	connHalfClosed: {connClosed},
	connClosing:    {connClosed},
	connClosed:     nil,
}

// transition takes the connection to another state; only here its state changes. A transition that it does not have is
// a fault of this package, and ends the connection with a *statemachine.TransitionError as the reason.
func (c *Conn) transition(to connState) {
	if err := connSuccessors.Apply("connection", &c.state, to); err != nil {
		c.fail(err)
	}
}

// isEstablished reports whether the handshake has succeeded and the connection has not ended.
func (c *Conn) isEstablished() bool { return c.state != connDialing && c.state != connClosed }

// isFinishing reports whether input is ignored and the connection ends once its output is written.
func (c *Conn) isFinishing() bool { return c.state == connHalfClosed || c.state == connClosing }
