package eventloop

import "glenport/internal/statemachine"

// connState is the state of a connection.
type connState uint8

const (
	connDialing    connState = iota // the handshake is in progress
	connOpen                        // the handshake has succeeded
	connEnding                      // the peer has closed its side; the handler is being notified
	connHalfClosed                  // the handler was notified; the pending output is written first
	connClosing                     // Close was called; the pending output is written first
	connClosed                      // the handler was notified; the flush of the iteration releases the descriptor
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

// transition moves the connection to another state. No other function changes the state. An illegal transition is a bug
// of this package and ends the connection with a *statemachine.TransitionError as the reason.
func (c *Conn) transition(to connState) {
	if err := connSuccessors.Apply("connection", &c.state, to); err != nil {
		c.fail(err)
	}
}

// isEstablished reports whether the handshake has succeeded and the connection has not ended.
func (c *Conn) isEstablished() bool { return c.state != connDialing && c.state != connClosed }

// isFinishing reports whether the connection ignores input and ends once its output is written.
func (c *Conn) isFinishing() bool { return c.state == connHalfClosed || c.state == connClosing }
