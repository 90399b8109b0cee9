package session

import (
	"log/slog"

	"glenport/internal/bgp/wire"
	"glenport/scheduler"
)

// Action is an output of the state machine, to be executed by the caller.
type Action interface{ action() }

// Dial opens a connection to the peer. ConnOpened or ConnClosed reports the result.
type Dial struct{ Conn ConnID }

// SendMessage sends a message on a connection.
type SendMessage struct {
	Conn    ConnID
	Message wire.Message
}

// CloseConn closes a connection after the output has been sent, or abandons a Dial. No event follows.
type CloseConn struct{ Conn ConnID }

// SetTimer starts a timer, or restarts it.
type SetTimer struct {
	Timer Timer
	After scheduler.Time
}

// ClearTimer stops a timer if it is running.
type ClearTimer struct{ Timer Timer }

// Up reports that the session is established. All routes of the families have to be sent, followed by an End-of-RIB
// marker for each family if SendEndOfRIB is set.
type Up struct {
	Families     []wire.Family
	SendEndOfRIB bool
	FourOctetAS  bool
}

// Down reports the end of an established session.
type Down struct{ Reason string }

// ResendRoutes requests that all routes of a family be sent again.
type ResendRoutes struct{ Family wire.Family }

// UpdateIgnored reports an update from the peer, whose routes are never imported (RFC 8212).
type UpdateIgnored struct{ Update *wire.Update }

// Log is a log message with attributes. The message is constant.
type Log struct {
	Message    string
	Attributes []slog.Attr
}

// actionQueue collects the actions that result from one event.
type actionQueue struct{ actions []Action }

func (q *actionQueue) emit(a Action) { q.actions = append(q.actions, a) }

// take returns the actions emitted since the last call.
func (q *actionQueue) take() []Action {
	taken := q.actions
	q.actions = nil
	return taken
}

func (Dial) action()          {}
func (SendMessage) action()   {}
func (CloseConn) action()     {}
func (SetTimer) action()      {}
func (ClearTimer) action()    {}
func (Up) action()            {}
func (Down) action()          {}
func (ResendRoutes) action()  {}
func (UpdateIgnored) action() {}
func (Log) action()           {}
