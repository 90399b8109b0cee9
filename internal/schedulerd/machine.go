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
	h           *Host
	id          scheduler.MachineID
	addr        string
	gone        bool
	draining    bool
	incarnation uint64
	startedAt   scheduler.Time
	greeted     bool // no list has told of this start yet, only the machine itself

	conn    *eventloop.Conn
	reader  protocol.Reader
	ready   bool // it has greeted and said what it holds
	heardAt eventloop.Tick
	usedAt  eventloop.Tick
	halfAt  eventloop.Tick                        // since when half a frame waits
	waiting []*bid                                // for the link
	bids    map[uint64]*bid                       // out, or running there
	late    map[uint64]scheduler.PlacementRequest // of bids that are over and may still be said yes to; emptied after a minute
	probes  map[uint64]*probing                   // emptied by their answer or time-out
}

type probing struct {
	seq         uint64
	incarnation uint64 // of its machine, as known when it was decided on
	sent        bool
	unkept      bool // it waits for the log
	timer       *eventloop.Timer
	sentAt      eventloop.Tick
}

func (h *Host) machine(id scheduler.MachineID) *machine {
	m := h.machines[id]
	if m == nil {
		m = &machine{h: h, id: id, bids: map[uint64]*bid{}, late: map[uint64]scheduler.PlacementRequest{}, probes: map[uint64]*probing{}}
		h.machines[id] = m
	}
	return m
}

func (m *machine) idle() bool { return len(m.waiting)+len(m.bids)+len(m.probes) == 0 }

// settle lets go of a machine that is gone and empty.
func (m *machine) settle() {
	if m.gone && m.idle() {
		if m.conn != nil {
			m.conn.Close()
		}
		delete(m.h.machines, m.id)
	}
}

// reach opens the link where there is none.
func (h *Host) reach(m *machine) {
	if m.conn != nil {
		return
	}
	m.reader, m.ready = protocol.Reader{}, false
	m.heardAt, m.usedAt = h.loop.Now(), h.loop.Now()
	m.conn = h.loop.Dial(m.addr, m, h.site.Output, h.site.Connect)
	conn := m.conn
	h.loop.After(3*h.site.Connect, func() {
		if m.conn == conn && !m.ready {
			conn.Reset() // it took the call and did not greet
		}
	})
}

func (m *machine) Opened(*eventloop.Conn) {
	m.write(protocol.NewHello(protocol.RoleScheduler, m.h.site.Name, m.h.life))
}

func (m *machine) Read(c *eventloop.Conn, p []byte) {
	m.heardAt = m.h.loop.Now()
	if err := m.reader.Feed(p, m.take); err != nil && c == m.conn {
		m.h.badLink(string(m.id), err)
		m.write(&protocol.Goodbye{Message: err.Error()})
		c.Close()
	}
	if m.reader.Buffered() == 0 {
		m.halfAt = 0
	} else if m.halfAt == 0 {
		m.halfAt = m.heardAt
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
	waiting := m.waiting
	m.waiting = nil
	m.h.gone(len(waiting))
	for _, b := range waiting {
		if short {
			m.h.notSent(b)
		} else {
			m.h.unreached(b)
		}
	}
	for _, b := range ordered(m.bids) {
		if !b.placed {
			m.h.meter.outcome("reset")
			m.h.unheard(b)
			m.h.over(b, scheduler.AttemptEnded{Outcome: scheduler.OutcomeLost})
		}
	}
	for _, p := range m.probes {
		switch {
		case was:
			m.probed(p, scheduler.OutcomeLost, nil)
		case short:
			m.probed(p, scheduler.OutcomeNotSent, nil)
		default:
			m.probed(p, scheduler.OutcomeConnectFailed, nil)
		}
	}
	clear(m.late) // what it runs it will say when the link stands again
	if was {
		m.h.tell(reconcile.MachineDisconnected{Machine: m.id})
	} else {
		m.h.tell(reconcile.ConnectFailed{Machine: m.id, LocalShortage: short})
	}
	m.settle()
}

// write sends a frame; it reports whether the link took it.
func (m *machine) write(f protocol.Frame) bool {
	if m.conn == nil {
		return false
	}
	p, err := m.h.frame(f)
	if err != nil {
		m.h.log.Error("frame not sent", "machine", m.id, "why", err)
		return false
	}
	m.usedAt = m.h.loop.Now()
	return m.conn.Write(p) == nil
}

// gone counts bids that wait no longer.
func (h *Host) gone(n int) {
	if h.unsent -= n; h.unsent == 0 {
		clear(h.tookOver)
	}
}

func (m *machine) offer(b *bid) {
	a, now := &b.c.ask, m.h.loop.Now()
	b.sent = !m.conn.WriteBlocked() && m.write(&protocol.Offer{AttemptID: b.number, Timeout: protocol.Duration(b.until - now), Spec: protocol.ContainerSpec{
		ContainerID: string(a.ID), IdempotencyKey: a.IdempotencyKey, Service: a.Service, WorkloadClass: a.WorkloadClass, Tenant: a.Tenant,
		Cores: a.Cores, Memory: a.Memory, DedupWindow: b.c.window, ExpectedRuntime: protocol.Duration(a.ExpectedRuntime), ClientRetry: a.ClientRetry}})
	if !b.sent { // the machine takes too little of what waits for it
		m.h.meter.outcome("not sent")
		m.h.over(b, scheduler.AttemptEnded{Outcome: scheduler.OutcomeNotSent})
		return
	}
	m.bids[b.number] = b
	m.h.meter.bid(b.c)
}

// stale tells whether a bid that waited was decided on what is not so any more: its machine drains, is gone or has started
// anew, or its service was found to run more than was known.
func (b *bid) stale() bool {
	m := b.at
	return m.gone || m.draining || m.incarnation != b.start || m.h.tookOver[b.c.ask.Service] > b.after
}

// sendWaiting sends the bids that waited for the link, but for those that still wait for the log. A stale one is not
// sent: the module, which knows by now, decides anew.
func (m *machine) sendWaiting() {
	if !m.ready {
		return
	}
	for _, b := range append([]*bid(nil), m.waiting...) {
		stale := b.stale() // asked before it is forgotten: what was taken over is, with the last that waits
		if b.unkept || !m.forgetWaiting(b) {
			continue
		}
		if stale {
			m.h.notSent(b)
		} else {
			m.offer(b)
		}
	}
}

// forgetWaiting takes a bid out of those that wait for the link, if it does.
func (m *machine) forgetWaiting(b *bid) bool {
	for i, w := range m.waiting {
		if w == b {
			m.waiting = append(m.waiting[:i], m.waiting[i+1:]...)
			m.h.gone(1)
			return true
		}
	}
	return false
}

// expectLate remembers a bid that is over and may be said yes to.
func (m *machine) expectLate(b *bid) {
	n := b.number
	m.late[n] = b.c.ask
	m.h.loop.After(lateFor, func() { delete(m.late, n) })
}

// take handles a frame of the machine.
func (m *machine) take(f protocol.Frame) error {
	switch f := f.(type) {
	case *protocol.Hello:
		if f.Role != protocol.RoleMachine || f.Name != string(m.id) {
			return fmt.Errorf("%s %q answers where machine %s was called", f.Role, f.Name, m.id)
		}
		m.h.greeted(m, f.Incarnation)
	case *protocol.Inventory:
		return m.holds(f)
	case *protocol.Accept:
		m.yes(f)
	case *protocol.Result:
		m.result(f)
	case *protocol.UsageReport:
		if b := m.bids[f.AttemptID]; b != nil {
			m.h.feed(scheduler.UsageReported{ID: b.c.ask.ID, Machine: m.id, Attempt: b.nth, Metric: scheduler.UsageMetric(f.Metric), Value: f.Value})
		}
	case *protocol.ProbeReply:
		if p := m.probes[f.Seq]; p != nil {
			m.probed(p, scheduler.OutcomeFinished, f.Report)
		}
	case *protocol.Heartbeat:
	case *protocol.Goodbye:
		return fmt.Errorf("machine says: %s", f.Message)
	default:
		return fmt.Errorf("%T is not for a placer", f)
	}
	return nil
}

// holds makes the link ready. The machine's word comes before anything that waited.
func (m *machine) holds(f *protocol.Inventory) error {
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
	m.h.tell(e)
	m.ready = true
	for _, b := range ordered(m.bids) {
		if b.stopped {
			m.write(&protocol.CancelAttempt{SchedulerIncarnation: b.life, AttemptID: b.number})
		}
	}
	m.h.linked = append(m.h.linked, m)
	for _, p := range m.probes {
		if !p.sent && !p.unkept {
			m.sendProbe(p)
		}
	}
	return nil
}

func (m *machine) yes(f *protocol.Accept) {
	if m.h.site.Terms.AcceptMeansRunning && !f.Running {
		return
	}
	if b := m.bids[f.AttemptID]; b != nil {
		switch {
		case !b.placed:
			m.h.yes(b)
		case f.Running: // accepted before
			m.h.feed(scheduler.UsageReported{ID: b.c.ask.ID, Machine: m.id, Attempt: b.nth, Metric: scheduler.MetricRunning, Value: 1})
		}
		return
	}
	if ask, ok := m.late[f.AttemptID]; ok {
		delete(m.late, f.AttemptID)
		m.h.meter.outcome("late yes")
		m.h.tell(reconcile.LateAccept{Attempt: reconcile.Attempt{Request: ask, Machine: m.id, Incarnation: m.h.life, Number: f.AttemptID, Running: true}})
	}
}

func (m *machine) result(f *protocol.Result) {
	b := m.bids[f.AttemptID]
	if b == nil {
		if ask, ok := m.late[f.AttemptID]; ok {
			delete(m.late, f.AttemptID)
			m.h.tell(reconcile.AttemptNotRunning{Attempt: reconcile.Attempt{Request: ask, Machine: m.id, Incarnation: m.h.life, Number: f.AttemptID}})
		}
		return
	}
	o := f.Outcome.Scheduler()
	if !b.placed && o == scheduler.OutcomeFinished { // it ran, whatever became of the yes
		m.h.yes(b)
	}
	if !b.placed {
		m.h.meter.outcome(f.Outcome.String())
	}
	m.h.over(b, scheduler.AttemptEnded{Outcome: o, Reason: scheduler.Reason(f.Reason), Report: f.Report, Final: b.placed})
}

func (h *Host) probe(id scheduler.MachineID) {
	m := h.machines[id]
	if m == nil {
		h.feed(scheduler.ProbeCompleted{Machine: id, Outcome: scheduler.OutcomeConnectFailed})
		return
	}
	h.lastSeq++
	p := &probing{seq: h.lastSeq, incarnation: m.incarnation, sentAt: h.loop.Now()}
	m.probes[p.seq] = p
	p.timer = h.loop.After(probeWithin, func() { m.probed(p, scheduler.OutcomeTimedOut, nil) })
	if h.state != nil && h.state.noteSend(m) {
		p.unkept = true
		h.state.after(false, func(err error) {
			if p.unkept = false; err != nil {
				m.probed(p, scheduler.OutcomeNotSent, nil)
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
func (m *machine) sendProbe(p *probing) {
	if m.ready && m.incarnation != p.incarnation {
		m.probed(p, scheduler.OutcomeNotSent, nil)
	} else if m.ready {
		p.sent = m.write(&protocol.Probe{Seq: p.seq})
	} else {
		m.h.reach(m)
	}
}

func (m *machine) probed(p *probing, o scheduler.Outcome, r map[string]float64) {
	if m.probes[p.seq] != p {
		return
	}
	delete(m.probes, p.seq)
	m.h.loop.Cancel(p.timer)
	m.h.feed(scheduler.ProbeCompleted{Machine: m.id, Outcome: o, Elapsed: scheduler.Time(m.h.loop.Now() - p.sentAt), Report: r})
}

// house closes the link when nothing has used it for long, when it is silent though something is due, or when
// half a frame is not followed by the rest.
func (m *machine) house(now eventloop.Tick) {
	if m.conn == nil {
		return
	}
	s := m.h.site
	switch {
	case m.idle() && now-m.usedAt > s.Idle:
		m.conn.Close()
	case now-m.heardAt > s.Silent, m.halfAt > 0 && now-m.halfAt > s.Silent:
		m.h.badLink(string(m.id), fmt.Errorf("nothing whole heard for %d ms", (now-m.heardAt)/eventloop.Millisecond))
		m.conn.Reset()
	}
}

// ordered gives bids in the order they were sent.
func ordered(bids map[uint64]*bid) []*bid {
	all := make([]*bid, 0, len(bids))
	for _, b := range bids {
		all = append(all, b)
	}
	sortBids(all)
	return all
}
