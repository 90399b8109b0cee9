package schedulerd

import (
	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/internal/schedulerd/reconcile"
	"glenport/scheduler"
)

// machine is a listed machine with its connection, and the attempts and probes for it.
type machine struct {
	machineListing
	registry *machineRegistry
	id       scheduler.MachineID
	conn     machineConn
	queue    attemptQueue
	attempts map[uint64]*attempt // sent, or running there; by number
	expired  expiredAttempts
	probes   probeTable
}

func newMachine(r *machineRegistry, id scheduler.MachineID) *machine {
	m := &machine{registry: r, id: id, attempts: map[uint64]*attempt{}}
	m.conn = machineConn{machine: m, state: machineDisconnected}
	m.queue = attemptQueue{adoptions: &r.dispatcher.adoptions}
	m.expired = expiredAttempts{machine: m, requests: map[uint64]scheduler.PlacementRequest{}}
	m.probes = probeTable{machine: m, pending: map[uint64]*pendingProbe{}}
	return m
}

func (m *machine) idle() bool { return m.queue.empty() && len(m.attempts) == 0 && m.probes.empty() }

func (m *machine) ready() bool { return m.conn.ready() }

// applyEntry reports whether the start of the machine's incarnation was unknown before.
func (m *machine) applyEntry(entry *protocol.MachineEntry) (restarted bool) {
	if m.applyState(entry.State) {
		m.announceDraining()
	}
	if m.applyAddress(entry.Address) {
		m.conn.reset()
	}
	return m.applyIncarnation(entry, m.registry.now())
}

// announceDraining announces the containers of the machine anew.
func (m *machine) announceDraining() {
	for _, a := range inOrder(m.attempts) {
		if a.accepted() {
			m.registry.routes.updateContainer(a)
		}
	}
}

// removeIfGone forgets a machine that has left the list and has nothing to do.
func (m *machine) removeIfGone() {
	if !m.isGone() || !m.idle() {
		return
	}
	m.disconnect()
	m.registry.remove(m.id)
}

func (m *machine) connect() { m.conn.connect(m.address) }

func (m *machine) disconnect() { m.conn.close() }

// probe asks the machine whether it answers. The probe ends in one ProbeCompleted.
func (m *machine) probe(seq uint64) { m.probes.start(seq) }

// enqueue holds an attempt back that cannot be sent yet.
func (m *machine) enqueue(a *attempt) { m.queue.add(a) }

// dequeue reports whether the attempt was queued.
func (m *machine) dequeue(a *attempt) bool { return m.queue.remove(a) }

// adoptedSince reports whether containers of a service were adopted after a count of adoptions.
func (m *machine) adoptedSince(service string, count int) bool {
	return m.queue.adoptedSince(service, count)
}

// expire remembers an attempt that is over and may still be accepted.
func (m *machine) expire(a *attempt) { m.expired.add(a) }

// offer sends an attempt and reports whether it was sent: not to a machine that reads too slowly, and not once its time
// is over. The machine counts the timeout from when it receives the offer, so that it is what is left now and not at
// the start of the iteration, which may be long past where the process was not run.
func (m *machine) offer(a *attempt) bool {
	left := a.deadline - m.registry.loop.ReadClock()
	if left <= 0 {
		return false
	}
	offer := &protocol.Offer{
		AttemptID: a.number,
		Timeout:   protocol.Duration(left),
		Spec:      a.container.spec(),
	}
	if !m.conn.trySend(offer) {
		return false
	}
	m.track(a)
	return true
}

// send reports whether the connection took the frame.
func (m *machine) send(f protocol.Frame) bool { return m.conn.send(f) }

// track takes in an attempt that was sent, or was found running.
func (m *machine) track(a *attempt) { m.attempts[a.number] = a }

// untrack ends what the machine has to do for an attempt.
func (m *machine) untrack(a *attempt) { delete(m.attempts, a.number) }

// cancel asks the machine to stop an attempt or its container.
func (m *machine) cancel(schedulerIncarnation, number uint64) {
	if m.ready() {
		m.send(&protocol.CancelAttempt{SchedulerIncarnation: schedulerIncarnation, AttemptID: number})
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
		if a.awaitsLog() || !m.dequeue(a) {
			continue
		}
		if stale {
			m.registry.dispatcher.endNotSent(a)
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
	lossLocalShortage                        // no descriptors are left here, which is no failure of the machine
	lossConnectFailed
)

// handleConnectionLoss ends what was under way: an attempt that was never sent never ran, one that was sent may have.
// Containers that run are left to the reconciler.
func (m *machine) handleConnectionLoss(loss connectionLoss) {
	m.failQueuedAttempts(loss)
	m.failPendingAttempts()
	m.probes.failAll(loss)
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

func (m *machine) failQueuedAttempts(loss connectionLoss) {
	for _, a := range m.queue.takeAll() {
		if loss == lossLocalShortage {
			m.registry.dispatcher.endNotSent(a)
		} else {
			m.registry.dispatcher.endUnreached(a)
		}
	}
}

func (m *machine) failPendingAttempts() {
	for _, a := range inOrder(m.attempts) {
		if !a.accepted() {
			m.registry.dispatcher.endConnectionLost(a)
		}
	}
}

func (m *machine) checkTimeouts(now eventloop.Tick) { m.conn.checkTimeouts(now) }
