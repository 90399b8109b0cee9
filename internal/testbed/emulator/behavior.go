package emulator

import (
	"math/rand/v2"
	"time"
)

const (
	minInitialMemoryUse    = 0.4 // part of the requested memory that a container uses at first, with the spread
	initialMemoryUseSpread = 0.4
	minJitter              = 0.7 // factor of a duration, with the spread
	jitterSpread           = 0.6
)

// behavior is the chance in what a machine does, and the faults that are injected into it.
type behavior struct {
	rng              *rand.Rand
	slowdown         float64 // by which everything takes longer
	memoryFactor     float64 // by which containers use more memory
	ignoredWorkloads map[int]bool
	throttledTenants map[int]bool
}

func newBehavior(seed uint64) *behavior {
	return &behavior{
		rng:              rand.New(rand.NewPCG(seed, 77)),
		slowdown:         1,
		memoryFactor:     1,
		ignoredWorkloads: map[int]bool{},
		throttledTenants: map[int]bool{},
	}
}

// ignores reports whether offers of a workload class stay unanswered.
func (b *behavior) ignores(workload int) bool { return b.ignoredWorkloads[workload] }

// throttles reports whether a tenant's offers are refused.
func (b *behavior) throttles(tenant int) bool { return b.throttledTenants[tenant] }

// memoryInUse is the memory that a container uses.
func (b *behavior) memoryInUse(c *container) float64 {
	return c.memoryUse * b.memoryFactor * c.spec.Memory
}

// vary varies a duration by chance and applies the slowdown.
func (b *behavior) vary(d time.Duration) time.Duration {
	return time.Duration(float64(d) * b.slowdown * (minJitter + jitterSpread*b.rng.Float64()))
}

// initialMemoryUse is the part of the requested memory that a container uses at first.
func (b *behavior) initialMemoryUse() float64 {
	return minInitialMemoryUse + initialMemoryUseSpread*b.rng.Float64()
}

// drift is a chance change of at most half of a span, up or down.
func (b *behavior) drift(span float64) float64 { return span * (b.rng.Float64() - 0.5) }
