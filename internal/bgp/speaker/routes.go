package speaker

import (
	"net/netip"
	"slices"

	"glenport/internal/bgp/announce"
	"glenport/internal/bgp/wire"
	"glenport/internal/eventloop"
)

const (
	// pauseOutput is how many bytes may wait for a peer before changes are held back, so that later ones replace them.
	pauseOutput = 64 << 10
	// pausedSendInterval is how often a peer's output is looked at while changes are held back.
	pausedSendInterval = 20 * eventloop.Millisecond
	// maxChangesPerIteration is how many changes one peer is sent before the loop turns to other work.
	maxChangesPerIteration = 4000
)

// changeRoute notes a path, or a withdrawal if it is nil, unless the peer's policy or families exclude the prefix.
func (p *peer) changeRoute(prefix netip.Prefix, path *announce.Path) {
	if p.up != nil && p.accepts(prefix) {
		p.rib.change(prefix, path)
	}
}

func (p *peer) accepts(prefix netip.Prefix) bool {
	return p.allowed.LookupPrefix(prefix) && slices.Contains(p.up.Families, wire.FamilyOf(prefix))
}

// resendRoutes answers the peer's route refresh.
func (p *peer) resendRoutes(f wire.Family) {
	for _, a := range p.speaker.routes.Announced() {
		if wire.FamilyOf(a.Prefix) == f {
			p.changeRoute(a.Prefix, &a.Path)
		}
	}
	p.sendPending()
}

// sendPending sends pending changes as long as the peer takes them, and then marks the end of routes if that is due.
func (p *peer) sendPending() {
	if p.up == nil || p.conn == nil || p.sendTimer != nil {
		return
	}
	if p.conn.conn.PendingOutput() > pauseOutput {
		p.sendPendingAfter(pausedSendInterval)
		return
	}
	p.sendUpdates(p.rib.take(maxChangesPerIteration))
	if len(p.rib.pending) > 0 {
		p.sendPendingAfter(0)
		return
	}
	if p.endOfRIBDue && p.speaker.routesComplete {
		p.endOfRIBDue = false
		p.sendEndOfRIB()
	}
}

func (p *peer) sendPendingAfter(delay eventloop.Tick) {
	p.sendTimer = p.speaker.loop.After(delay, func() {
		p.sendTimer = nil
		p.sendPending()
	})
}

func (p *peer) sendUpdates(withdrawn []netip.Prefix, announced []*routeGroup) {
	updates := wire.Pack(withdrawn, nil, wire.PathAttributes{})
	for _, group := range announced {
		updates = append(updates, wire.Pack(nil, group.prefixes, p.pathAttributes(group.path))...)
	}
	for _, u := range updates {
		p.sendUpdate(u)
	}
}

func (p *peer) sendEndOfRIB() {
	for _, f := range p.up.Families {
		p.sendUpdate(wire.EndOfRIB(f))
	}
}

// sendUpdate sends an update on the session's connection, if that is still there.
func (p *peer) sendUpdate(u *wire.Update) {
	if p.conn != nil {
		p.conn.send(u)
	}
}

// pathAttributes returns the path for this peer: a peer of another AS receives ours in the AS path and no local
// preference.
func (p *peer) pathAttributes(path announce.Path) wire.PathAttributes {
	attributes := wire.PathAttributes{NextHop: path.NextHop, Communities: path.CommunityList()}
	if p.settings.ASN == p.speaker.settings.ASN {
		attributes.LocalPref, attributes.HasLocalPref = path.Preference, true
	} else {
		attributes.ASPath = []uint32{p.speaker.settings.ASN}
	}
	if path.MED > 0 {
		attributes.MED, attributes.HasMED = path.MED, true
	}
	return attributes
}
