package session

import (
	"log/slog"

	"glenport/internal/bgp/wire"
	"glenport/scheduler"
)

// Action is an output of the state machine, which the process carries out.
type Action interface{ action() }

// Dial opens a connection to the peer. ConnOpened or ConnClosed answers it.
type Dial struct{ Conn ConnID }

// SendMessage sends a message on a connection.
type SendMessage struct {
	Conn    ConnID
	Message wire.Message
}

// CloseConn closes a connection after what was sent, or abandons a Dial. No event follows.
type CloseConn struct{ Conn ConnID }

// SetTimer starts a timer, or restarts it.
type SetTimer struct {
	Timer Timer
	After scheduler.Time
}

// ClearTimer stops a timer if it runs.
type ClearTimer struct{ Timer Timer }

// Up reports that the session is established: all routes of the families are to be sent, and then, if SendEndOfRIB is
// set, the end of each family's routes.
type Up struct {
	Families     []wire.Family
	SendEndOfRIB bool
	FourOctetAS  bool
}

// Down reports the end of an established session.
type Down struct{ Reason string }

// ResendRoutes asks for all routes of a family again.
type ResendRoutes struct{ Family wire.Family }

// UpdateIgnored reports an update of the peer: its routes are never imported (RFC 8212).
type UpdateIgnored struct{ Update *wire.Update }

// Log is a constant message with attributes for the log.
type Log struct {
	Message    string
	Attributes []slog.Attr
}

// actionQueue collects the actions that answer one event.
type actionQueue struct{ actions []Action }

func (q *actionQueue) emit(a Action) { q.actions = append(q.actions, a) }

// take returns what was emitted since the last call.
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
