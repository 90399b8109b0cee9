package schedulerd

import (
	"glenport/internal/protocol"
	"glenport/internal/schedulerd/warmstart"
	"glenport/scheduler"
)

// machineListing holds the data of a machine from the machine list or from its hello.
type machineListing struct {
	address      string
	gone         bool // removed from the list
	draining     bool
	incarnation  uint64
	startedAt    scheduler.Time // start of the incarnation; 0: long ago, or not known
	selfReported bool           // the incarnation is known only from the hello of the machine
}

func (l *machineListing) isGone() bool { return l.gone }

func (l *machineListing) markGone() { l.gone = true }

func (l *machineListing) isDraining() bool { return l.draining }

// machineStart returns the incarnation and start time for which slow-start sends are counted.
func (l *machineListing) machineStart() warmstart.MachineStart {
	return warmstart.MachineStart{Incarnation: l.incarnation, StartedAt: l.startedAt}
}

// unavailableSince reports whether the machine drains, is gone, or has restarted since the given incarnation.
func (l *machineListing) unavailableSince(incarnation uint64) bool {
	return l.gone || l.draining || l.incarnation != incarnation
}

// applyState applies a state from the list, and reports whether the machine has begun or stopped draining.
func (l *machineListing) applyState(state protocol.MachineState) (drainingChanged bool) {
	before := l.draining
	l.gone, l.draining = state == protocol.MachineGone, state == protocol.MachineDraining
	return l.draining != before
}

// applyAddress applies an address from the list, and reports whether the address has changed.
func (l *machineListing) applyAddress(address string) (changed bool) {
	if address == "" || address == l.address {
		return false
	}
	l.address = address
	return true
}

// applyIncarnation computes the start of a machine once for each incarnation, so that an age received later or from
// another source does not look like a restart. It reports whether the incarnation or its start time was unknown before.
func (l *machineListing) applyIncarnation(entry *protocol.MachineEntry, now scheduler.Time) (restarted bool) {
	newer := entry.Incarnation > l.incarnation
	startUnknown := entry.Incarnation == l.incarnation && (l.startedAt == 0 || l.selfReported)
	if !newer && !startUnknown {
		return false
	}
	l.incarnation, l.startedAt, l.selfReported = entry.Incarnation, 0, false
	if entry.Age >= 0 {
		l.startedAt = max(1, now-scheduler.Time(entry.Age))
	}
	return true
}

// applySelfReport applies the incarnation from the machine's hello if it is newer than the known one, and reports
// whether it was newer.
func (l *machineListing) applySelfReport(incarnation uint64, now scheduler.Time) (newer bool) {
	if incarnation <= l.incarnation {
		return false
	}
	l.incarnation, l.startedAt, l.selfReported = incarnation, now, true
	return true
}

// schedulerEntry converts an entry of the list for the scheduler.
func (l *machineListing) schedulerEntry(id scheduler.MachineID, entry *protocol.MachineEntry) scheduler.MachineEntry {
	return scheduler.MachineEntry{
		Machine:     id,
		Zone:        entry.Zone,
		MachineType: entry.MachineType,
		RackGroup:   entry.RackGroup,
		State:       scheduler.MachineState(entry.State),
		FreeCores:   entry.FreeCores,
		FreeMemory:  entry.FreeMemory,
		PowerHint:   entry.PowerHint,
		StartedAt:   l.startedAt,
	}
}
