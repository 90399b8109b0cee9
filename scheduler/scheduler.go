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
	virtualBuckets = 3    // draws that the containers of a service share
	minWeightShare = 0.02 // of a contract: the least weight of a machine that is drawn from

	outlierFailureRate = 0.6  // the test's two views of a machine: a sick one fails so many of its bids,
	healthyFailureRate = 0.05 // a well one so many
	ejectionThreshold  = 4.6  // log odds at which it becomes a last resort
	baseEjectionTime   = 2 * Second
	maxEjectionTime    = 8 * Second
	suspicionEjected   = 2 // misgivings about a machine that looks sick

	failingClassLossRate = 0.85        // a machine that shuns a workload or customer loses so many of its bids,
	minLossRate          = 0.02        // one that does not, at least so many
	evidenceDecay        = 20 * Second // the evidence falls to 1/e in that time

	sheddingThreshold   = 0.3        // share of bids without room from which low gain yields
	retryWeight         = 0.5        // of its gain is left to a container that came before
	selfDrainingTime    = 5 * Second // a machine that closes down stays out so long after its last word of it
	sheddingGain        = 4          // half the gain on a fleet a quarter full yields every second time
	maintenanceInterval = Second / 4
	silenceBeforeProbe  = Second / 2        // a bid so old on a machine not heard of since calls for a probe
	pollSpacing         = 100 * Millisecond // of the list's time for each placer: first calls spread over all turns
	deadlineMargin      = 2 * Millisecond   // kept from every time that a rule names
)

// Scheduler is one instance. Machines are dropped once gone and empty, services and containers with
// their last bid.
type Scheduler struct {
	config               Config
	random               pcg
	now, sendsKnownSince Time // from began on it is known what was sent to cold machines
	actions              []Action
	machines             map[MachineID]*machine
	machineOrder         []*machine // by id, so that equal events are decided alike
	services             map[string]*service
	containers           map[ContainerID]*container
	tenantCores          []float64      // cores asked by own containers, by customer
	trafficClasses       []TrafficClass // the workloads, then the customers, then no customer
	fullRatio            float64        // moving share of bids that found no room, and what they would have gained
	rejectedWeight       float64
	pollAt               Time // when the list is to be asked for again; 0: not due
	pollDelay            Time
	deadlineTimerAt      Time // the timer set last for a hard stop
}

type machine struct {
	id                MachineID
	hash              uint64
	listed            bool // zone, kind and cell are known
	zone              int
	rackGroup         int
	machineType       int
	state             MachineState
	startedAt         Time
	capacity          float64
	reservations      int // bids and containers without an outcome
	requested         resources
	used              resources // by own containers, as far as told
	listRequested     resources // by everybody, as the list has it
	recentSends       []Time    // bids and probes of the last cold window, emptied as they leave it
	excludedBy        int       // containers out of whose draw it is
	outlierLogOdds    float64
	ejectedUntil      Time // a last resort until it answers a probe from then on; 0: it is not
	ejectionTime      Time
	probeSentAt       Time              // since when a probe is out; 0: none is
	lastHeardAt       Time              // last sign of life
	selfDrainingUntil Time              // out of every draw on its own word
	failureEvidence   []FailureEvidence // by trait
}

func (d *FailureEvidence) decayed(now Time) float64 {
	return d.LogOdds * math.Exp(-float64(now-d.AsOf)/float64(evidenceDecay))
}

type resources struct{ cores, memory float64 }

type service struct {
	name         string
	hash         uint64
	containers   int
	reservations map[*machine]int
}

type container struct {
	request    PlacementRequest
	class      *WorkloadClass
	service    *service
	attempts   int
	machine    *machine // of the bid that is out, or where it runs
	sentAt     Time
	accepted   bool
	closed     bool     // answered or withdrawn: only an outcome is awaited
	firstRunOn *machine // of the first bid that may have run
	firstRunAt Time
	excluded   []*machine            // out of this container's draw
	failures   []unattributedFailure // errors that nobody is held to yet
	used       resources
}

// unattributedFailure is an error that a container got: the machine's fault or its own.
type unattributedFailure struct {
	machine *machine
	sentAt  Time
	silent  bool // nothing was heard of the machine since the bid
}

func New(t Config) *Scheduler {
	return &Scheduler{config: t, random: pcg{t.Seed}, machines: map[MachineID]*machine{},
		services: map[string]*service{}, containers: map[ContainerID]*container{},
		tenantCores:    make([]float64, len(t.Tenants)),
		trafficClasses: make([]TrafficClass, len(t.WorkloadClasses)+len(t.Tenants)+1), sendsKnownSince: -1}
}

// Handle takes what happened by now and returns what is to be done.
func (p *Scheduler) Handle(now Time, events []Event) []Action {
	p.now, p.actions = now, nil
	var due []*container // placed once all that came is known: what is found running counts before any bid
	woke := false
	if p.sendsKnownSince < 0 {
		p.sendsKnownSince = now
		p.emit(SetTimer{p.jitter(maintenanceInterval), "sweep"})
		p.pollDelay = min(pollSpacing*Time(max(1, p.config.SchedulerCount)), p.config.ResyncInterval/2)
		if p.config.ListOnRequest {
			p.pollAt = now + p.jitter(p.pollDelay)
		}
	}
	for _, e := range events {
		switch e := e.(type) {
		case MachineListUpdate:
			p.applyMachineList(e)
		case RequestReceived:
			if c := p.addContainer(e.PlacementRequest); c != nil {
				due = append(due, c)
			} else {
				p.emit(Fail{e.ID})
			}
		case ContainerAdopted:
			if c := p.addContainer(e.PlacementRequest); c != nil {
				c.attempts, c.accepted = 1, true
				p.reserve(c, p.findOrAddMachine(e.Machine))
			}
		case AttemptAccepted:
			p.attemptAccepted(e)
		case UsageReported:
			p.usageReported(e)
		case AttemptEnded:
			if c := p.attemptEnded(e); c != nil {
				due = append(due, c)
			}
		case ContainerRemoved:
			if c := p.containers[e.ID]; c != nil {
				c.closed = true
				p.removeIfClosed(c)
			}
		case ProbeCompleted:
			p.probeCompleted(e)
		case TimerFired:
			if e.Name == "sweep" {
				p.maintain()
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
		p.checkDeadlines()
	}
	return p.actions
}

func (p *Scheduler) emit(a Action) { p.actions = append(p.actions, a) }

func (p *Scheduler) log(format string, a ...any) { p.emit(Log{fmt.Sprintf(format, a...)}) }

// findOrAddMachine finds a machine by its id, or notes one that no list has named yet.
func (p *Scheduler) findOrAddMachine(id MachineID) *machine {
	m := p.machines[id]
	if m == nil {
		m = &machine{id: id, hash: hash(string(id)), state: MachineGone, ejectionTime: baseEjectionTime,
			failureEvidence: make([]FailureEvidence, len(p.trafficClasses))}
		p.machines[id] = m
		i := sort.Search(len(p.machineOrder), func(i int) bool { return p.machineOrder[i].id >= id })
		p.machineOrder = append(p.machineOrder, nil)
		copy(p.machineOrder[i+1:], p.machineOrder[i:])
		p.machineOrder[i] = m
	}
	return m
}

// jitter is a moment in a span by chance, so that placers that start or fail together do not act together.
func (p *Scheduler) jitter(span Time) Time {
	return Millisecond + Time(float64(span)*p.random.float64())
}

// applyMachineList applies a list. A failed call leaves the old list in force and is repeated, since the notice does
// not say whether the watch stands. One service answers all placers, and turns calls away when too many
// wait: so each comes at a moment of its own, over twice the span after each failure. That also guards a list
// service that returns after it was away. Harm: a lone placer hears a little later. What a machine reports of
// itself is no answer of the list: a call that is due stays due.
func (p *Scheduler) applyMachineList(e MachineListUpdate) {
	if e.Mode == UpdateFailed {
		p.pollAt = p.now + p.jitter(p.pollDelay)
		p.pollDelay = min(2*p.pollDelay, p.config.ResyncInterval)
		return
	}
	if e.Mode != RestoredSnapshot && e.Mode != SelfReported {
		p.pollAt = 0
		p.pollDelay = min(pollSpacing*Time(max(1, p.config.SchedulerCount)), p.config.ResyncInterval/2)
	}
	if e.Mode != DeltaUpdate && e.Mode != SelfReported {
		for _, m := range p.machineOrder {
			m.state = MachineGone
		}
	}
	for _, l := range e.Entries {
		m := p.findOrAddMachine(l.Machine)
		if l.MachineType >= len(p.config.MachineTypes) {
			p.log("machine %s is of unknown kind %d: not used", m.id, l.MachineType)
			m.state = MachineGone
			continue
		}
		if m.startedAt != l.StartedAt || !m.listed {
			m.startedAt, m.outlierLogOdds, m.ejectedUntil, m.ejectionTime, m.selfDrainingUntil = l.StartedAt, 0, 0, baseEjectionTime, 0
			clear(m.failureEvidence)
			// What was sent from just before it on may have reached this start.
			for len(m.recentSends) > 0 && m.recentSends[0] < l.StartedAt-p.config.SlowStartWindow/8 {
				m.recentSends = m.recentSends[1:]
			}
		}
		m.listed, m.zone, m.rackGroup, m.machineType, m.state = true, l.Zone, l.RackGroup, l.MachineType, l.State
		k := p.config.MachineTypes[l.MachineType]
		m.capacity = min(k.Cores/p.config.MeanCores, k.Memory/p.config.MeanMemory)
		m.listRequested = resources{k.Cores - l.FreeCores, k.Memory - l.FreeMemory}
	}
	p.evictGoneMachines()
}

// evictGoneMachines drops machines that are gone once nothing speaks of them: no container that is held there or left
// them, no send that would count if they came back with the same start.
func (p *Scheduler) evictGoneMachines() {
	for i := len(p.machineOrder) - 1; i >= 0; i-- {
		if m := p.machineOrder[i]; m.state == MachineGone && m.reservations+m.excludedBy == 0 && len(p.trimmedSends(m)) == 0 {
			delete(p.machines, m.id)
			p.machineOrder = append(p.machineOrder[:i], p.machineOrder[i+1:]...)
		}
	}
}

// addContainer notes a container and its service; nil for one of a workload that the terms do not have.
func (p *Scheduler) addContainer(a PlacementRequest) *container {
	if a.WorkloadClass >= len(p.config.WorkloadClasses) {
		p.log("container %s is of unknown workload %d", a.ID, a.WorkloadClass)
		return nil
	}
	s := p.services[a.Service]
	if s == nil {
		s = &service{name: a.Service, hash: hash(a.Service), reservations: map[*machine]int{}}
		p.services[a.Service] = s
	}
	c := &container{request: a, class: &p.config.WorkloadClasses[a.WorkloadClass], service: s}
	s.containers++
	p.containers[a.ID] = c
	return c
}

// reserve counts a bid or a running container where it is; release takes it off again.
func (p *Scheduler) reserve(c *container, m *machine) {
	c.machine, c.sentAt, c.used = m, p.now, resources{c.request.Cores, c.request.Memory}
	c.service.reservations[m]++
	m.reservations++
	p.countTenantCores(c, 1)
	m.requested.add(c.used, 1)
	m.used.add(c.used, 1)
}

func (p *Scheduler) release(c *container) {
	m := c.machine
	if c.service.reservations[m]--; c.service.reservations[m] == 0 {
		delete(c.service.reservations, m)
	}
	m.reservations--
	p.countTenantCores(c, -1)
	m.requested.add(resources{c.request.Cores, c.request.Memory}, -1)
	m.used.add(c.used, -1)
	if m.reservations == 0 {
		m.requested, m.used = resources{}, resources{}
	}
	c.machine = nil
}

func (p *Scheduler) countTenantCores(c *container, sign float64) {
	if i := c.request.Tenant; i < len(p.tenantCores) {
		p.tenantCores[i] += sign * c.request.Cores
	}
}

func (r *resources) add(o resources, sign float64) {
	r.cores += sign * o.cores
	r.memory += sign * o.memory
}

// removeIfClosed drops a container that is closed and has no bid out.
func (p *Scheduler) removeIfClosed(c *container) {
	if !c.closed || c.machine != nil {
		return
	}
	delete(p.containers, c.request.ID)
	for _, m := range c.excluded {
		m.excludedBy--
	}
	if c.service.containers--; c.service.containers == 0 {
		delete(p.services, c.service.name)
	}
}

// place draws a machine for a container and bids, or answers its owner at once.
func (p *Scheduler) place(c *container) {
	var m *machine
	if c.attempts < p.config.MaxAttempts && p.now+deadlineMargin < c.request.Deadline && !p.shed(c) {
		m = p.draw(c)
	}
	if m == nil {
		p.respond(c)
		return
	}
	m.recentSends = append(p.trimmedSends(m), p.now)
	c.attempts++
	p.reserve(c, m)
	p.emit(StartAttempt{c.request.ID, m.id, p.attemptTimeout(c)})
}

// shed tells whether a container makes way for others: while more than sheddingThreshold of the bids find no room,
// by chance, the more so the fuller the fleet and the less it gains than those that found none.
func (p *Scheduler) shed(c *container) bool {
	return p.fullRatio > sheddingThreshold && p.random.float64() < sheddingGain*p.fullRatio*(1-p.priorityWeight(c)*p.fullRatio/p.rejectedWeight)
}

// priorityWeight is what a container earns: less if it came before, as its start in time is gone, and little for what
// its customer holds here beyond its part of all shares, measured on what this placer's own containers ask.
func (p *Scheduler) priorityWeight(c *container) float64 {
	g := c.class.PriorityWeight
	if c.request.ClientRetry {
		g *= retryWeight
	}
	if i := c.request.Tenant; i < len(p.tenantCores) && p.tenantCores[i] > 0 {
		var quota, held float64
		for k, t := range p.config.Tenants {
			quota += t.QuotaCores
			held += p.tenantCores[k]
		}
		if r := p.config.Tenants[i].QuotaCores / quota / (p.tenantCores[i] / held); quota > 0 && r < 1 {
			g *= r + (1-r)*p.config.OverQuotaWeight
		}
	}
	return g
}

// respond ends a container: a pushback where a repeat does no harm, else a give-up.
func (p *Scheduler) respond(c *container) {
	w := c.class
	if c.machine != nil && c.firstRunOn == nil {
		c.firstRunOn = c.machine
	}
	if c.firstRunOn == nil || w.Idempotency == Idempotent || w.Idempotency == IdempotentWithKey && w.DedupScope == ScopeFleet {
		p.emit(Reject{ID: c.request.ID})
	} else {
		p.emit(Fail{c.request.ID})
	}
	if c.closed = true; len(c.failures) == 1 {
		p.attributeFailures(c)
	}
	p.removeIfClosed(c)
}

// attributeFailures holds machines to the errors that a container got there. It comes once the container ran elsewhere,
// or is closed with a single error: one that erred at each of several machines is taken to be at fault
// itself and speaks against none of them. Harm: where most machines are at fault it takes one more
// container to tell.
func (p *Scheduler) attributeFailures(c *container) {
	for _, e := range c.failures {
		if e.sentAt < e.machine.startedAt {
			continue // it was another start
		}
		if e.silent {
			p.recordOutcome(e.machine, true)
		} else {
			p.recordClassOutcome(c, e.machine, true)
		}
	}
	c.failures = nil
}

// draw picks a machine at random among those that pass the filters, by honored capacity. The draw is
// indexed: chance picks one of a service's few lots, and each lot, hashed from service and machine, falls on
// a machine with odds proportional to its capacity. So the containers of a service meet again on few
// machines, which hold their program, whichever placer sends them; no weight follows placement.
func (p *Scheduler) draw(c *container) *machine {
	lot := c.service.hash + p.random.next()%virtualBuckets
	var best *machine
	least, rank := math.Inf(1), suspicionEjected+1
	for _, m := range p.machineOrder {
		r := p.suspicionLevel(c, m)
		if r > rank || !p.eligible(c, m) {
			continue
		}
		x, weight := pcg{mix(lot) ^ m.hash}, p.honoredCapacity(m)
		if share := p.slowStartShare(m); share < 1 {
			x, weight = pcg{mix(c.service.hash) ^ m.hash}, weight/share
		}
		if at := -math.Log(1-x.float64()) / weight; r < rank || at < least {
			best, least, rank = m, at, r
		}
	}
	return best
}

// suspicionLevel are the two tests' verdicts: the draw is among the machines with the least of them. So one that
// looks sick, or shuns the container, is drawn only where no other may be: with all of them looking sick the
// fault is this placer's own link or list, and an empty draw would help nobody.
func (p *Scheduler) suspicionLevel(c *container, m *machine) int {
	switch {
	case m.ejectedUntil > 0:
		return suspicionEjected
	case p.suspectedForClass(m, c):
		return suspicionEjected - 1
	}
	return 0
}

// honoredCapacity is the contract less the extraneous load: what own containers are told to use beyond all that the
// machine was asked for.
func (p *Scheduler) honoredCapacity(m *machine) float64 {
	load := 0.0
	if t := &p.config; t.UsageReports && t.ListTracksRequests {
		cores := max(m.listRequested.cores, m.requested.cores)
		memory := max(m.listRequested.memory, m.requested.memory)
		load = max(0, (m.used.cores-cores)/t.MeanCores, (m.used.memory-memory)/t.MeanMemory)
	}
	return max(m.capacity-load, minWeightShare*m.capacity)
}

// eligible holds the filters that come before the draw.
func (p *Scheduler) eligible(c *container, m *machine) bool {
	w, t := c.class, &p.config
	if m.state != MachineServing || m.capacity <= 0 || w.MachineType >= 0 && w.MachineType != m.machineType {
		return false
	}
	if k := t.MachineTypes[m.machineType]; c.request.Cores > k.Cores*t.CoresOvercommit || c.request.Memory > k.Memory*t.MemoryOvercommit {
		return false
	}
	for _, l := range c.excluded {
		if l == m {
			return false
		}
	}
	if p.now < m.selfDrainingUntil {
		return false
	}
	if c.firstRunOn != nil {
		switch w.Idempotency {
		case AtMostOnce:
			return false
		case IdempotentWithKey:
			if !c.firstRunOn.sharesScope(m, w.DedupScope) || p.now+deadlineMargin >= c.firstRunAt+w.DedupWindow {
				return false
			}
		}
	}
	return p.spreadAllows(c, m) && p.slowStartAllows(m)
}

// sharesScope tells whether two machines lie in one place; a machine that no list has named lies nowhere known.
func (m *machine) sharesScope(o *machine, place Scope) bool {
	switch place {
	case ScopeFleet:
		return true
	case ScopeZone:
		return m.listed && o.listed && m.zone == o.zone
	case ScopeRackGroup:
		return m.listed && o.listed && m.rackGroup == o.rackGroup
	}
	return m == o
}

// spreadAllows counts what the service has in the machine's place; what lies nowhere known counts everywhere.
func (p *Scheduler) spreadAllows(c *container, m *machine) bool {
	w := c.class
	if w.SpreadScope == ScopeNone {
		return true
	}
	n := 1
	for o, held := range c.service.reservations {
		if m.sharesScope(o, w.SpreadScope) || !o.listed && w.SpreadScope != ScopeMachine {
			n += held
		}
	}
	return n <= w.MaxPerScope
}

func (p *Scheduler) inSlowStart(m *machine) bool {
	return m.startedAt > 0 && p.now < m.startedAt+p.config.SlowStartPeriod
}

// slowStartShare is the part of all placers that may send to a cold machine in a window, where its budget does not
// reach all of them. Theirs are then the odds of the rest too: over all placers a new machine is drawn as
// often as a warm one, in place of hardly ever. It has one lot, to keep the few programs it gets.
func (p *Scheduler) slowStartShare(m *machine) float64 {
	if p.config.SlowStartBudget >= p.config.SchedulerCount || !p.inSlowStart(m) {
		return 1
	}
	return float64(max(1, p.config.SlowStartBudget)) / float64(p.config.SchedulerCount)
}

// slowStartAllows keeps to this placer's part of what a cold machine bears from all of them; what does not divide
// goes to other placers at each machine. For a window after its own start a placer does not know what it
// sent in an earlier life, and sends nothing.
func (p *Scheduler) slowStartAllows(m *machine) bool {
	if !p.inSlowStart(m) {
		return true
	}
	all := max(1, p.config.SchedulerCount)
	part := p.config.SlowStartBudget / all
	if (p.config.SchedulerIndex+int(m.hash%uint64(all)))%all < p.config.SlowStartBudget%all {
		part++
	}
	return p.now >= p.sendsKnownSince+p.slowStartWindow() && len(p.trimmedSends(m)) < part
}

// slowStartWindow is the cold one and an eighth for the way. What is sent counts in it whether or not the machine is
// known to be cold: it may have started since, unheard of.
func (p *Scheduler) slowStartWindow() Time {
	return p.config.SlowStartWindow + p.config.SlowStartWindow/8
}

func (p *Scheduler) trimmedSends(m *machine) []Time {
	for len(m.recentSends) > 0 && m.recentSends[0] <= p.now-p.slowStartWindow() {
		m.recentSends = m.recentSends[1:]
	}
	return m.recentSends
}

// attemptTimeout is a bid's time-out: half the hard stop, to the end where nothing could follow.
func (p *Scheduler) attemptTimeout(c *container) Time {
	left := c.request.Deadline - p.now
	if c.class.Idempotency == AtMostOnce || c.attempts >= p.config.MaxAttempts {
		return left
	}
	return min(left, c.class.PlacementTimeout/2)
}

func (p *Scheduler) attemptAccepted(e AttemptAccepted) {
	c := p.containers[e.ID]
	if c == nil || c.machine == nil {
		return
	}
	c.accepted, c.machine.lastHeardAt = true, p.now
	p.attributeFailures(c)
	p.fullRatio -= p.fullRatio / 32
	p.rejectedWeight -= p.rejectedWeight / 32
	p.recordOutcome(c.machine, false)
	p.recordClassOutcome(c, c.machine, false)
}

func (p *Scheduler) usageReported(e UsageReported) {
	c := p.containers[e.ID]
	if c == nil || c.machine == nil {
		return
	}
	c.machine.lastHeardAt = p.now
	c.machine.used.add(c.used, -1)
	switch e.Metric {
	case MetricCoresUsed:
		c.used.cores = e.Value
	case MetricMemoryUsed:
		c.used.memory = e.Value
	}
	c.machine.used.add(c.used, 1)
}

// attemptEnded takes in the one outcome of a bid and returns its container where that goes on.
func (p *Scheduler) attemptEnded(e AttemptEnded) *container {
	c := p.containers[e.ID]
	if c == nil || c.machine == nil {
		return nil
	}
	m, placed := c.machine, c.accepted
	c.accepted = false
	silent := m.lastHeardAt < c.sentAt
	p.release(c)
	switch o := e.Outcome; {
	case c.sentAt < m.startedAt: // it went to an earlier start, and tells nothing of this one
	case o == OutcomeFull:
		m.lastHeardAt = p.now
		if e.Reason == ReasonNoCores || e.Reason == ReasonNoMemory {
			p.fullRatio += (1 - p.fullRatio) / 32
			p.rejectedWeight += (p.priorityWeight(c) - p.rejectedWeight) / 32
		}
		p.recordOutcome(m, false)
		if e.Reason == ReasonNone && p.listHasRoom(m, c) {
			p.recordClassOutcome(c, m, true)
		}
	case o == OutcomeConnectFailed:
		p.recordOutcome(m, true)
	case o == OutcomeErrored && !placed:
		c.failures = append(c.failures, unattributedFailure{m, c.sentAt, silent})
	case o == OutcomeErrored || o == OutcomeTimedOut || o == OutcomeLost:
		if silent && !placed || o == OutcomeLost && e.Reason == ReasonNone {
			p.recordOutcome(m, true)
		} else if o != OutcomeLost && !placed {
			p.recordClassOutcome(c, m, true)
		}
	case o == OutcomeFinished:
		m.lastHeardAt = p.now
	}
	if e.Outcome != OutcomeFull && e.Outcome != OutcomeConnectFailed && e.Outcome != OutcomeNotSent && c.firstRunOn == nil {
		c.firstRunOn, c.firstRunAt = m, c.sentAt
	}
	// A machine's own word comes before the list's: one that sends containers away, or is "not here" to one
	// that stands nowhere, is closing down. This also covers lists that are late or out of reach; it keeps
	// out too long a machine that did so to one container only.
	if e.Reason == ReasonDrained || e.Reason == ReasonWrongMachine && c.firstRunOn == nil && !c.request.ClientRetry {
		p.markSelfDraining(m)
	}
	c.excluded = append(c.excluded, m)
	m.excludedBy++
	if e.Final || c.closed { // a yes that crossed a withdrawal is not over: its answer is still owed
		c.closed = true
		p.removeIfClosed(c)
		return nil
	}
	if e.Outcome == OutcomeFinished { // its own time has passed before a yes: a further bid would start it for nothing
		p.respond(c)
		return nil
	}
	return c
}

// markSelfDraining keeps a machine that closes down out of every draw for a while, on its own word.
func (p *Scheduler) markSelfDraining(m *machine) {
	if p.now >= m.selfDrainingUntil {
		p.log("machine %s closing: out %d ms", m.id, selfDrainingTime/Millisecond)
	}
	m.selfDrainingUntil = p.now + selfDrainingTime
}

// recordOutcome is the sequential test on a machine's outcomes: each moves the log odds of its being sick, never
// below even, and past ejectionThreshold it is a last resort. A refusal is an answer and speaks for the machine.
func (p *Scheduler) recordOutcome(m *machine, failed bool) {
	if !failed {
		m.outlierLogOdds = max(0, m.outlierLogOdds+math.Log((1-outlierFailureRate)/(1-healthyFailureRate)))
		if m.outlierLogOdds == 0 {
			m.ejectionTime = baseEjectionTime
		}
		return
	}
	m.outlierLogOdds = min(2*ejectionThreshold, m.outlierLogOdds+math.Log(outlierFailureRate/healthyFailureRate))
	if m.outlierLogOdds >= ejectionThreshold && m.ejectedUntil == 0 {
		m.ejectedUntil = p.now + m.ejectionTime
		m.ejectionTime = min(2*m.ejectionTime, maxEjectionTime)
		p.log("machine %s out: log odds %.1f", m.id, m.outlierLogOdds)
	}
}

// listHasRoom tells whether a machine accepts a container by the asks that the list has.
func (p *Scheduler) listHasRoom(m *machine, c *container) bool {
	t, k := &p.config, p.config.MachineTypes[m.machineType]
	return t.ListTracksRequests && m.listRequested.cores+c.request.Cores <= k.Cores*t.CoresOvercommit &&
		m.listRequested.memory+c.request.Memory <= k.Memory*t.MemoryOvercommit
}

// trafficClassesOf numbers a container's workload and customer among the traits.
func (p *Scheduler) trafficClassesOf(c *container) [2]int {
	return [2]int{c.request.WorkloadClass, len(p.config.WorkloadClasses) + min(c.request.Tenant, len(p.config.Tenants))}
}

// recordClassOutcome is the second sequential test, for a machine that shuns one workload or customer and serves the rest.
// A bid is lost if it has no answer though the machine was heard of, or if it is told "full" with no reason
// where the list has room. One placer sees few such bids at one machine, so what it takes for granted, the
// bar, comes from the whole fleet: the more bids the trait loses beyond the others of its sort, the fewer
// losses tell. Where all lose alike (answers lost on the way, slow starts) a loss says little and the bar
// stays high. Harm: a machine slow to start one workload alone is left to the others for a while.
func (p *Scheduler) recordClassOutcome(c *container, m *machine, lost bool) {
	for _, k := range p.trafficClassesOf(c) {
		first, last := 0, len(p.config.WorkloadClasses)
		if k >= last {
			first, last = last, last+len(p.config.Tenants)
		}
		others := 0.0
		for i := first; i < last; i++ {
			if i != k {
				others += p.trafficClasses[i].LossRatio / float64(last-first-1)
			}
		}
		t, d, x := &p.trafficClasses[k], &m.failureEvidence[k], math.Log((1-failingClassLossRate)/(1-min(others, failingClassLossRate)))
		t.LossRatio -= t.LossRatio / 32
		if lost {
			t.LossRatio += 1.0 / 32
			x = math.Log(failingClassLossRate / min(max(others, minLossRate), failingClassLossRate))
		}
		before := d.decayed(p.now)
		d.LogOdds, d.AsOf = min(max(0, before+x), 2*ejectionThreshold), p.now
		more := min(max(t.LossRatio-others, 0.01), 0.9)
		if t.SuspicionThreshold = math.Log((1 - more) / more); last-first < 2 {
			t.SuspicionThreshold = math.Inf(1)
		}
		if lost && before < t.SuspicionThreshold && d.LogOdds >= t.SuspicionThreshold {
			p.log("machine %s shuns trait %d: log odds %.1f, %.2f lost, others %.2f", m.id, k, d.LogOdds, t.LossRatio, others)
		}
	}
}

// suspectedForClass tells whether a container's workload or customer is taken to be shunned. That lifts as doubts fade,
// and for lightly doubted machines as soon as the trait loses no more than others.
func (p *Scheduler) suspectedForClass(m *machine, c *container) bool {
	for _, k := range p.trafficClassesOf(c) {
		if d := &m.failureEvidence[k]; d.LogOdds > 0 && d.decayed(p.now) >= p.trafficClasses[k].SuspicionThreshold {
			return true
		}
	}
	return false
}

// probeCompleted lets a machine that answers come back on trial: one more failure takes it out.
func (p *Scheduler) probeCompleted(e ProbeCompleted) {
	m := p.machines[e.Machine]
	if m == nil {
		return
	}
	since := m.probeSentAt
	m.probeSentAt = 0
	switch {
	case since < m.startedAt: // it went to an earlier start
	case e.Outcome == OutcomeFinished:
		m.lastHeardAt = p.now
		if m.ejectedUntil > 0 {
			p.readmit(m)
		}
	case m.ejectedUntil > 0:
		m.ejectedUntil = p.now + baseEjectionTime/2
	case e.Outcome == OutcomeNotSent: // for a want of this placer's own
	default:
		p.recordOutcome(m, true)
	}
}

func (p *Scheduler) readmit(m *machine) {
	m.ejectedUntil, m.outlierLogOdds = 0, ejectionThreshold-1
	p.log("machine %s back on trial", m.id)
}

// maintain is the timer's work: the list that must be asked for, and machines whose rest is over.
func (p *Scheduler) maintain() {
	p.emit(SetTimer{maintenanceInterval, "sweep"})
	p.evictGoneMachines()
	if p.pollAt > 0 && p.now >= p.pollAt {
		p.pollAt = 0
		p.emit(WatchMachineList{true})
	}
	overdue := map[*machine]bool{}
	for _, c := range p.containers {
		if m := c.machine; m != nil && !c.accepted && m.lastHeardAt < c.sentAt && p.now-c.sentAt > silenceBeforeProbe {
			overdue[m] = true
		}
	}
	for _, m := range p.machineOrder {
		due := m.ejectedUntil > 0 && p.now >= m.ejectedUntil
		if m.state != MachineServing || m.probeSentAt > 0 || !due && (m.ejectedUntil > 0 || !overdue[m]) {
			continue
		}
		if p.config.ProbesAllowed && p.slowStartAllows(m) {
			m.probeSentAt, m.recentSends = p.now, append(p.trimmedSends(m), p.now)
			p.emit(Probe{m.id})
		} else if due && !p.config.ProbesAllowed {
			p.readmit(m)
		}
	}
}

// checkDeadlines answers containers whose bid has no outcome though their hard stop is past: no answer hangs on a
// message that may be late or lost. It never acts while time-outs come when they should. The timer is set for
// the first such container; those behind it set it anew.
func (p *Scheduler) checkDeadlines() {
	var past []*container
	next := Time(0)
	for _, c := range p.containers {
		switch d := c.request.Deadline + p.config.AnswerGrace/2; {
		case c.closed || c.accepted || d > p.now+maintenanceInterval:
		case d <= p.now:
			past = append(past, c)
		case next == 0 || d < next:
			next = d
		}
	}
	if next > 0 && next != p.deadlineTimerAt {
		p.deadlineTimerAt = next
		p.emit(SetTimer{next - p.now, "due"})
	}
	sort.Slice(past, func(i, j int) bool { return past[i].request.ID < past[j].request.ID })
	for _, c := range past {
		p.respond(c)
	}
}

// Explain tells what stands between a container and each machine, as of the last batch: a machine counts
// under the first thing that keeps it from there, the list's word on its room among them. It changes nothing.
func (p *Scheduler) Explain(a PlacementRequest) Explanation {
	x := Explanation{SheddingLoad: p.fullRatio > sheddingThreshold, FullRatio: p.fullRatio}
	if a.WorkloadClass >= len(p.config.WorkloadClasses) {
		return x
	}
	c := &container{request: a, class: &p.config.WorkloadClasses[a.WorkloadClass], service: p.services[a.Service]}
	if c.service == nil {
		c.service = &service{name: a.Service, reservations: map[*machine]int{}}
	}
	for _, m := range p.machineOrder {
		w, t := c.class, &p.config
		if !m.listed || m.state == MachineGone {
			x.Gone++
			continue
		}
		x.Machines++
		k, asks := t.MachineTypes[m.machineType], m.listRequested
		if asks.cores < m.requested.cores || asks.memory < m.requested.memory {
			asks = resources{max(asks.cores, m.requested.cores), max(asks.memory, m.requested.memory)}
		}
		switch {
		case w.MachineType >= 0 && w.MachineType != m.machineType:
			x.WrongMachineType++
		case m.state == MachineDraining:
			x.Draining++
		case m.capacity <= 0 || a.Cores > k.Cores*t.CoresOvercommit || a.Memory > k.Memory*t.MemoryOvercommit:
			x.TooSmall++
		case t.ListTracksRequests && asks.cores+a.Cores > k.Cores*t.CoresOvercommit:
			x.InsufficientCores++ // whatever else is held against it, it is full
		case t.ListTracksRequests && asks.memory+a.Memory > k.Memory*t.MemoryOvercommit:
			x.InsufficientMemory++
		case p.now < m.selfDrainingUntil:
			x.SelfDraining++
		case !p.spreadAllows(c, m):
			x.SpreadExhausted++
		case !p.slowStartAllows(m):
			x.SlowStartExhausted++
		case m.ejectedUntil > 0:
			x.Ejected++
		case p.suspectedForClass(m, c):
			x.Suspected++
		default:
			x.Eligible++
		}
	}
	return x
}

// Snapshot gives what this placer has learned, to be kept for another life of it.
func (p *Scheduler) Snapshot() Snapshot {
	k := Snapshot{TrafficClasses: slices.Clone(p.trafficClasses), FullRatio: p.fullRatio,
		RejectedWeight: p.rejectedWeight, SendsKnownSince: p.sendsKnownSince}
	for _, m := range p.machineOrder {
		k.Machines = append(k.Machines, MachineSnapshot{m.id, m.startedAt, m.outlierLogOdds, m.ejectedUntil, m.ejectionTime, m.selfDrainingUntil,
			slices.Clone(m.failureEvidence), slices.Clone(p.trimmedSends(m))})
	}
	return k
}

// Restore takes what is believed of an earlier life, after the list as last held and before any ask.
// What is told of another start of a machine, or does not fit the terms, is passed over.
func (p *Scheduler) Restore(k Snapshot) {
	if len(k.TrafficClasses) == len(p.trafficClasses) {
		p.trafficClasses, p.fullRatio, p.rejectedWeight = k.TrafficClasses, k.FullRatio, k.RejectedWeight
	}
	p.sendsKnownSince = k.SendsKnownSince
	for _, l := range k.Machines {
		if m := p.machines[l.Machine]; m != nil && m.listed && m.startedAt == l.StartedAt {
			m.outlierLogOdds, m.ejectedUntil, m.ejectionTime, m.selfDrainingUntil = l.OutlierLogOdds, l.EjectedUntil, max(baseEjectionTime, l.EjectionTime), l.SelfDrainingUntil
			m.recentSends = append(l.RecentSends, m.recentSends...)
			if len(l.FailureEvidence) == len(m.failureEvidence) {
				m.failureEvidence = l.FailureEvidence
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

func (g *pcg) float64() float64 { return float64(g.next()>>11) / (1 << 53) }

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
