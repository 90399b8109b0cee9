package wire

import (
	"net/netip"
)

// MP_REACH_NLRI (RFC 4760, section 3) is AFI, SAFI, next hop with its length, a reserved byte, and prefixes.
const (
	mpReachNextHopLength = 3 // offset of the next hop's length
	mpReachNextHop       = 4 // offset of the next hop
)

// decodeMPReach decodes announced prefixes with their next hop. Those of families that were never agreed on are
// ignored.
func (u *Update) decodeMPReach(value []byte) error {
	if len(value) <= mpReachNextHop || len(value) <= mpReachNextHop+int(value[mpReachNextHopLength]) {
		return mpReachError("reachable prefixes are malformed")
	}
	reserved := mpReachNextHop + int(value[mpReachNextHopLength])
	family, nextHop := decodeFamily(value), value[mpReachNextHop:reserved]
	if value[2] != safiUnicast || !family.supported() {
		return nil
	}
	prefixes, ok := decodePrefixes(value[reserved+1:], family)
	if !ok {
		return mpReachError("a reachable prefix is malformed")
	}
	switch len(nextHop) {
	case 4:
		u.Path.NextHop = netip.AddrFrom4([4]byte(nextHop))
	case 16, 32: // a link-local address may follow the global one (RFC 2545, section 3)
		u.Path.NextHop = netip.AddrFrom16([16]byte(nextHop[:16]))
	default:
		return newMessageError(CodeUpdate, SubcodeOptionalAttributeError, nil, "a next hop of %d bytes", len(nextHop))
	}
	u.Announced = append(u.Announced, prefixes...)
	return nil
}

func mpReachError(reason string) error {
	return newMessageError(CodeUpdate, SubcodeOptionalAttributeError, nil, "%s", reason)
}

func appendMPReach(b []byte, nextHop netip.Addr, prefixes []netip.Prefix) []byte {
	address := nextHop.As16()
	value := append(appendFamily(nil, IPv6), safiUnicast, byte(len(address)))
	value = append(value, address[:]...)
	value = append(value, 0) // reserved
	value = appendPrefixes(value, prefixes)
	return appendAttribute(b, flagOptional, attributeMPReach, value)
}
