package schedulerd

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"glenport/internal/config"
	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/internal/testbed/modelcheck"
	"glenport/internal/testutil"
	"glenport/scheduler"
)

// modelMachine is a machine controlled by the steps of an interleaving.
type modelMachine struct {
	*rawListener
	protocol.MachineEntry // entry in the machine list
	incarnation           uint64
	startedAt             scheduler.Time           // start of the incarnation; 0: long ago
	attempts              map[uint64]*modelAttempt // by number
}

type modelAttempt struct {
	protocol.InventoryItem
	pending   bool   // not answered yet
	checkerID string // container ID in the checker; "" until the next inventory if the answer was lost
}

func (m *modelMachine) numbers() []uint64 { return slices.Sorted(maps.Keys(m.attempts)) }

// model is a server with two machines, a list service and a client, connected over loopback. The checker observes the
// frames.
type model struct {
	t                    *testing.T
	server               *Server
	checker              *modelcheck.Checker
	list                 *rawListener
	version              int64
	machines             map[string]*modelMachine
	client               *rawConn
	submittedCount       int
	answers              map[string]int  // number of answers, by container
	answeredBeforeCancel map[string]bool // containers answered before their cancel: later replies answer the cancel
	adoptedCount         int             // number of attempts that the checker observed as adopted
}

var modelMachineNames = []string{"a", "b"}

// wrapper wraps the decisions of the server.
type wrapper func(modelcheck.Decider) modelcheck.Decider

func newModel(t *testing.T, settings *config.Scheduler, wrap wrapper) *model {
	t.Helper()
	w := &model{
		t:                    t,
		list:                 listenRaw(t),
		machines:             map[string]*modelMachine{},
		answers:              map[string]int{},
		answeredBeforeCancel: map[string]bool{},
	}
	for i, name := range modelMachineNames {
		m := &modelMachine{rawListener: listenRaw(t), incarnation: 1, attempts: map[uint64]*modelAttempt{}}
		m.MachineEntry = protocol.MachineEntry{
			Machine: name, Address: m.addr, RackGroup: i, Incarnation: 1, Age: -1, FreeCores: 20, FreeMemory: 20,
		}
		w.machines[name] = m
	}
	modelSettings := *settings
	modelSettings.MachineListAddr = w.list.addr
	decider := scheduler.New(modelSettings.Policy)
	decider.Restore(scheduler.Snapshot{SendsKnownSince: 1})
	w.checker = modelcheck.NewChecker(modelSettings.Policy, 1, 0)
	var err error
	w.server, err = New(&modelSettings, wrap(decider), discardLog)
	testutil.NoError(t, err)
	var running sync.WaitGroup
	running.Go(func() { testutil.ExpectNoError(t, w.server.Run()) })
	t.Cleanup(running.Wait)
	watchList(w.server)
	w.client = dialRaw(t, w.server.Addr())
	w.client.send(protocol.NewHello(protocol.RoleClient, "client", 1))
	w.settle()
	return w
}

func (w *model) close() {
	w.server.Stop()
	for _, m := range w.machines {
		m.close()
	}
	w.list.close()
	w.client.close()
}

// observe passes an event to the checker that the scheduler is about to receive.
func (w *model) observe(now scheduler.Time, e scheduler.Event) { w.checker.ObserveEvent(0, now, e) }

func (w *model) observeEnded(now scheduler.Time, a *modelAttempt, ended scheduler.AttemptEnded) {
	ended.ID = scheduler.ContainerID(a.checkerID)
	w.observe(now, ended)
}

func (w *model) now() scheduler.Time { return now(w.server) }

// settle exchanges frames until nothing is in flight: all bytes written on either side are read by the other, no
// connection is being opened or closed, and no events are queued.
func (w *model) settle() {
	for limit := time.Now().Add(testTimeout); w.exchange() || !onLoop(w.server, w.isIdle); {
		testutil.Require(w.t, !time.Now().After(limit), "not idle within %v", testTimeout)
	}
}

// exchange accepts connections and reads frames that are available, and reports whether there were any.
func (w *model) exchange() (found bool) {
	now := w.now()
	if found = w.list.accept(); found {
		w.list.conn.send(listHello())
	}
	found = w.list.conn.drain(func(f protocol.Frame) { w.handleListFrame(now, f) }) || found
	for _, name := range modelMachineNames {
		found = w.serveMachine(now, w.machines[name]) || found
	}
	return w.client.drain(func(f protocol.Frame) { w.checkReply(now, f) }) || found
}

// isIdle reports whether nothing is in flight. It must be called on the loop of the server.
func (w *model) isIdle() bool {
	s := w.server
	if s.clients.count() != 1 || s.decisions.pending() || !drained(s.discovery.Conn(), w.list.conn) {
		return false
	}
	for _, client := range s.clients.byID {
		if !drained(client.conn, w.client) {
			return false
		}
	}
	for name, m := range w.machines {
		if known := s.machines.find(scheduler.MachineID(name)); known != nil && !drained(known.conn.conn, m.conn) {
			return false
		}
	}
	return true
}

// drained reports whether nothing is in flight between the two ends of a connection.
func drained(c *eventloop.Conn, end *rawConn) bool {
	if c == nil || end == nil || end.closed {
		return c == nil && (end == nil || end.closed)
	}
	read, written := c.BytesTransferred()
	return c.IsOpen() && read == end.bytesWritten && written == end.bytesRead && c.PendingOutput() == 0
}

func (w *model) handleListFrame(now scheduler.Time, f protocol.Frame) {
	if _, ok := f.(*protocol.WatchMachineList); ok {
		w.sendFullList(now)
	}
}

func (w *model) sendFullList(now scheduler.Time) {
	var entries []protocol.MachineEntry
	for _, name := range modelMachineNames {
		entries = append(entries, w.machines[name].MachineEntry)
	}
	w.sendList(now, scheduler.FullSnapshot, entries...)
}

// sendList sends a list update. The age of a restarted machine is the time since its restart.
func (w *model) sendList(now scheduler.Time, mode scheduler.UpdateMode, entries ...protocol.MachineEntry) {
	w.version++
	for i := range entries {
		if m := w.machines[entries[i].Machine]; m.startedAt > 0 {
			entries[i].Age = protocol.Duration(now - m.startedAt)
		}
	}
	full := mode == scheduler.FullSnapshot
	w.list.conn.send(&protocol.MachineListUpdate{FullSnapshot: full, Version: w.version, Entries: entries})
	update := scheduler.MachineListUpdate{Mode: mode}
	for _, entry := range entries {
		update.Entries = append(update.Entries, w.checkerEntry(entry, entry.Incarnation))
	}
	w.observe(now, update)
}

func (w *model) checkerEntry(entry protocol.MachineEntry, incarnation uint64) scheduler.MachineEntry {
	checked := scheduler.MachineEntry{
		Machine: scheduler.MachineID(entry.Machine), Zone: entry.Zone, RackGroup: entry.RackGroup,
		State: scheduler.MachineState(entry.State),
	}
	if incarnation > 1 {
		checked.StartedAt = w.machines[entry.Machine].startedAt
	}
	return checked
}

// serveMachine accepts a connection for a machine, sends hello and inventory, and answers frames.
func (w *model) serveMachine(now scheduler.Time, m *modelMachine) (found bool) {
	found = m.accept()
	if found {
		w.sendInventory(now, m)
	}
	return m.conn.drain(func(f protocol.Frame) { w.handleMachineFrame(now, m, f) }) || found
}

func (w *model) sendInventory(now scheduler.Time, m *modelMachine) {
	m.conn.send(protocol.NewHello(protocol.RoleMachine, m.Machine, m.incarnation))
	inventory := &protocol.Inventory{MachineIncarnation: m.incarnation}
	for _, number := range m.numbers() {
		a := m.attempts[number]
		inventory.Containers = append(inventory.Containers, a.InventoryItem)
		if a.checkerID == "" {
			w.adoptedCount++
			a.checkerID = fmt.Sprint("found ", w.adoptedCount)
			w.observe(now, scheduler.ContainerAdopted{PlacementRequest: scheduler.PlacementRequest{
				ID:      scheduler.ContainerID(a.checkerID),
				Service: a.Spec.Service, WorkloadClass: a.Spec.WorkloadClass,
			}, Machine: scheduler.MachineID(m.Machine)})
		}
	}
	if m.incarnation > 1 {
		w.observe(now, scheduler.MachineListUpdate{
			Entries: []scheduler.MachineEntry{w.checkerEntry(m.MachineEntry, m.incarnation)},
		})
	}
	m.conn.send(inventory)
}

func (w *model) handleMachineFrame(now scheduler.Time, m *modelMachine, f protocol.Frame) {
	switch f := f.(type) {
	case *protocol.Offer:
		item := protocol.InventoryItem{
			AttemptID:            f.AttemptID,
			SchedulerIncarnation: w.server.incarnation,
			Running:              true,
			Spec:                 f.Spec,
		}
		m.attempts[f.AttemptID] = &modelAttempt{item, true, f.Spec.ContainerID}
		w.checker.ObserveAction(0, now, scheduler.StartAttempt{
			ID: scheduler.ContainerID(f.Spec.ContainerID), Machine: scheduler.MachineID(m.Machine),
		})
	case *protocol.CancelAttempt:
		if a := m.attempts[f.AttemptID]; a != nil {
			delete(m.attempts, f.AttemptID)
			w.observeEnded(now, a, scheduler.AttemptEnded{Outcome: scheduler.OutcomeStopped, Final: true})
			m.conn.send(&protocol.Result{AttemptID: f.AttemptID, Outcome: protocol.OutcomeStopped})
		}
	case *protocol.Probe:
		m.conn.send(&protocol.ProbeReply{Seq: f.Seq})
	}
}

// checkReply passes an answer to the client to the checker.
func (w *model) checkReply(now scheduler.Time, f protocol.Frame) {
	reply, ok := f.(*protocol.PlacementReply)
	if !ok || w.answeredBeforeCancel[reply.ContainerID] {
		return
	}
	id := scheduler.ContainerID(reply.ContainerID)
	w.answers[reply.ContainerID]++
	if w.answers[reply.ContainerID] > 1 {
		w.checker.Violations = append(w.checker.Violations, fmt.Sprintf("rule 1: %s is answered twice", id))
	}
	switch reply.Verdict {
	case protocol.VerdictRejected, protocol.VerdictNotAdmitted:
		w.checker.ObserveAction(0, now, scheduler.Reject{ID: id})
	case protocol.VerdictFailed:
		if reply.Message != "cancelled" {
			w.checker.ObserveAction(0, now, scheduler.Fail{ID: id})
		}
	case protocol.VerdictPlaced: // checked when the accept was sent
	}
}

// findPending finds the pending attempt of a container on a connected machine.
func (w *model) findPending(id string) (*modelMachine, *modelAttempt) {
	return w.findAttempt(func(a *modelAttempt) bool { return a.pending && a.Spec.ContainerID == id })
}

// findRunning finds the running attempt of a container on a connected machine.
func (w *model) findRunning(id string) (*modelMachine, *modelAttempt) {
	return w.findAttempt(func(a *modelAttempt) bool { return !a.pending && a.Spec.ContainerID == id })
}

func (w *model) findAttempt(matches func(*modelAttempt) bool) (*modelMachine, *modelAttempt) {
	for _, name := range modelMachineNames {
		m := w.machines[name]
		for _, number := range m.numbers() {
			if a := m.attempts[number]; matches(a) && m.connected() {
				return m, a
			}
		}
	}
	return nil, nil
}
