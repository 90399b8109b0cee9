package simulation

import "glenport/scheduler"

const (
	simSlots            = 4 // starts at once
	simQueue            = 60
	simAcceptedCores    = 96
	simStart            = 30 * scheduler.Millisecond
	simFirstStartFactor = 4.0  // by which the start of a program that is not cached takes longer
	simSlowStartPace    = 0.25 // of a machine that has just started
	simRuntime          = 2 * scheduler.Second
	simCachedPrograms   = 12
)

// simMachine is a plain model of a machine.
type simMachine struct {
	simulation  *Simulation
	id          scheduler.MachineID
	up          bool
	incarnation int
	started     scheduler.Time // 0: long ago
	busy        int
	queue       []*simAttempt
	cores       float64
	programs    []string
}

// crash loses all that the machine holds.
func (m *simMachine) crash() {
	m.up = false
	m.busy, m.cores, m.programs = 0, 0, nil
	m.incarnation++
	queue := m.queue
	m.queue = nil
	for _, attempt := range queue {
		m.simulation.schedule(simLatency, func() { attempt.finish(scheduler.OutcomeLost, scheduler.ReasonNone) })
	}
}

// offer queues an attempt or refuses it.
func (m *simMachine) offer(attempt *simAttempt) {
	sim := m.simulation
	refuse := func(o scheduler.Outcome, r scheduler.Reason) {
		sim.schedule(simLatency, func() { attempt.finish(o, r) })
	}
	switch {
	case !m.up:
		refuse(scheduler.OutcomeConnectFailed, scheduler.ReasonNone)
	case m.cores+attempt.cores > simAcceptedCores:
		refuse(scheduler.OutcomeFull, scheduler.ReasonNoCores)
	case len(m.queue) >= simQueue:
		refuse(scheduler.OutcomeFull, scheduler.ReasonQueueTooLong)
	default:
		m.cores += attempt.cores
		m.queue = append(m.queue, attempt)
		m.startQueued()
	}
}

// startQueued starts attempts from the queue while there is room. Those past their deadline are dropped; what was begun
// is carried out though nobody waits for it any more.
func (m *simMachine) startQueued() {
	sim := m.simulation
	for m.busy < simSlots && len(m.queue) > 0 {
		attempt := m.queue[0]
		m.queue = m.queue[1:]
		if sim.now >= attempt.deadline {
			m.cores -= attempt.cores
			continue
		}
		m.busy++
		incarnation := m.incarnation
		sim.schedule(m.startTime(attempt.service), func() { m.finishStart(attempt, incarnation) })
	}
}

// startTime is how long a start takes: longer for a program that is not cached, and in slow start.
func (m *simMachine) startTime(service string) scheduler.Time {
	took := float64(simStart)
	if !m.useProgram(service) {
		took *= simFirstStartFactor
	}
	period := m.simulation.config.SlowStartPeriod
	if up := m.simulation.now - m.started; m.started > 0 && up < period {
		took /= simSlowStartPace + (1-simSlowStartPace)*float64(up)/float64(period)
	}
	return scheduler.Time(took)
}

func (m *simMachine) finishStart(attempt *simAttempt, incarnation int) {
	sim := m.simulation
	if m.incarnation != incarnation {
		sim.schedule(simLatency, func() { attempt.finish(scheduler.OutcomeLost, scheduler.ReasonNone) })
		return
	}
	m.busy--
	sim.schedule(simLatency, func() { attempt.accept(incarnation) })
	m.startQueued()
}

// useProgram reports whether a service's program is cached, and caches it; the least recently used one is evicted.
func (m *simMachine) useProgram(service string) bool {
	for i, s := range m.programs {
		if s == service {
			copy(m.programs[1:i+1], m.programs[:i])
			m.programs[0] = s
			return true
		}
	}
	m.programs = append([]string{service}, m.programs[:min(len(m.programs), simCachedPrograms-1)]...)
	return false
}
