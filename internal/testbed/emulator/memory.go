package emulator

import (
	"slices"
	"time"

	"glenport/internal/protocol"
)

const (
	memoryDriftInterval = 500 * time.Millisecond
	minMemoryUse        = 0.2 // fraction of the requested memory
	maxMemoryUse        = 1.6
)

// driftMemory changes the memory use of the running containers at random, reports it, and evicts containers if the
// machine runs out of memory. It schedules itself again for as long as the machine is up.
func (r *containerRuntime) driftMemory() {
	r.host.after(memoryDriftInterval, r.driftMemory)
	used := 0.0
	all := r.sorted()
	for _, c := range all {
		if !c.isRunning() {
			continue
		}
		drifted := c.memoryUse + r.behavior.drift(r.spec.MemoryDrift)
		c.memoryUse = min(max(minMemoryUse, drifted), maxMemoryUse)
		used += r.behavior.memoryInUse(c)
		if r.spec.UsageReports {
			r.host.sendTo(c, &protocol.UsageReport{
				AttemptID: c.key.attemptID, Metric: protocol.MetricMemoryUsed, Value: r.behavior.memoryInUse(c),
			})
		}
	}
	r.evictUntilFits(all, used)
}

// evictUntilFits evicts running containers, the lowest rank first, until the used memory fits into the machine.
func (r *containerRuntime) evictUntilFits(all []*container, used float64) {
	slices.SortStableFunc(all, func(a, b *container) int { return r.evictionRank(a) - r.evictionRank(b) })
	for _, c := range all {
		if used <= r.spec.Memory {
			return
		}
		if c.isRunning() {
			used -= r.behavior.memoryInUse(c)
			r.end(c, protocol.OutcomeLost, protocol.ReasonOutOfMemory)
		}
	}
}

func (r *containerRuntime) evictionRank(c *container) int {
	if c.spec.WorkloadClass < len(r.spec.EvictionRank) {
		return r.spec.EvictionRank[c.spec.WorkloadClass]
	}
	return 0
}
