package schedulerd

import (
	"glenport/internal/protocol"
	"glenport/internal/schedulerd/reconcile"
	"glenport/scheduler"
)

// applyList applies an update of the machine list, and passes it to the scheduler and the reconciler.
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

// removeGone removes machines that an update marks as gone or that a full list does not contain.
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

// recordIncarnations restores and logs slow-start sends to machines whose entries were passed to the scheduler.
func (r *machineRegistry) recordIncarnations(machines ...*machine) {
	if r.state == nil {
		return
	}
	r.restorePendingSends()
	for _, m := range machines {
		r.state.logIncarnation(m.id, m.machineStart())
	}
}

// restorePendingSends restores the slow-start sends of earlier incarnations to machines that were listed only now. The
// scheduler receives them before any further request.
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

// handleSelfReport applies the incarnation from the hello of a machine if it is newer than the known one. A hello has
// no age, so the incarnation counts as just started until a list contains it. An incarnation lower than the known one
// is only logged, as the machine may have restarted since its hello. A machine that keeps reporting lower incarnations
// gets no slow start.
func (r *machineRegistry) handleSelfReport(m *machine, incarnation uint64) {
	if incarnation < m.incarnation {
		r.log.Warn("machine reported a lower incarnation than the known one",
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

// machineListCache holds the last received machine list.
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
