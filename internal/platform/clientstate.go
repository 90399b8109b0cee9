package platform

import "glenport/internal/statemachine"

// clientState is the state of a client connection.
type clientState uint8

const (
	clientAccepted    clientState = iota + 1 // its handler was made
	clientEstablished                        // it is read, and written to
	clientClosing                            // it was closed here, and its pending output is being written
	clientClosed                             // it has ended
)

func (s clientState) String() string {
	return [...]string{"none", "accepted", "established", "closing", "closed"}[s]
}

// clientEvent is what changes the state of a client connection.
type clientEvent uint8

const (
	clientConnOpened clientEvent = iota + 1
	clientCloseRequested
	clientConnEnded
)

func (e clientEvent) String() string {
	return [...]string{"none", "opened", "close requested", "ended"}[e]
}

// A message that was read with the one by which the connection ended may ask for the close once more.
var clientTransitions = statemachine.Table[clientState, clientEvent]{
	clientAccepted:    {clientConnOpened: clientEstablished},
	clientEstablished: {clientCloseRequested: clientClosing, clientConnEnded: clientClosed},
	clientClosing:     {clientCloseRequested: clientClosing, clientConnEnded: clientClosed},
	clientClosed:      {clientCloseRequested: clientClosed},
}

// transition is the only place where the state of a client connection changes.
func (cc *clientConn) transition(event clientEvent) error {
	err := clientTransitions.Apply(statemachine.Unnamed, &cc.state, event)
	if err != nil {
		cc.env.reportIllegal(err, "client", cc.id)
	}
	return err
}

// isOpen reports whether the connection has not ended.
func (cc *clientConn) isOpen() bool { return cc.state != clientClosed }

// isWritable reports whether messages may be written. Where the connection is closing, the attempt resets it.
func (cc *clientConn) isWritable() bool {
	return cc.state == clientEstablished || cc.state == clientClosing
}
