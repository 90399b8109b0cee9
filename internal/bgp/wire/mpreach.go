package wire

import (
	"net/netip"
)

// MP_REACH_NLRI (RFC 4760, section 3) holds the AFI, the SAFI, the length of the next hop, the next hop, a reserved
// byte, and the prefixes.
const (
	mpReachNextHopLengthOffset = 3
	mpReachNextHopOffset       = 4
)

// decodeMPReach decodes announced prefixes with their next hop. Prefixes of unsupported families are ignored.
func (u *Update) decodeMPReach(value []byte) error {
	if len(value) <= mpReachNextHopOffset || len(value) <= mpReachNextHopOffset+int(value[mpReachNextHopLengthOffset]) {
		return mpReachError("reachable prefixes are malformed")
	}
	reserved := mpReachNextHopOffset + int(value[mpReachNextHopLengthOffset])
	family, nextHop := decodeFamily(value), value[mpReachNextHopOffset:reserved]
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
