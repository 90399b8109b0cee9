package schedulerd

import "glenport/internal/statemachine"

// clientState is the state of an accepted connection.
type clientState string

// States of an accepted connection.
const (
	clientAwaitingHello clientState = "awaiting hello"
	clientEstablished   clientState = "established"
	clientClosing       clientState = "closing" // no more frames are read or sent
	clientClosed        clientState = "closed"
)

// clientEvent is an event of an accepted connection.
type clientEvent string

// Events of an accepted connection.
const (
	clientHelloReceived clientEvent = "hello received"
	clientGoodbyeSent   clientEvent = "goodbye sent"
	clientWriteFailed   clientEvent = "write failed"
	clientConnClosed    clientEvent = "closed"
)

// clientTransitions is the table in the package comment.
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
		clientHelloReceived: clientClosing, // the hello was in data that was read before
		clientConnClosed:    clientClosed,
	},
	clientClosed: {
		clientHelloReceived: clientClosed,
	},
}

// transition applies an event. It is the only function that changes the state of an accepted connection.
func (c *clientConn) transition(event clientEvent) bool {
	return c.registry.checkTransition(clientTransitions.Apply("client connection", &c.state, event))
}

// disconnected reports whether no more frames are read or sent.
func (c *clientConn) disconnected() bool { return c.state == clientClosing || c.state == clientClosed }
