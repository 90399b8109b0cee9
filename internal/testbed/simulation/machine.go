package simulation

import "glenport/scheduler"

const (
	simConcurrentStarts = 4
	simMaxQueued        = 60
	simAcceptedCores    = 96
	simStartTime        = 30 * scheduler.Millisecond
	simImageMissFactor  = 4.0  // multiplies the start time of an image that is not cached
	simSlowStartPace    = 0.25 // pace of a machine that has just started
	simRuntime          = 2 * scheduler.Second
	simCachedImages     = 12
)

// simMachine is a simple model of a machine.
type simMachine struct {
	simulation  *Simulation
	id          scheduler.MachineID
	up          bool
	incarnation int
	startedAt   scheduler.Time // 0: long ago
	starting    int            // number of starts in progress
	queue       []*simAttempt
	cores       float64  // cores of queued, starting and running containers
	images      []string // cached images, most recently used first
}

// crash takes the machine down. Its containers and cached images are lost, and queued attempts end as lost.
func (m *simMachine) crash() {
	m.up = false
	m.starting, m.cores, m.images = 0, 0, nil
	m.incarnation++
	queue := m.queue
	m.queue = nil
	for _, attempt := range queue {
		m.simulation.schedule(simLatency, func() { attempt.finish(scheduler.OutcomeLost, scheduler.ReasonNone) })
	}
}

// offer queues an attempt or rejects it.
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
	case len(m.queue) >= simMaxQueued:
		refuse(scheduler.OutcomeFull, scheduler.ReasonQueueTooLong)
	default:
		m.cores += attempt.cores
		m.queue = append(m.queue, attempt)
		m.startQueued()
	}
}

// startQueued starts attempts from the queue while fewer than simConcurrentStarts are in progress. It drops those past
// their deadline. A start in progress is completed even if its deadline passes.
func (m *simMachine) startQueued() {
	sim := m.simulation
	for m.starting < simConcurrentStarts && len(m.queue) > 0 {
		attempt := m.queue[0]
		m.queue = m.queue[1:]
		if sim.now >= attempt.deadline {
			m.cores -= attempt.cores
			continue
		}
		m.starting++
		incarnation := m.incarnation
		sim.schedule(m.startTime(attempt.service), func() { m.finishStart(attempt, incarnation) })
	}
}

// startTime returns how long a start takes: longer if the image is not cached, and in slow start.
func (m *simMachine) startTime(service string) scheduler.Time {
	startTime := float64(simStartTime)
	if !m.useImage(service) {
		startTime *= simImageMissFactor
	}
	period := m.simulation.config.SlowStartPeriod
	if uptime := m.simulation.now - m.startedAt; m.startedAt > 0 && uptime < period {
		startTime /= simSlowStartPace + (1-simSlowStartPace)*float64(uptime)/float64(period)
	}
	return scheduler.Time(startTime)
}

func (m *simMachine) finishStart(attempt *simAttempt, incarnation int) {
	sim := m.simulation
	if m.incarnation != incarnation {
		sim.schedule(simLatency, func() { attempt.finish(scheduler.OutcomeLost, scheduler.ReasonNone) })
		return
	}
	m.starting--
	sim.schedule(simLatency, func() { attempt.accept(incarnation) })
	m.startQueued()
}

// useImage reports whether the image of a service is cached, and caches it. The least recently used image is evicted.
func (m *simMachine) useImage(service string) bool {
	for i, s := range m.images {
		if s == service {
			copy(m.images[1:i+1], m.images[:i])
			m.images[0] = s
			return true
		}
	}
	m.images = append([]string{service}, m.images[:min(len(m.images), simCachedImages-1)]...)
	return false
}
