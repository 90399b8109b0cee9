package schedulerd

import "glenport/internal/statemachine"

// clientState is the state of an accepted connection.
type clientState string

// States of an accepted connection.
const (
	clientAwaitingHello clientState = "awaiting hello"
	clientEstablished   clientState = "established"
	clientClosing       clientState = "closing" // nothing more is read or sent
	clientClosed        clientState = "closed"
)

// clientEvent is what happens to an accepted connection.
type clientEvent string

// Events of an accepted connection.
const (
	clientHelloReceived clientEvent = "hello received"
	clientGoodbyeSent   clientEvent = "goodbye sent"
	clientWriteFailed   clientEvent = "write failed"
	clientConnClosed    clientEvent = "closed"
)

// clientTransitions is the table of the package comment.
var clientTransitions = statemachine.Table[clientState, clientEvent]{
	clientAwaitingHello: {
		clientHelloReceived: clientEstablished,
		clientGoodbyeSent:   clientClosing,
		clientWriteFailed:   clientClosing,
		clientConnClosed:    clientClosed,
	},
	clientEstablished: {
		clientHelloReceived: clientEstablished,
		clientGoodbyeSent:   clientClosing,
		clientWriteFailed:   clientClosing,
		clientConnClosed:    clientClosed,
	},
	clientClosing: {
		clientHelloReceived: clientClosing, // in the bytes that were read before
		clientConnClosed:    clientClosed,
	},
	clientClosed: {
		clientHelloReceived: clientClosed,
	},
}

// transition is the one place where the state of an accepted connection changes.
func (c *clientConn) transition(event clientEvent) bool {
	return c.registry.checkTransition(clientTransitions.Apply("client connection", &c.state, event))
}

// disconnected reports whether nothing more is read or sent.
func (c *clientConn) disconnected() bool { return c.state == clientClosing || c.state == clientClosed }
