package speaker

import (
	"glenport/internal/bgp/announce"
)

// PeerStatus is the state of a peer's session, for operators.
type PeerStatus struct {
	Addr          string
	AS            uint32
	State         string // as in RFC 4271
	Routes        int    // the peer has
	PendingRoutes int    // changes that are not sent yet
	Updates       int    // messages sent
	Bytes         int    // of these
	Flaps         int    // ends of established sessions
	LastError     string // why the last established session ended
}

// Peers returns the state of all sessions, in the order of the configuration.
func (s *Speaker) Peers() []PeerStatus {
	var peers []PeerStatus
	for _, p := range s.peers {
		peers = append(peers, p.status())
	}
	return peers
}

// Status returns the state of a service's address, and whether it has one.
func (s *Speaker) Status(service string) (announce.Status, bool) { return s.routes.Status(service) }

func (p *peer) status() PeerStatus {
	return PeerStatus{
		Addr:          p.settings.Addr,
		AS:            p.settings.ASN,
		State:         p.session.State().String(),
		Routes:        len(p.rib.sent),
		PendingRoutes: len(p.rib.pending),
		Updates:       p.updates,
		Bytes:         p.bytes,
		Flaps:         p.flaps,
		LastError:     p.lastError,
	}
}
