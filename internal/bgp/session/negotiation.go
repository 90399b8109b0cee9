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

// maxTwoOctetAS is the highest AS number of a peer without four-octet AS numbers.
const maxTwoOctetAS = 0xFFFF

// negotiation compares the peer's Open with what is configured for it.
type negotiation struct{ peer PeerConfig }

// open returns our Open, which says whether we have restarted, so that the peer may keep our routes meanwhile.
func (n negotiation) open(restarted bool) *wire.Open {
	o := &wire.Open{
		AS:          n.peer.OwnAS,
		HoldTime:    uint16(n.peer.HoldTime / scheduler.Second),
		ID:          n.peer.ID,
		Families:    n.peer.Families,
		FourOctetAS: true,
		Refresh:     true,
	}
	if n.peer.RestartTime > 0 {
		o.Restart = n.gracefulRestart(restarted)
	}
	return o
}

// gracefulRestart says that forwarding is preserved: containers run on their machines without us.
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

// check returns why the peer's Open is not acceptable, or nil.
func (n negotiation) check(o *wire.Open) *wire.MessageError {
	needsFourOctetAS := n.peer.OwnAS > maxTwoOctetAS || n.peer.PeerAS > maxTwoOctetAS
	switch {
	case o.AS != n.peer.PeerAS:
		return openError(wire.SubcodeBadPeerAS, fmt.Sprintf("the peer is AS %d, not %d", o.AS, n.peer.PeerAS))
	case o.ID == n.peer.ID:
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

// sharedFamilies returns the families that both sides have; a peer without the capability has IPv4.
func (n negotiation) sharedFamilies(o *wire.Open) (shared []wire.Family) {
	theirs := o.Families
	if len(theirs) == 0 {
		theirs = []wire.Family{wire.IPv4}
	}
	for _, f := range n.peer.Families {
		if slices.Contains(theirs, f) {
			shared = append(shared, f)
		}
	}
	return shared
}

// holdTime returns the lower of both sides' hold times.
func (n negotiation) holdTime(o *wire.Open) scheduler.Time {
	return min(n.peer.HoldTime, scheduler.Time(o.HoldTime)*scheduler.Second)
}

// keepsInbound reports whether, of colliding connections, the one that the peer opened stays: the side with the higher
// identifier keeps its own (RFC 4271, section 6.8).
func (n negotiation) keepsInbound(o *wire.Open) bool { return bytes.Compare(n.peer.ID[:], o.ID[:]) < 0 }

// result reports what was negotiated with the peer whose Open this is.
func (n negotiation) result(o *wire.Open) Up {
	return Up{
		Families:     n.sharedFamilies(o),
		SendEndOfRIB: o.Restart != nil && n.peer.RestartTime > 0,
		FourOctetAS:  o.FourOctetAS,
	}
}
