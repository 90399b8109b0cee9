package schedulerd

import (
	"glenport/internal/protocol"
	"glenport/internal/schedulerd/reconcile"
	"glenport/scheduler"
)

// applyList applies an update of the machine list, and hands it on to the scheduler and the reconciler.
func (r *machineRegistry) applyList(mode scheduler.UpdateMode, version int64, entries []protocol.MachineEntry) {
	update := scheduler.MachineListUpdate{
		Mode:    mode,
		Version: version,
		Entries: make([]scheduler.MachineEntry, 0, len(entries)),
	}
	listed := map[scheduler.MachineID]bool{}
	var ids []scheduler.MachineID
	var restarted []*machine
	for i := range entries {
		entry := &entries[i]
		m := r.findOrAdd(scheduler.MachineID(entry.Machine))
		if entry.State != protocol.MachineGone {
			listed[m.id] = true
			ids = append(ids, m.id)
		}
		if m.applyEntry(entry) {
			restarted = append(restarted, m)
		}
		update.Entries = append(update.Entries, m.schedulerEntry(m.id, entry))
	}
	r.removeGone(mode, listed)
	r.decisions.notifyScheduler(update)
	r.recordIncarnations(restarted...)
	r.decisions.notifyReconciler(reconcile.MachinesListed{
		Machines: ids, FullSnapshot: mode == scheduler.FullSnapshot,
	})
	r.list.merge(mode, version, entries)
}

// removeGone removes machines that an update marks as gone, or that a full list does not contain.
func (r *machineRegistry) removeGone(mode scheduler.UpdateMode, listed map[scheduler.MachineID]bool) {
	for id, m := range r.byID {
		if mode != scheduler.DeltaUpdate && !listed[id] {
			m.markGone()
		}
		if m.isGone() {
			r.decisions.notifyReconciler(reconcile.MachineRemoved{Machine: id})
			m.removeIfGone()
		}
	}
}

// recordIncarnations restores and records sends in slow start, once the scheduler has the entries of the machines.
func (r *machineRegistry) recordIncarnations(machines ...*machine) {
	if r.state == nil {
		return
	}
	r.restorePendingSends()
	for _, m := range machines {
		r.state.logIncarnation(m.id, m.machineStart())
	}
}

// restorePendingSends restores slow-start sends of earlier incarnations to machines that were listed only now. The
// scheduler learns of them before it sees any further request.
func (r *machineRegistry) restorePendingSends() {
	target, ok := r.decisions.warmStarter()
	if !ok {
		return
	}
	if snapshot, found := r.state.resolvePendingSends(r.machineStart); found {
		r.decisions.runScheduler()
		target.Restore(snapshot)
	}
}

// handleSelfReport takes an incarnation from the hello of a machine if no list has contained it yet. A hello has no
// age: until a list has, the incarnation counts as new. A lower one than is known is only logged, as it may be that of
// a machine which has restarted since its hello; where it stays lower, the machine gets no slow start.
func (r *machineRegistry) handleSelfReport(m *machine, incarnation uint64) {
	if incarnation < m.incarnation {
		r.log.Warn("machine reports an earlier incarnation than is known",
			"machine", string(m.id), "reported", incarnation, "known", m.incarnation)
	}
	entry, listed := r.list.entries[string(m.id)]
	if !listed || !m.applySelfReport(incarnation, r.now()) {
		return
	}
	r.decisions.notifyScheduler(scheduler.MachineListUpdate{
		Mode: scheduler.SelfReported, Version: r.discovery.LastVersion(),
		Entries: []scheduler.MachineEntry{m.schedulerEntry(m.id, &entry)},
	})
	r.recordIncarnations(m)
}

// machineListCache is the machine list as last received.
type machineListCache struct {
	entries map[string]protocol.MachineEntry // by machine ID
	version int64
}

func (c *machineListCache) merge(mode scheduler.UpdateMode, version int64, entries []protocol.MachineEntry) {
	if c.entries == nil || mode != scheduler.DeltaUpdate {
		c.entries = map[string]protocol.MachineEntry{}
	}
	c.version = version
	for _, entry := range entries {
		if entry.State == protocol.MachineGone {
			delete(c.entries, entry.Machine)
		} else {
			c.entries[entry.Machine] = entry
		}
	}
}
