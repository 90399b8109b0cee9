package adoption

import "hash/fnv"

// Size of the filter. With 100,000 members, about 1 in 100 other claims is a false positive.
const (
	filterBits    = 1 << 20 // 128 KiB
	bitsPerMember = 4
)

// filter is a Bloom filter: a set of fixed size without false negatives and with some false positives. It allocates its
// memory when the first member is added.
type filter struct{ words []uint64 }

func (f *filter) add(id, machine string) {
	if f.words == nil {
		f.words = make([]uint64, filterBits/64)
	}
	for _, bit := range memberBits(id, machine) {
		f.words[bit/64] |= 1 << (bit % 64)
	}
}

func (f *filter) contains(id, machine string) bool {
	if f.words == nil {
		return false
	}
	for _, bit := range memberBits(id, machine) {
		if f.words[bit/64]&(1<<(bit%64)) == 0 {
			return false
		}
	}
	return true
}

// memberBits returns the bits of one member, derived from the two halves of a hash.
func memberBits(id, machine string) [bitsPerMember]uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id + "\x00" + machine)) // never fails
	sum := hash.Sum64()
	first, step := sum>>32, sum|1
	var bits [bitsPerMember]uint64
	for i := range bits {
		bits[i] = (first + uint64(i)*step) % filterBits
	}
	return bits
}
