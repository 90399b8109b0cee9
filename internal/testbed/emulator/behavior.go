package emulator

import (
	"math/rand/v2"
	"time"
)

const (
	minInitialMemoryUse    = 0.4 // fraction of the requested memory that a container uses after its start
	initialMemoryUseSpread = 0.4 // added to the minimum at random
	minJitter              = 0.7 // factor applied to a duration
	jitterSpread           = 0.6 // added to the minimum at random
)

// behavior draws the random variation of a machine and holds the faults injected into it.
type behavior struct {
	rng              *rand.Rand
	slowdown         float64 // factor on every duration
	memoryFactor     float64 // factor on the memory use of containers
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

// ignores reports whether the machine leaves offers of a workload class unanswered.
func (b *behavior) ignores(workload int) bool { return b.ignoredWorkloads[workload] }

// throttles reports whether the machine rejects the offers of a tenant.
func (b *behavior) throttles(tenant int) bool { return b.throttledTenants[tenant] }

// memoryInUse returns the memory that a container uses.
func (b *behavior) memoryInUse(c *container) float64 {
	return c.memoryUse * b.memoryFactor * c.spec.Memory
}

// vary applies random jitter and the slowdown to a duration.
func (b *behavior) vary(d time.Duration) time.Duration {
	return time.Duration(float64(d) * b.slowdown * (minJitter + jitterSpread*b.rng.Float64()))
}

// initialMemoryUse draws the fraction of the requested memory that a container uses after its start.
func (b *behavior) initialMemoryUse() float64 {
	return minInitialMemoryUse + initialMemoryUseSpread*b.rng.Float64()
}

// drift draws a change of at most half the span, up or down.
func (b *behavior) drift(span float64) float64 { return span * (b.rng.Float64() - 0.5) }
