package emulator

import (
	"time"

	"glenport/internal/protocol"
)

const maxDeltaEntries = 10_000 // beyond which a watch is answered by a full snapshot

// listHistory is the content of the machine list with all its changes.
type listHistory struct {
	changes   []protocol.MachineEntry // the change that made version i+1
	current   map[string]protocol.MachineEntry
	startedAt map[string]time.Time // of machines, as they last said
}

func newListHistory() listHistory {
	return listHistory{current: map[string]protocol.MachineEntry{}, startedAt: map[string]time.Time{}}
}

func (h *listHistory) version() int64 { return int64(len(h.changes)) }

// apply puts what has changed into the list and returns it.
func (h *listHistory) apply(observed []protocol.MachineEntry) []protocol.MachineEntry {
	var changed []protocol.MachineEntry
	for _, entry := range observed {
		entry.Age = 0
		if !h.isChange(entry) {
			continue
		}
		h.current[entry.Machine] = entry
		h.changes = append(h.changes, entry)
		changed = append(changed, entry)
	}
	return changed
}

// isChange reports whether an entry differs from the list; two entries of a machine that is gone do not.
func (h *listHistory) isChange(entry protocol.MachineEntry) bool {
	old, known := h.current[entry.Machine]
	if !known {
		return entry.State != protocol.MachineGone
	}
	bothGone := entry.State == protocol.MachineGone && old.State == protocol.MachineGone
	return old != entry && !bothGone
}

// delta is an update of these entries, the last of the list.
func (h *listHistory) delta(entries []protocol.MachineEntry) *protocol.MachineListUpdate {
	return &protocol.MachineListUpdate{Version: h.version(), Entries: h.withAge(entries)}
}

// since is an update from a version on; a full snapshot where the version is unknown or long ago.
func (h *listHistory) since(version int64, machines []*Machine) *protocol.MachineListUpdate {
	if version > 0 && version <= h.version() && h.version()-version < maxDeltaEntries {
		return h.delta(h.changes[version:])
	}
	return h.fullSnapshot(machines)
}

// fullSnapshot lists the machines that are not gone, in their order.
func (h *listHistory) fullSnapshot(machines []*Machine) *protocol.MachineListUpdate {
	var entries []protocol.MachineEntry
	for _, m := range machines {
		if entry, ok := h.current[m.Name]; ok && entry.State != protocol.MachineGone {
			entries = append(entries, entry)
		}
	}
	return &protocol.MachineListUpdate{FullSnapshot: true, Version: h.version(), Entries: h.withAge(entries)}
}

// withAge copies entries and fills in how long ago their machines started.
func (h *listHistory) withAge(entries []protocol.MachineEntry) []protocol.MachineEntry {
	aged := append([]protocol.MachineEntry(nil), entries...)
	for i := range aged {
		aged[i].Age = toProtocol(time.Since(h.startedAt[aged[i].Machine]))
	}
	return aged
}
