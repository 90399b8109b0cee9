package platform

import (
	"glenport/internal/eventloop"
	"glenport/internal/platform/failuredetector"
	"glenport/scheduler"
)

// machine is one that the machine list has named, or that a client has named as running its container, with its
// connections. An offer has a connection of its own as long as there are enough, so that an answer that cannot be read
// harms no other.
type machine struct {
	server    *Server
	id        scheduler.MachineID
	addr      string
	entry     scheduler.MachineEntry // of the last update; without an identifier where no list has named the machine
	state     scheduler.MachineState
	startedAt scheduler.Time // the start of its incarnation
	conns     []*machineConn
	attempts  map[scheduler.ContainerID]*attempt // pending, or running there
	running   int                                // containers
	// while containers run: the machine repeats its reports on the next connection
	connLost bool
}

// machineByID returns the machine with an identifier. One that no list has named yet counts as gone.
func (s *Server) machineByID(id scheduler.MachineID) *machine {
	m := s.machines[id]
	if m == nil {
		m = &machine{server: s, id: id, state: scheduler.MachineGone, attempts: map[scheduler.ContainerID]*attempt{}}
		s.machines[id] = m
	}
	return m
}

// listed reports whether the machine list has named the machine.
func (m *machine) listed() bool { return m.entry.Machine != "" }

// runs reports whether a container with an idempotency key is running at the machine.
func (m *machine) runs(idempotencyKey string) bool {
	for _, a := range m.attempts {
		if a.running && a.container.request.IdempotencyKey == idempotencyKey {
			return true
		}
	}
	return false
}

// addRunning changes the count of containers that are running at the machine.
func (m *machine) addRunning(n int) {
	m.running += n
	m.server.notifyFailureDetector(failuredetector.RunningCountChanged{Machine: string(m.id), Count: m.running})
}

// recordActivity reports activity of the machine to the failure detector.
func (m *machine) recordActivity() {
	if m.running > 0 {
		m.server.notifyFailureDetector(failuredetector.ActivityObserved{Machine: string(m.id)})
	}
}

// failRunning ends the containers that were started up to a point in time: they are lost with the machine, or with an
// earlier incarnation of it.
func (m *machine) failRunning(before eventloop.Tick) {
	for _, id := range sortedKeys(m.attempts) {
		if a := m.attempts[id]; a.running && a.createdAt <= before {
			m.server.finishRunning(a, causeLost, scheduler.AttemptEnded{Outcome: scheduler.OutcomeLost})
		}
	}
}

// evictIfGone removes a machine that is gone and has no work.
func (m *machine) evictIfGone() {
	if m.state != scheduler.MachineGone || len(m.attempts) > 0 {
		return
	}
	for _, mc := range m.conns {
		if !mc.idle() {
			return
		}
	}
	m.closeIdleConns()
	if m.server.machines[m.id] == m {
		delete(m.server.machines, m.id)
	}
}
