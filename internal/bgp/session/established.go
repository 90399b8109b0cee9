package session

import (
	"glenport/internal/bgp/wire"
)

func (s *Session) receiveKeepalive(input) { s.restartHoldTimer() }

func (s *Session) ignoreUpdate(in input) {
	s.emit(UpdateIgnored{in.message.(*wire.Update)})
	s.restartHoldTimer()
}

// resendRoutes answers a route refresh; one of a family that is not shared is ignored.
func (s *Session) resendRoutes(in input) {
	requested := in.message.(*wire.RouteRefresh).Family
	for _, f := range s.sharedFamilies(in.connection.peerOpen) {
		if f == requested {
			s.emit(ResendRoutes{f})
		}
	}
	s.restartHoldTimer()
}

// sendKeepalives sends one on each connection whose Open was accepted.
func (s *Session) sendKeepalives(input) {
	if s.holdTime == 0 {
		return
	}
	for _, c := range s.orderedConnections() {
		if c.peerOpen != nil {
			s.emit(SendMessage{c.id, &wire.Keepalive{}})
		}
	}
	s.emit(SetTimer{KeepaliveTimer, s.holdTime / keepalivesPerHoldTime})
}

func (s *Session) restartHoldTimer() {
	if s.holdTime > 0 {
		s.emit(SetTimer{HoldTimer, s.holdTime})
	}
}
