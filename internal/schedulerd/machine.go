package schedulerd

import (
	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/internal/schedulerd/reconcile"
	"glenport/scheduler"
)

// machine is a machine of the list, with its connection, attempts and probes.
type machine struct {
	machineListing
	registry        *machineRegistry
	id              scheduler.MachineID
	conn            machineConn
	queue           attemptQueue
	attempts        map[uint64]*attempt // sent or running, by number
	expiredAttempts expiredAttempts
	probes          probeTable
}

func newMachine(r *machineRegistry, id scheduler.MachineID) *machine {
	m := &machine{registry: r, id: id, attempts: map[uint64]*attempt{}}
	m.conn = machineConn{machine: m, state: machineDisconnected}
	m.queue = attemptQueue{adoptions: &r.dispatcher.adoptions}
	m.expiredAttempts = expiredAttempts{machine: m, requests: map[uint64]scheduler.PlacementRequest{}}
	m.probes = probeTable{machine: m, pending: map[uint64]*pendingProbe{}}
	return m
}

func (m *machine) idle() bool { return m.queue.empty() && len(m.attempts) == 0 && m.probes.empty() }

func (m *machine) ready() bool { return m.conn.ready() }

// applyEntry applies an entry of the machine list, and reports whether the machine's incarnation or its start time was
// unknown before.
func (m *machine) applyEntry(entry *protocol.MachineEntry) (restarted bool) {
	if m.applyState(entry.State) {
		m.announceDraining()
	}
	if m.applyAddress(entry.Address) {
		m.conn.reset()
	}
	return m.applyIncarnation(entry, m.registry.now())
}

// announceDraining updates the announcements of all containers on the machine.
func (m *machine) announceDraining() {
	for _, a := range inOrder(m.attempts) {
		if a.accepted() {
			m.registry.routes.updateContainer(a)
		}
	}
}

// removeIfGone removes the machine if it has left the list and is idle.
func (m *machine) removeIfGone() {
	if !m.isGone() || !m.idle() {
		return
	}
	m.disconnect()
	m.registry.remove(m.id)
}

func (m *machine) connect() { m.conn.connect(m.address) }

func (m *machine) disconnect() { m.conn.close() }

// probe sends a probe to the machine. It ends in exactly one ProbeCompleted.
func (m *machine) probe(seq uint64) { m.probes.start(seq) }

// enqueue queues an attempt that cannot be sent yet.
func (m *machine) enqueue(a *attempt) { m.queue.add(a) }

// dequeue removes an attempt from the queue, and reports whether it was queued.
func (m *machine) dequeue(a *attempt) bool { return m.queue.remove(a) }

// adoptedSince reports whether containers of a service were adopted after the number of adoptions was count.
func (m *machine) adoptedSince(service string, count int) bool {
	return m.queue.adoptedSince(service, count)
}

// expire records an attempt that has ended here but may still be accepted by the machine.
func (m *machine) expire(a *attempt) { m.expiredAttempts.add(a) }

// offer sends an attempt and reports whether it was sent. An attempt is sent neither to a machine that reads too slowly
// nor after the deadline. The machine counts the timeout from the receipt of the offer. The timeout is therefore
// computed from the current time: the start of the iteration may be long past if the process was not scheduled
// meanwhile.
func (m *machine) offer(a *attempt) bool {
	timeLeft := a.deadline - m.registry.loop.ReadClock()
	if timeLeft <= 0 {
		return false
	}
	offer := &protocol.Offer{
		AttemptID: a.number,
		Timeout:   protocol.Duration(timeLeft),
		Spec:      a.container.spec(),
	}
	if !m.conn.trySend(offer) {
		return false
	}
	m.track(a)
	return true
}

// send sends a frame, and reports whether the connection accepted it.
func (m *machine) send(f protocol.Frame) bool { return m.conn.send(f) }

// track records an attempt that was sent or found running.
func (m *machine) track(a *attempt) { m.attempts[a.number] = a }

// untrack removes an attempt that has ended.
func (m *machine) untrack(a *attempt) { delete(m.attempts, a.number) }

// cancel asks the machine to drop an attempt or to stop its container.
func (m *machine) cancel(schedulerIncarnation, number uint64) {
	if m.ready() {
		m.send(&protocol.CancelAttempt{SchedulerIncarnation: schedulerIncarnation, AttemptID: number})
	}
}

// sendQueued sends the queued attempts, except those that still wait for the log. A stale attempt ends unsent: the
// scheduler, which has processed the change by now, decides again.
func (m *machine) sendQueued() {
	if !m.ready() {
		return
	}
	for _, a := range m.queue.list() {
		stale := a.stale() // checked before dequeue, which clears the adoption records with the last queued attempt
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

// connectionLoss describes how a connection to a machine was lost.
type connectionLoss uint8

// Kinds of connection loss.
const (
	lossAfterInventory connectionLoss = iota // the connection was ready
	lossLocalShortage                        // no file descriptors are left here; not a failure of the machine
	lossConnectFailed
)

// handleConnectionLoss ends the pending attempts and probes. Queued attempts never ran; attempts that were sent may
// run. The reconciler handles running containers.
func (m *machine) handleConnectionLoss(loss connectionLoss) {
	m.failQueuedAttempts(loss)
	m.failPendingAttempts()
	m.probes.failAll(loss)
	m.expiredAttempts.clear() // the next inventory lists the attempts that run
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
