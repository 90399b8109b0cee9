package schedulerd

import (
	"glenport/internal/protocol"
	"glenport/scheduler"
)

// applyEntry reports whether the start of the machine's incarnation was unknown before.
func (m *machine) applyEntry(entry *protocol.MachineEntry) (restarted bool) {
	m.gone = entry.State == protocol.MachineGone
	if draining := entry.State == protocol.MachineDraining; draining != m.draining {
		m.draining = draining
		m.announceDraining()
	}
	if entry.Address != "" && entry.Address != m.address {
		m.address = entry.Address
		m.conn.reset()
	}
	return m.applyIncarnation(entry)
}

// announceDraining announces the containers of the machine anew.
func (m *machine) announceDraining() {
	for _, a := range inOrder(m.attempts) {
		if a.accepted() {
			m.registry.routes.containerRunning(a)
		}
	}
}

// applyIncarnation computes the start of a machine once for each incarnation: an age that came by another way must not
// look like another start.
func (m *machine) applyIncarnation(entry *protocol.MachineEntry) (restarted bool) {
	newer := entry.Incarnation > m.incarnation
	startUnknown := entry.Incarnation == m.incarnation && (m.startedAt == 0 || m.selfReported)
	if !newer && !startUnknown {
		return false
	}
	m.incarnation, m.startedAt, m.selfReported = entry.Incarnation, 0, false
	if entry.Age >= 0 {
		m.startedAt = max(1, m.registry.now()-scheduler.Time(entry.Age))
	}
	return true
}

// selfReport takes an incarnation from the machine's hello, and reports whether it is newer than the known one.
func (m *machine) selfReport(incarnation uint64) (newer bool) {
	if incarnation <= m.incarnation {
		return false
	}
	m.incarnation, m.startedAt, m.selfReported = incarnation, m.registry.now(), true
	return true
}

func (m *machine) schedulerEntry(entry *protocol.MachineEntry) scheduler.MachineEntry {
	return scheduler.MachineEntry{
		Machine:     m.id,
		Zone:        entry.Zone,
		MachineType: entry.MachineType,
		RackGroup:   entry.RackGroup,
		State:       scheduler.MachineState(entry.State),
		FreeCores:   entry.FreeCores,
		FreeMemory:  entry.FreeMemory,
		PowerHint:   entry.PowerHint,
		StartedAt:   m.startedAt,
	}
}
