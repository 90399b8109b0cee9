package emulator

import (
	"net"
	"sync"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testbed/loopback"
)

const (
	maxQueuedFrames     = 4096 // the connection is closed when the queue is full
	machineWriteTimeout = 10 * time.Second
)

// schedulerConn is the connection of a scheduler to a machine.
type schedulerConn struct {
	*frameConn
	scheduler   string
	incarnation uint64 // of the scheduler
}

// schedulerServer serves the scheduler connections of a machine and dispatches their frames to its components.
type schedulerServer struct {
	spec       *MachineSpec
	host       host
	background *sync.WaitGroup
	life       *lifecycle
	slowStart  *slowStart
	behavior   *behavior
	admission  *admission
	runtime    *containerRuntime
	conns      map[string]*schedulerConn // by scheduler
}

// serve reads the frames of one scheduler until its connection ends.
func (s *schedulerServer) serve(conn net.Conn) {
	defer loopback.CloseQuietly(conn)
	hello, ok := readSchedulerHello(conn)
	if !ok {
		return
	}
	sc := &schedulerConn{
		frameConn:   newFrameConn(conn, maxQueuedFrames, machineWriteTimeout),
		scheduler:   hello.Name,
		incarnation: hello.Incarnation,
	}
	stop := make(chan struct{})
	defer close(stop)
	s.background.Go(func() { sc.writeAll(stop) })
	s.host.post(func() { s.register(sc) })
	for {
		frame, err := protocol.ReadFrame(conn, protocol.MaxFrame)
		if err != nil {
			s.host.post(func() { s.unregister(sc) })
			return
		}
		s.host.post(func() { s.handleFrame(sc, frame) })
	}
}

// register sends the hello and the inventory to a scheduler and closes its previous connection.
func (s *schedulerServer) register(sc *schedulerConn) {
	if !s.life.isUp() {
		loopback.CloseQuietly(sc)
		return
	}
	if old := s.conns[sc.scheduler]; old != nil {
		loopback.CloseQuietly(old)
		s.discardQueued(sc.scheduler)
	}
	s.conns[sc.scheduler] = sc
	sc.send(protocol.NewHello(protocol.RoleMachine, s.spec.Name, s.life.incarnation))
	sc.send(&protocol.Inventory{
		MachineIncarnation: s.life.incarnation, Containers: s.runtime.inventory(sc.scheduler),
	})
}

func (s *schedulerServer) unregister(sc *schedulerConn) {
	if s.isCurrent(sc) {
		delete(s.conns, sc.scheduler)
		s.discardQueued(sc.scheduler)
	}
}

func (s *schedulerServer) isCurrent(sc *schedulerConn) bool { return s.conns[sc.scheduler] == sc }

// discardQueued discards the queued offers of a scheduler that has disconnected.
func (s *schedulerServer) discardQueued(scheduler string) {
	for _, c := range s.admission.takeQueued(scheduler) {
		s.runtime.discard(c)
	}
}

func (s *schedulerServer) handleFrame(sc *schedulerConn, frame protocol.Frame) {
	if !s.isCurrent(sc) || !s.life.isUp() {
		return
	}
	switch frame := frame.(type) {
	case *protocol.Offer:
		s.handleOffer(sc, frame)
	case *protocol.CancelAttempt:
		s.handleCancel(sc, frame)
	case *protocol.Probe:
		s.handleProbe(sc, frame)
	}
}

func (s *schedulerServer) handleOffer(sc *schedulerConn, offer *protocol.Offer) {
	if s.crashIfOverloaded() || s.behavior.ignores(offer.Spec.WorkloadClass) {
		return
	}
	key := attemptKey{scheduler: sc.scheduler, incarnation: sc.incarnation, attemptID: offer.AttemptID}
	c := newContainer(key, offer, s.behavior.initialMemoryUse())
	s.runtime.add(c)
	s.admission.offer(c)
}

func (s *schedulerServer) handleCancel(sc *schedulerConn, frame *protocol.CancelAttempt) {
	key := attemptKey{scheduler: sc.scheduler, incarnation: frame.SchedulerIncarnation, attemptID: frame.AttemptID}
	if c := s.runtime.find(key); c != nil {
		s.admission.remove(c)
		s.runtime.end(c, protocol.OutcomeStopped, protocol.ReasonNone)
	}
}

func (s *schedulerServer) handleProbe(sc *schedulerConn, frame *protocol.Probe) {
	if s.crashIfOverloaded() {
		return
	}
	s.host.after(s.behavior.vary(s.spec.AdmissionTime/2), func() {
		sc.send(&protocol.ProbeReply{Seq: frame.Seq, Report: s.host.report()})
	})
}

// crashIfOverloaded counts an offer or probe. A machine that gets more of them than SlowStartCapacity in one window of
// its slow start crashes permanently; it reports whether that happened.
func (s *schedulerServer) crashIfOverloaded() bool {
	if !s.slowStart.countOffer(s.life.startedAt, time.Now()) {
		return false
	}
	s.host.powerOff(capacityExceeded)
	return true
}

// sendTo sends a frame to the scheduler of a container, if it is connected.
func (s *schedulerServer) sendTo(c *container, frame protocol.Frame) {
	if conn := s.conns[c.key.scheduler]; conn != nil {
		conn.send(frame)
	}
}

func (s *schedulerServer) closeAll() {
	for _, conn := range s.conns {
		loopback.CloseQuietly(conn)
	}
	clear(s.conns)
}

func (s *schedulerServer) resetAll() {
	for _, conn := range s.conns {
		loopback.Reset(conn.Conn)
	}
}
