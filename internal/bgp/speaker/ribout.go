package speaker

import (
	"net/netip"
	"slices"

	"glenport/internal/bgp/announce"
)

// adjRIBOut holds the prefixes sent to a peer and the changes that are still to be sent (Adj-RIB-Out in RFC 4271).
type adjRIBOut struct {
	pending map[netip.Prefix]*announce.Path // nil path: a withdrawal
	sent    map[netip.Prefix]bool           // prefixes that were announced and not withdrawn
}

// routeGroup holds prefixes that are announced with the same path.
type routeGroup struct {
	path     announce.Path
	prefixes []netip.Prefix
}

func newAdjRIBOut() adjRIBOut {
	return adjRIBOut{pending: map[netip.Prefix]*announce.Path{}, sent: map[netip.Prefix]bool{}}
}

// change records a new path of a prefix, or a withdrawal if path is nil. It replaces a pending change of the prefix. A
// withdrawal of a prefix that the peer has not received only removes the pending change.
func (r *adjRIBOut) change(prefix netip.Prefix, path *announce.Path) {
	if path == nil && !r.sent[prefix] {
		delete(r.pending, prefix)
		return
	}
	r.pending[prefix] = path
}

// take removes up to limit pending changes and records them as sent. Announcements are grouped by path. The order of
// the changes does not matter, as each concerns another prefix.
func (r *adjRIBOut) take(limit int) (withdrawn []netip.Prefix, announced []*routeGroup) {
	groups := map[announce.Path]*routeGroup{}
	taken := 0
	for prefix, path := range r.pending {
		if taken == limit {
			break
		}
		taken++
		delete(r.pending, prefix)
		if path == nil {
			withdrawn = append(withdrawn, prefix)
			delete(r.sent, prefix)
			continue
		}
		group := groups[*path]
		if group == nil {
			group = &routeGroup{path: *path}
			groups[*path] = group
			announced = append(announced, group)
		}
		group.prefixes = append(group.prefixes, prefix)
		r.sent[prefix] = true
	}
	slices.SortFunc(announced, func(a, b *routeGroup) int { return a.path.Compare(b.path) })
	return withdrawn, announced
}

// clear removes all prefixes and changes when the session ends.
func (r *adjRIBOut) clear() {
	clear(r.pending)
	clear(r.sent)
}
