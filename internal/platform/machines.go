package platform

import (
	"glenport/internal/eventloop"
	"glenport/internal/platform/adoption"
	"glenport/internal/platform/failuredetector"
	"glenport/scheduler"
)

// machine is a machine that the machine list has named, or at which a client claims that its container is running.
type machine struct {
	env         *environment
	registry    *machineRegistry
	id          scheduler.MachineID
	addr        string
	entry       scheduler.MachineEntry // of the last update; has no machine ID if no list has named the machine
	state       scheduler.MachineState
	startedAt   scheduler.Time // start of its incarnation
	conns       *machineConnSet
	attempts    map[scheduler.ContainerID]*attempt // pending, or running at the machine
	runningLoad adoption.Load                      // load of the containers that are running at the machine

	// containers declared lost because the machine was silent; kept until it shows activity, restarts or is gone
	lostWhileSilent []lostContainer
}

// isListed reports whether the machine list has named the machine.
func (m *machine) isListed() bool { return m.entry.Machine != "" }

func (m *machine) isGone() bool { return m.state == scheduler.MachineGone }

// isServing reports whether the machine accepts new containers.
func (m *machine) isServing() bool { return m.state == scheduler.MachineServing }

func (m *machine) hasAddr() bool { return m.addr != "" }

func (m *machine) attempt(id scheduler.ContainerID) *attempt { return m.attempts[id] }

func (m *machine) addAttempt(a *attempt) { m.attempts[a.id()] = a }

func (m *machine) removeAttempt(id scheduler.ContainerID) { delete(m.attempts, id) }

// runs reports whether a container with an idempotency key is running at the machine.
func (m *machine) runs(idempotencyKey string) bool {
	for _, a := range m.attempts {
		if a.isRunning() && a.hasKey(idempotencyKey) {
			return true
		}
	}
	return false
}

func (m *machine) hasRunningContainers() bool { return m.runningLoad.Containers > 0 }

// containerStarted counts a container that is running at the machine.
func (m *machine) containerStarted(c *container) { m.setRunning(m.runningLoad.Add(c.load())) }

// containerEnded counts the end of a container that was running at the machine.
func (m *machine) containerEnded(c *container) { m.setRunning(m.runningLoad.Sub(c.load())) }

func (m *machine) setRunning(load adoption.Load) {
	if load.Containers == 0 {
		load = adoption.Load{} // discards rounding errors
	}
	m.runningLoad = load
	m.env.notifyFailureDetector(failuredetector.RunningCountChanged{
		Machine: string(m.id), Count: load.Containers,
	})
}

// recordActivity reports activity of the machine to the failure detector.
func (m *machine) recordActivity() {
	if m.hasRunningContainers() {
		m.env.notifyFailureDetector(failuredetector.ActivityObserved{Machine: string(m.id)})
	}
}

// failRunning ends the containers that were started at or before a point in time. They are lost with the machine, or
// with an earlier incarnation of it.
func (m *machine) failRunning(before eventloop.Tick) {
	for _, id := range sortedKeys(m.attempts) {
		if a := m.attempts[id]; a.isRunning() && a.createdAtOrBefore(before) {
			a.finishRunning(causeLost, scheduler.AttemptEnded{Outcome: scheduler.OutcomeLost})
		}
	}
}

// declareLost ends the containers of the machine, because it was silent for silentFor. A silentFor of 0 means that it
// refuses connections.
func (m *machine) declareLost(silentFor eventloop.Tick) {
	m.env.log.Info("machine lost",
		"machine", m.id, "running", m.runningLoad.Containers, "silent_ms", int64(silentFor/eventloop.Millisecond))
	if silentFor > 0 {
		for _, id := range sortedKeys(m.attempts) {
			m.recordLostWhileSilent(m.attempts[id])
		}
	}
	m.failRunning(m.env.loop.Now())
}

// apply applies an update to the machine. Containers of an earlier incarnation are lost.
func (m *machine) apply(update machineUpdate) {
	entry := update.entry
	if m.addr != update.addr && update.addr != "" {
		m.releaseAddr()
	}
	if m.addr != update.addr && m.addr != "" || m.startedAt != entry.StartedAt {
		m.conns.closeIdle()
	}
	if update.addr != "" {
		m.addr = update.addr
	}
	m.entry = entry
	if entry.State == scheduler.MachineGone {
		m.releaseAddr()
	} else {
		m.registry.claimAddr(m)
	}
	restarted := m.startedAt != entry.StartedAt
	m.state, m.startedAt = entry.State, entry.StartedAt
	if m.startedAt > 0 {
		m.failRunning(eventloop.Tick(m.startedAt))
	}
	if restarted {
		m.discardCopiesBefore(eventloop.Tick(m.startedAt))
	}
}

// markReplaced marks the machine as gone, because another machine has its address. It returns the entry that reports
// this to the scheduler.
func (m *machine) markReplaced() scheduler.MachineEntry {
	m.state, m.entry.State = scheduler.MachineGone, scheduler.MachineGone
	m.conns.closeIdle()
	return m.entry
}

// markUnlisted marks the machine as gone until the full snapshot that is being applied names it.
func (m *machine) markUnlisted() { m.state = scheduler.MachineGone }

// finishUpdate ends the containers of the machine if it is gone. It is gone if its entry in the event says so, or if
// the full snapshot does not name it.
func (m *machine) finishUpdate() {
	if m.isGone() {
		m.failRunning(m.env.loop.Now())
		m.discardCopies()
		m.releaseAddr()
	}
	m.evictIfGone()
}

func (m *machine) releaseAddr() { m.registry.releaseAddr(m) }

// evictIfGone removes a machine that is gone and has no work.
func (m *machine) evictIfGone() {
	if !m.isGone() || len(m.attempts) > 0 || m.conns.isBusy() {
		return
	}
	m.conns.closeIdle()
	m.registry.remove(m)
}
