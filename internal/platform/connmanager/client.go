package connmanager

import "glenport/internal/statemachine"

// client is what is known of one client connection.
type client struct {
	id           ClientID
	state        clientState
	evidence     ownershipEvidence
	connectedAt  Time
	lastActiveAt Time // when bytes were last read from it or sent to it
	partialSince Time // since when its message is incomplete; 0 if none is
	openRequests int  // placement requests that await their answer
	readPause    Time // the last pause after an invalid message
}

// clientState is the state of a client connection.
type clientState uint8

const (
	unserved     clientState = iota + 1 // nothing was sent to it yet
	served                              // a message was sent to it
	closing                             // CloseClient was returned for it
	disconnected                        // its connection has ended
)

func (s clientState) String() string {
	return [...]string{"none", "unserved", "served", "closing", "disconnected"}[s]
}

// clientEvent is what changes the state of a client connection.
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
	unserved: {messageSent: served, connectionEnded: disconnected, closeDecided: closing},
	served:   {messageSent: served, connectionEnded: disconnected, closeDecided: closing},
	closing:  {messageSent: closing, connectionEnded: disconnected},
}

// transition is the only place where the state of a client changes. It reports whether the event was legal.
func (m *Manager) transition(c *client, event clientEvent) bool {
	err := clientTransitions.Apply(statemachine.Unnamed, &c.state, event)
	if err != nil {
		m.emit(ReportError{Client: c.id, Err: err})
	}
	return err == nil
}

func (c *client) isClosing() bool { return c.state == closing }

// ownershipEvidence orders clients by how sure it is that they own containers.
type ownershipEvidence uint8

const (
	evidenceNone         ownershipEvidence = iota
	evidenceReclaimed                      // it claimed to own a running container
	evidenceProven                         // a placement request of it was accepted
	evidenceAcknowledged                   // it acknowledged a termination that it was notified of
)

// addEvidence takes in evidence that a client owns containers; the strongest counts.
func (c *client) addEvidence(evidence ownershipEvidence) { c.evidence = max(c.evidence, evidence) }

// isOwner reports whether there is evidence that a client owns containers.
func (c *client) isOwner() bool { return c.evidence > evidenceNone }
