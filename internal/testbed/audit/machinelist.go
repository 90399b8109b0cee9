package audit

import (
	"glenport/internal/protocol"
	"glenport/scheduler"
)

// listedMachine is a machine as the machine list told a scheduler of it.
type listedMachine struct {
	protocol.MachineEntry
	unavailableSince scheduler.Time // when the scheduler was told that it drains or is gone
	unavailable      bool
}

// location is where a machine is, as the list last told a scheduler. It outlasts the scheduler's incarnations: a
// scheduler persists its machine list and goes by it after a restart until the list is heard again.
type location struct{ zone, rackGroup int }

// machineIncarnation is one start of a machine.
type machineIncarnation struct {
	machine     string
	incarnation uint64
}

func (m *listedMachine) key() machineIncarnation { return machineIncarnation{m.Machine, m.Incarnation} }

func (m *listedMachine) setAvailable(available bool, now scheduler.Time) {
	if !available && !m.unavailable {
		m.unavailableSince = now
	}
	m.unavailable = !available
}

// listUpdated applies an update of the machine list to what a scheduler knows.
func (c *checker) listUpdated(s *schedulerState, f *protocol.MachineListUpdate) {
	if f.FullSnapshot {
		c.removeUnlisted(s, f.Entries)
	}
	locations := c.locations[s.name]
	if locations == nil {
		locations = map[string]location{}
		c.locations[s.name] = locations
	}
	for _, entry := range f.Entries {
		locations[entry.Machine] = location{entry.Zone, entry.RackGroup}
		m := s.machines[entry.Machine]
		if m == nil {
			m = &listedMachine{}
			s.machines[entry.Machine] = m
		}
		m.MachineEntry = entry
		m.setAvailable(entry.State == protocol.MachineServing, c.now)
		c.noteSlowStart(s, m)
	}
}

// removeUnlisted marks the machines gone that a full snapshot leaves out.
func (c *checker) removeUnlisted(s *schedulerState, entries []protocol.MachineEntry) {
	listed := map[string]bool{}
	for _, entry := range entries {
		listed[entry.Machine] = true
	}
	for name, m := range s.machines {
		if !listed[name] {
			m.State = protocol.MachineGone
			m.setAvailable(false, c.now)
		}
	}
}

// sameScope reports whether two machines share a scope. A machine of which no list told this scheduler shares none.
func (c *checker) sameScope(s *schedulerState, a, b string, scope scheduler.Scope) bool {
	if scope == scheduler.ScopeFleet || a == b {
		return true
	}
	locationA, knownA := c.locations[s.name][a]
	locationB, knownB := c.locations[s.name][b]
	if !knownA || !knownB {
		return false
	}
	switch scope {
	case scheduler.ScopeZone:
		return locationA.zone == locationB.zone
	case scheduler.ScopeRackGroup:
		return locationA.rackGroup == locationB.rackGroup
	default:
		return false
	}
}
