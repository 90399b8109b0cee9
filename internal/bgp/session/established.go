package session

import "glenport/internal/bgp/wire"

func (s *Session) updateReceived(c *connection, update *wire.Update) {
	if s.stateOf(c) != Established {
		s.rejectUnexpected(c, update)
		return
	}
	s.actions.emit(UpdateIgnored{update})
	s.timers.restartHoldTimer()
}

// routeRefreshReceived has the routes of a family sent again. A request for a family that is not shared is ignored.
func (s *Session) routeRefreshReceived(c *connection, refresh *wire.RouteRefresh) {
	if s.stateOf(c) != Established {
		s.rejectUnexpected(c, refresh)
		return
	}
	for _, f := range s.negotiation.sharedFamilies(c.peerOpen) {
		if f == refresh.Family {
			s.actions.emit(ResendRoutes{f})
		}
	}
	s.timers.restartHoldTimer()
}

// keepaliveTimerExpired sends a Keepalive on each connection on which the peer's Open was accepted.
func (s *Session) keepaliveTimerExpired() {
	if s.state != OpenConfirm && s.state != Established || s.timers.holdTime == 0 {
		return
	}
	for _, c := range s.connections.sorted() {
		if c.peerOpen != nil {
			s.connections.send(c.id, &wire.Keepalive{})
		}
	}
	s.timers.restartKeepaliveTimer()
}
