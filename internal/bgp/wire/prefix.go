package wire

import (
	"net/netip"
)

// decodePrefixes decodes prefixes up to the end of b. Each consists of its length in bits and as many bytes as these
// bits need. It returns false if a prefix is truncated or longer than an address.
func decodePrefixes(b []byte, f Family) (prefixes []netip.Prefix, ok bool) {
	for len(b) > 0 {
		bits := int(b[0])
		end := 1 + bytesForBits(bits)
		if bits > f.addressBits() || len(b) < end {
			return nil, false
		}
		prefixes = append(prefixes, netip.PrefixFrom(decodeAddress(b[1:end], f), bits).Masked())
		b = b[end:]
	}
	return prefixes, true
}

// decodeAddress returns the address with the given leading bytes, padded with zeros.
func decodeAddress(leading []byte, f Family) netip.Addr {
	if f == IPv4 {
		var address [4]byte
		copy(address[:], leading)
		return netip.AddrFrom4(address)
	}
	var address [16]byte
	copy(address[:], leading)
	return netip.AddrFrom16(address)
}

func (f Family) addressBits() int {
	if f == IPv6 {
		return 128
	}
	return 32
}

func bytesForBits(bits int) int { return (bits + 7) / 8 }

func encodedPrefixLength(p netip.Prefix) int { return 1 + bytesForBits(p.Bits()) }

func appendPrefix(b []byte, p netip.Prefix) []byte {
	b = append(b, byte(p.Bits()))
	return append(b, p.Addr().AsSlice()[:bytesForBits(p.Bits())]...)
}

func appendPrefixes(b []byte, prefixes []netip.Prefix) []byte {
	for _, p := range prefixes {
		b = appendPrefix(b, p)
	}
	return b
}
