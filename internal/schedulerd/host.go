// Package schedulerd runs one placer on sockets: it turns what comes in into events, hands them to the decisions once
// a turn, and carries out what they want done, in order. It decides nothing itself. Everything here runs on
// the event loop's goroutine.
package schedulerd

import (
	"fmt"
	"log/slog"
	"time"

	"glenport/internal/bgp/announce"
	"glenport/internal/bgp/speaker"
	"glenport/internal/config"
	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/internal/schedulerd/overload"
	"glenport/internal/schedulerd/reconcile"
	"glenport/internal/schedulerd/recovery"
	"glenport/scheduler"
)

// Decider is the placer module, or a script in its place.
type Decider interface {
	Handle(now scheduler.Time, events []scheduler.Event) []scheduler.Action
}

const (
	housekeeping = eventloop.Second
	greetWithin  = 5 * eventloop.Second // a stranger that has not greeted by then is dropped
	probeWithin  = eventloop.Second
	lateFor      = 60 * eventloop.Second // for how long a bid that was over may still be said yes to by its number
)

// Host is one life of a placer.
type Host struct {
	site    *config.Placer
	life    uint64
	log     *slog.Logger
	loop    *eventloop.Loop
	door    *eventloop.Listener
	decider Decider
	custody *reconcile.Reconciler
	meter   meter

	events []scheduler.Event // to be handled next
	told   []reconcile.Event // likewise

	open      map[scheduler.ContainerID]*container    // until answered and without a bid
	machines  map[scheduler.MachineID]*machine        // until gone from the list and empty
	asking    map[scheduler.ContainerID]time.Duration // when submissions of this turn came
	scratch   []byte
	owners    map[reconcile.ClientID]*owner // until their link ends
	list      listLink
	routes    *speaker.Speaker // nil where no address is announced
	state     *state           // nil where nothing is kept
	takeovers int              // so far
	tookOver  map[string]int   // by service, the last one; emptied when no bid waits
	unsent    int              // bids that wait for a link or the log
	linked    []*machine       // that said in this turn what they hold
	lastBid   uint64
	lastOwner reconcile.ClientID
	lastSeq   uint64
}

// container is one that this placer has taken or taken over.
type container struct {
	ask      scheduler.PlacementRequest
	window   protocol.Duration
	owner    *owner // nil where it was taken over and nobody asked again
	heardAs  string // its id for that owner
	answered bool
	bids     int
	bid      *bid // the one out, or the one by which it runs
	came     time.Duration
}

// bid is an offer that is to be sent, is out, or has led to a container that runs.
type bid struct {
	number  uint64
	life    uint64
	nth     int
	c       *container
	at      *machine
	sentAt  eventloop.Tick
	until   eventloop.Tick
	timer   *eventloop.Timer
	sent    bool
	placed  bool
	stopped bool   // its end was asked for
	start   uint64 // of its machine, as known when it was decided on
	after   int    // takeovers before that
	logged  bool   // the log holds it
	unkept  bool   // it waits for the log
}

// New makes the host of one life of a placer and opens its door. Stop or Run to its end frees what it holds.
func New(s *config.Placer, d Decider, log *slog.Logger) (*Host, error) {
	h := &Host{site: s, life: uint64(time.Now().UnixMicro()), log: log, decider: d,
		open: map[scheduler.ContainerID]*container{}, machines: map[scheduler.MachineID]*machine{},
		asking: map[scheduler.ContainerID]time.Duration{}, owners: map[reconcile.ClientID]*owner{},
		tookOver: map[string]int{}}
	h.lastBid = h.life // bid numbers are unique over all lives
	var effects []scheduler.Idempotency
	var calm []overload.WorkloadClass
	for _, w := range s.Terms.WorkloadClasses {
		effects = append(effects, w.Idempotency)
		if s.Damped {
			calm = append(calm, overload.WorkloadClass{LatencyObjective: w.LatencyObjective, PriorityWeight: w.PriorityWeight})
		}
	}
	h.meter.init()
	var err error
	if h.loop, err = eventloop.New(h.turn); err != nil {
		return nil, err
	}
	known := recovery.LogNone
	if s.State != "" {
		if h.state, err = openState(h); err != nil {
			h.loop.Stop()
			h.loop.Run()
			return nil, err
		}
		known = h.state.life.Coverage
	}
	h.custody = reconcile.New(h.life, s.Bounds, effects, known, calm)
	if s.BGP != nil {
		h.routes = speaker.New(h.loop, *s.BGP, log)
	}
	h.loop.OnFlushed(func() { h.meter.flushed(h.loop.Elapsed()) })
	if h.door, err = h.loop.Listen(s.Door, h.accept, h.loop.AcceptStateLogger(log, "callers")); err != nil {
		h.loop.Stop()
		h.loop.Run()
		h.closeState()
		return nil, err
	}
	return h, nil
}

// Routes is the speaker; nil where no address is announced.
func (h *Host) Routes() *speaker.Speaker { return h.routes }

// Account gives the figures and routes to another goroutine, unless the loop does not answer in time.
func (h *Host) Account(within time.Duration) (*protocol.StatusReply, *protocol.RoutesReply, bool) {
	type both struct {
		s *protocol.StatusReply
		r *protocol.RoutesReply
	}
	got := make(chan both, 1)
	if !h.loop.Post(func() { got <- both{h.status(), h.routesFor("")} }) {
		return nil, nil, false
	}
	select {
	case b := <-got:
		return b.s, b.r, true
	case <-time.After(within):
		return nil, nil, false
	}
}

// Addr is where owners call.
func (h *Host) Addr() string { return h.door.Addr().String() }

// Stop ends Run; any goroutine may call it.
func (h *Host) Stop() {
	h.loop.Post(func() {
		if h.routes != nil {
			h.routes.Stop("this placer is stopped")
		}
	})
	h.loop.Stop()
}

// Run serves until Stop.
func (h *Host) Run() error {
	h.loop.Post(h.begin)
	err := h.loop.Run()
	h.closeState()
	return err
}

func (h *Host) closeState() {
	if h.state != nil {
		h.state.close()
	}
}

// begin starts from what earlier lives left.
func (h *Host) begin() {
	h.log.Info("placer up", "name", h.site.Name, "door", h.Addr(), "life", h.life)
	if h.state != nil {
		h.state.begin()
	} else {
		h.learn(scheduler.RestoredSnapshot, 0, nil)
	}
	h.loop.After(housekeeping, h.keepHouse)
	if h.routes != nil {
		if err := h.routes.Start(); err != nil {
			h.log.Error("no addresses are announced", "why", err)
			h.routes = nil
		}
	}
}

// route tells the speaker of a container that runs, or does no longer.
func (h *Host) route(b *bid, runs bool) {
	service := b.c.ask.Service
	if h.routes == nil || !h.routes.Offers(service) {
		return
	}
	if runs {
		h.routes.Handle(announce.Runs{Service: service, Container: string(b.c.ask.ID), Draining: b.at.draining})
	} else {
		h.routes.Handle(announce.Ends{Service: service, Container: string(b.c.ask.ID)})
	}
}

func (h *Host) tell(e reconcile.Event) { h.told = append(h.told, e) }
func (h *Host) feed(e scheduler.Event) { h.events = append(h.events, e) }

// turn hands over what came in and carries out what is decided.
func (h *Host) turn() {
	now := scheduler.Time(h.loop.Now())
	if told := h.told; len(told) > 0 {
		h.told = nil
		for _, a := range h.custody.Handle(now, told) {
			h.see(a)
		}
		clear(h.asking)
	}
	for _, m := range h.linked { // what they run is taken over by now
		m.sendWaiting()
	}
	h.linked = nil
	h.decide()
	if h.state != nil {
		h.state.turnOver()
	}
	if len(h.events)+len(h.told) > 0 {
		h.loop.SkipWait()
	}
}

// decide hands the placer module what happened.
func (h *Host) decide() {
	events := h.events
	if len(events) == 0 {
		return
	}
	h.events = nil
	began := h.loop.Elapsed()
	actions := h.decider.Handle(scheduler.Time(h.loop.Now()), events)
	h.meter.handled(h.loop.Elapsed()-began, len(events), len(actions))
	for _, a := range actions {
		h.carry(a)
	}
}

// carry does what the placer module wants done.
func (h *Host) carry(a scheduler.Action) {
	switch a := a.(type) {
	case scheduler.StartAttempt:
		h.offer(a)
	case scheduler.Reject:
		h.answer(a.ID, &protocol.PlacementReply{Verdict: protocol.VerdictRejected, RetryAfter: protocol.Duration(a.RetryAfter)})
	case scheduler.Fail:
		h.answer(a.ID, &protocol.PlacementReply{Verdict: protocol.VerdictFailed})
	case scheduler.CancelAttempt:
		if c := h.open[a.ID]; c != nil && c.bid != nil && !c.bid.placed && c.bid.nth == a.Attempt {
			h.callOff(c.bid)
			h.over(c.bid, scheduler.AttemptEnded{Outcome: scheduler.OutcomeStopped, Final: c.answered})
		}
	case scheduler.Probe:
		h.probe(a.Machine)
	case scheduler.Disconnect:
		if m := h.machines[a.Machine]; m != nil && m.conn != nil && m.idle() {
			m.conn.Close()
		}
	case scheduler.SetTimer:
		h.loop.After(eventloop.Tick(a.After), func() { h.feed(scheduler.TimerFired{Name: a.Name}) })
	case scheduler.WatchMachineList:
		h.watch(&protocol.WatchMachineList{Enabled: a.Enabled, SinceVersion: h.list.version})
	case scheduler.FetchMachineList:
		h.watch(&protocol.FetchMachineList{})
	case scheduler.Log:
		h.log.Info("mode", "text", a.Message)
	}
}

// see does what custody wants done.
func (h *Host) see(a reconcile.Action) {
	switch a := a.(type) {
	case reconcile.CloseClient:
		if o := h.owners[a.Client]; o != nil {
			o.drop(a.Reason)
		}
	case reconcile.Admit:
		h.take(a)
	case reconcile.Reject:
		h.turnAway(a)
	case reconcile.AlreadyRunning:
		h.send(a.Client, &protocol.PlacementReply{ContainerID: string(a.ID), Verdict: protocol.VerdictPlaced, Machine: string(a.Machine),
			Message: "it runs already"})
		if c := h.open[a.RunningID]; c != nil { // who asked last hears its fate
			c.owner, c.heardAs = h.owners[a.Client], string(a.ID)
		}
	case reconcile.TerminateContainer:
		h.cease(a)
	case reconcile.NotRunning:
		h.send(a.Client, &protocol.PlacementReply{ContainerID: string(a.ID), Verdict: protocol.VerdictRejected, Message: "nothing of it runs"})
	case reconcile.AlreadyTerminated:
		h.send(a.Client, &protocol.PlacementReply{ContainerID: string(a.ID), Verdict: protocol.VerdictFailed, Message: "cancelled"})
	case reconcile.CancelAttempt:
		if m := h.machines[a.Machine]; m != nil && m.ready {
			m.write(&protocol.CancelAttempt{SchedulerIncarnation: a.Incarnation, AttemptID: a.Attempt})
		}
	case reconcile.Adopt:
		h.adopt(a.Attempt)
	case reconcile.ContainerLost:
		if c := h.open[a.ID]; c != nil && c.bid != nil && c.bid.placed {
			if !a.Confirmed { // behind a cut it may run on
				h.unheard(c.bid)
			}
			h.over(c.bid, scheduler.AttemptEnded{Outcome: scheduler.OutcomeLost, Final: true})
		}
	case reconcile.ConnectMachine:
		if m := h.machines[a.Machine]; m != nil {
			h.reach(m)
		} else {
			h.tell(reconcile.ConnectFailed{Machine: a.Machine})
		}
	case reconcile.RecoveryComplete:
		if h.routes != nil {
			h.routes.Whole()
		}
	case reconcile.AllMachinesReported:
		if h.state != nil {
			h.state.life = h.state.life.WithCompleteLog()
			h.state.changes = append(h.state.changes, h.state.lifeChange())
		}
	case reconcile.AttemptResolved:
		if h.state != nil {
			h.state.drop(BidKind, bidKey(a.Attempt.Number))
		}
	case reconcile.SetTimer:
		h.loop.After(eventloop.Tick(a.After), func() { h.tell(reconcile.TimerFired{}) })
	case reconcile.Log:
		h.log.Info("custody", "text", a.Message)
	}
}

// take hands a container that the door lets in to the placer module.
func (h *Host) take(a reconcile.Admit) {
	h.open[a.Request.ID] = &container{ask: a.Request, owner: h.owners[a.Client], heardAs: string(a.Request.ID), came: h.asking[a.Request.ID],
		window: protocol.Duration(h.site.Terms.WorkloadClasses[a.Request.WorkloadClass].DedupWindow)}
	h.feed(scheduler.RequestReceived{PlacementRequest: a.Request})
}

// frame encodes a frame; what it returns holds until the next call.
func (h *Host) frame(f protocol.Frame) ([]byte, error) {
	var err error
	h.scratch, err = protocol.Append(h.scratch[:0], f)
	if cap(h.scratch) > 1<<20 {
		defer func() { h.scratch = nil }()
	}
	return h.scratch, err
}

// offer sends a bid, at once or as soon as the link stands. What cannot be sent is an outcome of its own.
func (h *Host) offer(a scheduler.StartAttempt) {
	c, m := h.open[a.ID], h.machines[a.Machine]
	if c == nil {
		h.log.Error("bid for an unknown container", "container", a.ID)
		return
	}
	if c.bid != nil || m == nil || c.answered {
		h.feed(scheduler.AttemptEnded{ID: a.ID, Outcome: scheduler.OutcomeNotSent, Machine: a.Machine, Attempt: c.bids, Final: c.answered})
		return
	}
	now := h.loop.Now()
	until := eventloop.Tick(c.ask.Deadline)
	if a.Timeout > 0 {
		until = min(until, now+eventloop.Tick(a.Timeout))
	}
	h.lastBid++
	b := &bid{number: h.lastBid, life: h.life, nth: c.bids, c: c, at: m, sentAt: now, until: until, start: m.incarnation, after: h.takeovers}
	c.bid = b
	c.bids++
	b.timer = h.loop.After(until-now, func() { h.timedOut(b) })
	if h.state != nil {
		if write, sync := h.state.noteBid(b); write {
			b.unkept = true
			h.state.after(sync, func(err error) { h.kept(b, err) })
		}
	}
	if m.ready && !b.unkept {
		m.offer(b)
		return
	}
	// It waits for its link no longer than a link may take. The module counts what it sends a cold machine by
	// the moment it decides, with an eighth of the window kept for the way; bids that pile up behind a link
	// that is slow to stand would arrive together and push the machine over.
	m.waiting = append(m.waiting, b)
	h.unsent++
	h.loop.After(h.site.Connect, func() {
		if m.forgetWaiting(b) {
			h.unreached(b)
		}
	})
	h.reach(m)
}

// kept lets a bid go that waited for the log. One that could not be written down is never sent.
func (h *Host) kept(b *bid, err error) {
	b.unkept = false
	if err == nil {
		if b.at.ready {
			b.at.sendWaiting()
		}
	} else if b.at.forgetWaiting(b) {
		h.notSent(b)
	}
}

// unreached ends a bid that waited in vain. Where its link stands it was the log that it waited for: that tells nothing
// of its machine.
func (h *Host) unreached(b *bid) {
	if b.unkept || b.at.ready {
		h.notSent(b)
		return
	}
	h.meter.outcome("no connection")
	h.over(b, scheduler.AttemptEnded{Outcome: scheduler.OutcomeConnectFailed})
}

func (h *Host) notSent(b *bid) {
	h.meter.outcome("not sent")
	h.over(b, scheduler.AttemptEnded{Outcome: scheduler.OutcomeNotSent})
}

func (h *Host) timedOut(b *bid) {
	b.timer = nil
	if !b.sent {
		b.at.forgetWaiting(b)
		h.unreached(b)
		return
	}
	h.meter.outcome("timed out")
	b.at.expectLate(b)
	h.unheard(b)
	h.over(b, scheduler.AttemptEnded{Outcome: scheduler.OutcomeTimedOut})
}

// unheard leaves it to custody when the log may forget a bid.
func (h *Host) unheard(b *bid) {
	h.tell(reconcile.AttemptOutcomeUnknown{Attempt: b.held()})
	b.logged = false
}

// cancelAttempt asks a machine to stop a bid or a container.
func (h *Host) callOff(b *bid) {
	b.stopped = true
	if !b.sent {
		b.at.forgetWaiting(b)
		return
	}
	if b.at.ready {
		b.at.write(&protocol.CancelAttempt{SchedulerIncarnation: b.life, AttemptID: b.number})
	}
	if !b.placed {
		b.at.expectLate(b)
	}
}

// over ends a bid with its one outcome; the container goes with it where nothing more is owed.
func (h *Host) over(b *bid, e scheduler.AttemptEnded) {
	c, m := b.c, b.at
	h.loop.Cancel(b.timer)
	delete(m.bids, b.number)
	if c.bid != b {
		return
	}
	c.bid = nil
	if b.sent && !b.placed && e.Outcome == scheduler.OutcomeStopped { // the word to stop may come too late
		h.unheard(b)
	}
	if b.logged {
		h.state.drop(BidKind, bidKey(b.number))
	}
	e.ID, e.Attempt, e.Machine = c.ask.ID, b.nth, m.id
	e.Elapsed = scheduler.Time(h.loop.Now() - b.sentAt)
	e.Final = e.Final || c.answered
	if b.placed {
		h.meter.running--
		h.route(b, false)
		if c.owner != nil {
			c.owner.write(&protocol.Termination{ContainerID: c.heardAs, Machine: string(m.id),
				Outcome: protocol.OutcomeFromScheduler(e.Outcome), Reason: protocol.Reason(e.Reason)})
		}
	}
	h.feed(e)
	if e.Final {
		h.close(c)
	}
	m.settle()
}

func (h *Host) close(c *container) {
	delete(h.open, c.ask.ID)
	h.tell(reconcile.ContainerRemoved{ID: c.ask.ID})
}

// answer gives an owner the final answer.
func (h *Host) answer(id scheduler.ContainerID, a *protocol.PlacementReply) {
	c := h.open[id]
	if c == nil || c.answered {
		return
	}
	c.answered = true
	a.ContainerID = string(id)
	h.meter.answered(a.Verdict)
	if c.owner != nil {
		c.owner.write(a)
	}
	h.tell(reconcile.RequestFailed{ID: id})
	if c.bid == nil {
		h.close(c)
	}
}

// yes is a machine's word that a bid's container runs, or is accepted where that is what counts.
func (h *Host) yes(b *bid) {
	c := b.c
	h.loop.Cancel(b.timer)
	b.timer, b.placed = nil, true
	h.meter.running++
	h.route(b, true)
	h.tell(reconcile.AttemptAccepted{ID: c.ask.ID, Machine: b.at.id, Attempt: b.number})
	if c.answered { // too late for its owner: what runs stays known until it ends
		h.tell(reconcile.LateAccept{Attempt: b.held()})
		return
	}
	c.answered = true
	h.meter.answered(protocol.VerdictPlaced)
	h.feed(scheduler.AttemptAccepted{ID: c.ask.ID, Attempt: b.nth, Machine: b.at.id, Elapsed: scheduler.Time(h.loop.Now() - b.sentAt)})
	if c.owner != nil {
		c.owner.write(&protocol.PlacementReply{ContainerID: string(c.ask.ID), Verdict: protocol.VerdictPlaced, Machine: string(b.at.id)})
	}
}

func (b *bid) held() reconcile.Attempt {
	return reconcile.Attempt{Request: b.c.ask, Machine: b.at.id, Incarnation: b.life, Number: b.number, Running: true}
}

// adopt takes over a container that runs.
func (h *Host) adopt(held reconcile.Attempt) {
	m := h.machines[held.Machine]
	if m == nil || h.open[held.Request.ID] != nil {
		return
	}
	c := &container{ask: held.Request, answered: true, bids: 1}
	b := &bid{number: held.Number, life: held.Incarnation, c: c, at: m, sentAt: h.loop.Now(), sent: true, placed: true}
	c.bid, m.bids[held.Number] = b, b
	if h.state != nil {
		if write, _ := recovery.MustPersist(h.site.Terms.WorkloadClasses[held.Request.WorkloadClass].Idempotency); write {
			b.logged = true
			h.state.put(BidKind, bidKey(b.number), held)
		}
	}
	h.open[held.Request.ID] = c
	h.meter.running++
	h.meter.adopted++
	if held.Running {
		h.route(b, true)
	}
	h.takeovers++
	if h.unsent > 0 {
		h.tookOver[held.Request.Service] = h.takeovers
	}
	h.feed(scheduler.ContainerAdopted{PlacementRequest: held.Request, Machine: m.id})
}

// keepHouse closes what is idle, silent or half said.
func (h *Host) keepHouse() {
	now := h.loop.Now()
	for _, m := range h.machines {
		m.house(now)
	}
	for _, o := range h.owners {
		o.house(now)
	}
	h.list.house(now)
	h.loop.After(housekeeping, h.keepHouse)
}

func (h *Host) badLink(peer string, why error) {
	h.log.Warn("link closed", "peer", peer, "why", fmt.Sprint(why))
}
