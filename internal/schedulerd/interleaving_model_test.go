package schedulerd

import (
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"glenport/internal/config"
	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/internal/testbed/modelcheck"
	"glenport/scheduler"

	"golang.org/x/sys/unix"
)

// rawConn is one end of a connection that the test holds. Nothing in it blocks: what is there is read.
type rawConn struct {
	t       *testing.T
	fd      int
	reader  protocol.Reader
	written int // bytes
	read    int
	closed  bool
}

// drain reports whether anything was there, be it the end of the connection.
func (c *rawConn) drain(handle func(protocol.Frame)) (any bool) {
	buffer := make([]byte, 1<<16)
	for c != nil && !c.closed {
		n, _, err := unix.Recvfrom(c.fd, buffer, unix.MSG_DONTWAIT)
		if errors.Is(err, unix.EAGAIN) {
			return any
		}
		any = true
		if err != nil || n == 0 {
			c.close()
			return any
		}
		c.read += n
		if err := c.reader.Feed(buffer[:n], func(f protocol.Frame) error { handle(f); return nil }); err != nil {
			c.t.Error(err)
			c.close()
		}
	}
	return any
}

func (c *rawConn) send(f protocol.Frame) {
	encoded, err := protocol.Append(nil, f)
	if err != nil {
		c.t.Error(err)
		return
	}
	if c.closed {
		return
	}
	n, err := unix.Write(c.fd, encoded)
	if err == nil { // else the peer has closed
		c.written += n
	}
}

func (c *rawConn) close() {
	if c == nil || c.closed {
		return
	}
	c.closed = true
	closeFD(c.t, c.fd)
}

func closeFD(t *testing.T, fd int) {
	if err := unix.Close(fd); err != nil {
		t.Error(err)
	}
}

// rawListener is a listening socket with the last connection to it.
type rawListener struct {
	t    *testing.T
	fd   int
	addr string
	conn *rawConn // nil until the first
}

func listenRaw(t *testing.T) *rawListener {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 8); err != nil {
		t.Fatal(err)
	}
	own, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return &rawListener{t: t, fd: fd, addr: fmt.Sprint("127.0.0.1:", own.(*unix.SockaddrInet4).Port)}
}

func dialRaw(t *testing.T, addr string) *rawConn {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	peer := netip.MustParseAddrPort(addr)
	if err := unix.Connect(fd, &unix.SockaddrInet4{Port: int(peer.Port()), Addr: peer.Addr().As4()}); err != nil {
		t.Fatal(err)
	}
	return &rawConn{t: t, fd: fd}
}

func (l *rawListener) accept() bool {
	fd, _, err := unix.Accept4(l.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	if err != nil {
		return false
	}
	l.conn.close()
	l.conn = &rawConn{t: l.t, fd: fd}
	return true
}

func (l *rawListener) connected() bool { return l.conn != nil && !l.conn.closed }

func (l *rawListener) close() {
	l.conn.close()
	closeFD(l.t, l.fd)
}

// modelMachine is a machine that acts as the steps of an interleaving demand.
type modelMachine struct {
	*rawListener
	protocol.MachineEntry // as listed
	incarnation           uint64
	startedAt             scheduler.Time           // of the incarnation; 0: long ago
	attempts              map[uint64]*modelAttempt // by number
}

type modelAttempt struct {
	protocol.InventoryItem
	pending  bool   // the scheduler waits for its answer
	judgedAs string // its container ID for the judge; "" if the next inventory adopts it
}

func (m *modelMachine) numbers() []uint64 { return slices.Sorted(maps.Keys(m.attempts)) }

// model is a server with two machines, their list and a client, over loopback. The judge sees the frames.
type model struct {
	t         *testing.T
	server    *Server
	judge     *modelcheck.Checker
	list      *rawListener
	version   int64
	machines  map[string]*modelMachine
	client    *rawConn
	submitted int
	answers   map[string]int  // by container
	cancelled map[string]bool // answered before it was cancelled: what follows answers the cancel
	adopted   int
}

var modelMachineNames = []string{"a", "b"}

func newModel(t *testing.T, settings *config.Scheduler, wrap func(modelcheck.Decider) modelcheck.Decider) *model {
	w := &model{
		t:         t,
		list:      listenRaw(t),
		machines:  map[string]*modelMachine{},
		answers:   map[string]int{},
		cancelled: map[string]bool{},
	}
	for i, name := range modelMachineNames {
		m := &modelMachine{rawListener: listenRaw(t), incarnation: 1, attempts: map[uint64]*modelAttempt{}}
		m.MachineEntry = protocol.MachineEntry{
			Machine:     name,
			Address:     m.addr,
			RackGroup:   i,
			Incarnation: 1,
			Age:         -1,
			FreeCores:   20,
			FreeMemory:  20,
		}
		w.machines[name] = m
	}
	own := *settings
	own.MachineListAddr = w.list.addr
	decisions := scheduler.New(own.Policy)
	decisions.Restore(scheduler.Snapshot{SendsKnownSince: 1})
	w.judge = modelcheck.NewChecker(own.Policy, 1, 0)
	var err error
	if w.server, err = New(&own, wrap(decisions), discardLog); err != nil {
		t.Fatal(err)
	}
	var running sync.WaitGroup
	running.Go(func() {
		if err := w.server.Run(); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(running.Wait)
	w.server.loop.Post(func() { w.server.discovery.request(&protocol.WatchMachineList{Enabled: true}) })
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

func (w *model) now() scheduler.Time {
	return onLoop(w.server, func() scheduler.Time { return scheduler.Time(w.server.loop.Now()) })
}

// settle exchanges frames until nothing is in flight: every byte that one side wrote was
// read by the other, no connection is being opened or closed, and no event is left.
func (w *model) settle() {
	for limit := time.Now().Add(20 * time.Second); ; {
		now, any := w.now(), w.list.accept()
		if any {
			w.list.conn.send(protocol.NewHello(protocol.RoleMachineList, "list", 1))
		}
		any = w.list.conn.drain(func(f protocol.Frame) { w.handleListFrame(now, f) }) || any
		for _, name := range modelMachineNames {
			any = w.serveMachine(now, w.machines[name]) || any
		}
		any = w.client.drain(func(f protocol.Frame) { w.judgeReply(now, f) }) || any
		if !any && onLoop(w.server, w.quiet) {
			return
		}
		if time.Now().After(limit) {
			w.t.Fatal("not quiet in 20 s")
		}
	}
}

// quiet runs on the loop of the server.
func (w *model) quiet() bool {
	s := w.server
	if s.clients.count() != 1 || s.decisions.pending() ||
		!drained(s.discovery.conn, w.list.conn) {
		return false
	}
	for _, client := range s.clients.connected {
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

// drained reports whether nothing is on its way between the two ends of a connection.
func drained(c *eventloop.Conn, end *rawConn) bool {
	if c == nil || end == nil || end.closed {
		return c == nil && (end == nil || end.closed)
	}
	read, written := c.BytesTransferred()
	return c.IsOpen() && read == end.written && written == end.read && c.PendingOutput() == 0
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
	w.sendList(now, true, entries...)
}

// sendList sends an update; the age of a machine that was restarted is the time since.
func (w *model) sendList(now scheduler.Time, full bool, entries ...protocol.MachineEntry) {
	w.version++
	for i := range entries {
		if m := w.machines[entries[i].Machine]; m.startedAt > 0 {
			entries[i].Age = protocol.Duration(now - m.startedAt)
		}
	}
	w.list.conn.send(&protocol.MachineListUpdate{FullSnapshot: full, Version: w.version, Entries: entries})
	update := scheduler.MachineListUpdate{Mode: scheduler.DeltaUpdate}
	if full {
		update.Mode = scheduler.FullSnapshot
	}
	for _, entry := range entries {
		update.Entries = append(update.Entries, w.judgedEntry(entry, entry.Incarnation))
	}
	w.judge.ObserveEvent(0, now, update)
}

func (w *model) judgedEntry(entry protocol.MachineEntry, incarnation uint64) scheduler.MachineEntry {
	judged := scheduler.MachineEntry{
		Machine: scheduler.MachineID(entry.Machine), Zone: entry.Zone, RackGroup: entry.RackGroup,
		State: scheduler.MachineState(entry.State),
	}
	if incarnation > 1 {
		judged.StartedAt = w.machines[entry.Machine].startedAt
	}
	return judged
}

// serveMachine does what a machine owes: its hello and inventory, and the end of what is cancelled.
func (w *model) serveMachine(now scheduler.Time, m *modelMachine) (any bool) {
	any = m.accept()
	if any {
		w.sendInventory(now, m)
	}
	return m.conn.drain(func(f protocol.Frame) { w.handleMachineFrame(now, m, f) }) || any
}

func (w *model) sendInventory(now scheduler.Time, m *modelMachine) {
	m.conn.send(protocol.NewHello(protocol.RoleMachine, m.Machine, m.incarnation))
	inventory := &protocol.Inventory{MachineIncarnation: m.incarnation}
	for _, number := range m.numbers() {
		a := m.attempts[number]
		inventory.Containers = append(inventory.Containers, a.InventoryItem)
		if a.judgedAs == "" {
			w.adopted++
			a.judgedAs = fmt.Sprint("found ", w.adopted)
			w.judge.ObserveEvent(0, now, scheduler.ContainerAdopted{PlacementRequest: scheduler.PlacementRequest{
				ID:      scheduler.ContainerID(a.judgedAs),
				Service: a.Spec.Service, WorkloadClass: a.Spec.WorkloadClass,
			}, Machine: scheduler.MachineID(m.Machine)})
		}
	}
	if m.incarnation > 1 {
		w.judge.ObserveEvent(
			0,
			now,
			scheduler.MachineListUpdate{
				Entries: []scheduler.MachineEntry{w.judgedEntry(m.MachineEntry, m.incarnation)},
			},
		)
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
		w.judge.ObserveAction(
			0,
			now,
			scheduler.StartAttempt{
				ID:      scheduler.ContainerID(f.Spec.ContainerID),
				Machine: scheduler.MachineID(m.Machine),
			},
		)
	case *protocol.CancelAttempt:
		if a := m.attempts[f.AttemptID]; a != nil {
			delete(m.attempts, f.AttemptID)
			w.judge.ObserveEvent(
				0,
				now,
				scheduler.AttemptEnded{
					ID:      scheduler.ContainerID(a.judgedAs),
					Outcome: scheduler.OutcomeStopped,
					Final:   true,
				},
			)
			m.conn.send(&protocol.Result{AttemptID: f.AttemptID, Outcome: protocol.OutcomeStopped})
		}
	case *protocol.Probe:
		m.conn.send(&protocol.ProbeReply{Seq: f.Seq})
	}
}

// judgeReply judges an answer to the client.
func (w *model) judgeReply(now scheduler.Time, f protocol.Frame) {
	reply, ok := f.(*protocol.PlacementReply)
	if !ok || w.cancelled[reply.ContainerID] {
		return
	}
	id := scheduler.ContainerID(reply.ContainerID)
	w.answers[reply.ContainerID]++
	if w.answers[reply.ContainerID] > 1 {
		w.judge.Violations = append(w.judge.Violations, fmt.Sprintf("rule 1: %s is answered twice", id))
	}
	switch reply.Verdict {
	case protocol.VerdictRejected, protocol.VerdictNotAdmitted:
		w.judge.ObserveAction(0, now, scheduler.Reject{ID: id})
	case protocol.VerdictFailed:
		if reply.Message != "cancelled" {
			w.judge.ObserveAction(0, now, scheduler.Fail{ID: id})
		}
	}
}

// findAttempt finds the attempt of a container on a machine that is connected.
func (w *model) findAttempt(id string, pending bool) (*modelMachine, *modelAttempt) {
	for _, name := range modelMachineNames {
		m := w.machines[name]
		for _, number := range m.numbers() {
			if a := m.attempts[number]; a.Spec.ContainerID == id && a.pending == pending && m.connected() {
				return m, a
			}
		}
	}
	return nil, nil
}
