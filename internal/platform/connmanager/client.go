package connmanager

import "glenport/internal/statemachine"

// client is the state of one client connection.
type client struct {
	id           ClientID
	state        clientState
	evidence     ownershipEvidence
	connectedAt  Time
	lastActiveAt Time // when bytes were last read from or sent to it
	partialSince Time // when the incomplete message at the end of its input began; 0 if there is none
	openRequests int  // placement requests without an answer
	readPause    Time // duration of the latest pause after an invalid message
}

// clientState is the state of a client connection in the state machine.
type clientState uint8

const (
	clientUnserved     clientState = iota + 1 // no message was sent to it yet
	clientServed                              // a message was sent to it
	clientClosing                             // the process was told to close it (CloseClient)
	clientDisconnected                        // its connection has ended
)

func (s clientState) String() string {
	return [...]string{"none", "unserved", "served", "closing", "disconnected"}[s]
}

// clientEvent is an event of the state machine of a client connection.
type clientEvent uint8

const (
	messageSent clientEvent = iota + 1
	connectionEnded
	closeDecided
)

func (e clientEvent) String() string {
	return [...]string{"none", "message sent", "connection ended", "close decided"}[e]
}

var clientTransitions = statemachine.Table[clientState, clientEvent]{
	clientUnserved: {messageSent: clientServed, connectionEnded: clientDisconnected, closeDecided: clientClosing},
	clientServed:   {messageSent: clientServed, connectionEnded: clientDisconnected, closeDecided: clientClosing},
	clientClosing:  {messageSent: clientClosing, connectionEnded: clientDisconnected},
}

// transition applies an event to the state of a client and reports whether it was legal. The state changes nowhere
// else.
func (m *Manager) transition(c *client, event clientEvent) bool {
	err := clientTransitions.Apply(statemachine.Unnamed, &c.state, event)
	if err != nil {
		m.emit(ReportError{Client: c.id, Err: err})
	}
	return err == nil
}

func (c *client) isClosing() bool { return c.state == clientClosing }

// ownershipEvidence is the strength of the evidence that a client owns containers.
type ownershipEvidence uint8

const (
	evidenceNone         ownershipEvidence = iota
	evidenceReclaimed                      // it claimed to own a running container
	evidenceProven                         // one of its placement requests was accepted
	evidenceAcknowledged                   // it acknowledged a termination that it was notified of
)

// addEvidence raises the level of a client's evidence; a lower level has no effect.
func (c *client) addEvidence(evidence ownershipEvidence) { c.evidence = max(c.evidence, evidence) }

// isOwner reports whether there is any evidence that a client owns containers.
func (c *client) isOwner() bool { return c.evidence > evidenceNone }
