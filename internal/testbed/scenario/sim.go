package scenario

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"

	"glenport/internal/schedulerd/overload"
	"glenport/scheduler"
)

// World is a cluster on a simulated clock: the real decisions of many placers, and their doors, with a plain model of
// machines, links and clients. One seed gives one outcome.
type World struct {
	Seed     uint64
	Placers  int
	Machines int
	Rate     float64 // first tries a second, of all clients
	Length   scheduler.Time
	Damping  Damping
	Ignore   float64 // part of the clients that ignore all advice
	// Restart: so many machines go down together at a time and are back, cold, after a span.
	Restart   int
	RestartAt scheduler.Time
	DownFor   scheduler.Time
	// PlacersDie all at a time, where it is above 0; their doors' knowledge is kept, or not.
	PlacersDie scheduler.Time
	Forget     bool

	now     scheduler.Time
	seq     uint64
	events  simEvents
	rng     *rand.Rand
	terms   scheduler.Config
	placers []*simPlacer
	fleet   []*simMachine
	byID    map[scheduler.MachineID]*simMachine
	nextID  int

	Seconds []SimSecond
	Acts    int
	// Of the appointments that were kept, those at which there was room.
	Kept, Honored int
}

// Damping is what stands at the doors and in the clients.
type Damping uint8

const (
	NoDamping   Damping = iota // clients ask again at once
	Exponential                // clients back off, twice as long each time, by chance
	Damped                     // the storm module's doors, and clients that keep their appointments
)

func (d Damping) String() string { return [...]string{"none", "exponential", "glenport"}[d] }

// SimSecond is what came of the first tries of one second, at whichever coming.
type SimSecond struct {
	Asked, Again, InTime, Late, Shed, PushedBack, GivenUp, Abandoned int
	Placed                                                           int // in this second and in the agreed time, whenever they were wanted
}

type simEvent struct {
	at  scheduler.Time
	seq uint64
	do  func()
}
type simEvents []simEvent

func (h simEvents) Len() int { return len(h) }
func (h simEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h simEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simEvents) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

func (w *World) after(span scheduler.Time, do func()) {
	w.seq++
	heap.Push(&w.events, simEvent{w.now + max(0, span), w.seq, do})
}

const (
	simWay      = 5 // tenths of a millisecond on the way
	simStart    = 30 * scheduler.Millisecond
	simSlots    = 4
	simQueue    = 60
	simFirst    = 4.0 // times as long where the program is not there
	simColdPace = 0.25
	simLife     = 2 * scheduler.Second
	simKept     = 12
	simTries    = 12 // of one container, with all its comings
)

// simContainer is one that a client wants.
type simContainer struct {
	n      int
	work   int
	client string
	ignore bool
	due    bool           // it comes at an appointment
	born   scheduler.Time // its first try
	tries  int
}

type simBid struct {
	p       *simPlacer
	id      scheduler.ContainerID
	m       *simMachine
	until   scheduler.Time
	service string
	cores   float64
	over    bool // for its placer
	started bool
	placed  bool
}

type simPlacer struct {
	w      *World
	terms  scheduler.Config
	life   int
	module *scheduler.Scheduler
	door   *overload.Limiter
	open   map[scheduler.ContainerID]*simOpen
}

type simOpen struct {
	c        *simContainer
	asked    scheduler.Time
	bid      *simBid
	bids     int
	answered bool
	due      scheduler.Time
}

type simMachine struct {
	w        *World
	id       scheduler.MachineID
	up       bool
	life     int
	started  scheduler.Time // 0: long ago
	busy     int
	queue    []*simBid
	cores    float64
	programs []string
}

// simTerms are a small site's.
func simTerms(w *World) scheduler.Config {
	return scheduler.Config{SchedulerCount: w.Placers, CoresOvercommit: 2, MemoryOvercommit: 1.5, MeanCores: 1, MeanMemory: 2, AcceptMeansRunning: true,
		ListTracksRequests: false, ProbesAllowed: true, MaxAttempts: 4, AnswerGrace: 50 * scheduler.Millisecond, ResyncInterval: 10 * scheduler.Second,
		SlowStartPeriod: 10 * scheduler.Second, SlowStartWindow: scheduler.Second, SlowStartBudget: 0,
		MachineTypes: []scheduler.MachineType{{Cores: 48, Memory: 120}},
		WorkloadClasses: []scheduler.WorkloadClass{
			{Idempotency: scheduler.Idempotent, LatencyObjective: 300 * scheduler.Millisecond, PlacementTimeout: 4 * scheduler.Second, MachineType: -1, PriorityWeight: 1},
			{Idempotency: scheduler.IdempotentWithKey, DedupScope: scheduler.ScopeZone, DedupWindow: 4 * scheduler.Second, LatencyObjective: 300 * scheduler.Millisecond,
				PlacementTimeout: 4 * scheduler.Second, MachineType: -1, PriorityWeight: 2},
			{Idempotency: scheduler.AtMostOnce, LatencyObjective: 500 * scheduler.Millisecond, PlacementTimeout: 4 * scheduler.Second, MachineType: -1, PriorityWeight: 4}}}
}

// Run plays the world to its end.
func (w *World) Run() {
	w.rng = rand.New(rand.NewPCG(w.Seed, 41))
	w.terms = simTerms(w)
	w.terms.SlowStartBudget = 60 // in a window, from all placers
	w.byID = map[scheduler.MachineID]*simMachine{}
	w.Seconds = make([]SimSecond, int(w.Length/scheduler.Second)+1)
	for i := range w.Machines {
		m := &simMachine{w: w, id: scheduler.MachineID(fmt.Sprintf("m%05d", i)), up: true, life: 1}
		w.fleet, w.byID[m.id] = append(w.fleet, m), m
	}
	for i := range w.Placers {
		t := w.terms
		t.SchedulerIndex, t.Seed = i, w.Seed*1000+uint64(i)
		p := &simPlacer{w: w, terms: t}
		w.placers = append(w.placers, p)
		p.begin()
	}
	if w.PlacersDie > 0 {
		w.after(w.PlacersDie, func() {
			for _, p := range w.placers {
				p.die()
			}
		})
	}
	w.after(0, w.nextClient)
	if w.Restart > 0 {
		w.after(w.RestartAt, func() { w.restart() })
	}
	for len(w.events) > 0 && w.events[0].at <= w.Length {
		e := heap.Pop(&w.events).(simEvent)
		w.now = e.at
		e.do()
	}
}

func (w *World) list(only map[scheduler.MachineID]bool) []scheduler.MachineEntry {
	var all []scheduler.MachineEntry
	for i, m := range w.fleet {
		if only != nil && !only[m.id] {
			continue
		}
		s := scheduler.MachineServing
		if !m.up {
			s = scheduler.MachineGone
		}
		all = append(all, scheduler.MachineEntry{Machine: m.id, Zone: i % 3, RackGroup: i / 4, State: s, StartedAt: m.started})
	}
	return all
}

// restart takes machines down together; the list tells it a second later, and of their return likewise.
func (w *World) restart() {
	which := map[scheduler.MachineID]bool{}
	for i := range min(w.Restart, len(w.fleet)) {
		m := w.fleet[i]
		which[m.id] = true
		m.down()
	}
	tell := func() {
		for _, p := range w.placers {
			p.feed(scheduler.MachineListUpdate{Mode: scheduler.DeltaUpdate, Entries: w.list(which)})
		}
	}
	w.after(scheduler.Second, tell)
	w.after(w.DownFor, func() {
		for i := range min(w.Restart, len(w.fleet)) {
			m := w.fleet[i]
			m.up, m.started = true, w.now
			m.life++
		}
		w.after(scheduler.Second/4, tell)
	})
}

// nextClient begins the next container; arrivals are Poisson, half of the clients are twenty, the rest are many.
func (w *World) nextClient() {
	w.nextID++
	c := &simContainer{n: w.nextID, born: w.now}
	switch r := w.rng.Float64(); {
	case r < 0.5:
	case r < 0.85:
		c.work = 1
	default:
		c.work = 2
	}
	c.client = fmt.Sprint("c", w.rng.IntN(200))
	c.ignore = w.rng.Float64() < w.Ignore
	w.second(c).Asked++
	w.ask(c)
	w.after(scheduler.Time(w.rng.ExpFloat64()/w.Rate*float64(scheduler.Second)), w.nextClient)
}

func (w *World) second(c *simContainer) *SimSecond { return &w.Seconds[int(c.born/scheduler.Second)] }

func (w *World) ask(c *simContainer) {
	c.tries++
	if c.tries > 1 {
		w.Seconds[int(w.now/scheduler.Second)].Again++
	}
	p := w.placers[w.rng.IntN(len(w.placers))]
	appointed := c.due
	c.due = false
	if appointed {
		w.Kept++
	}
	if p.door != nil {
		for _, a := range p.door.Handle(w.now, overload.RequestReceived{Client: c.client, WorkloadClass: c.work, ClientRetry: c.tries > 1}) {
			if s, ok := a.(overload.Shed); ok {
				w.second(c).Shed++
				c.due = !c.ignore
				w.back(c, s.RetryAfter)
				return
			}
		}
	}
	if appointed {
		w.Honored++
	}
	id := scheduler.ContainerID(fmt.Sprintf("%d#%d", c.n, c.tries))
	due := w.now + w.terms.WorkloadClasses[c.work].PlacementTimeout
	p.open[id] = &simOpen{c: c, asked: w.now, due: due}
	p.feed(scheduler.RequestReceived{PlacementRequest: scheduler.PlacementRequest{ID: id, IdempotencyKey: fmt.Sprint(c.n), Service: fmt.Sprint("s", c.work, "-", c.n%60), WorkloadClass: c.work,
		Cores: 0.5, Memory: 1, Deadline: due, ClientRetry: c.tries > 1}})
}

// back is what a client does that was turned away: it keeps its appointment where it was given one and obeys.
func (w *World) back(c *simContainer, hold scheduler.Time) {
	if c.tries >= simTries || c.work == 2 && c.tries >= simTries/2 {
		w.second(c).Abandoned++
		return
	}
	wait := 50*scheduler.Millisecond + scheduler.Time(w.rng.Float64()*float64(100*scheduler.Millisecond))
	switch {
	case c.ignore:
	case w.Damping == Exponential || w.Damping == Damped && hold == 0:
		span := float64(200*scheduler.Millisecond) * math.Exp2(float64(min(c.tries, 7)))
		wait = scheduler.Time(span/2 + w.rng.Float64()*span/2)
	case w.Damping == Damped:
		wait = hold
	}
	w.after(wait, func() { w.ask(c) })
}

// begin is the start of a life.
func (p *simPlacer) begin() {
	w := p.w
	p.life++
	p.module, p.open = scheduler.New(p.terms), map[scheduler.ContainerID]*simOpen{}
	if w.Damping == Damped {
		s := overload.Config{Seed: p.terms.Seed, MaxOpen: 1_000_000}
		for _, x := range p.terms.WorkloadClasses {
			s.WorkloadClasses = append(s.WorkloadClasses, overload.WorkloadClass{LatencyObjective: x.LatencyObjective, PriorityWeight: x.PriorityWeight})
		}
		old := p.door
		if p.door = overload.New(s); old != nil && !w.Forget {
			p.door.Restore(old.Snapshot(), 0.9)
		}
	}
	p.feed(scheduler.MachineListUpdate{Mode: scheduler.FullSnapshot, Entries: w.list(nil)})
}

// die ends a life and begins the next; clients without an answer hear of it and come again.
func (p *simPlacer) die() {
	w := p.w
	var ids []string
	for id := range p.open {
		ids = append(ids, string(id))
	}
	sort.Strings(ids)
	for _, id := range ids {
		if o := p.open[scheduler.ContainerID(id)]; !o.answered && o.c.work != 2 {
			w.back(o.c, 0)
		}
	}
	p.begin()
}

func (p *simPlacer) feed(e scheduler.Event) {
	w := p.w
	for _, a := range p.module.Handle(w.now, []scheduler.Event{e}) {
		w.Acts++
		switch a := a.(type) {
		case scheduler.StartAttempt:
			p.bid(a)
		case scheduler.Reject:
			p.answer(a.ID, func(o *simOpen) {
				w.second(o.c).PushedBack++
				w.back(o.c, 0)
			})
		case scheduler.Fail:
			p.answer(a.ID, func(o *simOpen) {
				w.second(o.c).GivenUp++
				if w.terms.WorkloadClasses[o.c.work].Idempotency != scheduler.AtMostOnce {
					w.back(o.c, 0)
				}
			})
		case scheduler.SetTimer:
			life := p.life
			w.after(a.After, func() {
				if p.life == life {
					p.feed(scheduler.TimerFired{Name: a.Name})
				}
			})
		case scheduler.Probe:
			m := w.byID[a.Machine]
			w.after(2*simWay, func() {
				o := scheduler.OutcomeConnectFailed
				if m.up {
					o = scheduler.OutcomeFinished
				}
				p.feed(scheduler.ProbeCompleted{Machine: m.id, Outcome: o})
			})
		}
	}
}

// answer gives a client its one answer other than placed.
func (p *simPlacer) answer(id scheduler.ContainerID, f func(*simOpen)) {
	o := p.open[id]
	if o == nil || o.answered {
		return
	}
	o.answered = true
	if p.door != nil {
		p.door.Handle(p.w.now, overload.RequestFailed{WorkloadClass: o.c.work})
	}
	if o.bid == nil {
		delete(p.open, id)
	}
	f(o)
}

func (p *simPlacer) bid(a scheduler.StartAttempt) {
	w, o := p.w, p.open[a.ID]
	m := w.byID[a.Machine]
	until := o.due
	if a.Timeout > 0 {
		until = min(until, w.now+a.Timeout)
	}
	b := &simBid{p: p, id: a.ID, m: m, until: until, service: fmt.Sprint(o.c.work, o.c.n%60), cores: 0.5}
	o.bid = b
	o.bids++
	w.after(until-w.now, func() {
		if !b.placed {
			b.end(scheduler.OutcomeTimedOut, scheduler.ReasonNone)
		}
	})
	w.after(simWay, func() { m.offered(b) })
}

// end is a bid's one outcome at its placer.
func (b *simBid) end(o scheduler.Outcome, r scheduler.Reason) {
	if b.over {
		return
	}
	b.over = true
	x := b.p.open[b.id]
	if x == nil || x.bid != b {
		return
	}
	x.bid = nil
	over := x.answered
	if over {
		delete(b.p.open, b.id)
	}
	b.p.feed(scheduler.AttemptEnded{ID: b.id, Attempt: x.bids - 1, Outcome: o, Machine: b.m.id, Reason: r, Final: over})
}

func (m *simMachine) down() {
	m.up = false
	m.busy, m.cores, m.programs = 0, 0, nil
	m.life++
	queue := m.queue
	m.queue = nil
	for _, b := range queue {
		m.w.after(simWay, func() { b.end(scheduler.OutcomeLost, scheduler.ReasonNone) })
	}
}

func (m *simMachine) offered(b *simBid) {
	w := m.w
	refuse := func(o scheduler.Outcome, r scheduler.Reason) { w.after(simWay, func() { b.end(o, r) }) }
	switch {
	case !m.up:
		refuse(scheduler.OutcomeConnectFailed, scheduler.ReasonNone)
	case m.cores+b.cores > 96:
		refuse(scheduler.OutcomeFull, scheduler.ReasonNoCores)
	case len(m.queue) >= simQueue:
		refuse(scheduler.OutcomeFull, scheduler.ReasonQueueTooLong)
	default:
		m.cores += b.cores
		m.queue = append(m.queue, b)
		m.next()
	}
}

// next starts what waits, as far as there is room; what has lapsed is dropped, and what was begun is done to its end
// though nobody waits for it any more.
func (m *simMachine) next() {
	w := m.w
	for m.busy < simSlots && len(m.queue) > 0 {
		b := m.queue[0]
		m.queue = m.queue[1:]
		if w.now >= b.until {
			m.cores -= b.cores
			continue
		}
		m.busy++
		b.started = true
		took := float64(simStart)
		if !m.has(b.service) {
			took *= simFirst
		}
		if cold := w.now - m.started; m.started > 0 && cold < w.terms.SlowStartPeriod {
			took /= simColdPace + (1-simColdPace)*float64(cold)/float64(w.terms.SlowStartPeriod)
		}
		life := m.life
		w.after(scheduler.Time(took), func() {
			if m.life != life {
				w.after(simWay, func() { b.end(scheduler.OutcomeLost, scheduler.ReasonNone) })
				return
			}
			m.busy--
			w.after(simWay, func() { b.yes(life) })
			m.next()
		})
	}
}

func (m *simMachine) has(service string) bool {
	for i, s := range m.programs {
		if s == service {
			copy(m.programs[1:i+1], m.programs[:i])
			m.programs[0] = s
			return true
		}
	}
	m.programs = append([]string{service}, m.programs[:min(len(m.programs), simKept-1)]...)
	return false
}

// yes reaches the placer; too late it stops what started.
func (b *simBid) yes(life int) {
	w, m := b.p.w, b.m
	free := func(after scheduler.Time, then func()) {
		w.after(after, func() {
			if m.life == life {
				m.cores -= b.cores
				m.next()
			}
			then()
		})
	}
	o := b.p.open[b.id]
	if b.over || o == nil || o.bid != b || o.answered {
		free(simWay, func() { b.end(scheduler.OutcomeStopped, scheduler.ReasonNone) })
		return
	}
	b.placed, o.answered = true, true
	took := w.now - o.asked
	b.p.feed(scheduler.AttemptAccepted{ID: b.id, Attempt: o.bids - 1, Machine: m.id, Elapsed: took})
	if b.p.door != nil {
		b.p.door.Handle(w.now, overload.RequestStarted{WorkloadClass: o.c.work, Elapsed: took})
	}
	if took <= w.terms.WorkloadClasses[o.c.work].LatencyObjective {
		w.second(o.c).InTime++
		w.Seconds[int(w.now/scheduler.Second)].Placed++
	} else {
		w.second(o.c).Late++
	}
	free(simLife, func() { b.end(scheduler.OutcomeFinished, scheduler.ReasonNone) })
}

// Goodput is what was placed within its agreed time in a second, as a part of what was newly wanted in it.
func (s SimSecond) Goodput() float64 { return float64(s.Placed) / float64(max(1, s.Asked)) }
