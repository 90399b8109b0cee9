package speaker

import (
	"net/netip"
	"slices"

	"glenport/internal/bgp/announce"
	"glenport/internal/bgp/wire"
	"glenport/internal/eventloop"
)

const (
	// outputPauseThreshold is the pending output of a peer, in bytes, above which changes are deferred. Later
	// changes of a prefix replace deferred ones.
	outputPauseThreshold = 64 << 10
	// pausedSendInterval is the interval at which the pending output is checked while changes are deferred.
	pausedSendInterval = 20 * eventloop.Millisecond
	// maxChangesPerIteration limits the changes sent to one peer before the event loop handles other work.
	maxChangesPerIteration = 4000
)

// changeRoute records a new path of a prefix, or a withdrawal if path is nil, unless the policy or the families of the
// peer exclude the prefix.
func (p *peer) changeRoute(prefix netip.Prefix, path *announce.Path) {
	if p.up != nil && p.shouldExport(prefix) {
		p.rib.change(prefix, path)
	}
}

func (p *peer) shouldExport(prefix netip.Prefix) bool {
	return p.allowed.LookupPrefix(prefix) && slices.Contains(p.up.Families, wire.FamilyOf(prefix))
}

// resendRoutes sends all routes of a family again, as the peer requested by a route refresh.
func (p *peer) resendRoutes(f wire.Family) {
	for _, a := range p.speaker.routes.Announced() {
		if wire.FamilyOf(a.Prefix) == f {
			p.changeRoute(a.Prefix, &a.Path)
		}
	}
	p.sendPending()
}

// sendPending sends pending changes unless too much output is waiting for the peer. After the last change it sends
// End-of-RIB if due.
func (p *peer) sendPending() {
	if p.up == nil || p.conn == nil || p.sendTimer != nil {
		return
	}
	if p.conn.conn.PendingOutput() > outputPauseThreshold {
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

// sendUpdate sends an update on the connection of the session, if it is still open.
func (p *peer) sendUpdate(u *wire.Update) {
	if p.conn != nil {
		p.conn.send(u)
	}
}

// pathAttributes returns the path attributes for this peer. A peer in another AS receives the local AS number in the AS
// path and no local preference.
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
