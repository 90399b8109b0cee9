package wire

import (
	"encoding/binary"
	"net/netip"
)

// Family is an address family identifier (AFI). The subsequent address family identifier (SAFI) is always unicast.
type Family uint16

// The supported address families.
const (
	IPv4 Family = 1
	IPv6 Family = 2
)

const safiUnicast = 1

// FamilyOf returns the family of a prefix.
func FamilyOf(p netip.Prefix) Family {
	if p.Addr().Is4() {
		return IPv4
	}
	return IPv6
}

func (f Family) supported() bool { return f == IPv4 || f == IPv6 }

func decodeFamily(b []byte) Family { return Family(binary.BigEndian.Uint16(b)) }

func appendFamily(b []byte, f Family) []byte { return binary.BigEndian.AppendUint16(b, uint16(f)) }

func splitByFamily(prefixes []netip.Prefix) (ipv4, ipv6 []netip.Prefix) {
	for _, p := range prefixes {
		if FamilyOf(p) == IPv4 {
			ipv4 = append(ipv4, p)
		} else {
			ipv6 = append(ipv6, p)
		}
	}
	return ipv4, ipv6
}
