package schedulerd

import (
	"fmt"

	"glenport/internal/schedulerd/reconcile"
	"glenport/internal/schedulerd/recovery"
	"glenport/internal/schedulerd/warmstart"
	"glenport/scheduler"
)

func attemptKey(number uint64) string { return fmt.Sprintf("%016x", number) }

// logAttempt logs what must be known of an attempt after a crash. It reports whether the attempt has to wait for the
// log, and whether for the disk.
func (st *stateStore) logAttempt(a *attempt) (write, sync bool) {
	write, sync = recovery.MustPersist(st.idempotency(a.container.request.WorkloadClass))
	if write {
		a.inLog = true
		st.put(AttemptKind, attemptKey(a.number), a.record())
	}
	return st.logSend(a.machine) || write, sync
}

// logAdopted logs an attempt that was found running.
func (st *stateStore) logAdopted(a *attempt, found reconcile.Attempt) {
	if write, _ := recovery.MustPersist(st.idempotency(found.Request.WorkloadClass)); write {
		a.inLog = true
		st.put(AttemptKind, attemptKey(a.number), found)
	}
}

func (st *stateStore) removeAttempt(number uint64) { st.remove(AttemptKind, attemptKey(number)) }

func (st *stateStore) idempotency(class int) scheduler.Idempotency {
	return st.server.config.Policy.WorkloadClasses[class].Idempotency
}

// logSend counts an attempt or a probe for a machine in slow start. It reports whether there is anything to log.
func (st *stateStore) logSend(m *machine) bool {
	return st.putSends(m, st.ledger.RecordSend)
}

// logIncarnation logs sends that may have reached an incarnation that has just been announced, while an earlier one was
// known.
func (st *stateStore) logIncarnation(m *machine) {
	st.putSends(m, st.ledger.IncarnationObserved)
}

func (st *stateStore) putSends(m *machine,
	sendsOf func(scheduler.Time, scheduler.MachineID, warmstart.MachineStart) (warmstart.SlowStartSends, bool),
) bool {
	sends, changed := sendsOf(scheduler.Time(st.server.loop.Now()), m.id, m.start())
	if changed {
		st.put(SendKind, string(m.id), sends)
	}
	return changed
}

// machineStart is for the ledger; false if the machine is not known.
func (st *stateStore) machineStart(id scheduler.MachineID) (warmstart.MachineStart, bool) {
	m := st.server.machines[id]
	if m == nil {
		return warmstart.MachineStart{}, false
	}
	return m.start(), true
}
