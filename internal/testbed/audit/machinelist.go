package audit

import (
	"glenport/internal/protocol"
	"glenport/scheduler"
)

// listedMachine is a machine as the machine list describes it to a scheduler.
type listedMachine struct {
	protocol.MachineEntry
	unavailableSince scheduler.Time // when the scheduler learned that the machine is draining or gone
	unavailable      bool
}

// machineIncarnation is one start of a machine.
type machineIncarnation struct {
	machine     string
	incarnation uint64
}

func (m *listedMachine) key() machineIncarnation { return machineIncarnation{m.Machine, m.Incarnation} }

// update applies a new entry of the machine list.
func (m *listedMachine) update(entry protocol.MachineEntry, now scheduler.Time) {
	wasUnavailable := m.unavailable
	m.MachineEntry, m.unavailable = entry, entry.State != protocol.MachineServing
	if m.unavailable && !wasUnavailable {
		m.unavailableSince = now
	}
}

// handleListUpdate applies an update of the machine list to the state of a scheduler.
func (c *checker) handleListUpdate(s *schedulerState, f *protocol.MachineListUpdate) {
	if f.FullSnapshot {
		c.markUnlistedGone(s, f.Entries)
	}
	for _, entry := range f.Entries {
		c.locations.update(s.name, entry)
		m := s.machines[entry.Machine]
		if m == nil {
			m = &listedMachine{}
			s.machines[entry.Machine] = m
		}
		m.update(entry, c.now.at)
		c.slowStart.recordStart(s, m, c.now.at)
	}
}

// markUnlistedGone marks the machines that are missing from a full snapshot as gone.
func (c *checker) markUnlistedGone(s *schedulerState, entries []protocol.MachineEntry) {
	listed := map[string]bool{}
	for _, entry := range entries {
		listed[entry.Machine] = true
	}
	for name, m := range s.machines {
		if !listed[name] {
			gone := m.MachineEntry
			gone.State = protocol.MachineGone
			m.update(gone, c.now.at)
		}
	}
}
