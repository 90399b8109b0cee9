// Package schedulerd runs one placer on sockets: it turns what comes in into events, hands them to the decisions once
// a turn, and carries out what they want done, in order. It decides nothing itself. Everything here runs on
// the event loop's goroutine.
package schedulerd

import (
	"context"
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

// Scheduler is the placer module, or a script in its place.
type Scheduler interface {
	Handle(now scheduler.Time, events []scheduler.Event) []scheduler.Action
}

const (
	maintenanceInterval = eventloop.Second
	helloTimeout        = 5 * eventloop.Second // a stranger that has not greeted by then is dropped
	probeTimeout        = eventloop.Second
	lateAcceptWindow    = 60 * eventloop.Second // for how long a bid that was over may still be said yes to by its number
)

// Server is one life of a placer.
type Server struct {
	config      *config.Placer
	incarnation uint64
	log         *slog.Logger
	loop        *eventloop.Loop
	listener    *eventloop.Listener
	scheduler   Scheduler
	ownership   *reconcile.Reconciler
	stats       stats

	schedulerEvents []scheduler.Event // to be handled next
	ownershipEvents []reconcile.Event // likewise

	containers     map[scheduler.ContainerID]*container    // until answered and without a bid
	machines       map[scheduler.MachineID]*machine        // until gone from the list and empty
	submittedAt    map[scheduler.ContainerID]time.Duration // when submissions of this turn came
	encodeBuffer   []byte
	clients        map[reconcile.ClientID]*clientConn // until their link ends
	discovery      discoveryClient
	speaker        *speaker.Speaker // nil where no address is announced
	state          *stateStore      // nil where nothing is kept
	adoptions      int              // so far
	lastAdoption   map[string]int   // by service, the last one; emptied when no bid waits
	queuedAttempts int              // bids that wait for a link or the log
	newlyReady     []*machine       // that said in this turn what they hold
	lastAttempt    uint64
	lastClient     reconcile.ClientID
	lastProbe      uint64
}

// container is one that this placer has taken or taken over.
type container struct {
	request           scheduler.PlacementRequest
	window            protocol.Duration
	client            *clientConn // nil where it was taken over and nobody asked again
	clientContainerID string      // its id for that owner
	answered          bool
	attempts          int
	attempt           *attempt // the one out, or the one by which it runs
	submittedAt       time.Duration
}

// attempt is an offer that is to be sent, is out, or has led to a container that runs.
type attempt struct {
	number             uint64
	incarnation        uint64
	ordinal            int
	container          *container
	machine            *machine
	decidedAt          eventloop.Tick
	deadline           eventloop.Tick
	timer              *eventloop.Timer
	sent               bool
	accepted           bool
	cancelRequested    bool   // its end was asked for
	machineIncarnation uint64 // of its machine, as known when it was decided on
	adoptionsBefore    int    // takeovers before that
	inLog              bool   // the log holds it
	awaitingLog        bool   // it waits for the log
}

// New makes the host of one life of a placer and opens its door. Stop or Run to its end frees what it holds.
func New(s *config.Placer, d Scheduler, log *slog.Logger) (*Server, error) {
	h := &Server{config: s, incarnation: uint64(time.Now().UnixMicro()), log: log, scheduler: d,
		containers: map[scheduler.ContainerID]*container{}, machines: map[scheduler.MachineID]*machine{},
		submittedAt: map[scheduler.ContainerID]time.Duration{}, clients: map[reconcile.ClientID]*clientConn{},
		lastAdoption: map[string]int{}}
	h.lastAttempt = h.incarnation // bid numbers are unique over all lives
	var effects []scheduler.Idempotency
	var calm []overload.WorkloadClass
	for _, w := range s.Terms.WorkloadClasses {
		effects = append(effects, w.Idempotency)
		if s.Damped {
			calm = append(calm, overload.WorkloadClass{LatencyObjective: w.LatencyObjective, PriorityWeight: w.PriorityWeight})
		}
	}
	h.stats.init()
	var err error
	if h.loop, err = eventloop.New(h.runIteration); err != nil {
		return nil, err
	}
	known := recovery.LogNone
	if s.State != "" {
		if h.state, err = openState(h); err != nil {
			h.loop.Stop()
			h.loop.Run()
			return nil, err
		}
		known = h.state.current.Coverage
	}
	h.ownership = reconcile.New(reconcile.Config{
		Incarnation:     h.incarnation,
		Limits:          s.Bounds,
		Idempotency:     effects,
		LogCoverage:     known,
		OverloadClasses: calm,
	})
	if s.BGP != nil {
		h.speaker = speaker.New(h.loop, *s.BGP, log)
	}
	h.loop.OnFlushed(func() { h.stats.flushed(h.loop.Elapsed()) })
	if h.listener, err = h.loop.Listen(s.Door, h.acceptClient, h.loop.AcceptStateLogger(log, "clients")); err != nil {
		h.loop.Stop()
		h.loop.Run()
		h.closeState()
		return nil, err
	}
	return h, nil
}

// Speaker is the speaker; nil where no address is announced.
func (h *Server) Speaker() *speaker.Speaker { return h.speaker }

// Stats gives the figures and routes to another goroutine, unless the loop does not answer in time.
func (h *Server) Stats(within time.Duration) (*protocol.StatusReply, *protocol.RoutesReply, bool) {
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
func (h *Server) Addr() string { return h.listener.Addr().String() }

// Stop ends Run; any goroutine may call it.
func (h *Server) Stop() {
	h.loop.Post(func() {
		if h.speaker != nil {
			h.speaker.Stop("this placer is stopped")
		}
	})
	h.loop.Stop()
}

// Run serves until Stop.
func (h *Server) Run() error {
	h.loop.Post(h.start)
	err := h.loop.Run()
	h.closeState()
	return err
}

func (h *Server) closeState() {
	if h.state != nil {
		h.state.close()
	}
}

// start starts from what earlier lives left.
func (h *Server) start() {
	h.log.Info("placer up", "name", h.config.Name, "door", h.Addr(), "life", h.incarnation)
	if h.state != nil {
		h.state.restore()
	} else {
		h.applyList(scheduler.RestoredSnapshot, 0, nil)
	}
	h.loop.After(maintenanceInterval, h.maintain)
	if h.speaker != nil {
		if err := h.speaker.Start(); err != nil {
			h.log.Error("no addresses are announced", "why", err)
			h.speaker = nil
		}
	}
}

// announce tells the speaker of a container that runs, or does no longer.
func (h *Server) announce(b *attempt, runs bool) {
	service := b.container.request.Service
	if h.speaker == nil || !h.speaker.HasService(service) {
		return
	}
	if runs {
		h.speaker.Handle(announce.ContainerRunning{Service: service, Container: string(b.container.request.ID), Draining: b.machine.draining})
	} else {
		h.speaker.Handle(announce.ContainerEnded{Service: service, Container: string(b.container.request.ID)})
	}
}

func (h *Server) enqueueOwnershipEvent(e reconcile.Event) {
	h.ownershipEvents = append(h.ownershipEvents, e)
}
func (h *Server) enqueueSchedulerEvent(e scheduler.Event) {
	h.schedulerEvents = append(h.schedulerEvents, e)
}

// runIteration hands over what came in and carries out what is decided.
func (h *Server) runIteration() {
	now := scheduler.Time(h.loop.Now())
	if told := h.ownershipEvents; len(told) > 0 {
		h.ownershipEvents = nil
		for _, a := range h.ownership.Handle(now, told) {
			h.executeOwnershipAction(a)
		}
		clear(h.submittedAt)
	}
	for _, m := range h.newlyReady { // what they run is taken over by now
		m.sendQueued()
	}
	h.newlyReady = nil
	h.runScheduler()
	if h.state != nil {
		h.state.commit()
	}
	if len(h.schedulerEvents)+len(h.ownershipEvents) > 0 {
		h.loop.SkipWait()
	}
}

// runScheduler hands the placer module what happened.
func (h *Server) runScheduler() {
	events := h.schedulerEvents
	if len(events) == 0 {
		return
	}
	h.schedulerEvents = nil
	began := h.loop.Elapsed()
	actions := h.scheduler.Handle(scheduler.Time(h.loop.Now()), events)
	h.stats.countBatch(h.loop.Elapsed()-began, len(events), len(actions))
	for _, a := range actions {
		h.executeSchedulerAction(a)
	}
}

// executeSchedulerAction does what the placer module wants done.
func (h *Server) executeSchedulerAction(a scheduler.Action) {
	switch a := a.(type) {
	case scheduler.StartAttempt:
		h.startAttempt(a)
	case scheduler.Reject:
		h.sendAnswer(a.ID, &protocol.PlacementReply{Verdict: protocol.VerdictRejected, RetryAfter: protocol.Duration(a.RetryAfter)})
	case scheduler.Fail:
		h.sendAnswer(a.ID, &protocol.PlacementReply{Verdict: protocol.VerdictFailed})
	case scheduler.CancelAttempt:
		if c := h.containers[a.ID]; c != nil && c.attempt != nil && !c.attempt.accepted && c.attempt.ordinal == a.Attempt {
			h.cancelAttempt(c.attempt)
			h.endAttempt(c.attempt, scheduler.AttemptEnded{Outcome: scheduler.OutcomeStopped, Final: c.answered})
		}
	case scheduler.Probe:
		h.probe(a.Machine)
	case scheduler.Disconnect:
		if m := h.machines[a.Machine]; m != nil && m.conn != nil && m.idle() {
			m.conn.Close()
		}
	case scheduler.SetTimer:
		h.loop.After(eventloop.Tick(a.After), func() { h.enqueueSchedulerEvent(scheduler.TimerFired{Name: a.Name}) })
	case scheduler.WatchMachineList:
		h.requestList(&protocol.WatchMachineList{Enabled: a.Enabled, SinceVersion: h.discovery.version})
	case scheduler.FetchMachineList:
		h.requestList(&protocol.FetchMachineList{})
	case scheduler.Log:
		h.log.LogAttrs(context.Background(), slog.LevelInfo, a.Message, a.Attributes...)
	}
}

// executeOwnershipAction does what custody wants done.
func (h *Server) executeOwnershipAction(a reconcile.Action) {
	switch a := a.(type) {
	case reconcile.CloseClient:
		if o := h.clients[a.Client]; o != nil {
			o.disconnect(a.Reason.Error())
		}
	case reconcile.Admit:
		h.admit(a)
	case reconcile.Reject:
		h.refuse(a)
	case reconcile.AlreadyRunning:
		h.sendToClient(a.Client, &protocol.PlacementReply{ContainerID: string(a.ID), Verdict: protocol.VerdictPlaced, Machine: string(a.Machine),
			Message: "it runs already"})
		if c := h.containers[a.RunningID]; c != nil { // who asked last hears its fate
			c.client, c.clientContainerID = h.clients[a.Client], string(a.ID)
		}
	case reconcile.TerminateContainer:
		h.cancelContainer(a)
	case reconcile.NotRunning:
		h.sendToClient(a.Client, &protocol.PlacementReply{ContainerID: string(a.ID), Verdict: protocol.VerdictRejected, Message: "nothing of it runs"})
	case reconcile.AlreadyTerminated:
		h.sendToClient(a.Client, &protocol.PlacementReply{ContainerID: string(a.ID), Verdict: protocol.VerdictFailed, Message: "cancelled"})
	case reconcile.CancelAttempt:
		if m := h.machines[a.Machine]; m != nil && m.ready {
			m.send(&protocol.CancelAttempt{SchedulerIncarnation: a.Incarnation, AttemptID: a.Attempt})
		}
	case reconcile.Adopt:
		h.adopt(a.Attempt)
	case reconcile.ContainerLost:
		if c := h.containers[a.ID]; c != nil && c.attempt != nil && c.attempt.accepted {
			if !a.Confirmed { // behind a cut it may run on
				h.outcomeUnknown(c.attempt)
			}
			h.endAttempt(c.attempt, scheduler.AttemptEnded{Outcome: scheduler.OutcomeLost, Final: true})
		}
	case reconcile.ConnectMachine:
		if m := h.machines[a.Machine]; m != nil {
			h.connect(m)
		} else {
			h.enqueueOwnershipEvent(reconcile.ConnectFailed{Machine: a.Machine})
		}
	case reconcile.RecoveryComplete:
		if h.speaker != nil {
			h.speaker.MarkRoutesComplete()
		}
	case reconcile.AllMachinesReported:
		if h.state != nil {
			h.state.current = h.state.current.WithCompleteLog()
			h.state.changes = append(h.state.changes, h.state.incarnationChange())
		}
	case reconcile.AttemptResolved:
		if h.state != nil {
			h.state.remove(AttemptKind, attemptKey(a.Attempt.Number))
		}
	case reconcile.SetTimer:
		h.loop.After(eventloop.Tick(a.After), func() { h.enqueueOwnershipEvent(reconcile.TimerFired{}) })
	case reconcile.Log:
		h.log.LogAttrs(context.Background(), slog.LevelInfo, a.Message, a.Attrs...)
	}
}

// admit hands a container that the door lets in to the placer module.
func (h *Server) admit(a reconcile.Admit) {
	h.containers[a.Request.ID] = &container{request: a.Request, client: h.clients[a.Client], clientContainerID: string(a.Request.ID), submittedAt: h.submittedAt[a.Request.ID],
		window: protocol.Duration(h.config.Terms.WorkloadClasses[a.Request.WorkloadClass].DedupWindow)}
	h.enqueueSchedulerEvent(scheduler.RequestReceived{PlacementRequest: a.Request})
}

// encode encodes a frame; what it returns holds until the next call.
func (h *Server) encode(f protocol.Frame) ([]byte, error) {
	var err error
	h.encodeBuffer, err = protocol.Append(h.encodeBuffer[:0], f)
	if cap(h.encodeBuffer) > 1<<20 {
		defer func() { h.encodeBuffer = nil }()
	}
	return h.encodeBuffer, err
}

// startAttempt sends a bid, at once or as soon as the link stands. What cannot be sent is an outcome of its own.
func (h *Server) startAttempt(a scheduler.StartAttempt) {
	c, m := h.containers[a.ID], h.machines[a.Machine]
	if c == nil {
		h.log.Error("bid for an unknown container", "container", a.ID)
		return
	}
	if c.attempt != nil || m == nil || c.answered {
		h.enqueueSchedulerEvent(scheduler.AttemptEnded{ID: a.ID, Outcome: scheduler.OutcomeNotSent, Machine: a.Machine, Attempt: c.attempts, Final: c.answered})
		return
	}
	now := h.loop.Now()
	until := eventloop.Tick(c.request.Deadline)
	if a.Timeout > 0 {
		until = min(until, now+eventloop.Tick(a.Timeout))
	}
	h.lastAttempt++
	b := &attempt{number: h.lastAttempt, incarnation: h.incarnation, ordinal: c.attempts, container: c, machine: m, decidedAt: now, deadline: until, machineIncarnation: m.incarnation, adoptionsBefore: h.adoptions}
	c.attempt = b
	c.attempts++
	b.timer = h.loop.After(until-now, func() { h.attemptTimedOut(b) })
	if h.state != nil {
		if write, sync := h.state.logAttempt(b); write {
			b.awaitingLog = true
			h.state.afterCommit(sync, func(err error) { h.attemptLogged(b, err) })
		}
	}
	if m.ready && !b.awaitingLog {
		m.sendOffer(b)
		return
	}
	// It waits for its link no longer than a link may take. The module counts what it sends a cold machine by
	// the moment it decides, with an eighth of the window kept for the way; bids that pile up behind a link
	// that is slow to stand would arrive together and push the machine over.
	m.queued = append(m.queued, b)
	h.queuedAttempts++
	h.loop.After(h.config.Connect, func() {
		if m.dequeue(b) {
			h.attemptUnreached(b)
		}
	})
	h.connect(m)
}

// attemptLogged lets a bid go that waited for the log. One that could not be written down is never sent.
func (h *Server) attemptLogged(b *attempt, err error) {
	b.awaitingLog = false
	if err == nil {
		if b.machine.ready {
			b.machine.sendQueued()
		}
	} else if b.machine.dequeue(b) {
		h.attemptNotSent(b)
	}
}

// attemptUnreached ends a bid that waited in vain. Where its link stands it was the log that it waited for: that tells nothing
// of its machine.
func (h *Server) attemptUnreached(b *attempt) {
	if b.awaitingLog || b.machine.ready {
		h.attemptNotSent(b)
		return
	}
	h.stats.countOutcome("no connection")
	h.endAttempt(b, scheduler.AttemptEnded{Outcome: scheduler.OutcomeConnectFailed})
}

func (h *Server) attemptNotSent(b *attempt) {
	h.stats.countOutcome("not sent")
	h.endAttempt(b, scheduler.AttemptEnded{Outcome: scheduler.OutcomeNotSent})
}

func (h *Server) attemptTimedOut(b *attempt) {
	b.timer = nil
	if !b.sent {
		b.machine.dequeue(b)
		h.attemptUnreached(b)
		return
	}
	h.stats.countOutcome("timed out")
	b.machine.rememberExpired(b)
	h.outcomeUnknown(b)
	h.endAttempt(b, scheduler.AttemptEnded{Outcome: scheduler.OutcomeTimedOut})
}

// outcomeUnknown leaves it to custody when the log may forget a bid.
func (h *Server) outcomeUnknown(b *attempt) {
	h.enqueueOwnershipEvent(reconcile.AttemptOutcomeUnknown{Attempt: b.record()})
	b.inLog = false
}

// cancelAttempt asks a machine to stop a bid or a container.
func (h *Server) cancelAttempt(b *attempt) {
	b.cancelRequested = true
	if !b.sent {
		b.machine.dequeue(b)
		return
	}
	if b.machine.ready {
		b.machine.send(&protocol.CancelAttempt{SchedulerIncarnation: b.incarnation, AttemptID: b.number})
	}
	if !b.accepted {
		b.machine.rememberExpired(b)
	}
}

// endAttempt ends a bid with its one outcome; the container goes with it where nothing more is owed.
func (h *Server) endAttempt(b *attempt, e scheduler.AttemptEnded) {
	c, m := b.container, b.machine
	h.loop.Cancel(b.timer)
	delete(m.attempts, b.number)
	if c.attempt != b {
		return
	}
	c.attempt = nil
	if b.sent && !b.accepted && e.Outcome == scheduler.OutcomeStopped { // the word to stop may come too late
		h.outcomeUnknown(b)
	}
	if b.inLog {
		h.state.remove(AttemptKind, attemptKey(b.number))
	}
	e.ID, e.Attempt, e.Machine = c.request.ID, b.ordinal, m.id
	e.Elapsed = scheduler.Time(h.loop.Now() - b.decidedAt)
	e.Final = e.Final || c.answered
	if b.accepted {
		h.stats.running--
		h.announce(b, false)
		if c.client != nil {
			c.client.send(&protocol.Termination{ContainerID: c.clientContainerID, Machine: string(m.id),
				Outcome: protocol.OutcomeFromScheduler(e.Outcome), Reason: protocol.Reason(e.Reason)})
		}
	}
	h.enqueueSchedulerEvent(e)
	if e.Final {
		h.removeContainer(c)
	}
	m.removeIfGone()
}

func (h *Server) removeContainer(c *container) {
	delete(h.containers, c.request.ID)
	h.enqueueOwnershipEvent(reconcile.ContainerRemoved{ID: c.request.ID})
}

// sendAnswer gives an owner the final answer.
func (h *Server) sendAnswer(id scheduler.ContainerID, a *protocol.PlacementReply) {
	c := h.containers[id]
	if c == nil || c.answered {
		return
	}
	c.answered = true
	a.ContainerID = string(id)
	h.stats.countAnswer(a.Verdict)
	if c.client != nil {
		c.client.send(a)
	}
	h.enqueueOwnershipEvent(reconcile.RequestFailed{ID: id})
	if c.attempt == nil {
		h.removeContainer(c)
	}
}

// attemptAccepted is a machine's word that a bid's container runs, or is accepted where that is what counts.
func (h *Server) attemptAccepted(b *attempt) {
	c := b.container
	h.loop.Cancel(b.timer)
	b.timer, b.accepted = nil, true
	h.stats.running++
	h.announce(b, true)
	h.enqueueOwnershipEvent(reconcile.AttemptAccepted{ID: c.request.ID, Machine: b.machine.id, Attempt: b.number})
	if c.answered { // too late for its owner: what runs stays known until it ends
		h.enqueueOwnershipEvent(reconcile.LateAccept{Attempt: b.record()})
		return
	}
	c.answered = true
	h.stats.countAnswer(protocol.VerdictPlaced)
	h.enqueueSchedulerEvent(scheduler.AttemptAccepted{ID: c.request.ID, Attempt: b.ordinal, Machine: b.machine.id, Elapsed: scheduler.Time(h.loop.Now() - b.decidedAt)})
	if c.client != nil {
		c.client.send(&protocol.PlacementReply{ContainerID: string(c.request.ID), Verdict: protocol.VerdictPlaced, Machine: string(b.machine.id)})
	}
}

func (b *attempt) record() reconcile.Attempt {
	return reconcile.Attempt{Request: b.container.request, Machine: b.machine.id, Incarnation: b.incarnation, Number: b.number, Running: true}
}

// adopt takes over a container that runs.
func (h *Server) adopt(held reconcile.Attempt) {
	m := h.machines[held.Machine]
	if m == nil || h.containers[held.Request.ID] != nil {
		return
	}
	c := &container{request: held.Request, answered: true, attempts: 1}
	b := &attempt{number: held.Number, incarnation: held.Incarnation, container: c, machine: m, decidedAt: h.loop.Now(), sent: true, accepted: true}
	c.attempt, m.attempts[held.Number] = b, b
	if h.state != nil {
		if write, _ := recovery.MustPersist(h.config.Terms.WorkloadClasses[held.Request.WorkloadClass].Idempotency); write {
			b.inLog = true
			h.state.put(AttemptKind, attemptKey(b.number), held)
		}
	}
	h.containers[held.Request.ID] = c
	h.stats.running++
	h.stats.adopted++
	if held.Running {
		h.announce(b, true)
	}
	h.adoptions++
	if h.queuedAttempts > 0 {
		h.lastAdoption[held.Request.Service] = h.adoptions
	}
	h.enqueueSchedulerEvent(scheduler.ContainerAdopted{PlacementRequest: held.Request, Machine: m.id})
}

// maintain closes what is idle, silent or half said.
func (h *Server) maintain() {
	now := h.loop.Now()
	for _, m := range h.machines {
		m.checkTimeouts(now)
	}
	for _, o := range h.clients {
		o.checkTimeouts(now)
	}
	h.discovery.checkTimeouts(now)
	h.loop.After(maintenanceInterval, h.maintain)
}

func (h *Server) logConnectionClosed(peer string, why error) {
	h.log.Warn("link closed", "peer", peer, "why", fmt.Sprint(why))
}
