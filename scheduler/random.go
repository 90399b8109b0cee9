package scheduler

// pcg is a permuted congruential generator with 64 bits of state (PCG RXS M XS). It is seeded, so that every decision
// can be replayed.
type pcg struct{ state uint64 }

func (g *pcg) next() uint64 {
	state := g.state
	g.state = state*6364136223846793005 + 1442695040888963407
	return mix(state)
}

// uniform returns a number in [0, 1).
func (g *pcg) uniform() float64 { return unitInterval(g.next()) }

// unitInterval maps an output word of the generator to a number in [0, 1).
func unitInterval(word uint64) float64 { return float64(word>>11) / (1 << 53) }

// jitter returns a random delay from one millisecond to the span plus one millisecond. The delay keeps schedulers that
// start or fail at the same time from acting at the same time.
func (g *pcg) jitter(span Time) Time {
	return Millisecond + Time(float64(span)*g.uniform())
}

// mix is the generator's output permutation.
func mix(state uint64) uint64 {
	word := ((state >> ((state >> 59) + 5)) ^ state) * 12605985483714917081
	return word>>43 ^ word
}

// hash returns the 64-bit FNV-1a hash of a text.
func hash(text string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * prime
	}
	return h
}
