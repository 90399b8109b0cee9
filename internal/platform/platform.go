// Package platform runs one placer behind the platform's protocol: messages of owners and machines and events of the bus
// become the placer module's events, and what it wants done is carried out, in order. It decides nothing itself.
// Everything here runs on the event loop's goroutine.
package platform

import (
	"fmt"
	"log/slog"
	"maps"
	"os"
	"slices"

	"glenport/internal/eventloop"
	"glenport/internal/platform/connmanager"
	"glenport/internal/platform/failuredetector"
	"glenport/internal/platform/jsonlines"
	"glenport/scheduler"
)

// Decider is the placer module, or a script in its place.
type Decider interface {
	Handle(now scheduler.Time, events []scheduler.Event) []scheduler.Action
}

const (
	houseEvery  = eventloop.Second / 4
	probeWithin = eventloop.Second
)

// Platform is one life of a placer on the platform.
type Platform struct {
	d       *Deployment
	log     *slog.Logger
	loop    *eventloop.Loop
	door    *eventloop.Listener
	decider Decider
	trace   bool

	events     []scheduler.Event
	porter     *connmanager.Manager
	atDoor     []connmanager.Event // for the porter, at the end of the turn
	vigil      *failuredetector.Detector
	seen       []failuredetector.Event              // likewise
	containers map[scheduler.ContainerID]*container // until answered, without a bid and over
	machines   map[scheduler.MachineID]*machine     // until gone from the bus and empty
	at         map[string]scheduler.MachineID       // which of them is at an address, until it is gone
	callers    map[connmanager.ClientID]*caller     // until their connection ends
	bus        bus
	scratch    []byte
	lastProbe  uint64
	lastCaller connmanager.ClientID

	unanswered int // containers that are owed an answer
	links      int // connections to machines, also those that are being left

	leaving   bool // told to stop
	leavingAt eventloop.Tick
}

// container is one that an owner asks for or that stands.
type container struct {
	ask      scheduler.PlacementRequest
	class    string
	idem     string
	desc     []byte
	caller   *caller // nil once its connection has ended
	answered bool
	bids     int
	bid      *bid // the one that is out, or by which it stands
}

// bid is an offer that waits for a link, is out, or has led to a container that stands.
type bid struct {
	c      *container
	nth    int
	at     *machine
	link   *link // nil where it was taken over
	sent   bool
	stands bool
	ended  bool // its owner ended it
	sentAt eventloop.Tick
	until  eventloop.Tick
	timer  *eventloop.Timer
}

// New makes a placer and opens its door. Run frees what it holds.
func New(d *Deployment, decider Decider, log *slog.Logger, trace bool) (*Platform, error) {
	p := &Platform{d: d, log: log, decider: decider, trace: trace, containers: map[scheduler.ContainerID]*container{},
		machines: map[scheduler.MachineID]*machine{}, at: map[string]scheduler.MachineID{}, callers: map[connmanager.ClientID]*caller{},
		porter: connmanager.New(d.Sockets), vigil: failuredetector.New()}
	p.bus = bus{p: p, addr: d.Bus, last: d.Last}
	var err error
	if p.loop, err = eventloop.New(p.turn); err != nil {
		return nil, err
	}
	if p.door, err = p.loop.Listen(d.Listen, p.accept, p.loop.AcceptStateLogger(log, "callers")); err != nil {
		p.loop.Stop()
		p.loop.Run()
		return nil, err
	}
	return p, nil
}

// Addr is where owners call.
func (p *Platform) Addr() string { return p.door.Addr().String() }

// Run serves until it is told to leave and owes nothing more.
func (p *Platform) Run() error {
	p.loop.Post(p.begin)
	return p.loop.Run()
}

func (p *Platform) begin() {
	p.log.Info("placer up", "name", p.d.Name, "door", p.Addr(), "events known", p.d.Last)
	for i, e := range p.d.Known {
		mode := scheduler.DeltaUpdate
		if i == 0 {
			mode = scheduler.RestoredSnapshot
		}
		p.learn(mode, e)
	}
	if len(p.d.Known) == 0 {
		p.feed(scheduler.MachineListUpdate{Mode: scheduler.RestoredSnapshot})
	}
	p.bus.reach()
	p.loop.After(houseEvery, p.keepHouse)
}

// Leave ends Run once nothing is owed to owners any more; any goroutine may call it.
func (p *Platform) Leave() {
	p.loop.Post(func() {
		if !p.leaving {
			p.leaving, p.leavingAt = true, p.loop.Now()
			p.log.Info("leaving", "containers", len(p.containers))
		}
	})
}

// Renew takes the address of the bus from a new file; any goroutine may call it.
func (p *Platform) Renew(d *Deployment) {
	p.loop.Post(func() { p.bus.move(d.Bus) })
}

// Obey follows signals to leave, and signals that there is a new file; it returns at once. A file that is slow to read holds
// up neither the order to leave nor a later file: the one that counts is read after the last signal.
func (p *Platform) Obey(leave, renew <-chan os.Signal, load func() (*Deployment, error)) {
	go func() {
		for range leave {
			p.Leave()
		}
	}()
	go func() {
		for range renew {
			if d, err := load(); err != nil {
				p.log.Error("the new file is not used", "why", err)
			} else {
				p.Renew(d)
			}
		}
	}()
}

func (p *Platform) feed(e scheduler.Event) { p.events = append(p.events, e) }

func (p *Platform) tell(e connmanager.Event)       { p.atDoor = append(p.atDoor, e) }
func (p *Platform) notice(e failuredetector.Event) { p.seen = append(p.seen, e) }

func (p *Platform) turn() {
	p.decide()
	if told := p.atDoor; len(told) > 0 {
		p.atDoor = nil
		for _, a := range p.porter.Handle(connmanager.Time(p.loop.Now()), told) {
			p.see(a)
		}
	}
	if seen := p.seen; len(seen) > 0 {
		p.seen = nil
		for _, a := range p.vigil.Handle(failuredetector.Time(p.loop.Now()), seen) {
			p.watch(a)
		}
	}
	if len(p.events)+len(p.atDoor)+len(p.seen) > 0 {
		p.loop.SkipWait()
		return
	}
	// Here and nowhere else a leaving placer ends: all that was read has been acted on, and nothing is read before the exit.
	if p.leaving && !connmanager.ShouldKeepDraining(connmanager.Time(p.loop.Now()-p.leavingAt), p.unanswered, p.longest()) {
		p.log.Info("left", "standing", len(p.containers), "most connections", p.loop.PeakConnCount())
		p.loop.StopWhenIdle()
	}
}

// see does what the porter wants done.
func (p *Platform) see(a connmanager.Action) {
	switch a := a.(type) {
	case connmanager.CloseClient:
		if k := p.callers[a.Client]; k != nil {
			p.log.Debug("caller let go", "caller", k.number, "why", a.Reason)
			k.conn.Close()
		}
	case connmanager.NotifyTermination:
		if k := p.callers[a.Client]; k != nil {
			k.write(&jsonlines.Message{Op: jsonlines.OpEnd, RequestID: a.RequestID, Cause: jsonlines.CausePtr(a.Cause)})
		}
	case connmanager.PauseReading:
		if k := p.callers[a.Client]; k != nil {
			k.conn.SetReadPaused(true)
			p.loop.After(eventloop.Tick(a.Duration), func() { k.conn.SetReadPaused(false) })
		}
	}
}

// watch does what the vigil wants done.
func (p *Platform) watch(a failuredetector.Action) {
	switch a := a.(type) {
	case failuredetector.Connect:
		if m := p.machines[scheduler.MachineID(a.Machine)]; m != nil && m.addr != "" {
			m.reach()
		}
	case failuredetector.ReportTermination:
		if m := p.machines[scheduler.MachineID(a.Machine)]; m != nil && m.bids[scheduler.ContainerID(a.RequestID)] != nil {
			p.released(m.bids[scheduler.ContainerID(a.RequestID)], a.Cause, scheduler.AttemptEnded{Outcome: fate(a.Cause)})
		}
	case failuredetector.DeclareLost:
		if m := p.machines[scheduler.MachineID(a.Machine)]; m != nil {
			p.log.Info("machine lost", "machine", m.id, "standing", m.standing, "silent ms", a.SilentFor/10)
			m.lose(p.loop.Now())
		}
	}
}

// decide hands the placer module what happened.
func (p *Platform) decide() {
	events := p.events
	if len(events) == 0 {
		return
	}
	p.events = nil
	for _, a := range p.decider.Handle(scheduler.Time(p.loop.Now()), events) {
		p.carry(a)
	}
}

// carry does what the placer module wants done.
func (p *Platform) carry(a scheduler.Action) {
	switch a := a.(type) {
	case scheduler.StartAttempt:
		p.offer(a)
	case scheduler.Reject:
		m := &jsonlines.Message{Op: jsonlines.OpEnd, Cause: jsonlines.CausePtr(jsonlines.CauseNoCapacity)}
		if a.RetryAfter > 0 {
			m.Fields = jsonlines.Fields{"wait": fmt.Sprint(int64(a.RetryAfter / scheduler.Millisecond))}
		}
		p.answer(a.ID, m)
	case scheduler.Fail:
		p.answer(a.ID, &jsonlines.Message{Op: jsonlines.OpEnd, Cause: jsonlines.CausePtr(jsonlines.CauseTemporaryFailure)})
	case scheduler.CancelAttempt:
		if c := p.containers[a.ID]; c != nil && c.bid != nil && !c.bid.stands && c.bid.nth == a.Attempt {
			p.callOff(c.bid)
			p.over(c.bid, scheduler.AttemptEnded{Outcome: scheduler.OutcomeStopped, Final: c.answered})
		}
	case scheduler.Probe:
		p.probe(a.Machine)
	case scheduler.Disconnect:
		if m := p.machines[a.Machine]; m != nil {
			m.closeIdle()
		}
	case scheduler.SetTimer:
		p.loop.After(eventloop.Tick(a.After), func() { p.feed(scheduler.TimerFired{Name: a.Name}) })
	case scheduler.WatchMachineList, scheduler.FetchMachineList: // the bus is followed from the start
	case scheduler.Log:
		p.log.Info("mode", "text", a.Message)
	}
}

// answer gives the owner of a container its one final answer.
func (p *Platform) answer(id scheduler.ContainerID, m *jsonlines.Message) {
	c := p.containers[id]
	if c == nil || c.answered {
		return
	}
	p.close(c)
	if c.caller != nil {
		m.RequestID = string(id)
		c.caller.write(m)
		p.tell(connmanager.MessageSent{Client: c.caller.number, ClosedRequests: 1})
		if m.Op == jsonlines.OpAccept {
			p.tell(connmanager.OwnershipProven{Client: c.caller.number})
		}
	}
	p.letOff(c)
}

// close notes that no answer is owed for a container any more.
func (p *Platform) close(c *container) {
	c.answered = true
	p.unanswered--
}

// letOff calls off the bid of a container that awaits none any more.
func (p *Platform) letOff(c *container) {
	if c.bid != nil && !c.bid.stands {
		p.callOff(c.bid)
		p.over(c.bid, scheduler.AttemptEnded{Outcome: scheduler.OutcomeStopped, Final: true})
	}
	p.forget(c)
}

// vanish ends a container whose owner waits no longer.
func (p *Platform) vanish(c *container) {
	p.close(c)
	if c.caller != nil {
		p.tell(connmanager.RequestCancelled{Client: c.caller.number})
	}
	p.feed(scheduler.ContainerRemoved{ID: c.ask.ID})
	p.letOff(c)
}

func (p *Platform) forget(c *container) {
	if c.answered && c.bid == nil {
		delete(p.containers, c.ask.ID)
	}
}

// over ends a bid with its one outcome.
func (p *Platform) over(b *bid, e scheduler.AttemptEnded) {
	c := b.c
	if c.bid != b {
		return
	}
	p.loop.Cancel(b.timer)
	if b.link != nil && !b.stands {
		delete(b.link.bids, c.ask.ID)
	}
	delete(b.at.bids, c.ask.ID)
	if b.stands {
		if b.link != nil {
			b.link.stands--
		}
		b.at.stand(-1)
	}
	c.bid = nil
	e.ID, e.Attempt, e.Machine, e.Elapsed = c.ask.ID, b.nth, b.at.id, scheduler.Time(p.loop.Now()-b.sentAt)
	p.feed(e)
	p.forget(c)
	b.at.settle()
}

// released ends a container that stood, and tells its owner, unless that ended it.
func (p *Platform) released(b *bid, cause int, e scheduler.AttemptEnded) {
	c := b.c
	e.Final = true
	p.over(b, e)
	if b.ended || cause == jsonlines.CauseCancelled {
		return
	}
	over := connmanager.ContainerTerminated{RequestID: string(c.ask.ID), Cause: cause}
	if c.caller != nil {
		over.Client = c.caller.number
	}
	p.tell(over)
}

func (p *Platform) keepHouse() {
	p.loop.After(houseEvery, p.keepHouse)
	now := p.loop.Now()
	p.tell(connmanager.Tick{})
	p.notice(failuredetector.Tick{})
	for _, id := range slices.Sorted(maps.Keys(p.machines)) {
		p.machines[id].house(now)
	}
	p.bus.house(now)
	if p.leaving && connmanager.ShouldForceAnswers(connmanager.Time(now-p.leavingAt), p.longest()) {
		p.hurry()
	}
}

// longest is the longest hard stop of the terms.
func (p *Platform) longest() (longest connmanager.Time) {
	for _, w := range p.d.Terms.WorkloadClasses {
		longest = max(longest, connmanager.Time(w.PlacementTimeout))
	}
	return longest
}

// hurry ends the bids of what is still unanswered; the module then answers each, as after its own time.
func (p *Platform) hurry() {
	for _, id := range slices.Sorted(maps.Keys(p.containers)) {
		if c := p.containers[id]; !c.answered && c.bid != nil {
			p.callOff(c.bid)
			p.over(c.bid, scheduler.AttemptEnded{Outcome: scheduler.OutcomeFinished})
		}
	}
}

// line writes a message for a connection; it holds until the next.
func (p *Platform) line(m *jsonlines.Message) ([]byte, error) {
	var err error
	p.scratch, err = jsonlines.Append(p.scratch[:0], m)
	return p.scratch, err
}

func (p *Platform) show(way, who string, m *jsonlines.Message) {
	if p.trace {
		p.log.Info("trace", "t", p.loop.Now(), "way", way, "peer", who, "op", m.Op, "call", m.RequestID, "with", m.Fields, "why", m.CauseOrNone())
	}
}
