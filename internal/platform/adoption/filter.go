package adoption

import "hash/fnv"

// Size of the filter: of 100,000 claims, 1 in 100 others is mistaken for one.
const (
	filterBits    = 1 << 20 // 128 KiB
	bitsPerMember = 4
)

// filter is a set of fixed size that never misses a member, and mistakes some others for members. It has no memory
// until it has a first member.
type filter struct{ words []uint64 }

func (f *filter) add(id, machine string) {
	if f.words == nil {
		f.words = make([]uint64, filterBits/64)
	}
	for _, bit := range bitsOf(id, machine) {
		f.words[bit/64] |= 1 << (bit % 64)
	}
}

func (f *filter) contains(id, machine string) bool {
	if f.words == nil {
		return false
	}
	for _, bit := range bitsOf(id, machine) {
		if f.words[bit/64]&(1<<(bit%64)) == 0 {
			return false
		}
	}
	return true
}

// bitsOf are the bits of one member, which two halves of a hash give.
func bitsOf(id, machine string) [bitsPerMember]uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id + "\x00" + machine)) // it cannot fail
	sum := hash.Sum64()
	first, step := sum>>32, sum|1
	var bits [bitsPerMember]uint64
	for i := range bits {
		bits[i] = (first + uint64(i)*step) % filterBits
	}
	return bits
}
