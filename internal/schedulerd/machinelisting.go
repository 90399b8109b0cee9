package schedulerd

import (
	"glenport/internal/protocol"
	"glenport/internal/schedulerd/warmstart"
	"glenport/scheduler"
)

// machineListing is what is known of a machine by the machine list, or by its own hello.
type machineListing struct {
	address      string
	gone         bool // from the list
	draining     bool
	incarnation  uint64
	startedAt    scheduler.Time // of the incarnation; 0: long ago, or not known
	selfReported bool           // the incarnation is known from the hello of the machine alone
}

func (l *machineListing) isGone() bool { return l.gone }

func (l *machineListing) markGone() { l.gone = true }

func (l *machineListing) isDraining() bool { return l.draining }

// machineStart returns the incarnation for which sends in slow start are counted.
func (l *machineListing) machineStart() warmstart.MachineStart {
	return warmstart.MachineStart{Incarnation: l.incarnation, StartedAt: l.startedAt}
}

// unavailableSince reports whether the machine drains, is gone, or has restarted since an incarnation.
func (l *machineListing) unavailableSince(incarnation uint64) bool {
	return l.gone || l.draining || l.incarnation != incarnation
}

// applyState reports whether the machine has begun or ended to drain.
func (l *machineListing) applyState(state protocol.MachineState) (drainingChanged bool) {
	before := l.draining
	l.gone, l.draining = state == protocol.MachineGone, state == protocol.MachineDraining
	return l.draining != before
}

// applyAddress reports whether the machine has another address than before.
func (l *machineListing) applyAddress(address string) (moved bool) {
	if address == "" || address == l.address {
		return false
	}
	l.address = address
	return true
}

// applyIncarnation computes the start of a machine once for each incarnation: an age that came by another way must not
// look like another start. It reports whether the start was unknown before.
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

// applySelfReport takes an incarnation from the machine's hello, and reports whether it is newer than the known one.
func (l *machineListing) applySelfReport(incarnation uint64, now scheduler.Time) (newer bool) {
	if incarnation <= l.incarnation {
		return false
	}
	l.incarnation, l.startedAt, l.selfReported = incarnation, now, true
	return true
}

// schedulerEntry is an entry of the list as the scheduler sees it.
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
