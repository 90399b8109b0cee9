// Package controller decides how jobs are kept running: when each of a job's containers is asked for, at which
// placer, and what follows each answer, fate and break. It is pure: Handle takes what happened and returns what
// is to be done. Where a container goes is the placers' business, and what may run twice is held to its effect.
package controller

import (
	"container/heap"
	"fmt"
	"sort"
	"strconv"
	"strings"

	"glenport/internal/schedulerd/recovery"
	"glenport/scheduler"
)

// Tuned values.
const (
	backOffFirst = scheduler.Second // after a push-back, doubled with each, by chance
	backOffMost  = 16 * scheduler.Second
	soon         = 100 * scheduler.Millisecond // after an end that asks for nothing but another start
	settle       = 3 * scheduler.Second        // what may run is given so long to turn up
	orphanAfter  = 10 * scheduler.Second       // reissuable work behind a lost door is started anew after this
	lookAgain    = 500 * scheduler.Millisecond // behind a door that came back, by chance up to three times that
	strayAfter   = scheduler.Second            // behind a door that came back
)

// WorkloadClass is what the keeper needs of one.
type WorkloadClass struct {
	Idempotency      scheduler.Idempotency
	PlacementTimeout scheduler.Time
	DedupWindow      scheduler.Time
}

// Config are what a keeper is told when it starts.
type Config struct {
	Seed            uint64
	FirstSequence   uint64 // numbers of keys and asks begin above it: those of earlier lives must not come again
	SchedulerCount  int    // of placers
	WorkloadClasses []WorkloadClass
}

// Spec is what one container of a job is. It is stored under the names in the tags.
type Spec struct {
	Service       string         `cbor:"Service"`
	WorkloadClass int            `cbor:"Workload"`
	Tenant        int            `cbor:"Customer"`
	Cores         float64        `cbor:"Cores"`
	Memory        float64        `cbor:"Memory"`
	RunFor        scheduler.Time `cbor:"RunFor"` // 0: until it is stopped
	RunOnce       bool           `cbor:"Once"`   // what finished is not started again
}

// ContainerState of a container that a job wants.
type ContainerState uint8

const (
	StatePending    ContainerState = iota // to be asked for, at its time
	StatePlacing                          // a placer was asked
	StateRunning                          // a machine runs it
	StateFencing                          // it may run: nothing is done until that is sure
	StateUnobserved                       // it ran when its placer was lost
	StateCompleted
)

func (s ContainerState) String() string {
	return [...]string{"waiting", "asking", "running", "guarded", "unwatched", "done"}[s]
}

// Container is a view of one that a job wants. It is stored under the names in the tags.
type Container struct {
	Job         string         `cbor:"Job"`
	Index       int            `cbor:"Index"`
	State       ContainerState `cbor:"State"`
	Terminating bool           `cbor:"Leaving"`
	Machine     string         `cbor:"Machine"`
	Scheduler   int            `cbor:"Door"` // it was asked for there last; -1: nowhere yet
	Sticky      bool           `cbor:"Pinned"`
	Since       scheduler.Time `cbor:"Since"` // of this state
	Until       scheduler.Time `cbor:"Until"` // when something is due; 0: nothing is
	Attempts    int            `cbor:"Tries"` // since it last ran
	Starts      int            `cbor:"Starts"`
	LastStatus  string         `cbor:"Last"` // the last answer or fate, in words
	Refused     bool           `cbor:"Held"` // the last answer was no push-back but a placer's word that it cannot be sure

	// What another life of the keeper needs beside.
	IdempotencyKey string `cbor:"Key"`
	RequestID      string `cbor:"Ask"`      // the last one
	Submitted      bool   `cbor:"Again"`    // it was asked for under this key
	Replacing      bool   `cbor:"Replaced"` // it was cancelled for a newer spec
	SubmittedSpec  Spec   `cbor:"With"`     // that it was asked for with
}

// Event is something that happened.
type Event interface{ event() }

type (
	// JobSet makes or changes a job; Drop ends it.
	JobSet struct {
		Job   string
		Count int
		Spec  Spec
	}
	JobDeleted struct{ Job string }
	// StateRestored is what an earlier life left: the jobs as they are wanted, the containers as they were. It comes first.
	StateRestored struct {
		Jobs       []JobSet
		Containers []Container
		Orphans    []Orphan
	}
	// SchedulerConnection tells that a placer's door stands open or is lost.
	SchedulerConnection struct {
		Scheduler int
		Connected bool
	}
	// PlacementAnswered and Fated are a placer's words on an ask, by its id.
	PlacementAnswered struct {
		RequestID  string
		Verdict    Verdict
		Machine    string
		RetryAfter scheduler.Time
		Message    string
	}
	ContainerEnded struct {
		RequestID string
		Outcome   scheduler.Outcome
		Reason    scheduler.Reason
	}
	TimerFired struct{}
)

// Orphan is reissuable work that was asked for at a placer that was lost then, and was asked for elsewhere since: a copy
// may run there that nobody would end.
type Orphan struct {
	Scheduler      int
	IdempotencyKey string
}

// Verdict is a placer's answer.
type Verdict uint8

const (
	VerdictAccepted Verdict = iota
	VerdictRejected
	VerdictFailed
	VerdictRefused
)

func (JobSet) event()              {}
func (JobDeleted) event()          {}
func (StateRestored) event()       {}
func (SchedulerConnection) event() {}
func (PlacementAnswered) event()   {}
func (ContainerEnded) event()      {}
func (TimerFired) event()          {}

// Action is something to be done.
type Action interface{ action() }

type (
	SubmitRequest struct {
		Scheduler      int
		RequestID      string
		IdempotencyKey string
		Spec           Spec
		Timeout        scheduler.Time
		Retry          bool
	}
	// LookupRequest asks a placer what runs under a key; nothing is started.
	LookupRequest struct {
		Scheduler      int
		RequestID      string
		IdempotencyKey string
	}
	// CancelRequest ends an ask, or what runs under its key by an earlier one.
	CancelRequest struct {
		Scheduler      int
		RequestID      string
		IdempotencyKey string
	}
	// ContainerChanged is the new view of a container, Removed its end.
	ContainerChanged struct{ Container Container }
	ContainerRemoved struct {
		Job   string
		Index int
	}
	// OrphanRecorded and Found begin and end a stray.
	OrphanRecorded struct{ Orphan Orphan }
	OrphanResolved struct{ Orphan Orphan }
	SetTimer       struct{ After scheduler.Time }
)

func (OrphanRecorded) action()   {}
func (OrphanResolved) action()   {}
func (LookupRequest) action()    {}
func (SubmitRequest) action()    {}
func (CancelRequest) action()    {}
func (ContainerChanged) action() {}
func (ContainerRemoved) action() {}
func (SetTimer) action()         {}

// Controller is the state of all jobs: as much as containers are wanted, or leave.
type Controller struct {
	terms Config
	now   scheduler.Time
	rng   uint64
	out   []Action
	jobs  map[string]*job
	asks  map[string]*slot // by the id of the ask that is open or runs
	open  []bool
	lastN uint64
	due   dueHeap
	stray map[Orphan]scheduler.Time // when each is ended; 0: its door is lost. Emptied when the door has been back a while
	wake  scheduler.Time
	dirty []*slot
}

type job struct {
	id       string
	spec     Spec
	revision int
	count    int
	slots    []*slot // by index; a leaving one stands until it is settled
}

type slot struct {
	Container
	job      *job
	revision int
	pace     scheduler.Time // that it waits longer when its door is back, after a start of the keeper
	stamp    int            // of its place in the heap: older ones there count no more
	dirty    bool
	gone     bool
}

type dueItem struct {
	at    scheduler.Time
	n     uint64
	slot  *slot
	stamp int
}
type dueHeap []dueItem

func (h dueHeap) Len() int { return len(h) }
func (h dueHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].n < h[j].n
}
func (h dueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *dueHeap) Push(x any)   { *h = append(*h, x.(dueItem)) }
func (h *dueHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

func New(t Config) *Controller {
	return &Controller{terms: t, rng: t.Seed*2862933555777941757 + 3037000493, lastN: t.FirstSequence, jobs: map[string]*job{}, asks: map[string]*slot{}, stray: map[Orphan]scheduler.Time{},
		open: make([]bool, t.SchedulerCount)}
}

// Handle takes what happened by now and returns what is to be done, in that order.
func (k *Controller) Handle(now scheduler.Time, events []Event) []Action {
	k.now, k.out = now, nil
	for _, e := range events {
		switch e := e.(type) {
		case JobSet:
			k.set(e)
		case JobDeleted:
			if j := k.jobs[e.Job]; j != nil {
				j.count = 0
				k.fit(j)
			}
		case StateRestored:
			k.restore(e)
		case SchedulerConnection:
			k.door(e)
		case PlacementAnswered:
			k.answered(e)
		case ContainerEnded:
			k.fated(e)
		}
	}
	for len(k.due) > 0 && k.due[0].at <= now {
		d := heap.Pop(&k.due).(dueItem)
		if d.stamp == d.slot.stamp && !d.slot.gone {
			k.act(d.slot)
		}
	}
	next := k.endStrays()
	for _, s := range k.dirty {
		if s.dirty = false; !s.gone {
			k.out = append(k.out, ContainerChanged{s.Container})
		}
	}
	k.dirty = k.dirty[:0]
	if len(k.due) > 0 && (next == 0 || k.due[0].at < next) {
		next = k.due[0].at
	}
	if next > 0 && (k.wake <= now || next < k.wake) {
		k.wake = next
		k.out = append(k.out, SetTimer{k.wake - now})
	}
	return k.out
}

func (k *Controller) do(a Action) { k.out = append(k.out, a) }

// astray notes that a container's ask may have led to a copy that runs at its door.
func (k *Controller) astray(s *slot) {
	if s.Scheduler >= 0 && k.effect(s) == scheduler.Idempotent {
		x := Orphan{s.Scheduler, s.IdempotencyKey}
		k.stray[x] = 0
		if k.open[s.Scheduler] {
			k.stray[x] = k.now + strayAfter
		}
		k.do(OrphanRecorded{x})
	}
}

// ask is the id by which a stray's end is asked for, and strayOf the stray of an id.
func (x Orphan) ask() string { return fmt.Sprintf("stray#%d#%s", x.Scheduler, x.IdempotencyKey) }

func strayOf(ask string) (x Orphan, is bool) {
	rest, is := strings.CutPrefix(ask, "stray#")
	door, key, ok := strings.Cut(rest, "#")
	n, err := strconv.Atoi(door)
	return Orphan{n, key}, is && ok && err == nil
}

// strayAnswered ends a stray when its placer is sure that nothing of it runs; what runs is told by its fate.
func (k *Controller) strayAnswered(x Orphan, e PlacementAnswered) {
	if _, there := k.stray[x]; !there {
		return
	}
	if e.Verdict == VerdictRefused {
		k.stray[x] = k.now + max(soon, e.RetryAfter)
		return
	}
	k.found(x)
}

// found ends a stray.
func (k *Controller) found(x Orphan) {
	if _, there := k.stray[x]; there {
		delete(k.stray, x)
		k.do(OrphanResolved{x})
	}
}

// endStrays ends the copies behind doors that have been back for a while, and returns when the next are due.
func (k *Controller) endStrays() (next scheduler.Time) {
	var due []Orphan
	for x, at := range k.stray {
		if at > 0 && at <= k.now {
			due = append(due, x)
		} else if at > 0 && (next == 0 || at < next) {
			next = at
		}
	}
	sort.Slice(due, func(i, j int) bool {
		return due[i].Scheduler < due[j].Scheduler || due[i].Scheduler == due[j].Scheduler && due[i].IdempotencyKey < due[j].IdempotencyKey
	})
	for _, x := range due {
		k.stray[x] = 0 // until an answer comes, or its door is back anew
		k.do(CancelRequest{x.Scheduler, x.ask(), x.IdempotencyKey})
	}
	return next
}

// chance is a part from 0 to 1.
func (k *Controller) chance() float64 {
	k.rng ^= k.rng << 13
	k.rng ^= k.rng >> 7
	k.rng ^= k.rng << 17
	return float64(k.rng>>11) / (1 << 53)
}

func (k *Controller) set(e JobSet) {
	j := k.jobs[e.Job]
	if j == nil {
		j = &job{id: e.Job, spec: e.Spec}
		k.jobs[e.Job] = j
	}
	if j.spec != e.Spec {
		j.spec = e.Spec
		j.revision++
	}
	j.count = e.Count
	k.fit(j)
	k.replace(j)
}

// restore takes up what an earlier life left. What may run is looked for at the placer that was asked; the rest is
// asked for at a pace.
func (k *Controller) restore(e StateRestored) {
	for _, set := range e.Jobs {
		k.jobs[set.Job] = &job{id: set.Job, spec: set.Spec, revision: 1, count: set.Count}
	}
	left := append([]Container(nil), e.Containers...)
	sort.Slice(left, func(i, j int) bool {
		return left[i].Job < left[j].Job || left[i].Job == left[j].Job && left[i].Index < left[j].Index
	})
	for n, c := range left {
		j := k.jobs[c.Job]
		if j == nil { // it was dropped, and this one is to leave
			j = &job{id: c.Job, spec: c.SubmittedSpec, revision: 1}
			k.jobs[c.Job] = j
		}
		for len(j.slots) <= c.Index {
			j.slots = append(j.slots, &slot{job: j, gone: true, Container: Container{Job: c.Job, Index: len(j.slots), Terminating: true}})
		}
		s := &slot{job: j, Container: c}
		if c.SubmittedSpec == j.spec || c.State == StatePending {
			s.revision = 1
		}
		j.slots[c.Index] = s
		k.lastN = max(k.lastN, number(c.IdempotencyKey, "/"), number(c.RequestID, "#"))
		k.resume(s, n)
	}
	for _, x := range e.Orphans {
		k.stray[x] = 0
	}
	for _, id := range k.jobIDs() {
		k.fit(k.jobs[id])
	}
}

// number is that at the end of a key or an ask.
func number(of, after string) uint64 {
	n, _ := strconv.ParseUint(of[strings.LastIndex(of, after)+1:], 10, 64)
	return n
}

// resume does what recovery decides on one container.
func (k *Controller) resume(s *slot, n int) {
	phase := map[ContainerState]recovery.ContainerPhase{StatePlacing: recovery.PhaseRequested, StateRunning: recovery.PhaseRunning, StateUnobserved: recovery.PhaseRunning,
		StateFencing: recovery.PhaseFencing, StateCompleted: recovery.PhaseFinished}[s.State]
	if s.State == StatePending && s.Sticky {
		phase = recovery.PhaseRequested
	}
	step, after := recovery.Resume(phase, n)
	switch {
	case step == recovery.StepLookup && s.Scheduler < 0: // its placer is none of the doors any more
		if k.effect(s) == scheduler.Idempotent {
			k.freshKey(s)
			k.wait(s, after, "its placer is no longer among the doors")
			return
		}
		s.Sticky = true
		k.wait(s, after, "its placer is no longer among the doors, and it may run")
	case step == recovery.StepLookup:
		s.pace = after
		k.turn(s, StateUnobserved, orphanAfter+after, "the keeper came up: its placer is asked")
	case step == recovery.StepFence:
		k.guard(s, s.LastStatus)
	case step == recovery.StepRequest:
		k.wait(s, scheduler.Time(k.chance()*float64(soon))+after, s.LastStatus)
	default:
		k.turn(s, s.State, -1, s.LastStatus)
	}
}

// fit makes the slots follow the wanted number: new ones begin to wait, those beyond it leave.
func (k *Controller) fit(j *job) {
	for i := range j.count {
		if i == len(j.slots) {
			j.slots = append(j.slots, nil)
		}
		if j.slots[i] == nil || j.slots[i].gone { // the latter: one behind it was still to leave
			k.begin(j, i)
		}
	}
	for i := len(j.slots) - 1; i >= 0; i-- {
		s := j.slots[i]
		if i < j.count && s.Terminating {
			s.Terminating = false
			k.mark(s)
		}
		if i >= j.count && !s.Terminating {
			k.leave(s)
		}
	}
	k.trim(j)
}

// begin makes a container for a place that has none.
func (k *Controller) begin(j *job, i int) {
	s := &slot{job: j, revision: j.revision, Container: Container{Job: j.id, Index: i, Scheduler: -1}}
	j.slots[i] = s
	k.freshKey(s)
	k.wait(s, scheduler.Time(k.chance()*float64(soon)), "not asked for yet")
}

// trim takes settled slots off the end; a job without any that is not wanted is forgotten.
func (k *Controller) trim(j *job) {
	for n := len(j.slots); n > j.count && j.slots[n-1].gone; n-- {
		j.slots = j.slots[:n-1]
	}
	if j.count == 0 && len(j.slots) == 0 {
		delete(k.jobs, j.id)
	}
}

// leave lets go of a container that is not wanted. What may run is cancelled or waited for first.
func (k *Controller) leave(s *slot) {
	s.Terminating = true
	k.mark(s)
	switch s.State {
	case StatePlacing, StateRunning:
		k.do(CancelRequest{s.Scheduler, s.RequestID, s.IdempotencyKey})
	case StatePending:
		if s.Sticky {
			k.callOff(s)
			return
		}
		k.remove(s)
	case StateCompleted:
		k.remove(s)
	case StateFencing, StateUnobserved: // its time comes, or its door
	}
}

// cancelAttempt ends one that may run, by the placer that knows, and waits for its word; while its door is lost it stays, or a
// later one in its place could be a second copy.
func (k *Controller) callOff(s *slot) {
	if s.Scheduler < 0 || !k.open[s.Scheduler] {
		k.turn(s, StateUnobserved, -1, s.LastStatus)
		return
	}
	k.forgetAsk(s)
	k.freshAsk(s)
	k.turn(s, StatePlacing, -1, "called off")
	k.do(CancelRequest{s.Scheduler, s.RequestID, s.IdempotencyKey})
}

func (k *Controller) freshAsk(s *slot) {
	k.lastN++
	s.RequestID = fmt.Sprintf("%s/%d#%d", s.Job, s.Index, k.lastN)
	k.asks[s.RequestID] = s
}

func (k *Controller) remove(s *slot) {
	s.gone = true
	k.forgetAsk(s)
	k.do(ContainerRemoved{s.Job, s.Index})
	if s.Index < s.job.count { // wanted again meanwhile
		k.begin(s.job, s.Index)
	}
	k.trim(s.job)
}

func (k *Controller) mark(s *slot) {
	if !s.dirty {
		s.dirty = true
		k.dirty = append(k.dirty, s)
	}
}

func (k *Controller) turn(s *slot, to ContainerState, after scheduler.Time, why string) {
	s.State, s.Since, s.LastStatus, s.Until = to, k.now, why, 0
	s.stamp++
	if after >= 0 {
		s.Until = k.now + max(1, after)
		k.lastN++
		heap.Push(&k.due, dueItem{s.Until, k.lastN, s, s.stamp})
	}
	k.mark(s)
}

func (k *Controller) wait(s *slot, after scheduler.Time, why string) {
	s.Machine, s.Refused = "", false
	k.turn(s, StatePending, after, why)
}

// backOff doubles with each try, by chance, so that what was refused together does not return together.
func (k *Controller) backOff(s *slot, least scheduler.Time) scheduler.Time {
	span := min(backOffMost, backOffFirst<<min(max(0, s.Attempts-1), 5))
	return max(least, span/2) + scheduler.Time(k.chance()*float64(span/2))
}

// freshKey begins a life of a container: what ran under the key before has surely ended, or may run twice.
func (k *Controller) freshKey(s *slot) {
	k.lastN++
	s.IdempotencyKey = fmt.Sprintf("%s/%d/%d", s.Job, s.Index, k.lastN)
	s.Sticky, s.Submitted = false, false
}

func (k *Controller) forgetAsk(s *slot) {
	if k.asks[s.RequestID] == s {
		delete(k.asks, s.RequestID)
	}
}

func (k *Controller) effect(s *slot) scheduler.Idempotency {
	if w := s.job.spec.WorkloadClass; w < len(k.terms.WorkloadClasses) {
		return k.terms.WorkloadClasses[w].Idempotency
	}
	return scheduler.AtMostOnce
}

// act does what a container's time has come for.
func (k *Controller) act(s *slot) {
	switch s.State {
	case StatePending:
		k.askFor(s)
	case StateFencing:
		if s.Terminating {
			k.callOff(s)
			return
		}
		s.Sticky, s.Submitted = true, true
		k.wait(s, 0, "made sure")
	case StateUnobserved:
		if k.effect(s) == scheduler.Idempotent {
			k.astray(s)
			k.forgetAsk(s)
			k.freshKey(s)
			k.wait(s, soon, "its placer stays away")
		}
	}
}

// askFor submits a container to a placer by chance. One that may run is looked for where that is known, and nothing is
// started by that: only the placer that sent it can tell, and a key that ran must not run again.
func (k *Controller) askFor(s *slot) {
	door := s.Scheduler
	if !s.Sticky {
		var open []int
		for d, ok := range k.open {
			if ok {
				open = append(open, d)
			}
		}
		if door = -1; len(open) > 0 {
			door = open[int(k.chance()*float64(len(open)))]
		}
	}
	if door < 0 || !k.open[door] {
		k.turn(s, StatePending, -1, "no placer can be reached")
		return
	}
	if s.Sticky {
		k.forgetAsk(s)
		k.freshAsk(s)
		k.turn(s, StatePlacing, -1, "looked for")
		k.do(LookupRequest{door, s.RequestID, s.IdempotencyKey})
		return
	}
	k.forgetAsk(s)
	k.freshAsk(s)
	s.Scheduler, s.revision, s.SubmittedSpec = door, s.job.revision, s.job.spec
	s.Attempts++
	left := scheduler.Second
	if w := s.job.spec.WorkloadClass; w < len(k.terms.WorkloadClasses) {
		left = k.terms.WorkloadClasses[w].PlacementTimeout
	}
	k.turn(s, StatePlacing, -1, "asked")
	k.do(SubmitRequest{door, s.RequestID, s.IdempotencyKey, s.job.spec, left, s.Submitted})
	s.Submitted = true
}

func (k *Controller) answered(e PlacementAnswered) {
	if x, is := strayOf(e.RequestID); is {
		k.strayAnswered(x, e)
		return
	}
	s := k.asks[e.RequestID]
	if s == nil || s.State != StatePlacing || s.RequestID != e.RequestID {
		return
	}
	if e.Verdict != VerdictAccepted {
		k.forgetAsk(s)
	}
	switch e.Verdict {
	case VerdictAccepted:
		k.found(Orphan{s.Scheduler, s.IdempotencyKey}) // that placer knows the key now, and leaves one copy of it
		s.Machine, s.Attempts = e.Machine, 0
		s.Starts++
		k.turn(s, StateRunning, -1, "runs")
		if s.Terminating {
			k.do(CancelRequest{s.Scheduler, s.RequestID, s.IdempotencyKey})
		}
		k.replace(s.job)
		return
	case VerdictFailed:
		if k.effect(s) != scheduler.Idempotent && e.Message != "cancelled" {
			k.guard(s, "given up, and it may run")
			return
		}
	}
	if s.Terminating {
		if e.Verdict == VerdictRefused && (s.Sticky || s.LastStatus == "called off") { // that says nothing of what may run
			k.turn(s, StateFencing, max(soon, e.RetryAfter), s.LastStatus)
			return
		}
		k.remove(s)
		return
	}
	what := map[Verdict]string{VerdictRejected: "pushed back", VerdictFailed: "given up", VerdictRefused: "turned away"}[e.Verdict]
	if e.Message != "" {
		what += ": " + e.Message
	}
	if s.Sticky && e.Verdict != VerdictRefused { // its placer has looked, and nothing of it runs
		k.again(s)
		return
	}
	k.wait(s, k.backOff(s, e.RetryAfter), what)
	s.Refused = e.Verdict == VerdictRefused
}

// again begins a new container in the place of one of which nothing runs any more, unless that was to run once only
// and must not run twice: it may have run to its end.
func (k *Controller) again(s *slot) {
	if s.job.spec.RunOnce && k.effect(s) == scheduler.AtMostOnce {
		s.Machine, s.Sticky = "", false
		k.turn(s, StateCompleted, -1, "it may have run to its end, which nobody told")
		return
	}
	k.freshKey(s)
	k.wait(s, scheduler.Time(k.chance()*float64(soon)), "nothing of it runs")
}

// guard waits until what may run has surely turned up at its placer, or surely did not start.
func (k *Controller) guard(s *slot, why string) {
	span := settle
	if w := s.job.spec.WorkloadClass; w < len(k.terms.WorkloadClasses) {
		span = max(span, k.terms.WorkloadClasses[w].DedupWindow)
	}
	s.Machine = ""
	k.turn(s, StateFencing, span, why)
}

func (k *Controller) fated(e ContainerEnded) {
	if x, is := strayOf(e.RequestID); is {
		k.found(x)
		return
	}
	s := k.asks[e.RequestID]
	if s == nil || s.State != StateRunning && s.State != StateUnobserved && !(s.State == StatePlacing && s.Terminating) {
		return
	}
	lost := e.Outcome == scheduler.OutcomeLost && e.Reason == scheduler.ReasonNone
	if lost && k.effect(s) != scheduler.Idempotent {
		k.guard(s, "lost with its machine or the way to it, and it may run")
		return
	}
	k.forgetAsk(s)
	if s.Terminating {
		k.remove(s)
		return
	}
	k.freshKey(s)
	switch {
	case e.Outcome == scheduler.OutcomeFinished && s.job.spec.RunOnce:
		s.Machine = ""
		k.turn(s, StateCompleted, -1, "finished")
	case e.Reason == scheduler.ReasonOutOfMemory:
		k.wait(s, k.backOff(s, 0), "evicted for memory")
	case lost:
		k.wait(s, scheduler.Time(k.chance()*float64(2*soon)), "lost with its machine")
	default:
		k.wait(s, scheduler.Time(k.chance()*float64(2*soon)), map[scheduler.Outcome]string{scheduler.OutcomeFinished: "finished",
			scheduler.OutcomeStopped: "stopped"}[e.Outcome]+map[scheduler.Reason]string{scheduler.ReasonDrained: "sent away by its machine",
			scheduler.ReasonPreempted: "pushed out by other work"}[e.Reason])
	}
	if s.Replacing {
		s.Replacing = false
	}
}

// door follows a placer's coming and going. What was asked there and may run twice is asked for elsewhere; the
// rest waits. What runs there runs on: when the door is back it is asked for by its key, and the placer tells
// that it stands, or places it anew.
func (k *Controller) door(e SchedulerConnection) {
	if e.Scheduler < 0 || e.Scheduler >= len(k.open) || k.open[e.Scheduler] == e.Connected {
		return
	}
	k.open[e.Scheduler] = e.Connected
	for x := range k.stray {
		if x.Scheduler == e.Scheduler {
			k.stray[x] = 0
			if e.Connected {
				k.stray[x] = k.now + strayAfter
			}
		}
	}
	for _, s := range k.ordered() {
		mine := s.Scheduler == e.Scheduler
		switch {
		case !e.Connected && mine && s.State == StatePlacing:
			k.astray(s)
			if s.Terminating && k.effect(s) == scheduler.Idempotent {
				k.remove(s)
				continue
			}
			if k.effect(s) == scheduler.Idempotent {
				k.forgetAsk(s)
				k.wait(s, soon+scheduler.Time(k.chance()*float64(4*soon)), "its placer was lost")
			} else {
				k.guard(s, "its placer was lost, and it may run")
			}
		case !e.Connected && mine && s.State == StateRunning:
			k.turn(s, StateUnobserved, orphanAfter, "its placer was lost")
		case e.Connected && mine && s.State == StateUnobserved:
			if s.Terminating {
				k.callOff(s)
				continue
			}
			k.forgetAsk(s)
			s.Sticky, s.Submitted = true, true
			k.wait(s, lookAgain+scheduler.Time(k.chance()*float64(2*lookAgain))+s.pace, "its placer is back")
			s.pace = 0
		case e.Connected && s.State == StatePending && s.Until == 0:
			k.wait(s, scheduler.Time(k.chance()*float64(4*soon)), s.LastStatus)
		}
	}
}

func (k *Controller) jobIDs() []string {
	ids := make([]string, 0, len(k.jobs))
	for id := range k.jobs {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// ordered gives all slots in order of job and index.
func (k *Controller) ordered() []*slot {
	var all []*slot
	for _, id := range k.jobIDs() {
		for _, s := range k.jobs[id].slots {
			if !s.gone {
				all = append(all, s)
			}
		}
	}
	return all
}

// replace brings running containers to a job's newest spec, one at a time.
func (k *Controller) replace(j *job) {
	var next *slot
	for _, s := range j.slots {
		if s.gone || s.Terminating {
			continue
		}
		if s.Replacing || s.revision == j.revision && s.State != StateRunning && s.State != StateCompleted && s.Starts > 0 {
			return // one is under way
		}
		if next == nil && s.State == StateRunning && s.revision != j.revision {
			next = s
		}
	}
	if next != nil {
		next.Replacing = true
		k.mark(next)
		k.do(CancelRequest{next.Scheduler, next.RequestID, next.IdempotencyKey})
	}
}
