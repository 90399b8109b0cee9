package session

import (
	"fmt"
	"log/slog"

	"glenport/internal/bgp/wire"
)

func (s *Session) stop(reason string) {
	s.started = false
	s.connections.closeAll(wire.NewShutdown(reason))
	s.end("stopped: " + reason)
}

func (s *Session) holdTimerExpired() {
	switch s.state {
	case OpenSent, OpenConfirm, Established:
		s.connections.closeAll(&wire.Notification{Code: wire.CodeHoldTimerExpired})
		s.end("the peer was silent for the hold time")
	case Idle, Connect, Active: // no connection is open
	}
}

func (s *Session) notificationReceived(c *connection, notification *wire.Notification) {
	reason := fmt.Sprintf("the peer sent notification %d/%d", notification.Code, notification.Subcode)
	if text := notification.ShutdownText(); text != "" {
		reason += ": " + text
	}
	s.connections.closeWithoutNotification(c)
	s.endIfNoConnections(reason)
}

// rejectUnexpected resets a connection on a message that its state does not allow (RFC 6608).
func (s *Session) rejectUnexpected(c *connection, m wire.Message) {
	subcode, reason := wire.SubcodeUnexpectedInOpenSent, fmt.Sprintf("%T instead of an Open", m)
	switch s.stateOf(c) {
	case OpenConfirm:
		subcode, reason = wire.SubcodeUnexpectedInOpenConfirm, fmt.Sprintf("%T instead of a Keepalive", m)
	case Established:
		subcode, reason = wire.SubcodeUnexpectedInEstablished, fmt.Sprintf("%T in an established session", m)
	case Idle, Connect, Active, OpenSent:
	}
	s.resetConnection(c, &wire.MessageError{
		Notification: wire.Notification{Code: wire.CodeFSM, Subcode: subcode},
		Reason:       reason,
	})
}

// resetConnection closes a connection with the notification for an error of the peer.
func (s *Session) resetConnection(c *connection, fault *wire.MessageError) {
	s.connections.close(c, &fault.Notification)
	s.endIfNoConnections(fault.Reason)
}

func (s *Session) endIfNoConnections(reason string) {
	if len(s.connections.open) == 0 {
		s.end(reason)
	}
}

// end reports the end of the session and returns to Idle.
func (s *Session) end(reason string) {
	if s.state == Established {
		s.actions.emit(Down{reason})
	}
	s.timers.clearSessionTimers()
	if s.state != Idle {
		s.log("BGP session ended", slog.String("reason", reason), slog.String("state", s.state.String()))
	}
	if s.started {
		s.backOff()
		return
	}
	s.transition(Idle)
}

// backOff returns to Idle and starts the wait before the next connection attempt.
func (s *Session) backOff() {
	s.transition(Idle)
	s.timers.startIdleHoldTimer()
}
