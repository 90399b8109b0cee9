package audit

import (
	"glenport/internal/protocol"
	"glenport/scheduler"
)

// listedMachine is a machine as the machine list describes it to a scheduler.
type listedMachine struct {
	protocol.MachineEntry
	unavailableSince scheduler.Time // when the scheduler learned that it drains or is gone
	unavailable      bool
}

// machineIncarnation is one start of a machine.
type machineIncarnation struct {
	machine     string
	incarnation uint64
}

func (m *listedMachine) key() machineIncarnation { return machineIncarnation{m.Machine, m.Incarnation} }

// update takes what the list now says of the machine.
func (m *listedMachine) update(entry protocol.MachineEntry, now scheduler.Time) {
	wasUnavailable := m.unavailable
	m.MachineEntry, m.unavailable = entry, entry.State != protocol.MachineServing
	if m.unavailable && !wasUnavailable {
		m.unavailableSince = now
	}
}

// listUpdated applies an update of the machine list to what a scheduler knows.
func (c *checker) listUpdated(s *schedulerState, f *protocol.MachineListUpdate) {
	if f.FullSnapshot {
		c.removeUnlisted(s, f.Entries)
	}
	for _, entry := range f.Entries {
		c.locations.update(s.name, entry)
		m := s.machines[entry.Machine]
		if m == nil {
			m = &listedMachine{}
			s.machines[entry.Machine] = m
		}
		m.update(entry, c.now.at)
		c.slowStart.machineListed(s, m, c.now.at)
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
			gone := m.MachineEntry
			gone.State = protocol.MachineGone
			m.update(gone, c.now.at)
		}
	}
}
