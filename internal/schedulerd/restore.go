package schedulerd

import (
	"slices"

	"glenport/internal/protocol"
	"glenport/internal/schedulerd/reconcile"
	"glenport/internal/schedulerd/warmstart"
	"glenport/scheduler"
)

// warmStarter is a Scheduler whose learned state can be persisted.
type warmStarter interface {
	Snapshot() scheduler.Snapshot
	Restore(scheduler.Snapshot)
}

// restore hands what earlier incarnations have left to the decisions: attempts to the reconciler, the machine list and
// what was learned to the scheduler.
func (st *stateStore) restore() {
	s := st.server
	now := readClocks(scheduler.Time(s.loop.Now()))
	for _, a := range st.loaded.attempts {
		s.enqueueReconcilerEvent(reconcile.AttemptRestored{Attempt: a})
	}
	st.restored = true
	st.restoreLimiter(now)
	version, entries := st.restoredList(now)
	s.applyList(scheduler.RestoredSnapshot, version, entries)
	s.runIteration() // the scheduler has to know the machines before it learns of them
	target, ok := s.scheduler.(warmStarter)
	if !ok {
		return
	}
	st.restoreLearned(now, target)
	st.loaded = loadedState{}
	s.loop.After(snapshotInterval, st.save)
}

// restoreLimiter restores the concurrency limit if the workload classes are those of the snapshot.
func (st *stateStore) restoreLimiter(now warmstart.Timestamp) {
	limiter, snapshot := st.server.reconciler.Limiter(), st.loaded.snapshot
	if limiter == nil || snapshot == nil || snapshot.Overload == nil ||
		!slices.Equal(snapshot.ClassNames, st.server.classNames()) {
		return
	}
	limiter.Restore(*snapshot.Overload, warmstart.Weight(warmstart.ConcurrencyLimit, now.Since(snapshot.TakenAt).Age))
}

func (st *stateStore) restoredList(now warmstart.Timestamp) (version int64, entries []protocol.MachineEntry) {
	snapshot := st.loaded.snapshot
	if snapshot == nil {
		return 0, nil
	}
	entries = snapshot.agedEntries(now)
	if len(entries) < len(snapshot.Entries) {
		st.server.log.Info("persisted machine list not used, it is too old", "machines", len(snapshot.Entries))
	}
	return snapshot.ListVersion, entries
}

// restoreLearned hands on what counts of the snapshot and the slow-start sends, and logs the sends by the clock of this
// incarnation.
func (st *stateStore) restoreLearned(now warmstart.Timestamp, target warmStarter) {
	s := st.server
	starts, incarnations := map[scheduler.MachineID]warmstart.MachineStart{}, map[scheduler.MachineID]uint64{}
	for id, m := range s.machines {
		starts[id], incarnations[id] = m.start(), m.incarnation
	}
	persisted := st.persisted()
	restored := warmstart.Restore(now, persisted, starts, s.classNames(), s.config.Policy.SlowStartWindow)
	target.Restore(restored.Snapshot)
	st.pendingSends, st.sendsKnownSince = restored.PendingSends, restored.Snapshot.SendsKnownSince
	st.ledger.Restore(restored, incarnations)
	for _, old := range persisted.Sends {
		st.remove(SendKind, string(old.Machine))
	}
	for _, pending := range restored.PendingSends {
		st.put(SendKind, string(pending.Machine), pending)
	}
	for _, m := range restored.Snapshot.Machines {
		if len(m.RecentSends) > 0 {
			st.put(SendKind, string(m.Machine), warmstart.SlowStartSends{
				Machine: m.Machine, Incarnation: incarnations[m.Machine],
				Times: m.RecentSends,
			})
		}
	}
	for _, message := range restored.Messages {
		s.logDecision(message.Text, message.Attributes)
	}
}

func (st *stateStore) persisted() warmstart.Persisted {
	p := warmstart.Persisted{History: st.loaded.history, Sends: st.loaded.sends}
	if snapshot := st.loaded.snapshot; snapshot != nil {
		p.TakenAt, p.Snapshot = snapshot.TakenAt, snapshot.Learned
		p.Incarnations, p.ClassNames = snapshot.Incarnations, snapshot.ClassNames
	}
	return p
}

// restorePending restores slow-start sends of earlier incarnations to machines that were listed only now. The scheduler
// learns of them before it sees any further request.
func (st *stateStore) restorePending() {
	s := st.server
	target, ok := s.scheduler.(warmStarter)
	if !ok || len(st.pendingSends) == 0 {
		return
	}
	var found []scheduler.MachineSnapshot
	found, st.pendingSends = st.ledger.ResolvePending(scheduler.Time(s.loop.Now()), st.pendingSends, st.machineStart)
	if len(found) == 0 {
		return
	}
	s.runScheduler()
	target.Restore(scheduler.Snapshot{SendsKnownSince: st.sendsKnownSince, Machines: found})
}
