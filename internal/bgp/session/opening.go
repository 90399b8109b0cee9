package session

import (
	"bytes"
	"fmt"
	"slices"

	"glenport/internal/bgp/wire"
	"glenport/scheduler"
)

// maxRestartTime is the highest restart time that fits into its capability, in seconds.
const maxRestartTime = 4095

// open returns our Open.
func (s *Session) open() *wire.Open {
	o := &wire.Open{
		AS:          s.peer.OwnAS,
		HoldTime:    uint16(s.peer.HoldTime / scheduler.Second),
		ID:          s.peer.ID,
		Families:    s.peer.Families,
		FourOctetAS: true,
		Refresh:     true,
	}
	if s.peer.RestartTime > 0 {
		o.Restart = s.gracefulRestart()
	}
	return o
}

// gracefulRestart says that forwarding is preserved: containers run on their machines without us.
func (s *Session) gracefulRestart() *wire.GracefulRestart {
	preserved := map[wire.Family]bool{}
	for _, f := range s.peer.Families {
		preserved[f] = true
	}
	return &wire.GracefulRestart{
		Restarted:           !s.everEstablished,
		Time:                uint16(min(maxRestartTime, s.peer.RestartTime/scheduler.Second)),
		ForwardingPreserved: preserved,
	}
}

// receiveOpen checks the peer's Open, resolves a collision and confirms what was negotiated.
func (s *Session) receiveOpen(in input) {
	c, open := in.connection, in.message.(*wire.Open)
	if rejection := s.checkOpen(open); rejection != nil {
		s.resetConnection(c, rejection)
		return
	}
	if !s.resolveCollision(c, open) {
		return
	}
	c.peerOpen = open
	s.holdTime = min(s.peer.HoldTime, scheduler.Time(open.HoldTime)*scheduler.Second)
	s.state = OpenConfirm
	s.emit(SendMessage{c.id, &wire.Keepalive{}})
	if s.holdTime == 0 {
		s.emit(ClearTimer{HoldTimer})
		s.emit(ClearTimer{KeepaliveTimer})
		return
	}
	s.emit(SetTimer{HoldTimer, s.holdTime})
	s.emit(SetTimer{KeepaliveTimer, s.holdTime / keepalivesPerHoldTime})
}

// checkOpen compares the peer's Open with what is configured. It returns nil for an acceptable one.
func (s *Session) checkOpen(o *wire.Open) *wire.MessageError {
	needsFourOctetAS := s.peer.OwnAS > 0xFFFF || s.peer.PeerAS > 0xFFFF
	switch {
	case o.AS != s.peer.PeerAS:
		return openError(wire.SubcodeBadPeerAS, fmt.Sprintf("the peer is AS %d, not %d", o.AS, s.peer.PeerAS))
	case o.ID == s.peer.ID:
		return openError(wire.SubcodeBadIdentifier, "the peer has our identifier")
	case !o.FourOctetAS && needsFourOctetAS:
		return openError(wire.SubcodeUnsupportedCapability, "the peer has no four-octet AS numbers")
	case len(s.sharedFamilies(o)) == 0:
		return openError(wire.SubcodeUnsupportedCapability, "no family is shared")
	}
	return nil
}

func openError(subcode wire.Subcode, reason string) *wire.MessageError {
	return &wire.MessageError{Notification: wire.Notification{Code: wire.CodeOpen, Subcode: subcode}, Reason: reason}
}

// sharedFamilies returns the families that both sides have; a peer without the capability has IPv4.
func (s *Session) sharedFamilies(o *wire.Open) (shared []wire.Family) {
	theirs := o.Families
	if len(theirs) == 0 {
		theirs = []wire.Family{wire.IPv4}
	}
	for _, f := range s.peer.Families {
		if slices.Contains(theirs, f) {
			shared = append(shared, f)
		}
	}
	return shared
}

// resolveCollision keeps, of two connections on which the peer's Open has come, the one that the side with the higher
// identifier opened (RFC 4271, section 6.8). It returns whether c, on which this Open came, stays.
func (s *Session) resolveCollision(c *connection, open *wire.Open) (stays bool) {
	keepInbound := bytes.Compare(s.peer.ID[:], open.ID[:]) < 0
	for _, other := range s.orderedConnections() {
		if other == c || other.peerOpen == nil {
			continue
		}
		loser := c
		if c.inbound == keepInbound {
			loser = other
		}
		s.closeColliding(loser)
		s.emit(Log{Message: "BGP connections collided, one was closed"})
		if loser == c {
			return false
		}
	}
	return true
}

func (s *Session) closeColliding(c *connection) {
	s.closeConnection(c, &wire.Notification{Code: wire.CodeCease, Subcode: wire.SubcodeCollisionResolution})
}

// establish ends the negotiation. Another connection, whose negotiation has not come as far, is closed.
func (s *Session) establish(in input) {
	c := in.connection
	for _, other := range s.orderedConnections() {
		if other != c {
			s.closeColliding(other)
		}
	}
	s.abandonDial()
	s.state = Established
	s.restartHoldTimer()
	s.idleHoldTime, s.everEstablished = minIdleHoldTime, true
	s.emit(Up{
		Families:     s.sharedFamilies(c.peerOpen),
		SendEndOfRIB: c.peerOpen.Restart != nil && s.peer.RestartTime > 0,
		FourOctetAS:  c.peerOpen.FourOctetAS,
	})
	s.emit(Log{Message: "BGP session established"})
}
