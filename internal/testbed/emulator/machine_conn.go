package emulator

import (
	"net"
	"sort"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testbed/loopback"
)

const (
	maxQueuedFrames     = 4096 // beyond which a scheduler's connection is closed
	machineWriteTimeout = 10 * time.Second
)

// schedulerConn is a scheduler's connection to a machine.
type schedulerConn struct {
	net.Conn
	scheduler   string
	incarnation uint64 // of the scheduler
	frames      chan []byte
}

// serve reads one scheduler's connection.
func (m *Machine) serve(conn net.Conn) {
	defer loopback.CloseQuietly(conn)
	first, err := protocol.ReadFrame(conn, maxHelloSize)
	hello, ok := first.(*protocol.Hello)
	if err != nil || !ok || hello.Role != protocol.RoleScheduler {
		return
	}
	sc := &schedulerConn{
		Conn: conn, scheduler: hello.Name, incarnation: hello.Incarnation,
		frames: make(chan []byte, maxQueuedFrames),
	}
	stop := make(chan struct{})
	defer close(stop)
	m.background.Go(func() { sc.writeAll(stop) })
	m.post(func() { m.register(sc) })
	for {
		frame, err := protocol.ReadFrame(conn, protocol.MaxFrame)
		if err != nil {
			m.post(func() { m.unregister(sc) })
			return
		}
		m.post(func() { m.handleFrame(sc, frame) })
	}
}

// writeAll writes queued frames and heartbeats; a scheduler that does not read in time is disconnected.
func (sc *schedulerConn) writeAll(stop chan struct{}) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	heartbeat := mustEncode(nil, &protocol.Heartbeat{})
	greeted := false // nothing may precede the hello
	for {
		var data []byte
		select {
		case data = <-sc.frames:
			greeted = true
		case <-ticker.C:
			if !greeted {
				continue
			}
			data = heartbeat
		case <-stop:
			return
		}
		if err := writeWithin(sc, data, machineWriteTimeout); err != nil {
			loopback.CloseQuietly(sc)
			return
		}
	}
}

func (sc *schedulerConn) send(frame protocol.Frame) {
	select {
	case sc.frames <- mustEncode(nil, frame):
	default:
		loopback.CloseQuietly(sc)
	}
}

// register greets a scheduler with the inventory of what the machine holds for it; its former connection ends.
func (m *Machine) register(sc *schedulerConn) {
	if !m.up {
		loopback.CloseQuietly(sc)
		return
	}
	if old := m.conns[sc.scheduler]; old != nil {
		loopback.CloseQuietly(old)
		m.removeQueued(sc.scheduler)
	}
	m.conns[sc.scheduler] = sc
	inventory := &protocol.Inventory{MachineIncarnation: m.incarnation}
	for _, c := range m.sortedContainers() {
		if c.key.scheduler == sc.scheduler && c.accepted {
			inventory.Containers = append(inventory.Containers, protocol.InventoryItem{
				SchedulerIncarnation: c.key.incarnation, AttemptID: c.key.attemptID, Running: c.running, Spec: c.spec,
			})
		}
	}
	sc.send(protocol.NewHello(protocol.RoleMachine, m.Name, m.incarnation))
	sc.send(inventory)
}

func (m *Machine) unregister(sc *schedulerConn) {
	if m.conns[sc.scheduler] == sc {
		delete(m.conns, sc.scheduler)
		m.removeQueued(sc.scheduler)
	}
}

// removeQueued removes offers whose scheduler no longer waits for an answer.
func (m *Machine) removeQueued(scheduler string) {
	for _, c := range append([]*container(nil), m.queue...) {
		if c.key.scheduler == scheduler {
			m.remove(c)
		}
	}
}

// sortedContainers orders by attempt, so that chance does not depend on map order.
func (m *Machine) sortedContainers() []*container {
	all := make([]*container, 0, len(m.containers))
	for _, c := range m.containers {
		all = append(all, c)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].key.attemptID < all[j].key.attemptID })
	return all
}

func (m *Machine) handleFrame(sc *schedulerConn, frame protocol.Frame) {
	if m.conns[sc.scheduler] != sc || !m.up {
		return
	}
	switch frame := frame.(type) {
	case *protocol.Offer:
		m.handleOffer(sc, frame)
	case *protocol.CancelAttempt:
		m.handleCancel(sc, frame)
	case *protocol.Probe:
		m.handleProbe(sc, frame)
	}
}

func (m *Machine) handleCancel(sc *schedulerConn, frame *protocol.CancelAttempt) {
	key := attemptKey{scheduler: sc.scheduler, incarnation: frame.SchedulerIncarnation, attemptID: frame.AttemptID}
	if c := m.containers[key]; c != nil {
		m.end(c, protocol.OutcomeStopped, protocol.ReasonNone)
	}
}

func (m *Machine) handleProbe(sc *schedulerConn, frame *protocol.Probe) {
	if m.exceedsSlowStartCapacity() {
		return
	}
	m.after(m.jitter(m.AdmissionTime/2), func() {
		sc.send(&protocol.ProbeReply{Seq: frame.Seq, Report: m.report()})
	})
}

// sendTo sends a frame to the container's scheduler, if that is connected.
func (m *Machine) sendTo(c *container, frame protocol.Frame) {
	if conn := m.conns[c.key.scheduler]; conn != nil {
		conn.send(frame)
	}
}

func (m *Machine) report() map[string]float64 {
	return map[string]float64{
		"x0":    m.Cores - m.reserved.cores,
		"x1":    m.Memory - m.reserved.memory,
		"queue": float64(len(m.queue) + len(m.accepted)),
		"util":  min(1, m.reserved.cores/m.Cores),
	}
}
