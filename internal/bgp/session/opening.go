package session

import "glenport/internal/bgp/wire"

// openReceived checks the peer's Open, resolves a collision and confirms the Open with a Keepalive.
func (s *Session) openReceived(c *connection, open *wire.Open) {
	if s.stateOf(c) != OpenSent {
		s.rejectUnexpected(c, open)
		return
	}
	if rejection := s.negotiation.checkOpen(open); rejection != nil {
		s.resetConnection(c, rejection)
		return
	}
	if !s.resolveCollision(c, open) {
		return
	}
	c.peerOpen = open
	s.transition(OpenConfirm)
	s.connections.send(c.id, &wire.Keepalive{})
	s.timers.startNegotiatedTimers(s.negotiation.holdTime(open))
}

// resolveCollision closes one of two connections on which the peer's Open has been received. It keeps the connection
// that the side with the higher identifier opened. It reports whether c, on which this Open was received, is kept.
func (s *Session) resolveCollision(c *connection, open *wire.Open) (kept bool) {
	keepInbound := s.negotiation.keepsInbound(open)
	for _, other := range s.connections.except(c) {
		if other.peerOpen == nil {
			continue
		}
		duplicate := c
		if c.inbound == keepInbound {
			duplicate = other
		}
		s.connections.closeColliding(duplicate)
		s.log("colliding BGP connection closed")
		if duplicate == c {
			return false
		}
	}
	return true
}

// keepaliveReceived establishes the session in OpenConfirm and restarts the hold timer in Established.
func (s *Session) keepaliveReceived(c *connection, m *wire.Keepalive) {
	switch s.stateOf(c) {
	case OpenConfirm:
		s.establish(c)
	case Established:
		s.timers.restartHoldTimer()
	case Idle, Connect, Active, OpenSent:
		s.rejectUnexpected(c, m)
	}
}

// establish ends the negotiation on a connection. It closes a colliding connection, which is still in an earlier state.
func (s *Session) establish(c *connection) {
	for _, other := range s.connections.except(c) {
		s.connections.closeColliding(other)
	}
	s.connections.abandonDial()
	s.transition(Established)
	s.timers.restartHoldTimer()
	s.timers.resetIdleHoldTime()
	s.wasEstablished = true
	s.actions.emit(s.negotiation.result(c.peerOpen))
	s.log("BGP session established")
}
