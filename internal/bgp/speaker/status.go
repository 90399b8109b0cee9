package speaker

import (
	"glenport/internal/bgp/announce"
)

// PeerStatus is the state of a peer's session, for operators.
type PeerStatus struct {
	Addr          string
	AS            uint32
	State         string // as in RFC 4271
	Routes        int    // prefixes sent to the peer and not withdrawn
	PendingRoutes int    // changes not sent yet
	Updates       int    // update messages sent
	Bytes         int    // size of the update messages sent
	Flaps         int    // number of established sessions that ended
	LastError     string // reason for the end of the last established session
}

// Peers returns the state of all sessions, in the order of the configuration.
func (s *Speaker) Peers() []PeerStatus {
	var peers []PeerStatus
	for _, p := range s.peers {
		peers = append(peers, p.status())
	}
	return peers
}

// Status returns the state of a service's address, and whether the service is known.
func (s *Speaker) Status(service string) (announce.Status, bool) { return s.routes.Status(service) }

func (p *peer) status() PeerStatus {
	return PeerStatus{
		Addr:          p.settings.Addr,
		AS:            p.settings.ASN,
		State:         p.session.State().String(),
		Routes:        len(p.rib.sent),
		PendingRoutes: len(p.rib.pending),
		Updates:       p.updatesSent,
		Bytes:         p.bytesSent,
		Flaps:         p.flaps,
		LastError:     p.lastError,
	}
}
