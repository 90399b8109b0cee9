package session

import "glenport/internal/bgp/wire"

// openReceived checks the peer's Open, resolves a collision and confirms what was negotiated.
func (s *Session) openReceived(c *connection, open *wire.Open) {
	if s.stateOf(c) != OpenSent {
		s.rejectUnexpected(c, open)
		return
	}
	if rejection := s.negotiation.check(open); rejection != nil {
		s.resetConnection(c, rejection)
		return
	}
	if !s.resolveCollision(c, open) {
		return
	}
	c.peerOpen = open
	s.transition(OpenConfirm)
	s.connections.send(c.id, &wire.Keepalive{})
	s.timers.startHolding(s.negotiation.holdTime(open))
}

// resolveCollision keeps, of two connections on which the peer's Open has come, the one that the side with the higher
// identifier opened. It returns whether c, on which this Open came, stays.
func (s *Session) resolveCollision(c *connection, open *wire.Open) (stays bool) {
	keepInbound := s.negotiation.keepsInbound(open)
	for _, other := range s.connections.others(c) {
		if other.peerOpen == nil {
			continue
		}
		loser := c
		if c.inbound == keepInbound {
			loser = other
		}
		s.connections.closeColliding(loser)
		s.log("BGP connections collided, one was closed")
		if loser == c {
			return false
		}
	}
	return true
}

// keepaliveReceived establishes a session whose negotiation it ends, or shows that the peer is alive.
func (s *Session) keepaliveReceived(c *connection, m *wire.Keepalive) {
	switch s.stateOf(c) {
	case OpenConfirm:
		s.establish(c)
	case Established:
		s.timers.restartHold()
	case Idle, Connect, Active, OpenSent:
		s.rejectUnexpected(c, m)
	}
}

// establish ends the negotiation. Another connection, whose negotiation has not come as far, is closed.
func (s *Session) establish(c *connection) {
	for _, other := range s.connections.others(c) {
		s.connections.closeColliding(other)
	}
	s.connections.abandonDial()
	s.transition(Established)
	s.timers.restartHold()
	s.timers.resetIdleHoldTime()
	s.wasEstablished = true
	s.actions.emit(s.negotiation.result(c.peerOpen))
	s.log("BGP session established")
}
