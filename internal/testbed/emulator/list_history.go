package emulator

import (
	"time"

	"glenport/internal/protocol"
)

const maxDeltaEntries = 10_000 // a watch that is further behind gets a full snapshot

// listHistory is the content of the machine list with the history of its changes.
type listHistory struct {
	changes   []protocol.MachineEntry // index i holds the change to version i+1
	current   map[string]protocol.MachineEntry
	startedAt map[string]time.Time // by machine, as last observed
}

func newListHistory() listHistory {
	return listHistory{current: map[string]protocol.MachineEntry{}, startedAt: map[string]time.Time{}}
}

func (h *listHistory) version() int64 { return int64(len(h.changes)) }

// apply updates the list and returns the entries that changed.
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

// isChange reports whether an entry changes the list. Entries of a machine that stays gone do not.
func (h *listHistory) isChange(entry protocol.MachineEntry) bool {
	old, known := h.current[entry.Machine]
	if !known {
		return entry.State != protocol.MachineGone
	}
	bothGone := entry.State == protocol.MachineGone && old.State == protocol.MachineGone
	return old != entry && !bothGone
}

// delta returns an update to the current version with the given entries.
func (h *listHistory) delta(entries []protocol.MachineEntry) *protocol.MachineListUpdate {
	return &protocol.MachineListUpdate{Version: h.version(), Entries: h.withAge(entries)}
}

// since returns the update from a version to the current one; a full snapshot if the version is unknown or too old.
func (h *listHistory) since(version int64, machines []*Machine) *protocol.MachineListUpdate {
	if version > 0 && version <= h.version() && h.version()-version < maxDeltaEntries {
		return h.delta(h.changes[version:])
	}
	return h.fullSnapshot(machines)
}

// fullSnapshot returns the entries of all machines that are not gone, in the order of machines.
func (h *listHistory) fullSnapshot(machines []*Machine) *protocol.MachineListUpdate {
	var entries []protocol.MachineEntry
	for _, m := range machines {
		if entry, ok := h.current[m.Name]; ok && entry.State != protocol.MachineGone {
			entries = append(entries, entry)
		}
	}
	return &protocol.MachineListUpdate{FullSnapshot: true, Version: h.version(), Entries: h.withAge(entries)}
}

// withAge returns a copy of the entries with the time since the start of each machine.
func (h *listHistory) withAge(entries []protocol.MachineEntry) []protocol.MachineEntry {
	aged := append([]protocol.MachineEntry(nil), entries...)
	for i := range aged {
		aged[i].Age = toProtocol(time.Since(h.startedAt[aged[i].Machine]))
	}
	return aged
}
