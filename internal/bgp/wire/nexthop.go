package wire

import (
	"net/netip"
)

// decodeNextHop decodes the next hop of IPv4 prefixes. The next hop of IPv6 prefixes is part of MP_REACH_NLRI.
func (p *PathAttributes) decodeNextHop(value []byte) error {
	if len(value) != 4 {
		return errMalformedAttribute
	}
	p.NextHop = netip.AddrFrom4([4]byte(value))
	return nil
}

func appendNextHop(b []byte, nextHop netip.Addr) []byte {
	return appendAttribute(b, flagTransitive, attributeNextHop, nextHop.AsSlice())
}
