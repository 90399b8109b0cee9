// Package session is the state machine of a BGP peer (RFC 4271, section 8), with collision resolution (6.8),
// capabilities (RFC 5492), hold and keepalive timers, graceful restart of the side that restarts (RFC 4724) and an
// idle hold time that doubles. It is pure: Handle takes an event of a connection or timer and returns what to send,
// open, close and report.
//
// The transitions stand as a table of state and event in transitions.go.
package session

import (
	"maps"
	"slices"

	"glenport/internal/bgp/wire"
	"glenport/scheduler"
)

// State is the state of a session, named as in RFC 4271.
type State uint8

// The states, in the order in which a session passes through them.
const (
	Idle State = iota
	Connect
	Active
	OpenSent
	OpenConfirm
	Established
)

func (s State) String() string {
	return [...]string{"Idle", "Connect", "Active", "OpenSent", "OpenConfirm", "Established"}[s]
}

// Times of the timers; the first two are those that RFC 4271, section 10, suggests.
const (
	connectRetryTime = 120 * scheduler.Second
	openHoldTime     = 4 * 60 * scheduler.Second // in which the peer has to send its Open
	minIdleHoldTime  = scheduler.Second          // after a fault, doubled with each until a session is established
	maxIdleHoldTime  = 60 * scheduler.Second
)

// keepalivesPerHoldTime is how many keepalives are sent in one hold time (RFC 4271, section 4.4).
const keepalivesPerHoldTime = 3

// maxConnections is how many connections a session has while a collision is unresolved.
const maxConnections = 2

// PeerConfig is what is configured for a peer.
type PeerConfig struct {
	OwnAS       uint32
	PeerAS      uint32
	ID          [4]byte        // our BGP identifier
	HoldTime    scheduler.Time // 0: no keepalives
	Families    []wire.Family
	Passive     bool           // only the peer connects
	RestartTime scheduler.Time // how long the peer may keep our routes while we restart; 0: no graceful restart
}

// Session is the state machine of one peer.
type Session struct {
	peer    PeerConfig
	actions []Action
	running bool // between Start and Stop
	state   State
	// connections has entries exactly in OpenSent and the states after it; two while a collision is unresolved.
	connections     map[ConnID]*connection
	lastDialed      ConnID
	dialing         ConnID         // the connection attempt that is under way, or 0
	holdTime        scheduler.Time // negotiated
	idleHoldTime    scheduler.Time // before the next attempt
	everEstablished bool
}

// connection is a connection that is open. Until the peer's Open has come it is in OpenSent, whatever the state of
// the session is.
type connection struct {
	id       ConnID
	inbound  bool
	peerOpen *wire.Open // nil: not received
}

// New returns a session in Idle, which waits for Start.
func New(p PeerConfig) *Session {
	return &Session{peer: p, connections: map[ConnID]*connection{}, idleHoldTime: minIdleHoldTime}
}

// State returns the state of the session.
func (s *Session) State() State { return s.state }

// Handle takes one event and returns what is to be done, in order.
func (s *Session) Handle(e Event) []Action {
	s.actions = nil
	in := s.classify(e)
	if handle := transitionOf(in.state, in.kind); handle != nil {
		handle(s, in)
	}
	return s.actions
}

func (s *Session) emit(a Action) { s.actions = append(s.actions, a) }

// orderedConnections returns the connections in order of their identifiers.
func (s *Session) orderedConnections() []*connection {
	ordered := make([]*connection, 0, len(s.connections))
	for _, id := range slices.Sorted(maps.Keys(s.connections)) {
		ordered = append(ordered, s.connections[id])
	}
	return ordered
}
