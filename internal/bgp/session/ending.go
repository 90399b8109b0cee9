package session

import (
	"fmt"
	"log/slog"

	"glenport/internal/bgp/wire"
)

func (s *Session) stop(in input) {
	s.running = false
	s.closeAll(wire.NewShutdown(in.reason), "stopped: "+in.reason)
}

func (s *Session) expireHoldTime(input) {
	s.closeAll(&wire.Notification{Code: wire.CodeHoldTimerExpired}, "the peer was silent for the hold time")
}

// removeConnection handles the end of a connection. The session ends with its last one.
func (s *Session) removeConnection(in input) {
	delete(s.connections, in.connection.id)
	s.endWithoutConnections("the connection ended")
}

func (s *Session) receiveNotification(in input) {
	notification := in.message.(*wire.Notification)
	reason := fmt.Sprintf("the peer sent notification %d/%d", notification.Code, notification.Subcode)
	if text := notification.ShutdownText(); text != "" {
		reason += ": " + text
	}
	s.emit(CloseConn{in.connection.id})
	delete(s.connections, in.connection.id)
	s.endWithoutConnections(reason)
}

func (s *Session) rejectInvalid(in input) { s.resetConnection(in.connection, in.fault) }

// rejectUnexpected answers a message that the state does not allow (RFC 6608).
func (s *Session) rejectUnexpected(in input) {
	subcode, reason := wire.SubcodeUnexpectedInOpenSent, fmt.Sprintf("%T where an Open was due", in.message)
	switch in.state {
	case OpenConfirm:
		subcode, reason = wire.SubcodeUnexpectedInOpenConfirm, fmt.Sprintf("%T where a Keepalive was due", in.message)
	case Established:
		subcode, reason = wire.SubcodeUnexpectedInEstablished, fmt.Sprintf("%T in an established session", in.message)
	}
	s.resetConnection(in.connection, &wire.MessageError{
		Notification: wire.Notification{Code: wire.CodeFSM, Subcode: subcode},
		Reason:       reason,
	})
}

// resetConnection closes a connection because of the peer's fault.
func (s *Session) resetConnection(c *connection, fault *wire.MessageError) {
	s.closeConnection(c, &fault.Notification)
	s.endWithoutConnections(fault.Reason)
}

func (s *Session) closeConnection(c *connection, notification *wire.Notification) {
	s.emit(SendMessage{c.id, notification})
	s.emit(CloseConn{c.id})
	delete(s.connections, c.id)
}

// closeAll closes all connections, abandons the attempt under way and ends the session.
func (s *Session) closeAll(notification *wire.Notification, reason string) {
	for _, c := range s.orderedConnections() {
		s.closeConnection(c, notification)
	}
	s.abandonDial()
	s.end(reason)
}

func (s *Session) endWithoutConnections(reason string) {
	if len(s.connections) == 0 {
		s.end(reason)
	}
}

// end reports the session's end and goes back to Idle.
func (s *Session) end(reason string) {
	if s.state == Established {
		s.emit(Down{reason})
	}
	s.emit(ClearTimer{HoldTimer})
	s.emit(ClearTimer{KeepaliveTimer})
	s.emit(ClearTimer{ConnectRetryTimer})
	if s.state != Idle {
		s.emit(Log{Message: "BGP session ended", Attributes: []slog.Attr{
			slog.String("reason", reason),
			slog.String("state", s.state.String()),
		}})
	}
	s.state = Idle
	if s.running {
		s.backOff()
	}
}

// backOff waits in Idle before the next attempt, longer after each that failed.
func (s *Session) backOff() {
	s.state = Idle
	s.emit(ClearTimer{ConnectRetryTimer})
	s.emit(SetTimer{IdleHoldTimer, s.idleHoldTime})
	s.idleHoldTime = min(maxIdleHoldTime, 2*s.idleHoldTime)
}
