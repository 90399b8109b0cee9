package wire

import (
	"net/netip"
)

// mpUnreachPrefixesOffset is the offset of the prefixes in MP_UNREACH_NLRI (RFC 4760, section 4), after AFI and SAFI.
const mpUnreachPrefixesOffset = 3

// decodeMPUnreach decodes withdrawn prefixes. An attribute without prefixes is the End-of-RIB marker of its family.
// Prefixes of unsupported families are ignored.
func (u *Update) decodeMPUnreach(value []byte) error {
	if len(value) < mpUnreachPrefixesOffset {
		return newMessageError(CodeUpdate, SubcodeOptionalAttributeError, nil, "unreachable prefixes are malformed")
	}
	family := decodeFamily(value)
	if value[2] != safiUnicast || !family.supported() {
		return nil
	}
	if len(value) == mpUnreachPrefixesOffset {
		u.endOfRIB = family
	}
	prefixes, ok := decodePrefixes(value[mpUnreachPrefixesOffset:], family)
	if !ok {
		return newMessageError(CodeUpdate, SubcodeOptionalAttributeError, nil, "an unreachable prefix is malformed")
	}
	u.Withdrawn = append(u.Withdrawn, prefixes...)
	return nil
}

func appendMPUnreach(b []byte, f Family, prefixes []netip.Prefix) []byte {
	value := append(appendFamily(nil, f), safiUnicast)
	return appendAttribute(b, flagOptional, attributeMPUnreach, appendPrefixes(value, prefixes))
}
