package session

import (
	"bytes"
	"fmt"
	"slices"

	"glenport/internal/bgp/wire"
	"glenport/scheduler"
)

// maxRestartTime is the highest restart time that the graceful restart capability can encode, in seconds.
const maxRestartTime = 4095

// maxTwoOctetAS is the highest AS number that a peer without four-octet AS numbers supports.
const maxTwoOctetAS = 0xFFFF

// negotiation builds the local Open and compares the peer's Open with the configuration.
type negotiation struct{ peer PeerConfig }

// open returns the local Open. If it announces a restart, the peer may keep the routes of the previous session.
func (n negotiation) open(restarted bool) *wire.Open {
	o := &wire.Open{
		AS:          n.peer.LocalAS,
		HoldTime:    uint16(n.peer.HoldTime / scheduler.Second),
		ID:          n.peer.LocalID,
		Families:    n.peer.Families,
		FourOctetAS: true,
		Refresh:     true,
	}
	if n.peer.RestartTime > 0 {
		o.Restart = n.gracefulRestart(restarted)
	}
	return o
}

// gracefulRestart returns the capability, with the forwarding state preserved in all families: containers keep running
// on their machines during a restart.
func (n negotiation) gracefulRestart(restarted bool) *wire.GracefulRestart {
	preserved := map[wire.Family]bool{}
	for _, f := range n.peer.Families {
		preserved[f] = true
	}
	return &wire.GracefulRestart{
		Restarted:           restarted,
		Time:                uint16(min(maxRestartTime, n.peer.RestartTime/scheduler.Second)),
		ForwardingPreserved: preserved,
	}
}

// checkOpen returns the reason to reject the peer's Open, or nil if it is acceptable.
func (n negotiation) checkOpen(o *wire.Open) *wire.MessageError {
	needsFourOctetAS := n.peer.LocalAS > maxTwoOctetAS || n.peer.PeerAS > maxTwoOctetAS
	switch {
	case o.AS != n.peer.PeerAS:
		return openError(wire.SubcodeBadPeerAS, fmt.Sprintf("the peer is AS %d, not %d", o.AS, n.peer.PeerAS))
	case o.ID == n.peer.LocalID:
		return openError(wire.SubcodeBadIdentifier, "the peer has our identifier")
	case !o.FourOctetAS && needsFourOctetAS:
		return openError(wire.SubcodeUnsupportedCapability, "the peer has no four-octet AS numbers")
	case len(n.sharedFamilies(o)) == 0:
		return openError(wire.SubcodeUnsupportedCapability, "no family is shared")
	}
	return nil
}

func openError(subcode wire.Subcode, reason string) *wire.MessageError {
	return &wire.MessageError{Notification: wire.Notification{Code: wire.CodeOpen, Subcode: subcode}, Reason: reason}
}

// sharedFamilies returns the families that both sides support. A peer that announces no family supports IPv4.
func (n negotiation) sharedFamilies(o *wire.Open) (shared []wire.Family) {
	peerFamilies := o.Families
	if len(peerFamilies) == 0 {
		peerFamilies = []wire.Family{wire.IPv4}
	}
	for _, f := range n.peer.Families {
		if slices.Contains(peerFamilies, f) {
			shared = append(shared, f)
		}
	}
	return shared
}

// holdTime returns the negotiated hold time, the lower one of both sides.
func (n negotiation) holdTime(o *wire.Open) scheduler.Time {
	return min(n.peer.HoldTime, scheduler.Time(o.HoldTime)*scheduler.Second)
}

// keepsInbound reports whether a collision is resolved in favor of the inbound connection: the connection that the side
// with the higher identifier opened is kept (RFC 4271, section 6.8).
func (n negotiation) keepsInbound(o *wire.Open) bool {
	return bytes.Compare(n.peer.LocalID[:], o.ID[:]) < 0
}

// result returns the outcome of the negotiation, given the Open of the peer.
func (n negotiation) result(o *wire.Open) Up {
	return Up{
		Families:     n.sharedFamilies(o),
		SendEndOfRIB: o.Restart != nil && n.peer.RestartTime > 0,
		FourOctetAS:  o.FourOctetAS,
	}
}
