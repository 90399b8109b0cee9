package wire

import (
	"net/netip"
	"slices"
)

// attributeLengthReserve is the number of bytes that each update reserves for longer length fields: an attribute
// of more than 255 bytes has a two-byte length.
const attributeLengthReserve = 8

// Pack distributes withdrawn prefixes, and announced prefixes with the same path, over as few updates as possible. Each
// update holds prefixes of one family and does not exceed MaxMessageLength.
func Pack(withdrawn, announced []netip.Prefix, path PathAttributes) []*Update {
	withdraw := func(prefixes []netip.Prefix) *Update { return &Update{Withdrawn: prefixes} }
	announce := func(prefixes []netip.Prefix) *Update { return &Update{Announced: prefixes, Path: path} }
	withdrawn4, withdrawn6 := splitByFamily(withdrawn)
	announced4, announced6 := splitByFamily(announced)
	return slices.Concat(
		packFamily(withdrawn4, withdraw),
		packFamily(withdrawn6, withdraw),
		packFamily(announced4, announce),
		packFamily(announced6, announce),
	)
}

// packFamily sorts prefixes of one family in place and distributes them over updates that newUpdate returns.
func packFamily(prefixes []netip.Prefix, newUpdate func([]netip.Prefix) *Update) (updates []*Update) {
	slices.SortFunc(prefixes, netip.Prefix.Compare)
	for len(prefixes) > 0 {
		singleLength := headerLength + len(newUpdate(prefixes[:1]).appendBody(nil))
		room, n := MaxMessageLength-attributeLengthReserve-singleLength, 1
		for n < len(prefixes) && room >= encodedPrefixLength(prefixes[n]) {
			room -= encodedPrefixLength(prefixes[n])
			n++
		}
		updates = append(updates, newUpdate(prefixes[:n]))
		prefixes = prefixes[n:]
	}
	return updates
}
