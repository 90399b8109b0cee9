package speaker

import (
	"net/netip"
	"slices"

	"glenport/internal/bgp/announce"
)

// ribOut is what a peer has, and the changes that are still to be sent to it (Adj-RIB-Out in RFC 4271).
type ribOut struct {
	pending map[netip.Prefix]*announce.Path // nil: a withdrawal
	sent    map[netip.Prefix]bool
}

// routeGroup holds prefixes that are announced with one path.
type routeGroup struct {
	path     announce.Path
	prefixes []netip.Prefix
}

func newRIBOut() ribOut {
	return ribOut{pending: map[netip.Prefix]*announce.Path{}, sent: map[netip.Prefix]bool{}}
}

// change notes a path, or a withdrawal if it is nil. It replaces an earlier change that is still pending; a withdrawal
// of what the peer does not have is none.
func (r *ribOut) change(prefix netip.Prefix, path *announce.Path) {
	if path == nil && !r.sent[prefix] {
		delete(r.pending, prefix)
		return
	}
	r.pending[prefix] = path
}

// take removes at most limit pending changes and counts them as sent. Announcements are grouped by path. Any of the
// changes may be taken first: they concern different prefixes.
func (r *ribOut) take(limit int) (withdrawn []netip.Prefix, announced []*routeGroup) {
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

// clear forgets everything, at the end of a session.
func (r *ribOut) clear() {
	clear(r.pending)
	clear(r.sent)
}
