package session

import (
	"glenport/internal/bgp/wire"
)

// eventKind distinguishes events as the state machine does: by type of message, by timer, and by whether a connection
// is known.
type eventKind uint8

const (
	irrelevant eventKind = iota // it concerns a connection that is none of the session's
	manualStart
	manualStop
	connectionOpened
	abandonedDialOpened // the session has given the attempt up meanwhile
	dialFailed
	connectionClosed
	connectRetryTimerExpired
	holdTimerExpired
	keepaliveTimerExpired
	idleHoldTimerExpired
	openReceived
	updateReceived
	notificationReceived
	keepaliveReceived
	routeRefreshReceived
	invalidMessageReceived
)

// transition handles one kind of event in one state.
type transition func(*Session, input)

// transitions is the state machine of RFC 4271, section 8.2.2: by state, what happens on an event. An event that a
// state does not list is handled by inAnyState, or else ignored.
//
// As each connection has a state machine of its own there, events of a connection whose peer has sent no Open are
// looked up in OpenSent, also if a colliding connection has taken the session to OpenConfirm.
var transitions = map[State]map[eventKind]transition{
	Idle: {
		manualStart:          (*Session).start,
		idleHoldTimerExpired: (*Session).retry,
		connectionOpened:     (*Session).rejectConnection,
	},
	Connect: {
		connectRetryTimerExpired: (*Session).abandonDialAndRetry,
		connectionOpened:         (*Session).acceptConnection,
		dialFailed:               (*Session).backOffAfterDial,
	},
	Active: {
		connectRetryTimerExpired: (*Session).abandonDialAndRetry,
		connectionOpened:         (*Session).acceptConnection,
	},
	OpenSent: {
		connectionOpened:       (*Session).acceptCollidingConnection,
		connectionClosed:       (*Session).removeConnection,
		holdTimerExpired:       (*Session).expireHoldTime,
		openReceived:           (*Session).receiveOpen,
		updateReceived:         (*Session).rejectUnexpected,
		notificationReceived:   (*Session).receiveNotification,
		keepaliveReceived:      (*Session).rejectUnexpected,
		routeRefreshReceived:   (*Session).rejectUnexpected,
		invalidMessageReceived: (*Session).rejectInvalid,
	},
	OpenConfirm: {
		connectionOpened:       (*Session).acceptCollidingConnection,
		connectionClosed:       (*Session).removeConnection,
		holdTimerExpired:       (*Session).expireHoldTime,
		keepaliveTimerExpired:  (*Session).sendKeepalives,
		openReceived:           (*Session).rejectUnexpected,
		updateReceived:         (*Session).rejectUnexpected,
		notificationReceived:   (*Session).receiveNotification,
		keepaliveReceived:      (*Session).establish,
		routeRefreshReceived:   (*Session).rejectUnexpected,
		invalidMessageReceived: (*Session).rejectInvalid,
	},
	Established: {
		connectionOpened:       (*Session).rejectConnection,
		connectionClosed:       (*Session).removeConnection,
		holdTimerExpired:       (*Session).expireHoldTime,
		keepaliveTimerExpired:  (*Session).sendKeepalives,
		openReceived:           (*Session).rejectUnexpected,
		updateReceived:         (*Session).ignoreUpdate,
		notificationReceived:   (*Session).receiveNotification,
		keepaliveReceived:      (*Session).receiveKeepalive,
		routeRefreshReceived:   (*Session).resendRoutes,
		invalidMessageReceived: (*Session).rejectInvalid,
	},
}

// inAnyState holds what does not depend on the state.
var inAnyState = map[eventKind]transition{
	manualStop:          (*Session).stop,
	abandonedDialOpened: (*Session).closeAbandonedDial,
	dialFailed:          (*Session).forgetDial,
}

func transitionOf(state State, kind eventKind) transition {
	if t, listed := transitions[state][kind]; listed {
		return t
	}
	return inAnyState[kind]
}

// input is a classified event. Which fields are set depends on its kind.
type input struct {
	kind       eventKind
	state      State // in which the event is looked up
	reason     string
	opened     ConnOpened
	connection *connection
	message    wire.Message
	fault      *wire.MessageError
}

func (s *Session) classify(e Event) input {
	in := input{state: s.state}
	switch e := e.(type) {
	case Start:
		in.kind = manualStart
	case Stop:
		in.kind, in.reason = manualStop, e.Reason
	case ConnOpened:
		in.kind, in.opened = s.kindOfOpened(e), e
	case ConnClosed:
		if e.Conn == s.dialing {
			in.kind = dialFailed
		} else if c := s.connections[e.Conn]; c != nil {
			in.kind, in.connection = connectionClosed, c
		}
	case MessageReceived:
		if c := s.connections[e.Conn]; c != nil {
			return input{kind: kindOfMessage(e.Message), state: s.stateOf(c), connection: c, message: e.Message}
		}
	case MessageInvalid:
		if c := s.connections[e.Conn]; c != nil {
			return input{kind: invalidMessageReceived, state: s.stateOf(c), connection: c, fault: e.Err}
		}
	case TimerExpired:
		in.kind = kindOfTimer[e.Timer]
	}
	return in
}

var kindOfTimer = map[Timer]eventKind{
	ConnectRetryTimer: connectRetryTimerExpired,
	HoldTimer:         holdTimerExpired,
	KeepaliveTimer:    keepaliveTimerExpired,
	IdleHoldTimer:     idleHoldTimerExpired,
}

func (s *Session) kindOfOpened(e ConnOpened) eventKind {
	if !e.Inbound && e.Conn != s.dialing {
		return abandonedDialOpened
	}
	return connectionOpened
}

func kindOfMessage(m wire.Message) eventKind {
	switch m.(type) {
	case *wire.Open:
		return openReceived
	case *wire.Update:
		return updateReceived
	case *wire.Notification:
		return notificationReceived
	case *wire.Keepalive:
		return keepaliveReceived
	case *wire.RouteRefresh:
		return routeRefreshReceived
	}
	return irrelevant
}

// stateOf returns the state of one connection.
func (s *Session) stateOf(c *connection) State {
	if c.peerOpen == nil {
		return OpenSent
	}
	return s.state
}
