package emulator

import (
	"slices"
	"sort"
	"time"

	"glenport/internal/protocol"
)

const (
	memoryDriftInterval = 500 * time.Millisecond

	defaultRuntime = time.Second
)

// attemptKey names a container on a machine: the attempt by which a scheduler, in one incarnation, placed it there.
type attemptKey struct {
	scheduler   string
	incarnation uint64
	attemptID   uint64
}

type container struct {
	key       attemptKey
	spec      protocol.ContainerSpec
	deadline  time.Time // by which it must run, or the attempt lapses
	accepted  bool
	running   bool
	ended     bool
	memoryUse float64 // part of the requested memory
}

// startNext starts accepted containers, as many at a time as the machine may.
func (m *Machine) startNext() {
	for m.starting < max(1, m.ConcurrentStarts) && len(m.accepted) > 0 {
		c := m.accepted[0]
		m.accepted = m.accepted[1:]
		if c.ended {
			continue
		}
		took := float64(m.jitter(m.StartTime)) / m.pace()
		if !m.imageCached(c.spec.Service) {
			took *= max(1, m.ImageMissFactor)
		}
		m.touchImage(c.spec.Service)
		m.starting++
		m.after(time.Duration(took), func() {
			m.starting--
			if !c.ended {
				m.markRunning(c)
			}
			m.startNext()
		})
	}
}

func (m *Machine) imageCached(service string) bool {
	return slices.Contains(m.imageCache, service) || m.runningByService[service] > 0
}

// touchImage makes an image the most recently used and drops those beyond the size of the cache.
func (m *Machine) touchImage(service string) {
	if i := slices.Index(m.imageCache, service); i >= 0 {
		m.imageCache = slices.Delete(m.imageCache, i, i+1)
	}
	m.imageCache = slices.Insert(m.imageCache, 0, service)
	m.imageCache = m.imageCache[:min(len(m.imageCache), max(1, m.CachedImages))]
}

// markRunning makes a started container run, unless its scheduler has stopped waiting for it.
func (m *Machine) markRunning(c *container) {
	if time.Now().After(c.deadline) && m.AcceptMeansRunning {
		m.end(c, protocol.OutcomeFull, protocol.ReasonWrongMachine)
		return
	}
	c.running = true
	m.totalRan++
	m.runningByService[c.spec.Service]++
	m.sendTo(c, &protocol.Accept{AttemptID: c.key.attemptID, Running: true})
	runtime := fromProtocol(c.spec.ExpectedRuntime)
	if runtime <= 0 {
		runtime = defaultRuntime
	}
	m.after(runtime, func() {
		if !c.ended {
			m.end(c, protocol.OutcomeFinished, protocol.ReasonNone)
		}
	})
}

// remove removes a container without a result to its scheduler.
func (m *Machine) remove(c *container) {
	c.ended = true
	delete(m.containers, c.key)
	if i := slices.Index(m.queue, c); i >= 0 {
		m.queue = slices.Delete(m.queue, i, i+1)
	}
}

// end ends a container, frees what it held and sends the result to its scheduler.
func (m *Machine) end(c *container, outcome protocol.Outcome, reason protocol.Reason) {
	m.remove(c)
	if c.accepted {
		m.reserved.cores -= c.spec.Cores
		m.reserved.memory -= c.spec.Memory
		if c.running {
			m.stopRunning(c)
		}
		if c.spec.DedupWindow > 0 {
			m.DedupGroup.release(c, c.running)
		}
	}
	m.sendTo(c, &protocol.Result{AttemptID: c.key.attemptID, Outcome: outcome, Reason: reason, Report: m.report()})
}

func (m *Machine) stopRunning(c *container) {
	if m.OnEnd != nil {
		m.OnEnd(c.spec.ContainerID, time.Now())
	}
	m.runningByService[c.spec.Service]--
	if m.runningByService[c.spec.Service] <= 0 {
		delete(m.runningByService, c.spec.Service)
	}
}

// driftMemory changes the memory that containers use by chance, reports it, and evicts where the machine runs out.
func (m *Machine) driftMemory() {
	m.after(memoryDriftInterval, m.driftMemory)
	used := 0.0
	all := m.sortedContainers()
	for _, c := range all {
		if !c.running {
			continue
		}
		c.memoryUse = min(max(0.2, c.memoryUse+m.MemoryDrift*(m.rng.Float64()-0.5)), 1.6)
		used += m.memoryInUse(c)
		if m.UsageReports {
			m.sendTo(
				c,
				&protocol.UsageReport{
					AttemptID: c.key.attemptID,
					Metric:    protocol.MetricMemoryUsed,
					Value:     m.memoryInUse(c),
				},
			)
		}
	}
	m.evictUntilFits(all, used)
}

// evictUntilFits evicts by rank, the lowest first, until what is used fits into the machine's memory.
func (m *Machine) evictUntilFits(all []*container, used float64) {
	sort.SliceStable(all, func(i, j int) bool { return m.evictionRank(all[i]) < m.evictionRank(all[j]) })
	for _, c := range all {
		if used <= m.Memory {
			return
		}
		if c.running {
			used -= m.memoryInUse(c)
			m.end(c, protocol.OutcomeLost, protocol.ReasonOutOfMemory)
		}
	}
}

func (m *Machine) memoryInUse(c *container) float64 {
	return c.memoryUse * m.memoryFactor * c.spec.Memory
}

func (m *Machine) evictionRank(c *container) int {
	if c.spec.WorkloadClass < len(m.EvictionRank) {
		return m.EvictionRank[c.spec.WorkloadClass]
	}
	return 0
}
