package announce

import (
	"cmp"
	"encoding/binary"
	"net/netip"
)

// GracefulShutdown is the well-known community of routes that are about to be withdrawn (RFC 8326).
const GracefulShutdown = 0xFFFF0000

// Local preferences.
const (
	defaultPreference  = 100
	drainingPreference = 0 // for routes that are about to be withdrawn (RFC 8326, section 3)
)

// Path holds the path attributes that are announced with a prefix. It is comparable.
type Path struct {
	NextHop     netip.Addr
	Preference  uint32 // local preference
	MED         uint32
	Communities string // four bytes each; see CommunityList
}

// CommunityList returns the communities as numbers.
func (p Path) CommunityList() []uint32 {
	var communities []uint32
	for rest := []byte(p.Communities); len(rest) >= 4; rest = rest[4:] {
		communities = append(communities, binary.BigEndian.Uint32(rest))
	}
	return communities
}

func encodeCommunity(community uint32) string {
	return string(binary.BigEndian.AppendUint32(nil, community))
}

// Compare orders paths by next hop, then by preference from high to low, then by MED and communities.
func (p Path) Compare(q Path) int {
	return cmp.Or(
		p.NextHop.Compare(q.NextHop),
		cmp.Compare(q.Preference, p.Preference),
		cmp.Compare(p.MED, q.MED),
		cmp.Compare(p.Communities, q.Communities),
	)
}
