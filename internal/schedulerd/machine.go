package schedulerd

import (
	"errors"

	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/internal/schedulerd/reconcile"
	"glenport/internal/schedulerd/warmstart"
	"glenport/scheduler"
)

const (
	// lateAcceptWindow is for how long an attempt that is over may still be accepted by its number.
	lateAcceptWindow = 60 * eventloop.Second
	// inventoryTimeouts is how many connect timeouts a machine has for its inventory.
	inventoryTimeouts = 3
)

// machine is a listed machine with the one connection that all its attempts share.
type machine struct {
	server       *Server
	id           scheduler.MachineID
	address      string
	gone         bool // from the list
	draining     bool
	incarnation  uint64
	startedAt    scheduler.Time // of the incarnation; 0: long ago, or not known
	selfReported bool           // the incarnation is known from the hello of the machine alone

	conn       *eventloop.Conn // nil if there is none
	reader     protocol.Reader
	ready      bool // it has sent its inventory
	lastReadAt eventloop.Tick
	lastSentAt eventloop.Tick
	partial    partialFrame

	queued   []*attempt          // not sent yet
	attempts map[uint64]*attempt // sent, or running there; by number
	// attempts that are over and may still be accepted, for lateAcceptWindow
	expired map[uint64]scheduler.PlacementRequest
	probes  map[uint64]*pendingProbe // by sequence number, until the reply or the timeout
}

// machineFor returns the machine of an ID, and makes it if there is none.
func (s *Server) machineFor(id scheduler.MachineID) *machine {
	m := s.machines[id]
	if m == nil {
		m = &machine{
			server:   s,
			id:       id,
			attempts: map[uint64]*attempt{},
			expired:  map[uint64]scheduler.PlacementRequest{},
			probes:   map[uint64]*pendingProbe{},
		}
		s.machines[id] = m
	}
	return m
}

func (m *machine) idle() bool { return len(m.queued)+len(m.attempts)+len(m.probes) == 0 }

// removeIfGone forgets a machine that has left the list and has nothing to do.
func (m *machine) removeIfGone() {
	if !m.gone || !m.idle() {
		return
	}
	if m.conn != nil {
		m.conn.Close()
	}
	delete(m.server.machines, m.id)
}

// start returns the incarnation for which sends in slow start are counted.
func (m *machine) start() warmstart.MachineStart {
	return warmstart.MachineStart{Incarnation: m.incarnation, StartedAt: m.startedAt}
}

// connect opens the connection of a machine if there is none. A machine that accepts it and sends no inventory loses it
// again.
func (s *Server) connect(m *machine) {
	if m.conn != nil {
		return
	}
	m.reader, m.ready = protocol.Reader{}, false
	m.lastReadAt, m.lastSentAt = s.loop.Now(), s.loop.Now()
	m.conn = s.loop.Dial(m.address, m, s.config.MaxOutput, s.config.ConnectTimeout)
	conn := m.conn
	s.loop.After(inventoryTimeouts*s.config.ConnectTimeout, func() {
		if m.conn == conn && !m.ready {
			conn.Reset()
		}
	})
}

// connectMachine opens a connection for the reconciler, which waits for the inventory.
func (s *Server) connectMachine(id scheduler.MachineID) {
	if m := s.machines[id]; m != nil {
		s.connect(m)
	} else {
		s.enqueueReconcilerEvent(reconcile.ConnectFailed{Machine: id})
	}
}

func (s *Server) disconnectIdle(id scheduler.MachineID) {
	if m := s.machines[id]; m != nil && m.conn != nil && m.idle() {
		m.conn.Close()
	}
}

// Opened implements eventloop.Handler.
func (m *machine) Opened(*eventloop.Conn) { m.send(m.server.hello()) }

// Read implements eventloop.Handler.
func (m *machine) Read(conn *eventloop.Conn, p []byte) {
	m.lastReadAt = m.server.loop.Now()
	if err := m.reader.Feed(p, m.handleFrame); err != nil && conn == m.conn {
		m.server.logConnectionClosed(string(m.id), err)
		m.send(&protocol.Goodbye{Message: err.Error()})
		conn.Close()
	}
	m.partial.update(m.reader.Buffered(), m.lastReadAt)
}

// Closed implements eventloop.Handler. It ends what was under way: an attempt that was never sent never ran, one that
// was sent may have. Containers that run are left to the reconciler.
func (m *machine) Closed(conn *eventloop.Conn, cause error) {
	if conn != m.conn {
		return
	}
	wasReady, localShortage := m.ready, errors.Is(cause, eventloop.ErrLocalResources)
	m.conn, m.ready = nil, false
	m.failQueued(localShortage)
	m.failUnanswered()
	switch {
	case wasReady:
		m.failProbes(scheduler.OutcomeLost)
	case localShortage:
		m.failProbes(scheduler.OutcomeNotSent)
	default:
		m.failProbes(scheduler.OutcomeConnectFailed)
	}
	clear(m.expired) // the next inventory lists those that run
	if wasReady {
		m.server.enqueueReconcilerEvent(reconcile.MachineDisconnected{Machine: m.id})
	} else {
		m.server.enqueueReconcilerEvent(reconcile.ConnectFailed{Machine: m.id, LocalShortage: localShortage})
	}
	m.removeIfGone()
}

func (m *machine) failQueued(localShortage bool) {
	queued := m.queued
	m.queued = nil
	m.server.adoptions.dequeued(len(queued))
	for _, a := range queued {
		if localShortage {
			m.server.attemptNotSent(a)
		} else {
			m.server.attemptUnreached(a)
		}
	}
}

func (m *machine) failUnanswered() {
	for _, a := range inOrder(m.attempts) {
		if !a.accepted {
			m.server.stats.countOutcome(statConnectionLost)
			m.server.outcomeUnknown(a)
			m.server.endAttempt(a, scheduler.AttemptEnded{Outcome: scheduler.OutcomeLost})
		}
	}
}

// send reports whether the connection took the frame.
func (m *machine) send(f protocol.Frame) bool {
	if m.conn == nil {
		return false
	}
	encoded, err := m.server.encode(f)
	if err != nil {
		m.server.log.Error("frame not sent", "machine", m.id, "error", err)
		return false
	}
	m.lastSentAt = m.server.loop.Now()
	return m.conn.Write(encoded) == nil
}

// sendOffer sends an attempt, unless the machine reads too slowly.
func (m *machine) sendOffer(a *attempt) {
	offer := &protocol.Offer{
		AttemptID: a.number,
		Timeout:   protocol.Duration(a.deadline - m.server.loop.Now()),
		Spec:      specOf(a.container),
	}
	a.sent = !m.conn.WriteBlocked() && m.send(offer)
	if !a.sent {
		m.server.attemptNotSent(a)
		return
	}
	m.attempts[a.number] = a
	m.server.stats.countAttempt(a.container)
}

// rememberExpired keeps the request of an attempt that is over and may still be accepted.
func (m *machine) rememberExpired(a *attempt) {
	number := a.number
	m.expired[number] = a.container.request
	m.server.loop.After(lateAcceptWindow, func() { delete(m.expired, number) })
}

// checkTimeouts closes a connection that nothing has used for long, that is silent, or on which the rest of a frame is
// missing.
func (m *machine) checkTimeouts(now eventloop.Tick) {
	if m.conn == nil {
		return
	}
	limits := m.server.config
	switch {
	case m.idle() && now-m.lastSentAt > limits.IdleTimeout:
		m.conn.Close()
	case now-m.lastReadAt > limits.SilenceTimeout, m.partial.overdue(now, limits.SilenceTimeout):
		m.server.logConnectionClosed(string(m.id), after(errSilent, now-m.lastReadAt))
		m.conn.Reset()
	}
}
