package emulator

import (
	"time"

	"glenport/internal/protocol"
)

// handleOffer queues an offer to be examined, or refuses it at once.
func (m *Machine) handleOffer(sc *schedulerConn, offer *protocol.Offer) {
	if m.exceedsSlowStartCapacity() || m.ignoredWorkloads[offer.Spec.WorkloadClass] {
		return
	}
	c := &container{
		key:       attemptKey{scheduler: sc.scheduler, incarnation: sc.incarnation, attemptID: offer.AttemptID},
		spec:      offer.Spec,
		memoryUse: 0.4 + 0.4*m.rng.Float64(),
		deadline:  time.Now().Add(fromProtocol(offer.Timeout)),
	}
	m.containers[c.key] = c
	if m.throttledTenants[offer.Spec.Tenant] {
		m.end(c, protocol.OutcomeFull, protocol.ReasonNone)
		return
	}
	if len(m.queue) >= m.MaxQueuedOffers {
		m.end(c, protocol.OutcomeFull, protocol.ReasonQueueTooLong)
		return
	}
	m.queue = append(m.queue, c)
	m.admitNext()
}

// admitNext examines queued offers one at a time.
func (m *Machine) admitNext() {
	if m.admitting || len(m.queue) == 0 {
		return
	}
	m.admitting = true
	m.after(m.jitter(m.AdmissionTime), func() {
		m.admitting = false
		if len(m.queue) > 0 {
			c := m.queue[0]
			m.queue = m.queue[1:]
			m.admit(c)
		}
		m.admitNext()
	})
}

func (m *Machine) admit(c *container) {
	if c.ended {
		return
	}
	if reason := m.refusal(c); reason != protocol.ReasonNone {
		m.end(c, protocol.OutcomeFull, reason)
		return
	}
	c.accepted = true
	m.reserved.cores += c.spec.Cores
	m.reserved.memory += c.spec.Memory
	if !m.AcceptMeansRunning {
		m.sendTo(c, &protocol.Accept{AttemptID: c.key.attemptID})
	}
	m.accepted = append(m.accepted, c)
	m.startNext()
}

// refusal says why the machine does not take a container; ReasonNone where it does, and the container's idempotency key
// is then claimed.
func (m *Machine) refusal(c *container) protocol.Reason {
	spec := &c.spec
	switch {
	case m.draining || time.Now().After(c.deadline) || !m.suits(spec.WorkloadClass):
		return protocol.ReasonWrongMachine
	case m.reserved.cores+spec.Cores > m.Cores*m.AcceptCores:
		return protocol.ReasonNoCores
	case m.reserved.memory+spec.Memory > m.Memory*m.AcceptMemory:
		return protocol.ReasonNoMemory
	case spec.DedupWindow > 0 && !m.DedupGroup.claim(c, fromProtocol(spec.DedupWindow)):
		return protocol.ReasonWrongMachine
	}
	return protocol.ReasonNone
}

func (m *Machine) suits(workload int) bool {
	if workload >= len(m.RequiredMachineType) {
		return false
	}
	required := m.RequiredMachineType[workload]
	return required < 0 || required == m.MachineTypeIndex
}

// exceedsSlowStartCapacity counts an offer or probe. A machine in slow start that gets more of them in a window than it
// bears crashes for good, and true is returned.
func (m *Machine) exceedsSlowStartCapacity() bool {
	now := time.Now()
	if m.SlowStartCapacity == 0 || now.Sub(m.startedAt) >= m.SlowStartPeriod {
		m.recentOffers = nil
		return false
	}
	m.recentOffers = append(m.recentOffers, now)
	for len(m.recentOffers) > 0 && now.Sub(m.recentOffers[0]) > m.SlowStartWindow {
		m.recentOffers = m.recentOffers[1:]
	}
	if len(m.recentOffers) <= m.SlowStartCapacity {
		return false
	}
	m.overwhelmed = true
	m.crash()
	return true
}

// pace is the part of its full pace at which the machine starts containers; it grows over the slow start.
func (m *Machine) pace() float64 {
	age := time.Since(m.startedAt)
	if age >= m.SlowStartPeriod {
		return 1
	}
	return m.SlowStartInitialPace + (1-m.SlowStartInitialPace)*float64(age)/float64(m.SlowStartPeriod)
}

// jitter varies a duration by chance and applies the machine's slowdown.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * m.slowdown * (0.7 + 0.6*m.rng.Float64()))
}
