package scheduler

import (
	"fmt"
	"slices"
)

// random is SplitMix64: the sequences must not depend on the scheduler's own generator.
type random struct{ state uint64 }

func (r *random) next() uint64 {
	r.state += 0x9e3779b97f4a7c15
	x := r.state
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (r *random) below(n int) int            { return int(r.next() % uint64(n)) }
func (r *random) float() float64             { return float64(r.next()>>11) / (1 << 53) }
func (r *random) chance(p float64) bool      { return r.float() < p }
func (r *random) span(least, most Time) Time { return least + Time(r.float()*float64(most-least)) }

func pick[T any](r *random, from ...T) T { return from[r.below(len(from))] }

// simulatedFault is how a simulated machine treats attempts.
type simulatedFault uint8

const (
	healthy simulatedFault = iota
	unreachable
	silent
	erroring
	failsOneClass  // no answer to one workload class
	failsOneTenant // "full" without a reason to one tenant
	resetting      // accepts, then loses its containers
	drainingItself // refuses and sends away, before the machine list has it
	refusing       // always full
	faults
)

// sequenceOptions say what a sequence is about.
type sequenceOptions struct {
	config    Config
	machines  int
	services  int
	arrival   Time    // mean time between requests
	size      float64 // mean cores of a request
	runtime   Time    // mean
	faults    []simulatedFault
	faulty    float64 // part of the machines with a fault
	lost      float64 // part of the attempts without any outcome
	churn     Time    // mean time between changes of the fleet
	restarts  bool    // of the scheduler
	invalid   bool    // invalid events too
	retries   float64 // part of the rejected requests that come again
	listFails float64 // part of the polls
	oneClass  bool    // the machines fail the same class

	selfReports bool // machines report their starts themselves
}

// simulatedWorld answers the scheduler's actions.
type simulatedWorld struct {
	*sequenceOptions
	random      *random
	digest      *digest
	scheduler   *Scheduler
	now         Time
	queue       []scheduled
	scheduled   int
	machines    []*simulatedMachine
	byID        map[MachineID]*simulatedMachine
	containers  map[ContainerID]*simulatedContainer
	ids         []ContainerID // of all containers so far
	version     int64
	incarnation int // of the scheduler; attempts and timers of earlier ones are void
}

// scheduled is something that happens at a time; besides returning events it may change the world.
type scheduled struct {
	at     Time
	number int
	run    func() []Event
}

type simulatedMachine struct {
	entry         MachineEntry
	fault         simulatedFault
	class, tenant int // that it fails
	used          float64
	memory        float64
}

type simulatedContainer struct {
	request PlacementRequest
	attempt int
	at      *simulatedMachine
	running bool
	ended   bool
}

func runSequence(d *digest, seed uint64, g goldenGroup) {
	r := &random{seed}
	o := drawOptions(r)
	g.adjust(r, o)
	d.timers = map[string]uint64{}
	w := &simulatedWorld{
		sequenceOptions: o,
		random:          r,
		digest:          d,
		scheduler:       New(o.config),
		now:             pick(r, 0, Time(r.below(1_000_000))),
		byID:            map[MachineID]*simulatedMachine{},
		containers:      map[ContainerID]*simulatedContainer{},
	}
	for range o.machines {
		w.addMachine(0)
	}
	w.start()
	w.after(0, w.arrive)
	w.after(r.span(0, 2*o.churn), w.change)
	if o.restarts {
		w.after(r.span(Second, 10*Second), w.restart)
	}
	if o.invalid {
		w.after(Second/10, w.invalidEvents)
	}
	end := w.now + pick(r,
		r.span(Second, 4*Second), r.span(Second, 4*Second), r.span(Second, 4*Second), r.span(6*Second, 16*Second))
	for len(w.queue) > 0 && w.queue[0].at < end {
		w.step()
	}
	w.digest.fold(snapshotOrdinal, w.scheduler.Snapshot())
}

// step carries out what is due next, and sometimes what follows soon after in the same batch.
func (w *simulatedWorld) step() {
	w.now = max(w.now, w.queue[0].at)
	if w.random.chance(0.2) {
		w.now += w.random.span(0, 20*Millisecond)
	}
	var events []Event
	for len(w.queue) > 0 && w.queue[0].at <= w.now {
		next := w.queue[0]
		w.queue = w.queue[1:]
		events = append(events, next.run()...)
	}
	w.handle(events)
	switch {
	case w.random.chance(0.03):
		w.digest.fold(explanationOrdinal, w.scheduler.Explain(w.request()))
	case w.random.chance(0.01):
		w.digest.fold(snapshotOrdinal, w.scheduler.Snapshot())
	}
}

func (w *simulatedWorld) handle(events []Event) {
	actions := w.scheduler.Handle(w.now, events)
	w.digest.batch(w.now, actions)
	for _, a := range actions {
		w.react(a)
	}
}

func (w *simulatedWorld) after(span Time, run func() []Event) {
	s := scheduled{w.now + max(0, span), w.scheduled, run}
	w.scheduled++
	i, _ := slices.BinarySearchFunc(w.queue, s, func(a, b scheduled) int {
		if a.at != b.at {
			return int(a.at - b.at)
		}
		return a.number - b.number
	})
	w.queue = slices.Insert(w.queue, i, s)
}

// afterUnlessRestarted drops what was meant for an earlier incarnation of the scheduler.
func (w *simulatedWorld) afterUnlessRestarted(span Time, run func() []Event) {
	incarnation := w.incarnation
	w.after(span, func() []Event {
		if w.incarnation != incarnation {
			return nil
		}
		return run()
	})
}

func (w *simulatedWorld) addMachine(startedAt Time) *simulatedMachine {
	r := w.random
	n := len(w.machines)
	m := &simulatedMachine{entry: MachineEntry{
		Machine:     MachineID(fmt.Sprint("m", n)),
		Zone:        n % 3,
		RackGroup:   n / 2,
		MachineType: r.below(len(w.config.MachineTypes)),
		StartedAt:   startedAt,
		PowerHint:   r.float(),
	}}
	w.setFault(m)
	w.machines = append(w.machines, m)
	w.byID[m.entry.Machine] = m
	return m
}

func (w *simulatedWorld) setFault(m *simulatedMachine) {
	m.fault = healthy
	if w.random.chance(w.faulty) {
		m.fault = pick(w.random, w.faults...)
	}
	m.class = w.random.below(len(w.config.WorkloadClasses))
	if w.oneClass {
		m.class = 0
	}
	m.tenant = w.random.below(len(w.config.Tenants) + 1)
}

// listed returns the entries of some machines.
func (w *simulatedWorld) listed(machines []*simulatedMachine) []MachineEntry {
	var all []MachineEntry
	for _, m := range machines {
		e := m.entry
		k := w.config.MachineTypes[e.MachineType]
		e.FreeCores, e.FreeMemory = k.Cores-m.used, k.Memory-m.memory
		if w.random.chance(0.1) {
			e.FreeCores -= 3 // requests of other schedulers
		}
		all = append(all, e)
	}
	return all
}

func (w *simulatedWorld) fullUpdate(mode UpdateMode) MachineListUpdate {
	var present []*simulatedMachine
	for _, m := range w.machines {
		if m.entry.State != MachineGone || w.random.chance(0.5) {
			present = append(present, m)
		}
	}
	w.version++
	return MachineListUpdate{Mode: mode, Version: w.version, Entries: w.listed(present)}
}

// start hands a new scheduler the events of a process that starts.
func (w *simulatedWorld) start() {
	var events []Event
	if w.random.chance(0.9) {
		events = append(events, w.fullUpdate(RestoredSnapshot))
	}
	w.handle(events)
	for range w.random.below(4) {
		w.handle([]Event{w.adopt()})
	}
	if w.random.chance(0.8) {
		w.handle([]Event{w.fullUpdate(FullSnapshot)})
	}
}

func (w *simulatedWorld) adopt() Event {
	request := w.request()
	m := pick(w.random, w.machines...)
	w.containers[request.ID] = &simulatedContainer{request: request, at: m, running: true, attempt: 1}
	w.ids = append(w.ids, request.ID)
	w.reserve(w.containers[request.ID], 1)
	w.run(w.containers[request.ID])
	id := m.entry.Machine
	if w.random.chance(0.3) {
		id = "unlisted"
		c := w.containers[request.ID]
		w.after(w.random.span(0, Second), func() []Event { return w.end(c, 1, AttemptEnded{Outcome: OutcomeLost}) })
	}
	return ContainerAdopted{PlacementRequest: request, Machine: id}
}

func (w *simulatedWorld) request() PlacementRequest {
	r := w.random
	class := r.below(len(w.config.WorkloadClasses))
	service := fmt.Sprint("s", r.below(w.services))
	size := w.size * (0.3 + 1.4*r.float())
	if r.chance(0.02) {
		size *= 30
	}
	request := PlacementRequest{
		ID:             ContainerID(fmt.Sprint("c", len(w.ids), "-", r.below(10))),
		IdempotencyKey: service,
		Service:        service,
		WorkloadClass:  class,
		Tenant:         r.below(len(w.config.Tenants) + 1),
		Cores:          size,
		Memory:         size * (0.5 + 2*r.float()),
		Deadline:       w.now + w.config.WorkloadClasses[class].PlacementTimeout,
		ClientRetry:    r.chance(0.05),
	}
	if r.chance(0.03) {
		request.Deadline = w.now + Time(r.below(50)) // around the margin kept from deadlines
	}
	if r.chance(0.3) {
		request.ExpectedRuntime = r.span(0, 2*w.runtime)
	}
	return request
}

func (w *simulatedWorld) arrive() []Event {
	w.after(w.random.span(0, 2*w.arrival), w.arrive)
	var events []Event
	for range pick(w.random, 1, 1, 1, 3) {
		events = append(events, w.submit(w.request()))
	}
	return events
}

func (w *simulatedWorld) submit(request PlacementRequest) Event {
	w.containers[request.ID] = &simulatedContainer{request: request}
	w.ids = append(w.ids, request.ID)
	if w.random.chance(0.04) {
		w.after(w.random.span(0, 4*Second), func() []Event { return w.remove(request.ID) })
	}
	return RequestReceived{PlacementRequest: request}
}

// remove ends a container from outside; its attempt ends later.
func (w *simulatedWorld) remove(id ContainerID) []Event {
	c := w.containers[id]
	if c.ended {
		return nil
	}
	if c.at != nil {
		attempt := c.attempt
		w.after(w.random.span(0, 300*Millisecond), func() []Event {
			return w.end(c, attempt, AttemptEnded{Final: true, Outcome: OutcomeStopped})
		})
	}
	return []Event{ContainerRemoved{ID: id}}
}

// change alters the fleet and returns the update of the machine list.
func (w *simulatedWorld) change() []Event {
	r := w.random
	w.after(r.span(0, 2*w.churn), w.change)
	m := pick(r, w.machines...)
	changed := []*simulatedMachine{m}
	switch r.below(8) {
	case 0:
		m.entry.State = MachineDraining
	case 1:
		m.entry.State = MachineGone
	case 2, 3: // a new incarnation
		m.entry.State, m.entry.StartedAt = MachineServing, w.now-r.span(0, Second/2)
		w.setFault(m)
	case 4:
		m.entry.State = MachineServing
	case 5:
		changed = []*simulatedMachine{w.addMachine(w.now - r.span(0, Second))}
	case 6:
		w.setFault(m)
		return nil
	default:
		changed = append(changed, pick(r, w.machines...))
	}
	if w.selfReports && r.chance(0.7) {
		return []Event{MachineListUpdate{Mode: SelfReported, Entries: w.listed(changed)}}
	}
	if r.chance(0.1) {
		return nil // not reported before the next full update
	}
	if r.chance(0.15) {
		return []Event{w.fullUpdate(FullSnapshot)}
	}
	w.version++
	return []Event{MachineListUpdate{Mode: DeltaUpdate, Version: w.version, Entries: w.listed(changed)}}
}

// restart replaces the scheduler by a new one that gets the snapshot of the old one, whole or damaged.
func (w *simulatedWorld) restart() []Event {
	r := w.random
	w.after(r.span(Second, 10*Second), w.restart)
	snapshot := w.scheduler.Snapshot()
	w.digest.fold(snapshotOrdinal, snapshot)
	w.incarnation++
	w.scheduler = New(w.config)
	w.handle([]Event{w.fullUpdate(RestoredSnapshot)})
	switch r.below(8) {
	case 0:
		snapshot.TrafficClasses = nil
	case 1:
		for i := range snapshot.Machines {
			m := &snapshot.Machines[i]
			m.FailureEvidence = append(m.FailureEvidence, FailureEvidence{LogOdds: 5, AsOf: w.now})
		}
	case 4:
		for i := range snapshot.Machines {
			snapshot.Machines[i].OutlierLogOdds, snapshot.Machines[i].EjectionTime = 4, 0
		}
	case 2:
		snapshot.SendsKnownSince = w.now
	case 3:
		snapshot.Machines = append(snapshot.Machines, MachineSnapshot{
			Machine: "m0", StartedAt: 77, OutlierLogOdds: 9,
			EjectedUntil: w.now + Second,
		})
	}
	if r.chance(0.9) {
		w.scheduler.Restore(snapshot)
	}
	w.afterUnlessRestarted(r.span(0, Second), func() []Event { // for machines that were listed late
		late := Snapshot{SendsKnownSince: snapshot.SendsKnownSince, Machines: snapshot.Machines}
		if r.chance(0.5) {
			w.scheduler.Restore(late)
		}
		return nil
	})
	var events []Event
	for _, id := range w.ids {
		if c := w.containers[id]; c.running && !c.ended {
			events = append(events, ContainerAdopted{PlacementRequest: c.request, Machine: c.at.entry.Machine})
		} else {
			c.ended = true
		}
	}
	return events
}

// invalidEvents are some that no correct process would give.
func (w *simulatedWorld) invalidEvents() []Event {
	r := w.random
	w.after(r.span(0, Second/2), w.invalidEvents)
	id := w.ids[len(w.ids)-1-r.below(min(len(w.ids), 20))]
	m := pick(r, w.machines...).entry
	outcome := Outcome(r.below(int(OutcomeNotSent) + 1))
	reason := Reason(r.below(int(ReasonDrained) + 1))
	switch r.below(12) {
	case 0:
		return []Event{AttemptEnded{ID: id, Outcome: outcome, Machine: m.Machine, Reason: reason, Final: r.chance(0.5)}}
	case 1:
		return []Event{AttemptAccepted{ID: id, Attempt: r.below(5), Machine: m.Machine}}
	case 2:
		return []Event{UsageReported{ID: id, Metric: UsageMetric(r.below(8)), Value: pick(r, 5*r.float(), 1e16)}}
	case 3:
		return []Event{ProbeCompleted{Machine: m.Machine, Outcome: outcome}}
	case 4:
		return []Event{ProbeCompleted{Machine: "unlisted", Outcome: outcome}}
	case 5:
		return []Event{ContainerRemoved{ID: id}, ContainerRemoved{ID: id}}
	case 6:
		return []Event{TimerFired{Name: "unknown"}}
	case 7:
		m.MachineType = len(w.config.MachineTypes) + 1
		return []Event{MachineListUpdate{Mode: DeltaUpdate, Entries: []MachineEntry{m}}}
	case 8:
		request := w.request()
		request.WorkloadClass = len(w.config.WorkloadClasses) + r.below(2)
		w.digest.fold(explanationOrdinal, w.scheduler.Explain(request))
		return []Event{pick[Event](r, RequestReceived{PlacementRequest: request},
			ContainerAdopted{PlacementRequest: request, Machine: m.Machine})}
	case 9:
		request := w.request()
		request.Tenant = 50
		return []Event{w.submit(request)}
	case 10:
		return []Event{
			MachineListUpdate{Mode: pick(r, FullSnapshot, RestoredSnapshot)},
			MachineListUpdate{Mode: UpdateFailed},
			w.fullUpdate(FullSnapshot),
		}
	default:
		request := w.request()
		request.Deadline = w.now - r.span(0, Second)
		return []Event{w.submit(request)}
	}
}

func (w *simulatedWorld) react(a Action) {
	r := w.random
	switch a := a.(type) {
	case StartAttempt:
		w.attempt(a)
	case Reject:
		w.rejected(a.ID)
	case Fail:
		if c := w.containers[a.ID]; c != nil && c.at == nil {
			c.ended = true
		}
	case SetTimer:
		w.afterUnlessRestarted(a.After, func() []Event { return []Event{TimerFired{Name: a.Name}} })
	case WatchMachineList:
		w.afterUnlessRestarted(r.span(Millisecond, 200*Millisecond), func() []Event {
			if r.chance(w.listFails) {
				return []Event{MachineListUpdate{Mode: UpdateFailed}}
			}
			return []Event{w.fullUpdate(FullSnapshot)}
		})
	case Probe:
		w.probe(w.byID[a.Machine])
	}
}

func (w *simulatedWorld) rejected(id ContainerID) {
	c := w.containers[id]
	if c.at == nil {
		c.ended = true
	}
	if w.random.chance(w.retries) {
		again := c.request
		again.ID += "+"
		w.after(w.random.span(100*Millisecond, 2*Second), func() []Event {
			again.ClientRetry = true
			again.Deadline = w.now + w.config.WorkloadClasses[again.WorkloadClass].PlacementTimeout
			return []Event{w.submit(again)}
		})
	}
}

func (w *simulatedWorld) probe(m *simulatedMachine) {
	r := w.random
	elapsed := r.span(Millisecond, 50*Millisecond)
	e := ProbeCompleted{Machine: m.entry.Machine, Outcome: OutcomeFinished, Elapsed: elapsed}
	switch {
	case r.chance(0.05):
		e.Outcome = OutcomeNotSent
	case r.chance(0.03):
		return
	case m.fault == unreachable, m.entry.State == MachineGone:
		e.Outcome = OutcomeConnectFailed
	case m.fault == silent, m.fault == erroring && r.chance(0.5):
		e.Outcome, e.Elapsed = OutcomeTimedOut, Second
	}
	w.afterUnlessRestarted(e.Elapsed, func() []Event { return []Event{e} })
}

// reserve counts a container at its machine, release with sign -1 takes it off.
func (w *simulatedWorld) reserve(c *simulatedContainer, sign float64) {
	c.at.used += sign * c.request.Cores
	c.at.memory += sign * c.request.Memory
}

// attempt draws what becomes of an attempt.
func (w *simulatedWorld) attempt(a StartAttempt) {
	r := w.random
	c := w.containers[a.ID]
	c.attempt++
	c.at = w.byID[a.Machine]
	w.reserve(c, 1)
	attempt := c.attempt
	wait := a.Timeout
	if wait == 0 {
		wait = c.request.Deadline - w.now
	}
	if r.chance(w.lost) {
		return
	}
	e, span := w.outcome(c, wait)
	w.afterUnlessRestarted(span, func() []Event {
		if e.Outcome != OutcomeFinished || e.Final {
			return w.end(c, attempt, e)
		}
		return w.accept(c, attempt)
	})
}

// outcome draws the outcome of an attempt and when it comes; Finished without Final stands for acceptance.
func (w *simulatedWorld) outcome(c *simulatedContainer, wait Time) (AttemptEnded, Time) {
	r := w.random
	m, request := c.at, &c.request
	k := w.config.MachineTypes[m.entry.MachineType]
	quick := r.span(Millisecond, 60*Millisecond)
	switch {
	case m.entry.State == MachineGone || m.fault == unreachable:
		return AttemptEnded{Outcome: OutcomeConnectFailed}, quick
	case m.fault == silent, m.fault == failsOneClass && m.class == request.WorkloadClass, r.chance(0.01):
		return AttemptEnded{Outcome: OutcomeTimedOut}, wait
	case m.fault == erroring || r.chance(0.01):
		return AttemptEnded{Outcome: OutcomeErrored}, quick
	case m.fault == failsOneTenant && m.tenant == request.Tenant:
		return AttemptEnded{Outcome: OutcomeFull}, quick
	case m.fault == drainingItself && r.chance(0.5):
		return AttemptEnded{Outcome: OutcomeFull, Reason: ReasonWrongMachine}, quick
	case m.fault == refusing:
		reason := pick(r, ReasonNone, ReasonNoMemory, ReasonQueueTooLong)
		return AttemptEnded{Outcome: OutcomeFull, Reason: reason}, quick
	case m.used > k.Cores*w.config.CoresOvercommit:
		return AttemptEnded{Outcome: OutcomeFull, Reason: ReasonNoCores}, quick
	case m.memory > k.Memory*w.config.MemoryOvercommit:
		return AttemptEnded{Outcome: OutcomeFull, Reason: ReasonNoMemory}, quick
	}
	if r.chance(0.01) {
		return AttemptEnded{Outcome: OutcomeNotSent}, 0
	}
	if r.chance(0.01) {
		return AttemptEnded{Outcome: OutcomeLost}, quick
	}
	if r.chance(0.01) {
		return AttemptEnded{Outcome: OutcomeFinished, Final: false, Reason: ReasonOutOfMemory}, quick
	}
	return AttemptEnded{Outcome: OutcomeFinished}, min(wait, r.span(5*Millisecond, Second))
}

func (w *simulatedWorld) accept(c *simulatedContainer, attempt int) []Event {
	r := w.random
	if c.at == nil || c.attempt != attempt {
		return nil
	}
	if r.chance(0.02) { // its run time was over before it was accepted
		return w.end(c, attempt, AttemptEnded{Outcome: OutcomeFinished})
	}
	if r.chance(0.02) { // the acceptance crosses a cancellation
		w.after(20*Millisecond, func() []Event { return w.end(c, attempt, AttemptEnded{Outcome: OutcomeStopped}) })
	} else {
		c.running = true
		w.run(c)
	}
	return []Event{AttemptAccepted{
		ID: c.request.ID, Attempt: attempt, Machine: c.at.entry.Machine,
		Elapsed: r.span(0, Second),
	}}
}

// run plans the reports and the end of a running container.
func (w *simulatedWorld) run(c *simulatedContainer) {
	r := w.random
	attempt := c.attempt
	if w.config.UsageReports || r.chance(0.1) {
		for n := range 2 {
			w.after(r.span(0, w.runtime), func() []Event {
				if c.at == nil || c.attempt != attempt {
					return nil
				}
				return []Event{UsageReported{
					ID: c.request.ID, Machine: c.at.entry.Machine, Attempt: attempt,
					Metric: pick(r, MetricCoresUsed, MetricMemoryUsed, MetricRunning+UsageMetric(n)),
					Value:  2 * w.size * r.float(),
				}}
			})
		}
	}
	e := AttemptEnded{
		Final: true, Outcome: OutcomeFinished, Elapsed: r.span(0, 2*w.runtime),
		Report: LoadReport{"cores": r.float()},
	}
	switch {
	case c.at.fault == resetting:
		e.Outcome = OutcomeLost
	case c.at.fault == drainingItself:
		e.Outcome, e.Reason = OutcomeLost, ReasonDrained
	case r.chance(0.05):
		e.Outcome, e.Reason = OutcomeLost, pick(r, ReasonNone, ReasonOutOfMemory, ReasonPreempted, ReasonDrained)
	case r.chance(0.03):
		e.Outcome = OutcomeErrored
	}
	e.Final = !r.chance(0.15) // else it is to be placed again
	w.after(e.Elapsed, func() []Event { return w.end(c, attempt, e) })
}

func (w *simulatedWorld) end(c *simulatedContainer, attempt int, e AttemptEnded) []Event {
	if c.at == nil || c.attempt != attempt {
		return nil
	}
	w.reserve(c, -1)
	e.ID, e.Attempt, e.Machine = c.request.ID, attempt, c.at.entry.Machine
	c.running, c.ended = false, e.Final
	c.at = nil
	return []Event{e}
}
