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

// Simulation is a cluster on a simulated clock: the real decisions of many placers, and their doors, with a plain model of
// machines, links and clients. One seed gives one outcome.
type Simulation struct {
	Seed            uint64
	Schedulers      int
	Machines        int
	Rate            float64 // first tries a second, of all clients
	Length          scheduler.Time
	Damping         Damping
	IgnoringClients float64 // part of the clients that ignore all advice
	// Restart: so many machines go down together at a time and are back, cold, after a span.
	Restart   int
	RestartAt scheduler.Time
	DownFor   scheduler.Time
	// SchedulersRestartAt all at a time, where it is above 0; their doors' knowledge is kept, or not.
	SchedulersRestartAt scheduler.Time
	DropLimiterState    bool

	now        scheduler.Time
	seq        uint64
	events     simEvents
	rng        *rand.Rand
	terms      scheduler.Config
	schedulers []*simScheduler
	fleet      []*simMachine
	byID       map[scheduler.MachineID]*simMachine
	nextID     int

	Seconds []SimSecond
	Actions int
	// Of the appointments that were kept, those at which there was room.
	ScheduledRetries, AdmittedRetries int
}

// Damping is what stands at the doors and in the clients.
type Damping uint8

const (
	NoDamping   Damping = iota // clients ask again at once
	Exponential                // clients back off, twice as long each time, by chance
	Limited                    // the storm module's doors, and clients that keep their appointments
)

func (d Damping) String() string { return [...]string{"none", "exponential", "glenport"}[d] }

// SimSecond is what came of the first tries of one second, at whichever coming.
type SimSecond struct {
	Submitted, Retried, InTime, Late, Shed, Rejected, Failed, Abandoned int
	Placed                                                              int // in this second and in the agreed time, whenever they were wanted
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

func (w *Simulation) schedule(span scheduler.Time, do func()) {
	w.seq++
	heap.Push(&w.events, simEvent{w.now + max(0, span), w.seq, do})
}

const (
	simLatency          = 5 // tenths of a millisecond on the way
	simStart            = 30 * scheduler.Millisecond
	simSlots            = 4
	simQueue            = 60
	simFirstStartFactor = 4.0 // times as long where the program is not there
	simSlowStartPace    = 0.25
	simRuntime          = 2 * scheduler.Second
	simCachedPrograms   = 12
	simMaxTries         = 12 // of one container, with all its comings
)

// simContainer is one that a client wants.
type simContainer struct {
	number         int
	workloadClass  int
	client         string
	ignoresAdvice  bool
	scheduledRetry bool           // it comes at an appointment
	firstTry       scheduler.Time // its first try
	tries          int
}

type simAttempt struct {
	scheduler *simScheduler
	id        scheduler.ContainerID
	machine   *simMachine
	deadline  scheduler.Time
	service   string
	cores     float64
	done      bool // for its placer
	started   bool
	accepted  bool
}

type simScheduler struct {
	simulation  *Simulation
	config      scheduler.Config
	incarnation int
	decider     *scheduler.Scheduler
	limiter     *overload.Limiter
	requests    map[scheduler.ContainerID]*simRequest
}

type simRequest struct {
	container *simContainer
	submitted scheduler.Time
	attempt   *simAttempt
	attempts  int
	answered  bool
	deadline  scheduler.Time
}

type simMachine struct {
	simulation  *Simulation
	id          scheduler.MachineID
	up          bool
	incarnation int
	started     scheduler.Time // 0: long ago
	busy        int
	queue       []*simAttempt
	cores       float64
	programs    []string
}

// simConfig are a small site's.
func simConfig(w *Simulation) scheduler.Config {
	return scheduler.Config{SchedulerCount: w.Schedulers, CoresOvercommit: 2, MemoryOvercommit: 1.5, MeanCores: 1, MeanMemory: 2, AcceptMeansRunning: true,
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
func (w *Simulation) Run() {
	w.rng = rand.New(rand.NewPCG(w.Seed, 41))
	w.terms = simConfig(w)
	w.terms.SlowStartBudget = 60 // in a window, from all placers
	w.byID = map[scheduler.MachineID]*simMachine{}
	w.Seconds = make([]SimSecond, int(w.Length/scheduler.Second)+1)
	for i := range w.Machines {
		m := &simMachine{simulation: w, id: scheduler.MachineID(fmt.Sprintf("m%05d", i)), up: true, incarnation: 1}
		w.fleet, w.byID[m.id] = append(w.fleet, m), m
	}
	for i := range w.Schedulers {
		t := w.terms
		t.SchedulerIndex, t.Seed = i, w.Seed*1000+uint64(i)
		p := &simScheduler{simulation: w, config: t}
		w.schedulers = append(w.schedulers, p)
		p.start()
	}
	if w.SchedulersRestartAt > 0 {
		w.schedule(w.SchedulersRestartAt, func() {
			for _, p := range w.schedulers {
				p.restart()
			}
		})
	}
	w.schedule(0, w.nextClient)
	if w.Restart > 0 {
		w.schedule(w.RestartAt, func() { w.restartMachines() })
	}
	for len(w.events) > 0 && w.events[0].at <= w.Length {
		e := heap.Pop(&w.events).(simEvent)
		w.now = e.at
		e.do()
	}
}

func (w *Simulation) machineList(only map[scheduler.MachineID]bool) []scheduler.MachineEntry {
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

// restartMachines takes machines down together; the list tells it a second later, and of their return likewise.
func (w *Simulation) restartMachines() {
	which := map[scheduler.MachineID]bool{}
	for i := range min(w.Restart, len(w.fleet)) {
		m := w.fleet[i]
		which[m.id] = true
		m.crash()
	}
	tell := func() {
		for _, p := range w.schedulers {
			p.handle(scheduler.MachineListUpdate{Mode: scheduler.DeltaUpdate, Entries: w.machineList(which)})
		}
	}
	w.schedule(scheduler.Second, tell)
	w.schedule(w.DownFor, func() {
		for i := range min(w.Restart, len(w.fleet)) {
			m := w.fleet[i]
			m.up, m.started = true, w.now
			m.incarnation++
		}
		w.schedule(scheduler.Second/4, tell)
	})
}

// nextClient begins the next container; arrivals are Poisson, half of the clients are twenty, the rest are many.
func (w *Simulation) nextClient() {
	w.nextID++
	c := &simContainer{number: w.nextID, firstTry: w.now}
	switch r := w.rng.Float64(); {
	case r < 0.5:
	case r < 0.85:
		c.workloadClass = 1
	default:
		c.workloadClass = 2
	}
	c.client = fmt.Sprint("c", w.rng.IntN(200))
	c.ignoresAdvice = w.rng.Float64() < w.IgnoringClients
	w.secondOf(c).Submitted++
	w.submit(c)
	w.schedule(scheduler.Time(w.rng.ExpFloat64()/w.Rate*float64(scheduler.Second)), w.nextClient)
}

func (w *Simulation) secondOf(c *simContainer) *SimSecond {
	return &w.Seconds[int(c.firstTry/scheduler.Second)]
}

func (w *Simulation) submit(c *simContainer) {
	c.tries++
	if c.tries > 1 {
		w.Seconds[int(w.now/scheduler.Second)].Retried++
	}
	p := w.schedulers[w.rng.IntN(len(w.schedulers))]
	appointed := c.scheduledRetry
	c.scheduledRetry = false
	if appointed {
		w.ScheduledRetries++
	}
	if p.limiter != nil {
		for _, a := range p.limiter.Handle(w.now, overload.RequestReceived{Client: c.client, WorkloadClass: c.workloadClass, ClientRetry: c.tries > 1}) {
			if s, ok := a.(overload.Shed); ok {
				w.secondOf(c).Shed++
				c.scheduledRetry = !c.ignoresAdvice
				w.retry(c, s.RetryAfter)
				return
			}
		}
	}
	if appointed {
		w.AdmittedRetries++
	}
	id := scheduler.ContainerID(fmt.Sprintf("%d#%d", c.number, c.tries))
	due := w.now + w.terms.WorkloadClasses[c.workloadClass].PlacementTimeout
	p.requests[id] = &simRequest{container: c, submitted: w.now, deadline: due}
	p.handle(scheduler.RequestReceived{PlacementRequest: scheduler.PlacementRequest{ID: id, IdempotencyKey: fmt.Sprint(c.number), Service: fmt.Sprint("s", c.workloadClass, "-", c.number%60), WorkloadClass: c.workloadClass,
		Cores: 0.5, Memory: 1, Deadline: due, ClientRetry: c.tries > 1}})
}

// retry is what a client does that was turned away: it keeps its appointment where it was given one and obeys.
func (w *Simulation) retry(c *simContainer, hold scheduler.Time) {
	if c.tries >= simMaxTries || c.workloadClass == 2 && c.tries >= simMaxTries/2 {
		w.secondOf(c).Abandoned++
		return
	}
	wait := 50*scheduler.Millisecond + scheduler.Time(w.rng.Float64()*float64(100*scheduler.Millisecond))
	switch {
	case c.ignoresAdvice:
	case w.Damping == Exponential || w.Damping == Limited && hold == 0:
		span := float64(200*scheduler.Millisecond) * math.Exp2(float64(min(c.tries, 7)))
		wait = scheduler.Time(span/2 + w.rng.Float64()*span/2)
	case w.Damping == Limited:
		wait = hold
	}
	w.schedule(wait, func() { w.submit(c) })
}

// start is the start of a life.
func (p *simScheduler) start() {
	w := p.simulation
	p.incarnation++
	p.decider, p.requests = scheduler.New(p.config), map[scheduler.ContainerID]*simRequest{}
	if w.Damping == Limited {
		s := overload.Config{Seed: p.config.Seed, MaxOpen: 1_000_000}
		for _, x := range p.config.WorkloadClasses {
			s.WorkloadClasses = append(s.WorkloadClasses, overload.WorkloadClass{LatencyObjective: x.LatencyObjective, PriorityWeight: x.PriorityWeight})
		}
		old := p.limiter
		if p.limiter = overload.New(s); old != nil && !w.DropLimiterState {
			p.limiter.Restore(old.Snapshot(), 0.9)
		}
	}
	p.handle(scheduler.MachineListUpdate{Mode: scheduler.FullSnapshot, Entries: w.machineList(nil)})
}

// restart ends a life and begins the next; clients without an answer hear of it and come again.
func (p *simScheduler) restart() {
	w := p.simulation
	var ids []string
	for id := range p.requests {
		ids = append(ids, string(id))
	}
	sort.Strings(ids)
	for _, id := range ids {
		if o := p.requests[scheduler.ContainerID(id)]; !o.answered && o.container.workloadClass != 2 {
			w.retry(o.container, 0)
		}
	}
	p.start()
}

func (p *simScheduler) handle(e scheduler.Event) {
	w := p.simulation
	for _, a := range p.decider.Handle(w.now, []scheduler.Event{e}) {
		w.Actions++
		switch a := a.(type) {
		case scheduler.StartAttempt:
			p.startAttempt(a)
		case scheduler.Reject:
			p.reply(a.ID, func(o *simRequest) {
				w.secondOf(o.container).Rejected++
				w.retry(o.container, 0)
			})
		case scheduler.Fail:
			p.reply(a.ID, func(o *simRequest) {
				w.secondOf(o.container).Failed++
				if w.terms.WorkloadClasses[o.container.workloadClass].Idempotency != scheduler.AtMostOnce {
					w.retry(o.container, 0)
				}
			})
		case scheduler.SetTimer:
			life := p.incarnation
			w.schedule(a.After, func() {
				if p.incarnation == life {
					p.handle(scheduler.TimerFired{Name: a.Name})
				}
			})
		case scheduler.Probe:
			m := w.byID[a.Machine]
			w.schedule(2*simLatency, func() {
				o := scheduler.OutcomeConnectFailed
				if m.up {
					o = scheduler.OutcomeFinished
				}
				p.handle(scheduler.ProbeCompleted{Machine: m.id, Outcome: o})
			})
		}
	}
}

// reply gives a client its one answer other than placed.
func (p *simScheduler) reply(id scheduler.ContainerID, f func(*simRequest)) {
	o := p.requests[id]
	if o == nil || o.answered {
		return
	}
	o.answered = true
	if p.limiter != nil {
		p.limiter.Handle(p.simulation.now, overload.RequestFailed{WorkloadClass: o.container.workloadClass})
	}
	if o.attempt == nil {
		delete(p.requests, id)
	}
	f(o)
}

func (p *simScheduler) startAttempt(a scheduler.StartAttempt) {
	w, o := p.simulation, p.requests[a.ID]
	m := w.byID[a.Machine]
	until := o.deadline
	if a.Timeout > 0 {
		until = min(until, w.now+a.Timeout)
	}
	b := &simAttempt{scheduler: p, id: a.ID, machine: m, deadline: until, service: fmt.Sprint(o.container.workloadClass, o.container.number%60), cores: 0.5}
	o.attempt = b
	o.attempts++
	w.schedule(until-w.now, func() {
		if !b.accepted {
			b.finish(scheduler.OutcomeTimedOut, scheduler.ReasonNone)
		}
	})
	w.schedule(simLatency, func() { m.offer(b) })
}

// finish is a bid's one outcome at its placer.
func (b *simAttempt) finish(o scheduler.Outcome, r scheduler.Reason) {
	if b.done {
		return
	}
	b.done = true
	x := b.scheduler.requests[b.id]
	if x == nil || x.attempt != b {
		return
	}
	x.attempt = nil
	over := x.answered
	if over {
		delete(b.scheduler.requests, b.id)
	}
	b.scheduler.handle(scheduler.AttemptEnded{ID: b.id, Attempt: x.attempts - 1, Outcome: o, Machine: b.machine.id, Reason: r, Final: over})
}

func (m *simMachine) crash() {
	m.up = false
	m.busy, m.cores, m.programs = 0, 0, nil
	m.incarnation++
	queue := m.queue
	m.queue = nil
	for _, b := range queue {
		m.simulation.schedule(simLatency, func() { b.finish(scheduler.OutcomeLost, scheduler.ReasonNone) })
	}
}

func (m *simMachine) offer(b *simAttempt) {
	w := m.simulation
	refuse := func(o scheduler.Outcome, r scheduler.Reason) { w.schedule(simLatency, func() { b.finish(o, r) }) }
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
		m.startQueued()
	}
}

// startQueued starts what waits, as far as there is room; what has lapsed is dropped, and what was begun is done to its end
// though nobody waits for it any more.
func (m *simMachine) startQueued() {
	w := m.simulation
	for m.busy < simSlots && len(m.queue) > 0 {
		b := m.queue[0]
		m.queue = m.queue[1:]
		if w.now >= b.deadline {
			m.cores -= b.cores
			continue
		}
		m.busy++
		b.started = true
		took := float64(simStart)
		if !m.useProgram(b.service) {
			took *= simFirstStartFactor
		}
		if cold := w.now - m.started; m.started > 0 && cold < w.terms.SlowStartPeriod {
			took /= simSlowStartPace + (1-simSlowStartPace)*float64(cold)/float64(w.terms.SlowStartPeriod)
		}
		life := m.incarnation
		w.schedule(scheduler.Time(took), func() {
			if m.incarnation != life {
				w.schedule(simLatency, func() { b.finish(scheduler.OutcomeLost, scheduler.ReasonNone) })
				return
			}
			m.busy--
			w.schedule(simLatency, func() { b.accept(life) })
			m.startQueued()
		})
	}
}

func (m *simMachine) useProgram(service string) bool {
	for i, s := range m.programs {
		if s == service {
			copy(m.programs[1:i+1], m.programs[:i])
			m.programs[0] = s
			return true
		}
	}
	m.programs = append([]string{service}, m.programs[:min(len(m.programs), simCachedPrograms-1)]...)
	return false
}

// accept reaches the placer; too late it stops what started.
func (b *simAttempt) accept(life int) {
	w, m := b.scheduler.simulation, b.machine
	free := func(after scheduler.Time, then func()) {
		w.schedule(after, func() {
			if m.incarnation == life {
				m.cores -= b.cores
				m.startQueued()
			}
			then()
		})
	}
	o := b.scheduler.requests[b.id]
	if b.done || o == nil || o.attempt != b || o.answered {
		free(simLatency, func() { b.finish(scheduler.OutcomeStopped, scheduler.ReasonNone) })
		return
	}
	b.accepted, o.answered = true, true
	took := w.now - o.submitted
	b.scheduler.handle(scheduler.AttemptAccepted{ID: b.id, Attempt: o.attempts - 1, Machine: m.id, Elapsed: took})
	if b.scheduler.limiter != nil {
		b.scheduler.limiter.Handle(w.now, overload.RequestStarted{WorkloadClass: o.container.workloadClass, Elapsed: took})
	}
	if took <= w.terms.WorkloadClasses[o.container.workloadClass].LatencyObjective {
		w.secondOf(o.container).InTime++
		w.Seconds[int(w.now/scheduler.Second)].Placed++
	} else {
		w.secondOf(o.container).Late++
	}
	free(simRuntime, func() { b.finish(scheduler.OutcomeFinished, scheduler.ReasonNone) })
}

// Goodput is what was placed within its agreed time in a second, as a part of what was newly wanted in it.
func (s SimSecond) Goodput() float64 { return float64(s.Placed) / float64(max(1, s.Submitted)) }
