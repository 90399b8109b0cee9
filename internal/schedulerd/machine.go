package schedulerd

import (
	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/internal/schedulerd/reconcile"
	"glenport/internal/schedulerd/warmstart"
	"glenport/scheduler"
)

// machine is a listed machine with its connection, and the attempts and probes for it.
type machine struct {
	registry *machineRegistry
	id       scheduler.MachineID
	conn     machineConn
	queue    attemptQueue
	attempts map[uint64]*attempt // sent, or running there; by number
	expired  expiredAttempts
	probes   probeTable

	address      string
	gone         bool // from the list
	draining     bool
	incarnation  uint64
	startedAt    scheduler.Time // of the incarnation; 0: long ago, or not known
	selfReported bool           // the incarnation is known from the hello of the machine alone
}

func newMachine(r *machineRegistry, id scheduler.MachineID) *machine {
	m := &machine{registry: r, id: id, attempts: map[uint64]*attempt{}}
	m.conn = machineConn{machine: m, state: machineDisconnected}
	m.queue = attemptQueue{adoptions: &r.dispatcher.adoptions}
	m.expired = expiredAttempts{loop: r.loop, requests: map[uint64]scheduler.PlacementRequest{}}
	m.probes = probeTable{machine: m, pending: map[uint64]*pendingProbe{}}
	return m
}

func (m *machine) idle() bool { return m.queue.empty() && len(m.attempts) == 0 && m.probes.empty() }

func (m *machine) isDraining() bool { return m.draining }

func (m *machine) ready() bool { return m.conn.ready() }

// removeIfGone forgets a machine that has left the list and has nothing to do.
func (m *machine) removeIfGone() {
	if !m.gone || !m.idle() {
		return
	}
	m.conn.close()
	m.registry.remove(m.id)
}

// start returns the incarnation for which sends in slow start are counted.
func (m *machine) start() warmstart.MachineStart {
	return warmstart.MachineStart{Incarnation: m.incarnation, StartedAt: m.startedAt}
}

// unfitSince reports whether the machine drains, is gone, or has restarted since an incarnation.
func (m *machine) unfitSince(incarnation uint64) bool {
	return m.gone || m.draining || m.incarnation != incarnation
}

// offer sends an attempt and reports whether it was sent: not to a machine that reads too slowly.
func (m *machine) offer(a *attempt) bool {
	offer := &protocol.Offer{
		AttemptID: a.number,
		Timeout:   protocol.Duration(a.deadline - m.registry.loop.Now()),
		Spec:      specOf(a.container),
	}
	if !m.conn.sendUnblocked(offer) {
		return false
	}
	m.track(a)
	return true
}

// track takes in an attempt that was sent, or was found running.
func (m *machine) track(a *attempt) { m.attempts[a.number] = a }

// untrack ends what the machine has to do for an attempt.
func (m *machine) untrack(a *attempt) { delete(m.attempts, a.number) }

// cancel asks the machine to stop an attempt or its container.
func (m *machine) cancel(schedulerIncarnation, number uint64) {
	if m.ready() {
		m.conn.send(&protocol.CancelAttempt{SchedulerIncarnation: schedulerIncarnation, AttemptID: number})
	}
}

// sendQueued sends the queued attempts, but for those that still wait for the log. A stale one is not sent: the
// scheduler, which has processed the change by now, decides again.
func (m *machine) sendQueued() {
	if !m.ready() {
		return
	}
	for _, a := range m.queue.list() {
		stale := a.stale() // before it is removed, which clears the adoptions with the last queued attempt
		if a.awaitsLog() || !m.queue.remove(a) {
			continue
		}
		if stale {
			m.registry.dispatcher.notSent(a)
		} else {
			m.registry.dispatcher.send(a)
		}
	}
}

// connectionLoss is how a connection to a machine ended.
type connectionLoss uint8

// Ends of a connection.
const (
	lossAfterInventory connectionLoss = iota // it was ready
	lossLocalShortage                        // for want of descriptors here, which says nothing of the machine
	lossUnreached
)

// connectionLost ends what was under way: an attempt that was never sent never ran, one that was sent may have.
// Containers that run are left to the reconciler.
func (m *machine) connectionLost(loss connectionLoss) {
	m.failQueued(loss)
	m.failUnanswered()
	m.probes.fail(loss)
	m.expired.clear() // the next inventory lists those that run
	if loss == lossAfterInventory {
		m.registry.decisions.notifyReconciler(reconcile.MachineDisconnected{Machine: m.id})
	} else {
		m.registry.decisions.notifyReconciler(reconcile.ConnectFailed{
			Machine: m.id, LocalShortage: loss == lossLocalShortage,
		})
	}
	m.removeIfGone()
}

func (m *machine) failQueued(loss connectionLoss) {
	for _, a := range m.queue.takeAll() {
		if loss == lossLocalShortage {
			m.registry.dispatcher.notSent(a)
		} else {
			m.registry.dispatcher.unreached(a)
		}
	}
}

func (m *machine) failUnanswered() {
	for _, a := range inOrder(m.attempts) {
		if !a.accepted() {
			m.registry.dispatcher.connectionLost(a)
		}
	}
}

func (m *machine) checkTimeouts(now eventloop.Tick) { m.conn.checkTimeouts(now) }
