package schedulerd

import (
	"glenport/internal/eventloop"
	"glenport/internal/machinelist"
	"glenport/internal/protocol"
	"glenport/internal/schedulerd/reconcile"
	"glenport/internal/schedulerd/warmstart"
	"glenport/scheduler"
)

// machineRegistry owns the machines and the last received list. A machine is removed once it is gone from the list and
// idle.
type machineRegistry struct {
	*process
	decisions  *decisions
	dispatcher *attemptDispatcher
	discovery  *machinelist.Client
	routes     *routeAnnouncer
	state      *stateStore // nil if nothing is persisted

	byID               map[scheduler.MachineID]*machine
	list               machineListCache
	newlyReadyMachines []*machine // machines that sent their inventory in this iteration
	lastProbeSeq       uint64
}

// find returns nil if the machine is not known.
func (r *machineRegistry) find(id scheduler.MachineID) *machine { return r.byID[id] }

func (r *machineRegistry) findOrAdd(id scheduler.MachineID) *machine {
	m := r.byID[id]
	if m == nil {
		m = newMachine(r, id)
		r.byID[id] = m
	}
	return m
}

func (r *machineRegistry) remove(id scheduler.MachineID) { delete(r.byID, id) }

func (r *machineRegistry) count() int { return len(r.byID) }

// connect opens a connection because the reconciler needs the inventory.
func (r *machineRegistry) connect(id scheduler.MachineID) {
	if m := r.byID[id]; m != nil {
		m.connect()
	} else {
		r.decisions.notifyReconciler(reconcile.ConnectFailed{Machine: id})
	}
}

func (r *machineRegistry) disconnectIdle(id scheduler.MachineID) {
	if m := r.byID[id]; m != nil && m.idle() {
		m.disconnect()
	}
}

// cancelAttempt cancels an attempt that only the reconciler still tracks.
func (r *machineRegistry) cancelAttempt(action reconcile.CancelAttempt) {
	if m := r.byID[action.Machine]; m != nil {
		m.cancel(action.Incarnation, action.Attempt)
	}
}

// probe sends a probe to a machine. Each probe ends in exactly one ProbeCompleted.
func (r *machineRegistry) probe(id scheduler.MachineID) {
	m := r.byID[id]
	if m == nil {
		r.decisions.notifyScheduler(scheduler.ProbeCompleted{Machine: id, Outcome: scheduler.OutcomeConnectFailed})
		return
	}
	r.lastProbeSeq++
	m.probe(r.lastProbeSeq)
}

// addNewlyReady marks a machine whose queue is sent once the reconciler has processed its inventory.
func (r *machineRegistry) addNewlyReady(m *machine) {
	r.newlyReadyMachines = append(r.newlyReadyMachines, m)
}

// sendQueued sends the queued attempts of machines whose inventory the reconciler has just processed.
func (r *machineRegistry) sendQueued() {
	for _, m := range r.newlyReadyMachines {
		m.sendQueued()
	}
	r.newlyReadyMachines = nil
}

func (r *machineRegistry) checkTimeouts(now eventloop.Tick) {
	for _, m := range r.byID {
		m.checkTimeouts(now)
	}
}

// machineStart returns the incarnation and start time of a machine for which slow-start sends are counted.
func (r *machineRegistry) machineStart(id scheduler.MachineID) (start warmstart.MachineStart, known bool) {
	m := r.byID[id]
	if m == nil {
		return warmstart.MachineStart{}, false
	}
	return m.machineStart(), true
}

func (r *machineRegistry) machineStarts() map[scheduler.MachineID]warmstart.MachineStart {
	starts := map[scheduler.MachineID]warmstart.MachineStart{}
	for id, m := range r.byID {
		starts[id] = m.machineStart()
	}
	return starts
}

// listRecords returns the list as records for the snapshot, in no particular order and with current ages.
func (r *machineRegistry) listRecords() (version int64, records []entryRecord) {
	for _, entry := range r.list.entries {
		if start, known := r.machineStart(scheduler.MachineID(entry.Machine)); known && start.StartedAt > 0 {
			entry.Age = protocol.Duration(r.now() - start.StartedAt)
		}
		records = append(records, newEntryRecord(entry))
	}
	return r.list.version, records
}
