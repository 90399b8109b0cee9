// This file holds every decision of a placer, its state and its tuned values. The host calls New once at
// start and Handle for each batch of events; what Handle returns is to be done in that order. The types that
// pass in and out stand in api.go. docs/design.md tells what the Max-Cap draw keeps of its source.

package scheduler

import (
	"fmt"
	"math"
	"slices"
	"sort"
)

// Tuned values. Each is a matter of the trade, not of one deployment.
const (
	lots        = 3    // draws that the containers of a service share
	weightFloor = 0.02 // of a contract: the least weight of a machine that is drawn from

	sickOdds    = 0.6  // the test's two views of a machine: a sick one fails so many of its bids,
	wellOdds    = 0.05 // a well one so many
	sickAt      = 4.6  // log odds at which it becomes a last resort
	restAtFirst = 2 * Second
	restAtMost  = 8 * Second
	lastResort  = 2 // misgivings about a machine that looks sick

	shunOdds  = 0.85        // a machine that shuns a workload or customer loses so many of its bids,
	leastLost = 0.02        // one that does not, at least so many
	shunFades = 20 * Second // the evidence falls to 1/e in that time

	overAsked  = 0.3        // share of bids without room from which low gain yields
	cameAgain  = 0.5        // of its gain is left to a container that came before
	closing    = 5 * Second // a machine that closes down stays out so long after its last word of it
	yieldPace  = 4          // half the gain on a fleet a quarter full yields every second time
	sweepEvery = Second / 4
	overdueAt  = Second / 2        // a bid so old on a machine not heard of since calls for a probe
	askTurn    = 100 * Millisecond // of the list's time for each placer: first calls spread over all turns
	edge       = 2 * Millisecond   // kept from every time that a rule names
)

// Scheduler is one instance. Machines are dropped once gone and empty, services and containers with
// their last bid.
type Scheduler struct {
	terms      Config
	rng        pcg
	now, began Time // from began on it is known what was sent to cold machines
	out        []Action
	machines   map[MachineID]*machine
	order      []*machine // by id, so that equal events are decided alike
	services   map[string]*service
	containers map[ContainerID]*container
	held       []float64      // cores asked by own containers, by customer
	traits     []TrafficClass // the workloads, then the customers, then no customer
	full       float64        // moving share of bids that found no room, and what they would have gained
	missed     float64
	watchAt    Time // when the list is to be asked for again; 0: not due
	watchPause Time
	dueAt      Time // the timer set last for a hard stop
}

type machine struct {
	id        MachineID
	hash      uint64
	listed    bool // zone, kind and cell are known
	zone      int
	cell      int
	kind      int
	state     MachineState
	started   Time
	contract  float64
	held      int // bids and containers without an outcome
	asked     room
	used      room   // by own containers, as far as told
	listAsks  room   // by everybody, as the list has it
	sent      []Time // bids and probes of the last cold window, emptied as they leave it
	leftBy    int    // containers out of whose draw it is
	sick      float64
	restUntil Time // a last resort until it answers a probe from then on; 0: it is not
	rest      Time
	probing   Time              // since when a probe is out; 0: none is
	heardAt   Time              // last sign of life
	shutUntil Time              // out of every draw on its own word
	doubts    []FailureEvidence // by trait
}

func (d *FailureEvidence) now(now Time) float64 {
	return d.LogOdds * math.Exp(-float64(now-d.AsOf)/float64(shunFades))
}

type room struct{ cores, memory float64 }

type service struct {
	name       string
	hash       uint64
	containers int
	held       map[*machine]int
}

type container struct {
	ask      PlacementRequest
	workload *WorkloadClass
	service  *service
	bids     int
	at       *machine // of the bid that is out, or where it runs
	sentAt   Time
	placed   bool
	closed   bool     // answered or withdrawn: only an outcome is awaited
	ranAt    *machine // of the first bid that may have run
	ranSince Time
	left     []*machine // out of this container's draw
	erred    []erring   // errors that nobody is held to yet
	used     room
}

// erring is an error that a container got: the machine's fault or its own.
type erring struct {
	at     *machine
	sentAt Time
	silent bool // nothing was heard of the machine since the bid
}

func New(t Config) *Scheduler {
	return &Scheduler{terms: t, rng: pcg{t.Seed}, machines: map[MachineID]*machine{},
		services: map[string]*service{}, containers: map[ContainerID]*container{},
		held:   make([]float64, len(t.Tenants)),
		traits: make([]TrafficClass, len(t.WorkloadClasses)+len(t.Tenants)+1), began: -1}
}

// Handle takes what happened by now and returns what is to be done.
func (p *Scheduler) Handle(now Time, events []Event) []Action {
	p.now, p.out = now, nil
	var due []*container // placed once all that came is known: what is found running counts before any bid
	woke := false
	if p.began < 0 {
		p.began = now
		p.do(SetTimer{p.within(sweepEvery), "sweep"})
		p.watchPause = min(askTurn*Time(max(1, p.terms.SchedulerCount)), p.terms.ResyncInterval/2)
		if p.terms.ListOnRequest {
			p.watchAt = now + p.within(p.watchPause)
		}
	}
	for _, e := range events {
		switch e := e.(type) {
		case MachineListUpdate:
			p.learn(e)
		case RequestReceived:
			if c := p.take(e.PlacementRequest); c != nil {
				due = append(due, c)
			} else {
				p.do(Fail{e.ID})
			}
		case ContainerAdopted:
			if c := p.take(e.PlacementRequest); c != nil {
				c.bids, c.placed = 1, true
				p.hold(c, p.machine(e.Machine))
			}
		case AttemptAccepted:
			p.confirm(e)
		case UsageReported:
			p.note(e)
		case AttemptEnded:
			if c := p.end(e); c != nil {
				due = append(due, c)
			}
		case ContainerRemoved:
			if c := p.containers[e.ID]; c != nil {
				c.closed = true
				p.forget(c)
			}
		case ProbeCompleted:
			p.probed(e)
		case TimerFired:
			if e.Name == "sweep" {
				p.sweep()
			}
			woke = true
		}
	}
	for _, c := range due {
		if !c.closed {
			p.place(c)
		}
	}
	if woke {
		p.overdue()
	}
	return p.out
}

func (p *Scheduler) do(a Action) { p.out = append(p.out, a) }

func (p *Scheduler) log(format string, a ...any) { p.do(Log{fmt.Sprintf(format, a...)}) }

// machine finds a machine by its id, or notes one that no list has named yet.
func (p *Scheduler) machine(id MachineID) *machine {
	m := p.machines[id]
	if m == nil {
		m = &machine{id: id, hash: hash(string(id)), state: MachineGone, rest: restAtFirst,
			doubts: make([]FailureEvidence, len(p.traits))}
		p.machines[id] = m
		i := sort.Search(len(p.order), func(i int) bool { return p.order[i].id >= id })
		p.order = append(p.order, nil)
		copy(p.order[i+1:], p.order[i:])
		p.order[i] = m
	}
	return m
}

// within is a moment in a span by chance, so that placers that start or fail together do not act together.
func (p *Scheduler) within(span Time) Time { return Millisecond + Time(float64(span)*p.rng.float()) }

// learn applies a list. A failed call leaves the old list in force and is repeated, since the notice does
// not say whether the watch stands. One service answers all placers, and turns calls away when too many
// wait: so each comes at a moment of its own, over twice the span after each failure. That also guards a list
// service that returns after it was away. Harm: a lone placer hears a little later. What a machine reports of
// itself is no answer of the list: a call that is due stays due.
func (p *Scheduler) learn(e MachineListUpdate) {
	if e.Mode == UpdateFailed {
		p.watchAt = p.now + p.within(p.watchPause)
		p.watchPause = min(2*p.watchPause, p.terms.ResyncInterval)
		return
	}
	if e.Mode != RestoredSnapshot && e.Mode != SelfReported {
		p.watchAt = 0
		p.watchPause = min(askTurn*Time(max(1, p.terms.SchedulerCount)), p.terms.ResyncInterval/2)
	}
	if e.Mode != DeltaUpdate && e.Mode != SelfReported {
		for _, m := range p.order {
			m.state = MachineGone
		}
	}
	for _, l := range e.Entries {
		m := p.machine(l.Machine)
		if l.MachineType >= len(p.terms.MachineTypes) {
			p.log("machine %s is of unknown kind %d: not used", m.id, l.MachineType)
			m.state = MachineGone
			continue
		}
		if m.started != l.StartedAt || !m.listed {
			m.started, m.sick, m.restUntil, m.rest, m.shutUntil = l.StartedAt, 0, 0, restAtFirst, 0
			clear(m.doubts)
			// What was sent from just before it on may have reached this start.
			for len(m.sent) > 0 && m.sent[0] < l.StartedAt-p.terms.SlowStartWindow/8 {
				m.sent = m.sent[1:]
			}
		}
		m.listed, m.zone, m.cell, m.kind, m.state = true, l.Zone, l.RackGroup, l.MachineType, l.State
		k := p.terms.MachineTypes[l.MachineType]
		m.contract = min(k.Cores/p.terms.MeanCores, k.Memory/p.terms.MeanMemory)
		m.listAsks = room{k.Cores - l.FreeCores, k.Memory - l.FreeMemory}
	}
	p.letGo()
}

// letGo drops machines that are gone once nothing speaks of them: no container that is held there or left
// them, no send that would count if they came back with the same start.
func (p *Scheduler) letGo() {
	for i := len(p.order) - 1; i >= 0; i-- {
		if m := p.order[i]; m.state == MachineGone && m.held+m.leftBy == 0 && len(p.recent(m)) == 0 {
			delete(p.machines, m.id)
			p.order = append(p.order[:i], p.order[i+1:]...)
		}
	}
}

// take notes a container and its service; nil for one of a workload that the terms do not have.
func (p *Scheduler) take(a PlacementRequest) *container {
	if a.WorkloadClass >= len(p.terms.WorkloadClasses) {
		p.log("container %s is of unknown workload %d", a.ID, a.WorkloadClass)
		return nil
	}
	s := p.services[a.Service]
	if s == nil {
		s = &service{name: a.Service, hash: hash(a.Service), held: map[*machine]int{}}
		p.services[a.Service] = s
	}
	c := &container{ask: a, workload: &p.terms.WorkloadClasses[a.WorkloadClass], service: s}
	s.containers++
	p.containers[a.ID] = c
	return c
}

// hold counts a bid or a running container where it is; release takes it off again.
func (p *Scheduler) hold(c *container, m *machine) {
	c.at, c.sentAt, c.used = m, p.now, room{c.ask.Cores, c.ask.Memory}
	c.service.held[m]++
	m.held++
	p.count(c, 1)
	m.asked.add(c.used, 1)
	m.used.add(c.used, 1)
}

func (p *Scheduler) release(c *container) {
	m := c.at
	if c.service.held[m]--; c.service.held[m] == 0 {
		delete(c.service.held, m)
	}
	m.held--
	p.count(c, -1)
	m.asked.add(room{c.ask.Cores, c.ask.Memory}, -1)
	m.used.add(c.used, -1)
	if m.held == 0 {
		m.asked, m.used = room{}, room{}
	}
	c.at = nil
}

func (p *Scheduler) count(c *container, sign float64) {
	if i := c.ask.Tenant; i < len(p.held) {
		p.held[i] += sign * c.ask.Cores
	}
}

func (r *room) add(o room, sign float64) {
	r.cores += sign * o.cores
	r.memory += sign * o.memory
}

// forget drops a container that is closed and has no bid out.
func (p *Scheduler) forget(c *container) {
	if !c.closed || c.at != nil {
		return
	}
	delete(p.containers, c.ask.ID)
	for _, m := range c.left {
		m.leftBy--
	}
	if c.service.containers--; c.service.containers == 0 {
		delete(p.services, c.service.name)
	}
}

// place draws a machine for a container and bids, or answers its owner at once.
func (p *Scheduler) place(c *container) {
	var m *machine
	if c.bids < p.terms.MaxAttempts && p.now+edge < c.ask.Deadline && !p.yields(c) {
		m = p.draw(c)
	}
	if m == nil {
		p.answer(c)
		return
	}
	m.sent = append(p.recent(m), p.now)
	c.bids++
	p.hold(c, m)
	p.do(StartAttempt{c.ask.ID, m.id, p.patience(c)})
}

// yields tells whether a container makes way for others: while more than overAsked of the bids find no room,
// by chance, the more so the fuller the fleet and the less it gains than those that found none.
func (p *Scheduler) yields(c *container) bool {
	return p.full > overAsked && p.rng.float() < yieldPace*p.full*(1-p.gain(c)*p.full/p.missed)
}

// gain is what a container earns: less if it came before, as its start in time is gone, and little for what
// its customer holds here beyond its part of all shares, measured on what this placer's own containers ask.
func (p *Scheduler) gain(c *container) float64 {
	g := c.workload.PriorityWeight
	if c.ask.ClientRetry {
		g *= cameAgain
	}
	if i := c.ask.Tenant; i < len(p.held) && p.held[i] > 0 {
		var quota, held float64
		for k, t := range p.terms.Tenants {
			quota += t.QuotaCores
			held += p.held[k]
		}
		if r := p.terms.Tenants[i].QuotaCores / quota / (p.held[i] / held); quota > 0 && r < 1 {
			g *= r + (1-r)*p.terms.OverQuotaWeight
		}
	}
	return g
}

// answer ends a container: a pushback where a repeat does no harm, else a give-up.
func (p *Scheduler) answer(c *container) {
	w := c.workload
	if c.at != nil && c.ranAt == nil {
		c.ranAt = c.at
	}
	if c.ranAt == nil || w.Idempotency == Idempotent || w.Idempotency == IdempotentWithKey && w.DedupScope == ScopeFleet {
		p.do(Reject{ID: c.ask.ID})
	} else {
		p.do(Fail{c.ask.ID})
	}
	if c.closed = true; len(c.erred) == 1 {
		p.blame(c)
	}
	p.forget(c)
}

// blame holds machines to the errors that a container got there. It comes once the container ran elsewhere,
// or is closed with a single error: one that erred at each of several machines is taken to be at fault
// itself and speaks against none of them. Harm: where most machines are at fault it takes one more
// container to tell.
func (p *Scheduler) blame(c *container) {
	for _, e := range c.erred {
		if e.sentAt < e.at.started {
			continue // it was another start
		}
		if e.silent {
			p.judge(e.at, true)
		} else {
			p.weigh(c, e.at, true)
		}
	}
	c.erred = nil
}

// draw picks a machine at random among those that pass the filters, by honored capacity. The draw is
// indexed: chance picks one of a service's few lots, and each lot, hashed from service and machine, falls on
// a machine with odds proportional to its capacity. So the containers of a service meet again on few
// machines, which hold their program, whichever placer sends them; no weight follows placement.
func (p *Scheduler) draw(c *container) *machine {
	lot := c.service.hash + p.rng.next()%lots
	var best *machine
	least, rank := math.Inf(1), lastResort+1
	for _, m := range p.order {
		r := p.misgivings(c, m)
		if r > rank || !p.mayBid(c, m) {
			continue
		}
		x, weight := pcg{mix(lot) ^ m.hash}, p.honored(m)
		if share := p.coldShare(m); share < 1 {
			x, weight = pcg{mix(c.service.hash) ^ m.hash}, weight/share
		}
		if at := -math.Log(1-x.float()) / weight; r < rank || at < least {
			best, least, rank = m, at, r
		}
	}
	return best
}

// misgivings are the two tests' verdicts: the draw is among the machines with the least of them. So one that
// looks sick, or shuns the container, is drawn only where no other may be: with all of them looking sick the
// fault is this placer's own link or list, and an empty draw would help nobody.
func (p *Scheduler) misgivings(c *container, m *machine) int {
	switch {
	case m.restUntil > 0:
		return lastResort
	case p.shuns(m, c):
		return lastResort - 1
	}
	return 0
}

// honored is the contract less the extraneous load: what own containers are told to use beyond all that the
// machine was asked for.
func (p *Scheduler) honored(m *machine) float64 {
	load := 0.0
	if t := &p.terms; t.UsageReports && t.ListTracksRequests {
		cores := max(m.listAsks.cores, m.asked.cores)
		memory := max(m.listAsks.memory, m.asked.memory)
		load = max(0, (m.used.cores-cores)/t.MeanCores, (m.used.memory-memory)/t.MeanMemory)
	}
	return max(m.contract-load, weightFloor*m.contract)
}

// mayBid holds the filters that come before the draw.
func (p *Scheduler) mayBid(c *container, m *machine) bool {
	w, t := c.workload, &p.terms
	if m.state != MachineServing || m.contract <= 0 || w.MachineType >= 0 && w.MachineType != m.kind {
		return false
	}
	if k := t.MachineTypes[m.kind]; c.ask.Cores > k.Cores*t.CoresOvercommit || c.ask.Memory > k.Memory*t.MemoryOvercommit {
		return false
	}
	for _, l := range c.left {
		if l == m {
			return false
		}
	}
	if p.now < m.shutUntil {
		return false
	}
	if c.ranAt != nil {
		switch w.Idempotency {
		case AtMostOnce:
			return false
		case IdempotentWithKey:
			if !c.ranAt.shares(m, w.DedupScope) || p.now+edge >= c.ranSince+w.DedupWindow {
				return false
			}
		}
	}
	return p.spreadHolds(c, m) && p.coldBears(m)
}

// shares tells whether two machines lie in one place; a machine that no list has named lies nowhere known.
func (m *machine) shares(o *machine, place Scope) bool {
	switch place {
	case ScopeFleet:
		return true
	case ScopeZone:
		return m.listed && o.listed && m.zone == o.zone
	case ScopeRackGroup:
		return m.listed && o.listed && m.cell == o.cell
	}
	return m == o
}

// spreadHolds counts what the service has in the machine's place; what lies nowhere known counts everywhere.
func (p *Scheduler) spreadHolds(c *container, m *machine) bool {
	w := c.workload
	if w.SpreadScope == ScopeNone {
		return true
	}
	n := 1
	for o, held := range c.service.held {
		if m.shares(o, w.SpreadScope) || !o.listed && w.SpreadScope != ScopeMachine {
			n += held
		}
	}
	return n <= w.MaxPerScope
}

func (p *Scheduler) isCold(m *machine) bool {
	return m.started > 0 && p.now < m.started+p.terms.SlowStartPeriod
}

// coldShare is the part of all placers that may send to a cold machine in a window, where its budget does not
// reach all of them. Theirs are then the odds of the rest too: over all placers a new machine is drawn as
// often as a warm one, in place of hardly ever. It has one lot, to keep the few programs it gets.
func (p *Scheduler) coldShare(m *machine) float64 {
	if p.terms.SlowStartBudget >= p.terms.SchedulerCount || !p.isCold(m) {
		return 1
	}
	return float64(max(1, p.terms.SlowStartBudget)) / float64(p.terms.SchedulerCount)
}

// coldBears keeps to this placer's part of what a cold machine bears from all of them; what does not divide
// goes to other placers at each machine. For a window after its own start a placer does not know what it
// sent in an earlier life, and sends nothing.
func (p *Scheduler) coldBears(m *machine) bool {
	if !p.isCold(m) {
		return true
	}
	all := max(1, p.terms.SchedulerCount)
	part := p.terms.SlowStartBudget / all
	if (p.terms.SchedulerIndex+int(m.hash%uint64(all)))%all < p.terms.SlowStartBudget%all {
		part++
	}
	return p.now >= p.began+p.window() && len(p.recent(m)) < part
}

// window is the cold one and an eighth for the way. What is sent counts in it whether or not the machine is
// known to be cold: it may have started since, unheard of.
func (p *Scheduler) window() Time { return p.terms.SlowStartWindow + p.terms.SlowStartWindow/8 }

func (p *Scheduler) recent(m *machine) []Time {
	for len(m.sent) > 0 && m.sent[0] <= p.now-p.window() {
		m.sent = m.sent[1:]
	}
	return m.sent
}

// patience is a bid's time-out: half the hard stop, to the end where nothing could follow.
func (p *Scheduler) patience(c *container) Time {
	left := c.ask.Deadline - p.now
	if c.workload.Idempotency == AtMostOnce || c.bids >= p.terms.MaxAttempts {
		return left
	}
	return min(left, c.workload.PlacementTimeout/2)
}

func (p *Scheduler) confirm(e AttemptAccepted) {
	c := p.containers[e.ID]
	if c == nil || c.at == nil {
		return
	}
	c.placed, c.at.heardAt = true, p.now
	p.blame(c)
	p.full -= p.full / 32
	p.missed -= p.missed / 32
	p.judge(c.at, false)
	p.weigh(c, c.at, false)
}

func (p *Scheduler) note(e UsageReported) {
	c := p.containers[e.ID]
	if c == nil || c.at == nil {
		return
	}
	c.at.heardAt = p.now
	c.at.used.add(c.used, -1)
	switch e.Metric {
	case MetricCoresUsed:
		c.used.cores = e.Value
	case MetricMemoryUsed:
		c.used.memory = e.Value
	}
	c.at.used.add(c.used, 1)
}

// end takes in the one outcome of a bid and returns its container where that goes on.
func (p *Scheduler) end(e AttemptEnded) *container {
	c := p.containers[e.ID]
	if c == nil || c.at == nil {
		return nil
	}
	m, placed := c.at, c.placed
	c.placed = false
	silent := m.heardAt < c.sentAt
	p.release(c)
	switch o := e.Outcome; {
	case c.sentAt < m.started: // it went to an earlier start, and tells nothing of this one
	case o == OutcomeFull:
		m.heardAt = p.now
		if e.Reason == ReasonNoCores || e.Reason == ReasonNoMemory {
			p.full += (1 - p.full) / 32
			p.missed += (p.gain(c) - p.missed) / 32
		}
		p.judge(m, false)
		if e.Reason == ReasonNone && p.listsRoom(m, c) {
			p.weigh(c, m, true)
		}
	case o == OutcomeConnectFailed:
		p.judge(m, true)
	case o == OutcomeErrored && !placed:
		c.erred = append(c.erred, erring{m, c.sentAt, silent})
	case o == OutcomeErrored || o == OutcomeTimedOut || o == OutcomeLost:
		if silent && !placed || o == OutcomeLost && e.Reason == ReasonNone {
			p.judge(m, true)
		} else if o != OutcomeLost && !placed {
			p.weigh(c, m, true)
		}
	case o == OutcomeFinished:
		m.heardAt = p.now
	}
	if e.Outcome != OutcomeFull && e.Outcome != OutcomeConnectFailed && e.Outcome != OutcomeNotSent && c.ranAt == nil {
		c.ranAt, c.ranSince = m, c.sentAt
	}
	// A machine's own word comes before the list's: one that sends containers away, or is "not here" to one
	// that stands nowhere, is closing down. This also covers lists that are late or out of reach; it keeps
	// out too long a machine that did so to one container only.
	if e.Reason == ReasonDrained || e.Reason == ReasonWrongMachine && c.ranAt == nil && !c.ask.ClientRetry {
		p.shut(m)
	}
	c.left = append(c.left, m)
	m.leftBy++
	if e.Final || c.closed { // a yes that crossed a withdrawal is not over: its answer is still owed
		c.closed = true
		p.forget(c)
		return nil
	}
	if e.Outcome == OutcomeFinished { // its own time has passed before a yes: a further bid would start it for nothing
		p.answer(c)
		return nil
	}
	return c
}

// shut keeps a machine that closes down out of every draw for a while, on its own word.
func (p *Scheduler) shut(m *machine) {
	if p.now >= m.shutUntil {
		p.log("machine %s closing: out %d ms", m.id, closing/Millisecond)
	}
	m.shutUntil = p.now + closing
}

// judge is the sequential test on a machine's outcomes: each moves the log odds of its being sick, never
// below even, and past sickAt it is a last resort. A refusal is an answer and speaks for the machine.
func (p *Scheduler) judge(m *machine, failed bool) {
	if !failed {
		m.sick = max(0, m.sick+math.Log((1-sickOdds)/(1-wellOdds)))
		if m.sick == 0 {
			m.rest = restAtFirst
		}
		return
	}
	m.sick = min(2*sickAt, m.sick+math.Log(sickOdds/wellOdds))
	if m.sick >= sickAt && m.restUntil == 0 {
		m.restUntil = p.now + m.rest
		m.rest = min(2*m.rest, restAtMost)
		p.log("machine %s out: log odds %.1f", m.id, m.sick)
	}
}

// listsRoom tells whether a machine accepts a container by the asks that the list has.
func (p *Scheduler) listsRoom(m *machine, c *container) bool {
	t, k := &p.terms, p.terms.MachineTypes[m.kind]
	return t.ListTracksRequests && m.listAsks.cores+c.ask.Cores <= k.Cores*t.CoresOvercommit &&
		m.listAsks.memory+c.ask.Memory <= k.Memory*t.MemoryOvercommit
}

// traitsOf numbers a container's workload and customer among the traits.
func (p *Scheduler) traitsOf(c *container) [2]int {
	return [2]int{c.ask.WorkloadClass, len(p.terms.WorkloadClasses) + min(c.ask.Tenant, len(p.terms.Tenants))}
}

// weigh is the second sequential test, for a machine that shuns one workload or customer and serves the rest.
// A bid is lost if it has no answer though the machine was heard of, or if it is told "full" with no reason
// where the list has room. One placer sees few such bids at one machine, so what it takes for granted, the
// bar, comes from the whole fleet: the more bids the trait loses beyond the others of its sort, the fewer
// losses tell. Where all lose alike (answers lost on the way, slow starts) a loss says little and the bar
// stays high. Harm: a machine slow to start one workload alone is left to the others for a while.
func (p *Scheduler) weigh(c *container, m *machine, lost bool) {
	for _, k := range p.traitsOf(c) {
		first, last := 0, len(p.terms.WorkloadClasses)
		if k >= last {
			first, last = last, last+len(p.terms.Tenants)
		}
		others := 0.0
		for i := first; i < last; i++ {
			if i != k {
				others += p.traits[i].LossRatio / float64(last-first-1)
			}
		}
		t, d, x := &p.traits[k], &m.doubts[k], math.Log((1-shunOdds)/(1-min(others, shunOdds)))
		t.LossRatio -= t.LossRatio / 32
		if lost {
			t.LossRatio += 1.0 / 32
			x = math.Log(shunOdds / min(max(others, leastLost), shunOdds))
		}
		before := d.now(p.now)
		d.LogOdds, d.AsOf = min(max(0, before+x), 2*sickAt), p.now
		more := min(max(t.LossRatio-others, 0.01), 0.9)
		if t.SuspicionThreshold = math.Log((1 - more) / more); last-first < 2 {
			t.SuspicionThreshold = math.Inf(1)
		}
		if lost && before < t.SuspicionThreshold && d.LogOdds >= t.SuspicionThreshold {
			p.log("machine %s shuns trait %d: log odds %.1f, %.2f lost, others %.2f", m.id, k, d.LogOdds, t.LossRatio, others)
		}
	}
}

// shuns tells whether a container's workload or customer is taken to be shunned. That lifts as doubts fade,
// and for lightly doubted machines as soon as the trait loses no more than others.
func (p *Scheduler) shuns(m *machine, c *container) bool {
	for _, k := range p.traitsOf(c) {
		if d := &m.doubts[k]; d.LogOdds > 0 && d.now(p.now) >= p.traits[k].SuspicionThreshold {
			return true
		}
	}
	return false
}

// probed lets a machine that answers come back on trial: one more failure takes it out.
func (p *Scheduler) probed(e ProbeCompleted) {
	m := p.machines[e.Machine]
	if m == nil {
		return
	}
	since := m.probing
	m.probing = 0
	switch {
	case since < m.started: // it went to an earlier start
	case e.Outcome == OutcomeFinished:
		m.heardAt = p.now
		if m.restUntil > 0 {
			p.readmit(m)
		}
	case m.restUntil > 0:
		m.restUntil = p.now + restAtFirst/2
	case e.Outcome == OutcomeNotSent: // for a want of this placer's own
	default:
		p.judge(m, true)
	}
}

func (p *Scheduler) readmit(m *machine) {
	m.restUntil, m.sick = 0, sickAt-1
	p.log("machine %s back on trial", m.id)
}

// sweep is the timer's work: the list that must be asked for, and machines whose rest is over.
func (p *Scheduler) sweep() {
	p.do(SetTimer{sweepEvery, "sweep"})
	p.letGo()
	if p.watchAt > 0 && p.now >= p.watchAt {
		p.watchAt = 0
		p.do(WatchMachineList{true})
	}
	overdue := map[*machine]bool{}
	for _, c := range p.containers {
		if m := c.at; m != nil && !c.placed && m.heardAt < c.sentAt && p.now-c.sentAt > overdueAt {
			overdue[m] = true
		}
	}
	for _, m := range p.order {
		due := m.restUntil > 0 && p.now >= m.restUntil
		if m.state != MachineServing || m.probing > 0 || !due && (m.restUntil > 0 || !overdue[m]) {
			continue
		}
		if p.terms.ProbesAllowed && p.coldBears(m) {
			m.probing, m.sent = p.now, append(p.recent(m), p.now)
			p.do(Probe{m.id})
		} else if due && !p.terms.ProbesAllowed {
			p.readmit(m)
		}
	}
}

// overdue answers containers whose bid has no outcome though their hard stop is past: no answer hangs on a
// message that may be late or lost. It never acts while time-outs come when they should. The timer is set for
// the first such container; those behind it set it anew.
func (p *Scheduler) overdue() {
	var past []*container
	next := Time(0)
	for _, c := range p.containers {
		switch d := c.ask.Deadline + p.terms.AnswerGrace/2; {
		case c.closed || c.placed || d > p.now+sweepEvery:
		case d <= p.now:
			past = append(past, c)
		case next == 0 || d < next:
			next = d
		}
	}
	if next > 0 && next != p.dueAt {
		p.dueAt = next
		p.do(SetTimer{next - p.now, "due"})
	}
	sort.Slice(past, func(i, j int) bool { return past[i].ask.ID < past[j].ask.ID })
	for _, c := range past {
		p.answer(c)
	}
}

// Explain tells what stands between a container and each machine, as of the last batch: a machine counts
// under the first thing that keeps it from there, the list's word on its room among them. It changes nothing.
func (p *Scheduler) Explain(a PlacementRequest) Explanation {
	x := Explanation{SheddingLoad: p.full > overAsked, FullRatio: p.full}
	if a.WorkloadClass >= len(p.terms.WorkloadClasses) {
		return x
	}
	c := &container{ask: a, workload: &p.terms.WorkloadClasses[a.WorkloadClass], service: p.services[a.Service]}
	if c.service == nil {
		c.service = &service{name: a.Service, held: map[*machine]int{}}
	}
	for _, m := range p.order {
		w, t := c.workload, &p.terms
		if !m.listed || m.state == MachineGone {
			x.Gone++
			continue
		}
		x.Machines++
		k, asks := t.MachineTypes[m.kind], m.listAsks
		if asks.cores < m.asked.cores || asks.memory < m.asked.memory {
			asks = room{max(asks.cores, m.asked.cores), max(asks.memory, m.asked.memory)}
		}
		switch {
		case w.MachineType >= 0 && w.MachineType != m.kind:
			x.WrongMachineType++
		case m.state == MachineDraining:
			x.Draining++
		case m.contract <= 0 || a.Cores > k.Cores*t.CoresOvercommit || a.Memory > k.Memory*t.MemoryOvercommit:
			x.TooSmall++
		case t.ListTracksRequests && asks.cores+a.Cores > k.Cores*t.CoresOvercommit:
			x.InsufficientCores++ // whatever else is held against it, it is full
		case t.ListTracksRequests && asks.memory+a.Memory > k.Memory*t.MemoryOvercommit:
			x.InsufficientMemory++
		case p.now < m.shutUntil:
			x.SelfDraining++
		case !p.spreadHolds(c, m):
			x.SpreadExhausted++
		case !p.coldBears(m):
			x.SlowStartExhausted++
		case m.restUntil > 0:
			x.Ejected++
		case p.shuns(m, c):
			x.Suspected++
		default:
			x.Eligible++
		}
	}
	return x
}

// Snapshot gives what this placer has learned, to be kept for another life of it.
func (p *Scheduler) Snapshot() Snapshot {
	k := Snapshot{TrafficClasses: slices.Clone(p.traits), FullRatio: p.full,
		RejectedWeight: p.missed, SendsKnownSince: p.began}
	for _, m := range p.order {
		k.Machines = append(k.Machines, MachineSnapshot{m.id, m.started, m.sick, m.restUntil, m.rest, m.shutUntil,
			slices.Clone(m.doubts), slices.Clone(p.recent(m))})
	}
	return k
}

// Restore takes what is believed of an earlier life, after the list as last held and before any ask.
// What is told of another start of a machine, or does not fit the terms, is passed over.
func (p *Scheduler) Restore(k Snapshot) {
	if len(k.TrafficClasses) == len(p.traits) {
		p.traits, p.full, p.missed = k.TrafficClasses, k.FullRatio, k.RejectedWeight
	}
	p.began = k.SendsKnownSince
	for _, l := range k.Machines {
		if m := p.machines[l.Machine]; m != nil && m.listed && m.started == l.StartedAt {
			m.sick, m.restUntil, m.rest, m.shutUntil = l.OutlierLogOdds, l.EjectedUntil, max(restAtFirst, l.EjectionTime), l.SelfDrainingUntil
			m.sent = append(l.RecentSends, m.sent...)
			if len(l.FailureEvidence) == len(m.doubts) {
				m.doubts = l.FailureEvidence
			}
		}
	}
}

// pcg is a permuted congruential generator of 64 bits of state (RXS M XS).
type pcg struct{ state uint64 }

func (g *pcg) next() uint64 {
	x := g.state
	g.state = x*6364136223846793005 + 1442695040888963407
	return mix(x)
}

func (g *pcg) float() float64 { return float64(g.next()>>11) / (1 << 53) }

func mix(x uint64) uint64 {
	x = ((x >> ((x >> 59) + 5)) ^ x) * 12605985483714917081
	return x>>43 ^ x
}

// hash is FNV-1a.
func hash(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(s); i++ {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}
