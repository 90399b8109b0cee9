package speaker

import (
	"net/netip"
	"testing"

	"github.com/gaissmai/bart"

	"glenport/internal/testutil"
)

// BenchmarkPolicy looks up a prefix in a policy of 1,000 ranges. It compares the trie in use with a list and a map.
func BenchmarkPolicy(b *testing.B) {
	var trie bart.Lite
	var ranges []netip.Prefix
	set := map[netip.Prefix]bool{}
	for i := range 1000 {
		p := netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(i >> 2), byte(i << 6), 0}), 26)
		trie.Insert(p)
		ranges = append(ranges, p)
		set[p] = true
	}
	benchmarkLookup(b, "bart", trie.LookupPrefix)
	benchmarkLookup(b, "list", func(prefix netip.Prefix) bool { return inList(ranges, prefix) })
	benchmarkLookup(b, "map by prefix length", func(prefix netip.Prefix) bool { return inSet(set, prefix) })
}

func benchmarkLookup(b *testing.B, name string, lookup func(netip.Prefix) bool) {
	b.Helper()
	prefix := netip.MustParsePrefix("10.249.192.7/32")
	b.Run(name, func(b *testing.B) {
		for b.Loop() {
			testutil.Require(b, lookup(prefix), "not found")
		}
	})
}

func inList(ranges []netip.Prefix, prefix netip.Prefix) bool {
	for _, p := range ranges {
		if p.Bits() <= prefix.Bits() && p.Contains(prefix.Addr()) {
			return true
		}
	}
	return false
}

func inSet(set map[netip.Prefix]bool, prefix netip.Prefix) bool {
	for bits := prefix.Bits(); bits >= 0; bits-- {
		if p, err := prefix.Addr().Prefix(bits); err == nil && set[p] {
			return true
		}
	}
	return false
}
