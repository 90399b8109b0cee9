package schedulerd

import (
	"errors"
	"fmt"

	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/internal/schedulerd/reconcile"
	"glenport/scheduler"
)

// machine is one that the list has named, with the one link to it that all bids share.
type machine struct {
	server       *Server
	id           scheduler.MachineID
	addr         string
	gone         bool
	draining     bool
	incarnation  uint64
	startedAt    scheduler.Time
	selfReported bool // no list has told of this start yet, only the machine itself

	conn         *eventloop.Conn
	reader       protocol.Reader
	ready        bool // it has greeted and said what it holds
	lastReadAt   eventloop.Tick
	lastUsedAt   eventloop.Tick
	partialSince eventloop.Tick                        // since when half a frame waits
	queued       []*attempt                            // for the link
	attempts     map[uint64]*attempt                   // out, or running there
	expired      map[uint64]scheduler.PlacementRequest // of bids that are over and may still be said yes to; emptied after a minute
	probes       map[uint64]*pendingProbe              // emptied by their answer or time-out
}

type pendingProbe struct {
	seq         uint64
	incarnation uint64 // of its machine, as known when it was decided on
	sent        bool
	awaitingLog bool // it waits for the log
	timer       *eventloop.Timer
	requestedAt eventloop.Tick
}

func (h *Server) machineFor(id scheduler.MachineID) *machine {
	m := h.machines[id]
	if m == nil {
		m = &machine{server: h, id: id, attempts: map[uint64]*attempt{}, expired: map[uint64]scheduler.PlacementRequest{}, probes: map[uint64]*pendingProbe{}}
		h.machines[id] = m
	}
	return m
}

func (m *machine) idle() bool { return len(m.queued)+len(m.attempts)+len(m.probes) == 0 }

// removeIfGone lets go of a machine that is gone and empty.
func (m *machine) removeIfGone() {
	if m.gone && m.idle() {
		if m.conn != nil {
			m.conn.Close()
		}
		delete(m.server.machines, m.id)
	}
}

// connect opens the link where there is none.
func (h *Server) connect(m *machine) {
	if m.conn != nil {
		return
	}
	m.reader, m.ready = protocol.Reader{}, false
	m.lastReadAt, m.lastUsedAt = h.loop.Now(), h.loop.Now()
	m.conn = h.loop.Dial(m.addr, m, h.config.Output, h.config.Connect)
	conn := m.conn
	h.loop.After(3*h.config.Connect, func() {
		if m.conn == conn && !m.ready {
			conn.Reset() // it took the call and did not greet
		}
	})
}

func (m *machine) Opened(*eventloop.Conn) {
	m.send(protocol.NewHello(protocol.RoleScheduler, m.server.config.Name, m.server.incarnation))
}

func (m *machine) Read(c *eventloop.Conn, p []byte) {
	m.lastReadAt = m.server.loop.Now()
	if err := m.reader.Feed(p, m.handleFrame); err != nil && c == m.conn {
		m.server.logConnectionClosed(string(m.id), err)
		m.send(&protocol.Goodbye{Message: err.Error()})
		c.Close()
	}
	if m.reader.Buffered() == 0 {
		m.partialSince = 0
	} else if m.partialSince == 0 {
		m.partialSince = m.lastReadAt
	}
}

// Closed ends what was under way. A bid that was never sent never ran; one that was may have. Containers that
// run are custody's matter.
func (m *machine) Closed(c *eventloop.Conn, why error) {
	if c != m.conn {
		return
	}
	was, short := m.ready, errors.Is(why, eventloop.ErrLocalResources)
	m.conn, m.ready = nil, false
	waiting := m.queued
	m.queued = nil
	m.server.attemptsDequeued(len(waiting))
	for _, b := range waiting {
		if short {
			m.server.attemptNotSent(b)
		} else {
			m.server.attemptUnreached(b)
		}
	}
	for _, b := range attemptsInOrder(m.attempts) {
		if !b.accepted {
			m.server.stats.countOutcome("reset")
			m.server.outcomeUnknown(b)
			m.server.endAttempt(b, scheduler.AttemptEnded{Outcome: scheduler.OutcomeLost})
		}
	}
	for _, p := range m.probes {
		switch {
		case was:
			m.endProbe(p, scheduler.OutcomeLost, nil)
		case short:
			m.endProbe(p, scheduler.OutcomeNotSent, nil)
		default:
			m.endProbe(p, scheduler.OutcomeConnectFailed, nil)
		}
	}
	clear(m.expired) // what it runs it will say when the link stands again
	if was {
		m.server.enqueueOwnershipEvent(reconcile.MachineDisconnected{Machine: m.id})
	} else {
		m.server.enqueueOwnershipEvent(reconcile.ConnectFailed{Machine: m.id, LocalShortage: short})
	}
	m.removeIfGone()
}

// send sends a frame; it reports whether the link took it.
func (m *machine) send(f protocol.Frame) bool {
	if m.conn == nil {
		return false
	}
	p, err := m.server.encode(f)
	if err != nil {
		m.server.log.Error("frame not sent", "machine", m.id, "why", err)
		return false
	}
	m.lastUsedAt = m.server.loop.Now()
	return m.conn.Write(p) == nil
}

// attemptsDequeued counts bids that wait no longer.
func (h *Server) attemptsDequeued(n int) {
	if h.queuedAttempts -= n; h.queuedAttempts == 0 {
		clear(h.lastAdoption)
	}
}

func (m *machine) sendOffer(b *attempt) {
	a, now := &b.container.request, m.server.loop.Now()
	b.sent = !m.conn.WriteBlocked() && m.send(&protocol.Offer{AttemptID: b.number, Timeout: protocol.Duration(b.deadline - now), Spec: protocol.ContainerSpec{
		ContainerID: string(a.ID), IdempotencyKey: a.IdempotencyKey, Service: a.Service, WorkloadClass: a.WorkloadClass, Tenant: a.Tenant,
		Cores: a.Cores, Memory: a.Memory, DedupWindow: b.container.window, ExpectedRuntime: protocol.Duration(a.ExpectedRuntime), ClientRetry: a.ClientRetry}})
	if !b.sent { // the machine takes too little of what waits for it
		m.server.stats.countOutcome("not sent")
		m.server.endAttempt(b, scheduler.AttemptEnded{Outcome: scheduler.OutcomeNotSent})
		return
	}
	m.attempts[b.number] = b
	m.server.stats.countAttempt(b.container)
}

// stale tells whether a bid that waited was decided on what is not so any more: its machine drains, is gone or has started
// anew, or its service was found to run more than was known.
func (b *attempt) stale() bool {
	m := b.machine
	return m.gone || m.draining || m.incarnation != b.machineIncarnation || m.server.lastAdoption[b.container.request.Service] > b.adoptionsBefore
}

// sendQueued sends the bids that waited for the link, but for those that still wait for the log. A stale one is not
// sent: the module, which knows by now, decides anew.
func (m *machine) sendQueued() {
	if !m.ready {
		return
	}
	for _, b := range append([]*attempt(nil), m.queued...) {
		stale := b.stale() // asked before it is forgotten: what was taken over is, with the last that waits
		if b.awaitingLog || !m.dequeue(b) {
			continue
		}
		if stale {
			m.server.attemptNotSent(b)
		} else {
			m.sendOffer(b)
		}
	}
}

// dequeue takes a bid out of those that wait for the link, if it does.
func (m *machine) dequeue(b *attempt) bool {
	for i, w := range m.queued {
		if w == b {
			m.queued = append(m.queued[:i], m.queued[i+1:]...)
			m.server.attemptsDequeued(1)
			return true
		}
	}
	return false
}

// rememberExpired remembers a bid that is over and may be said yes to.
func (m *machine) rememberExpired(b *attempt) {
	n := b.number
	m.expired[n] = b.container.request
	m.server.loop.After(lateAcceptWindow, func() { delete(m.expired, n) })
}

// handleFrame handles a frame of the machine.
func (m *machine) handleFrame(f protocol.Frame) error {
	switch f := f.(type) {
	case *protocol.Hello:
		if f.Role != protocol.RoleMachine || f.Name != string(m.id) {
			return fmt.Errorf("%s %q answers where machine %s was called", f.Role, f.Name, m.id)
		}
		m.server.machineHello(m, f.Incarnation)
	case *protocol.Inventory:
		return m.handleHolds(f)
	case *protocol.Accept:
		m.handleAccept(f)
	case *protocol.Result:
		m.handleResult(f)
	case *protocol.UsageReport:
		if b := m.attempts[f.AttemptID]; b != nil {
			m.server.enqueueSchedulerEvent(scheduler.UsageReported{ID: b.container.request.ID, Machine: m.id, Attempt: b.ordinal, Metric: scheduler.UsageMetric(f.Metric), Value: f.Value})
		}
	case *protocol.ProbeReply:
		if p := m.probes[f.Seq]; p != nil {
			m.endProbe(p, scheduler.OutcomeFinished, f.Report)
		}
	case *protocol.Heartbeat:
	case *protocol.Goodbye:
		return fmt.Errorf("machine says: %s", f.Message)
	default:
		return fmt.Errorf("%T is not for a placer", f)
	}
	return nil
}

// handleHolds makes the link ready. The machine's word comes before anything that waited.
func (m *machine) handleHolds(f *protocol.Inventory) error {
	if m.ready {
		return fmt.Errorf("says twice what it holds")
	}
	e := reconcile.MachineReported{Machine: m.id}
	for _, k := range f.Containers {
		w := &k.Spec
		e.Attempts = append(e.Attempts, reconcile.Attempt{Machine: m.id, Incarnation: k.SchedulerIncarnation, Number: k.AttemptID, Running: k.Running,
			Request: scheduler.PlacementRequest{ID: scheduler.ContainerID(w.ContainerID), IdempotencyKey: w.IdempotencyKey, Service: w.Service, WorkloadClass: w.WorkloadClass,
				Tenant: w.Tenant, Cores: w.Cores, Memory: w.Memory, ExpectedRuntime: scheduler.Time(w.ExpectedRuntime), ClientRetry: w.ClientRetry}})
	}
	m.server.enqueueOwnershipEvent(e)
	m.ready = true
	for _, b := range attemptsInOrder(m.attempts) {
		if b.cancelRequested {
			m.send(&protocol.CancelAttempt{SchedulerIncarnation: b.incarnation, AttemptID: b.number})
		}
	}
	m.server.newlyReady = append(m.server.newlyReady, m)
	for _, p := range m.probes {
		if !p.sent && !p.awaitingLog {
			m.sendProbe(p)
		}
	}
	return nil
}

func (m *machine) handleAccept(f *protocol.Accept) {
	if m.server.config.Terms.AcceptMeansRunning && !f.Running {
		return
	}
	if b := m.attempts[f.AttemptID]; b != nil {
		switch {
		case !b.accepted:
			m.server.attemptAccepted(b)
		case f.Running: // accepted before
			m.server.enqueueSchedulerEvent(scheduler.UsageReported{ID: b.container.request.ID, Machine: m.id, Attempt: b.ordinal, Metric: scheduler.MetricRunning, Value: 1})
		}
		return
	}
	if ask, ok := m.expired[f.AttemptID]; ok {
		delete(m.expired, f.AttemptID)
		m.server.stats.countOutcome("late yes")
		m.server.enqueueOwnershipEvent(reconcile.LateAccept{Attempt: reconcile.Attempt{Request: ask, Machine: m.id, Incarnation: m.server.incarnation, Number: f.AttemptID, Running: true}})
	}
}

func (m *machine) handleResult(f *protocol.Result) {
	b := m.attempts[f.AttemptID]
	if b == nil {
		if ask, ok := m.expired[f.AttemptID]; ok {
			delete(m.expired, f.AttemptID)
			m.server.enqueueOwnershipEvent(reconcile.AttemptNotRunning{Attempt: reconcile.Attempt{Request: ask, Machine: m.id, Incarnation: m.server.incarnation, Number: f.AttemptID}})
		}
		return
	}
	o := f.Outcome.SchedulerOutcome()
	if !b.accepted && o == scheduler.OutcomeFinished { // it ran, whatever became of the yes
		m.server.attemptAccepted(b)
	}
	if !b.accepted {
		m.server.stats.countOutcome(f.Outcome.String())
	}
	m.server.endAttempt(b, scheduler.AttemptEnded{Outcome: o, Reason: scheduler.Reason(f.Reason), Report: f.Report, Final: b.accepted})
}

func (h *Server) probe(id scheduler.MachineID) {
	m := h.machines[id]
	if m == nil {
		h.enqueueSchedulerEvent(scheduler.ProbeCompleted{Machine: id, Outcome: scheduler.OutcomeConnectFailed})
		return
	}
	h.lastProbe++
	p := &pendingProbe{seq: h.lastProbe, incarnation: m.incarnation, requestedAt: h.loop.Now()}
	m.probes[p.seq] = p
	p.timer = h.loop.After(probeTimeout, func() { m.endProbe(p, scheduler.OutcomeTimedOut, nil) })
	if h.state != nil && h.state.logSend(m) {
		p.awaitingLog = true
		h.state.afterCommit(false, func(err error) {
			if p.awaitingLog = false; err != nil {
				m.endProbe(p, scheduler.OutcomeNotSent, nil)
			} else if m.probes[p.seq] == p {
				m.sendProbe(p)
			}
		})
		return
	}
	m.sendProbe(p)
}

// sendProbe sends a probe, at once or as soon as the link stands. One that was decided on another start of its machine is
// not sent, as it does not count for this one.
func (m *machine) sendProbe(p *pendingProbe) {
	if m.ready && m.incarnation != p.incarnation {
		m.endProbe(p, scheduler.OutcomeNotSent, nil)
	} else if m.ready {
		p.sent = m.send(&protocol.Probe{Seq: p.seq})
	} else {
		m.server.connect(m)
	}
}

func (m *machine) endProbe(p *pendingProbe, o scheduler.Outcome, r map[string]float64) {
	if m.probes[p.seq] != p {
		return
	}
	delete(m.probes, p.seq)
	m.server.loop.Cancel(p.timer)
	m.server.enqueueSchedulerEvent(scheduler.ProbeCompleted{Machine: m.id, Outcome: o, Elapsed: scheduler.Time(m.server.loop.Now() - p.requestedAt), Report: r})
}

// checkTimeouts closes the link when nothing has used it for long, when it is silent though something is due, or when
// half a frame is not followed by the rest.
func (m *machine) checkTimeouts(now eventloop.Tick) {
	if m.conn == nil {
		return
	}
	s := m.server.config
	switch {
	case m.idle() && now-m.lastUsedAt > s.Idle:
		m.conn.Close()
	case now-m.lastReadAt > s.Silent, m.partialSince > 0 && now-m.partialSince > s.Silent:
		m.server.logConnectionClosed(string(m.id), fmt.Errorf("nothing whole heard for %d ms", (now-m.lastReadAt)/eventloop.Millisecond))
		m.conn.Reset()
	}
}

// attemptsInOrder gives bids in the order they were sent.
func attemptsInOrder(bids map[uint64]*attempt) []*attempt {
	all := make([]*attempt, 0, len(bids))
	for _, b := range bids {
		all = append(all, b)
	}
	sortAttempts(all)
	return all
}
