package platform

import "glenport/internal/statemachine"

// clientState is the state of a client connection.
type clientState uint8

const (
	clientAccepted    clientState = iota + 1 // handler created, connection not opened yet
	clientEstablished                        // open for reading and writing
	clientClosing                            // closed by this process, pending output is being written
	clientClosed                             // ended
)

func (s clientState) String() string {
	return [...]string{"none", "accepted", "established", "closing", "closed"}[s]
}

// clientEvent is an event that changes the state of a client connection.
type clientEvent uint8

const (
	clientConnOpened clientEvent = iota + 1
	clientCloseRequested
	clientConnEnded
)

func (e clientEvent) String() string {
	return [...]string{"none", "opened", "close requested", "ended"}[e]
}

// One read may contain several messages. If one of them ends the connection, a later one may still request the close.
var clientTransitions = statemachine.Table[clientState, clientEvent]{
	clientAccepted:    {clientConnOpened: clientEstablished},
	clientEstablished: {clientCloseRequested: clientClosing, clientConnEnded: clientClosed},
	clientClosing:     {clientCloseRequested: clientClosing, clientConnEnded: clientClosed},
	clientClosed:      {clientCloseRequested: clientClosed},
}

// transition applies an event. It is the only place where the state of a client connection changes.
func (cc *clientConn) transition(event clientEvent) error {
	err := clientTransitions.Apply(statemachine.Unnamed, &cc.state, event)
	if err != nil {
		cc.env.logIllegalTransition(err, "client", cc.id)
	}
	return err
}

// isOpen reports whether the connection has not ended.
func (cc *clientConn) isOpen() bool { return cc.state != clientClosed }

// isWritable reports whether messages may be written. Writing to a closing connection fails, and send then resets it.
func (cc *clientConn) isWritable() bool {
	return cc.state == clientEstablished || cc.state == clientClosing
}
