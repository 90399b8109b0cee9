package schedulerd

import (
	"slices"

	"glenport/internal/protocol"
	"glenport/internal/schedulerd/overload"
	"glenport/internal/schedulerd/reconcile"
	"glenport/internal/schedulerd/warmstart"
	"glenport/scheduler"
)

// restore passes the persisted state of earlier incarnations to the decision packages: attempts to the reconciler, the
// machine list and the learned state to the scheduler. Snapshots are written from then on.
func (s *Server) restore() {
	now := readClocks(s.now())
	for _, a := range s.state.openAttempts() {
		s.decisions.notifyReconciler(reconcile.AttemptRestored{Attempt: a})
	}
	s.state.transition(storeRestored)
	s.state.restoreLimiter(now, s.decisions.limiter())
	version, entries := s.state.restoredList(now)
	s.machines.applyList(scheduler.RestoredSnapshot, version, entries)
	s.runIteration() // the scheduler has to know the machines before their learned state is restored
	target, ok := s.decisions.warmStarter()
	if !ok {
		return
	}
	s.state.restoreLearned(now, target, s.machines.machineStarts())
	s.loop.After(snapshotInterval, s.saveSnapshot)
}

// openAttempts returns the attempts of earlier incarnations whose end is not in the log.
func (st *stateStore) openAttempts() []reconcile.Attempt { return st.loadedState.attempts }

// restoreLimiter restores the concurrency limit if the snapshot has the same workload classes and tenants.
func (st *stateStore) restoreLimiter(now warmstart.Timestamp, limiter *overload.Limiter) {
	snapshot := st.loadedState.snapshot
	if limiter == nil || snapshot == nil || snapshot.Overload == nil ||
		!slices.Equal(snapshot.ClassNames, st.classNames()) {
		return
	}
	limiter.Restore(*snapshot.Overload, warmstart.Weight(warmstart.ConcurrencyLimit, now.Since(snapshot.TakenAt).Age))
}

func (st *stateStore) restoredList(now warmstart.Timestamp) (version int64, entries []protocol.MachineEntry) {
	snapshot := st.loadedState.snapshot
	if snapshot == nil {
		return 0, nil
	}
	entries = snapshot.entriesAt(now)
	if len(entries) < len(snapshot.Entries) {
		st.log.Info("persisted machine list is too old, ignored", "machines", len(snapshot.Entries))
	}
	return snapshot.ListVersion, entries
}

// restoreLearned restores the parts of the snapshot and the slow-start sends that are still valid. It logs the sends
// again with times of this incarnation's clock, and releases the loaded state.
func (st *stateStore) restoreLearned(now warmstart.Timestamp, target warmStarter,
	starts map[scheduler.MachineID]warmstart.MachineStart,
) {
	incarnations := map[scheduler.MachineID]uint64{}
	for id, start := range starts {
		incarnations[id] = start.Incarnation
	}
	persisted := st.persistedState()
	restored := warmstart.Restore(now, persisted, starts, st.classNames(), st.config.Policy.SlowStartWindow)
	target.Restore(restored.Snapshot)
	st.pendingSends, st.sendsKnownSince = restored.PendingSends, restored.Snapshot.SendsKnownSince
	st.ledger.Restore(restored, incarnations)
	for _, old := range persisted.Sends {
		st.remove(SendKind, string(old.Machine))
	}
	for _, pending := range restored.PendingSends {
		st.putSends(pending)
	}
	for _, m := range restored.Snapshot.Machines {
		if len(m.RecentSends) > 0 {
			st.putSends(warmstart.SlowStartSends{
				Machine: m.Machine, Incarnation: incarnations[m.Machine], Times: m.RecentSends,
			})
		}
	}
	for _, message := range restored.Messages {
		st.logDecision(message.Text, message.Attributes)
	}
	st.loadedState = loadedState{}
}

func (st *stateStore) persistedState() warmstart.PersistedState {
	p := warmstart.PersistedState{History: st.loadedState.history, Sends: st.loadedState.sends}
	if snapshot := st.loadedState.snapshot; snapshot != nil {
		p.TakenAt, p.Snapshot = snapshot.TakenAt, snapshot.Learned
		p.Incarnations, p.ClassNames = snapshot.Incarnations, snapshot.ClassNames
	}
	return p
}

// resolvePendingSends returns the slow-start sends of earlier incarnations to machines that were listed only now. The
// result found is false if there are no such sends.
func (st *stateStore) resolvePendingSends(lookup warmstart.MachineLookup) (snapshot scheduler.Snapshot, found bool) {
	if len(st.pendingSends) == 0 {
		return scheduler.Snapshot{}, false
	}
	var machines []scheduler.MachineSnapshot
	machines, st.pendingSends = st.ledger.ResolvePending(st.now(), st.pendingSends, lookup)
	return scheduler.Snapshot{SendsKnownSince: st.sendsKnownSince, Machines: machines}, len(machines) > 0
}
