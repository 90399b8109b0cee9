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

// Workload is what the keeper needs of one.
type Workload struct {
	Effect   scheduler.Idempotency
	HardStop scheduler.Time
	Window   scheduler.Time
}

// Terms are what a keeper is told when it starts.
type Terms struct {
	Seed      uint64
	First     uint64 // numbers of keys and asks begin above it: those of earlier lives must not come again
	Doors     int    // of placers
	Workloads []Workload
}

// Spec is what one container of a job is. It is stored under the names in the tags.
type Spec struct {
	Service  string         `cbor:"Service"`
	Workload int            `cbor:"Workload"`
	Customer int            `cbor:"Customer"`
	Cores    float64        `cbor:"Cores"`
	Memory   float64        `cbor:"Memory"`
	RunFor   scheduler.Time `cbor:"RunFor"` // 0: until it is stopped
	Once     bool           `cbor:"Once"`   // what finished is not started again
}

// State of a container that a job wants.
type State uint8

const (
	Waiting   State = iota // to be asked for, at its time
	Asking                 // a placer was asked
	Running                // a machine runs it
	Guarded                // it may run: nothing is done until that is sure
	Unwatched              // it ran when its placer was lost
	Done
)

func (s State) String() string {
	return [...]string{"waiting", "asking", "running", "guarded", "unwatched", "done"}[s]
}

// Container is a view of one that a job wants. It is stored under the names in the tags.
type Container struct {
	Job     string         `cbor:"Job"`
	Index   int            `cbor:"Index"`
	State   State          `cbor:"State"`
	Leaving bool           `cbor:"Leaving"`
	Machine string         `cbor:"Machine"`
	Door    int            `cbor:"Door"` // it was asked for there last; -1: nowhere yet
	Pinned  bool           `cbor:"Pinned"`
	Since   scheduler.Time `cbor:"Since"` // of this state
	Until   scheduler.Time `cbor:"Until"` // when something is due; 0: nothing is
	Tries   int            `cbor:"Tries"` // since it last ran
	Starts  int            `cbor:"Starts"`
	Last    string         `cbor:"Last"` // the last answer or fate, in words
	Held    bool           `cbor:"Held"` // the last answer was no push-back but a placer's word that it cannot be sure

	// What another life of the keeper needs beside.
	Key      string `cbor:"Key"`
	Ask      string `cbor:"Ask"`      // the last one
	Again    bool   `cbor:"Again"`    // it was asked for under this key
	Replaced bool   `cbor:"Replaced"` // it was cancelled for a newer spec
	With     Spec   `cbor:"With"`     // that it was asked for with
}

// Event is something that happened.
type Event interface{ event() }

type (
	// Set makes or changes a job; Drop ends it.
	Set struct {
		Job   string
		Count int
		Spec  Spec
	}
	Drop struct{ Job string }
	// Restored is what an earlier life left: the jobs as they are wanted, the containers as they were. It comes first.
	Restored struct {
		Jobs       []Set
		Containers []Container
		Strays     []Stray
	}
	// Door tells that a placer's door stands open or is lost.
	Door struct {
		Number int
		Open   bool
	}
	// Answered and Fated are a placer's words on an ask, by its id.
	Answered struct {
		Ask     string
		Verdict Verdict
		Machine string
		HoldOff scheduler.Time
		Text    string
	}
	Fated struct {
		Ask     string
		Outcome scheduler.Outcome
		Reason  scheduler.Reason
	}
	Woke struct{}
)

// Stray is reissuable work that was asked for at a placer that was lost then, and was asked for elsewhere since: a copy
// may run there that nobody would end.
type Stray struct {
	Door int
	Key  string
}

// Verdict is a placer's answer.
type Verdict uint8

const (
	Placed Verdict = iota
	PushedBack
	GivenUp
	TurnedAway
)

func (Set) event()      {}
func (Drop) event()     {}
func (Restored) event() {}
func (Door) event()     {}
func (Answered) event() {}
func (Fated) event()    {}
func (Woke) event()     {}

// Action is something to be done.
type Action interface{ action() }

type (
	Submit struct {
		Door  int
		Ask   string
		Key   string
		Spec  Spec
		Left  scheduler.Time
		Again bool
	}
	// Look asks a placer what runs under a key; nothing is started.
	Look struct {
		Door int
		Ask  string
		Key  string
	}
	// Cancel ends an ask, or what runs under its key by an earlier one.
	Cancel struct {
		Door int
		Ask  string
		Key  string
	}
	// Changed is the new view of a container, Removed its end.
	Changed struct{ Container Container }
	Removed struct {
		Job   string
		Index int
	}
	// Strayed and Found begin and end a stray.
	Strayed struct{ Stray Stray }
	Found   struct{ Stray Stray }
	Wake    struct{ After scheduler.Time }
)

func (Strayed) action() {}
func (Found) action()   {}
func (Look) action()    {}
func (Submit) action()  {}
func (Cancel) action()  {}
func (Changed) action() {}
func (Removed) action() {}
func (Wake) action()    {}

// Keeper is the state of all jobs: as much as containers are wanted, or leave.
type Keeper struct {
	terms Terms
	now   scheduler.Time
	rng   uint64
	out   []Action
	jobs  map[string]*job
	asks  map[string]*slot // by the id of the ask that is open or runs
	open  []bool
	lastN uint64
	due   dueHeap
	stray map[Stray]scheduler.Time // when each is ended; 0: its door is lost. Emptied when the door has been back a while
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

func New(t Terms) *Keeper {
	return &Keeper{terms: t, rng: t.Seed*2862933555777941757 + 3037000493, lastN: t.First, jobs: map[string]*job{}, asks: map[string]*slot{}, stray: map[Stray]scheduler.Time{},
		open: make([]bool, t.Doors)}
}

// Handle takes what happened by now and returns what is to be done, in that order.
func (k *Keeper) Handle(now scheduler.Time, events []Event) []Action {
	k.now, k.out = now, nil
	for _, e := range events {
		switch e := e.(type) {
		case Set:
			k.set(e)
		case Drop:
			if j := k.jobs[e.Job]; j != nil {
				j.count = 0
				k.fit(j)
			}
		case Restored:
			k.restore(e)
		case Door:
			k.door(e)
		case Answered:
			k.answered(e)
		case Fated:
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
			k.out = append(k.out, Changed{s.Container})
		}
	}
	k.dirty = k.dirty[:0]
	if len(k.due) > 0 && (next == 0 || k.due[0].at < next) {
		next = k.due[0].at
	}
	if next > 0 && (k.wake <= now || next < k.wake) {
		k.wake = next
		k.out = append(k.out, Wake{k.wake - now})
	}
	return k.out
}

func (k *Keeper) do(a Action) { k.out = append(k.out, a) }

// astray notes that a container's ask may have led to a copy that runs at its door.
func (k *Keeper) astray(s *slot) {
	if s.Door >= 0 && k.effect(s) == scheduler.Idempotent {
		x := Stray{s.Door, s.Key}
		k.stray[x] = 0
		if k.open[s.Door] {
			k.stray[x] = k.now + strayAfter
		}
		k.do(Strayed{x})
	}
}

// ask is the id by which a stray's end is asked for, and strayOf the stray of an id.
func (x Stray) ask() string { return fmt.Sprintf("stray#%d#%s", x.Door, x.Key) }

func strayOf(ask string) (x Stray, is bool) {
	rest, is := strings.CutPrefix(ask, "stray#")
	door, key, ok := strings.Cut(rest, "#")
	n, err := strconv.Atoi(door)
	return Stray{n, key}, is && ok && err == nil
}

// strayAnswered ends a stray when its placer is sure that nothing of it runs; what runs is told by its fate.
func (k *Keeper) strayAnswered(x Stray, e Answered) {
	if _, there := k.stray[x]; !there {
		return
	}
	if e.Verdict == TurnedAway {
		k.stray[x] = k.now + max(soon, e.HoldOff)
		return
	}
	k.found(x)
}

// found ends a stray.
func (k *Keeper) found(x Stray) {
	if _, there := k.stray[x]; there {
		delete(k.stray, x)
		k.do(Found{x})
	}
}

// endStrays ends the copies behind doors that have been back for a while, and returns when the next are due.
func (k *Keeper) endStrays() (next scheduler.Time) {
	var due []Stray
	for x, at := range k.stray {
		if at > 0 && at <= k.now {
			due = append(due, x)
		} else if at > 0 && (next == 0 || at < next) {
			next = at
		}
	}
	sort.Slice(due, func(i, j int) bool {
		return due[i].Door < due[j].Door || due[i].Door == due[j].Door && due[i].Key < due[j].Key
	})
	for _, x := range due {
		k.stray[x] = 0 // until an answer comes, or its door is back anew
		k.do(Cancel{x.Door, x.ask(), x.Key})
	}
	return next
}

// chance is a part from 0 to 1.
func (k *Keeper) chance() float64 {
	k.rng ^= k.rng << 13
	k.rng ^= k.rng >> 7
	k.rng ^= k.rng << 17
	return float64(k.rng>>11) / (1 << 53)
}

func (k *Keeper) set(e Set) {
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
func (k *Keeper) restore(e Restored) {
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
			j = &job{id: c.Job, spec: c.With, revision: 1}
			k.jobs[c.Job] = j
		}
		for len(j.slots) <= c.Index {
			j.slots = append(j.slots, &slot{job: j, gone: true, Container: Container{Job: c.Job, Index: len(j.slots), Leaving: true}})
		}
		s := &slot{job: j, Container: c}
		if c.With == j.spec || c.State == Waiting {
			s.revision = 1
		}
		j.slots[c.Index] = s
		k.lastN = max(k.lastN, number(c.Key, "/"), number(c.Ask, "#"))
		k.resume(s, n)
	}
	for _, x := range e.Strays {
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
func (k *Keeper) resume(s *slot, n int) {
	phase := map[State]recovery.ContainerPhase{Asking: recovery.PhaseRequested, Running: recovery.PhaseRunning, Unwatched: recovery.PhaseRunning,
		Guarded: recovery.PhaseFencing, Done: recovery.PhaseFinished}[s.State]
	if s.State == Waiting && s.Pinned {
		phase = recovery.PhaseRequested
	}
	step, after := recovery.Resume(phase, n)
	switch {
	case step == recovery.StepLookup && s.Door < 0: // its placer is none of the doors any more
		if k.effect(s) == scheduler.Idempotent {
			k.freshKey(s)
			k.wait(s, after, "its placer is no longer among the doors")
			return
		}
		s.Pinned = true
		k.wait(s, after, "its placer is no longer among the doors, and it may run")
	case step == recovery.StepLookup:
		s.pace = after
		k.turn(s, Unwatched, orphanAfter+after, "the keeper came up: its placer is asked")
	case step == recovery.StepFence:
		k.guard(s, s.Last)
	case step == recovery.StepRequest:
		k.wait(s, scheduler.Time(k.chance()*float64(soon))+after, s.Last)
	default:
		k.turn(s, s.State, -1, s.Last)
	}
}

// fit makes the slots follow the wanted number: new ones begin to wait, those beyond it leave.
func (k *Keeper) fit(j *job) {
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
		if i < j.count && s.Leaving {
			s.Leaving = false
			k.mark(s)
		}
		if i >= j.count && !s.Leaving {
			k.leave(s)
		}
	}
	k.trim(j)
}

// begin makes a container for a place that has none.
func (k *Keeper) begin(j *job, i int) {
	s := &slot{job: j, revision: j.revision, Container: Container{Job: j.id, Index: i, Door: -1}}
	j.slots[i] = s
	k.freshKey(s)
	k.wait(s, scheduler.Time(k.chance()*float64(soon)), "not asked for yet")
}

// trim takes settled slots off the end; a job without any that is not wanted is forgotten.
func (k *Keeper) trim(j *job) {
	for n := len(j.slots); n > j.count && j.slots[n-1].gone; n-- {
		j.slots = j.slots[:n-1]
	}
	if j.count == 0 && len(j.slots) == 0 {
		delete(k.jobs, j.id)
	}
}

// leave lets go of a container that is not wanted. What may run is cancelled or waited for first.
func (k *Keeper) leave(s *slot) {
	s.Leaving = true
	k.mark(s)
	switch s.State {
	case Asking, Running:
		k.do(Cancel{s.Door, s.Ask, s.Key})
	case Waiting:
		if s.Pinned {
			k.callOff(s)
			return
		}
		k.remove(s)
	case Done:
		k.remove(s)
	case Guarded, Unwatched: // its time comes, or its door
	}
}

// cancelAttempt ends one that may run, by the placer that knows, and waits for its word; while its door is lost it stays, or a
// later one in its place could be a second copy.
func (k *Keeper) callOff(s *slot) {
	if s.Door < 0 || !k.open[s.Door] {
		k.turn(s, Unwatched, -1, s.Last)
		return
	}
	k.forgetAsk(s)
	k.freshAsk(s)
	k.turn(s, Asking, -1, "called off")
	k.do(Cancel{s.Door, s.Ask, s.Key})
}

func (k *Keeper) freshAsk(s *slot) {
	k.lastN++
	s.Ask = fmt.Sprintf("%s/%d#%d", s.Job, s.Index, k.lastN)
	k.asks[s.Ask] = s
}

func (k *Keeper) remove(s *slot) {
	s.gone = true
	k.forgetAsk(s)
	k.do(Removed{s.Job, s.Index})
	if s.Index < s.job.count { // wanted again meanwhile
		k.begin(s.job, s.Index)
	}
	k.trim(s.job)
}

func (k *Keeper) mark(s *slot) {
	if !s.dirty {
		s.dirty = true
		k.dirty = append(k.dirty, s)
	}
}

func (k *Keeper) turn(s *slot, to State, after scheduler.Time, why string) {
	s.State, s.Since, s.Last, s.Until = to, k.now, why, 0
	s.stamp++
	if after >= 0 {
		s.Until = k.now + max(1, after)
		k.lastN++
		heap.Push(&k.due, dueItem{s.Until, k.lastN, s, s.stamp})
	}
	k.mark(s)
}

func (k *Keeper) wait(s *slot, after scheduler.Time, why string) {
	s.Machine, s.Held = "", false
	k.turn(s, Waiting, after, why)
}

// backOff doubles with each try, by chance, so that what was refused together does not return together.
func (k *Keeper) backOff(s *slot, least scheduler.Time) scheduler.Time {
	span := min(backOffMost, backOffFirst<<min(max(0, s.Tries-1), 5))
	return max(least, span/2) + scheduler.Time(k.chance()*float64(span/2))
}

// freshKey begins a life of a container: what ran under the key before has surely ended, or may run twice.
func (k *Keeper) freshKey(s *slot) {
	k.lastN++
	s.Key = fmt.Sprintf("%s/%d/%d", s.Job, s.Index, k.lastN)
	s.Pinned, s.Again = false, false
}

func (k *Keeper) forgetAsk(s *slot) {
	if k.asks[s.Ask] == s {
		delete(k.asks, s.Ask)
	}
}

func (k *Keeper) effect(s *slot) scheduler.Idempotency {
	if w := s.job.spec.Workload; w < len(k.terms.Workloads) {
		return k.terms.Workloads[w].Effect
	}
	return scheduler.AtMostOnce
}

// act does what a container's time has come for.
func (k *Keeper) act(s *slot) {
	switch s.State {
	case Waiting:
		k.askFor(s)
	case Guarded:
		if s.Leaving {
			k.callOff(s)
			return
		}
		s.Pinned, s.Again = true, true
		k.wait(s, 0, "made sure")
	case Unwatched:
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
func (k *Keeper) askFor(s *slot) {
	door := s.Door
	if !s.Pinned {
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
		k.turn(s, Waiting, -1, "no placer can be reached")
		return
	}
	if s.Pinned {
		k.forgetAsk(s)
		k.freshAsk(s)
		k.turn(s, Asking, -1, "looked for")
		k.do(Look{door, s.Ask, s.Key})
		return
	}
	k.forgetAsk(s)
	k.freshAsk(s)
	s.Door, s.revision, s.With = door, s.job.revision, s.job.spec
	s.Tries++
	left := scheduler.Second
	if w := s.job.spec.Workload; w < len(k.terms.Workloads) {
		left = k.terms.Workloads[w].HardStop
	}
	k.turn(s, Asking, -1, "asked")
	k.do(Submit{door, s.Ask, s.Key, s.job.spec, left, s.Again})
	s.Again = true
}

func (k *Keeper) answered(e Answered) {
	if x, is := strayOf(e.Ask); is {
		k.strayAnswered(x, e)
		return
	}
	s := k.asks[e.Ask]
	if s == nil || s.State != Asking || s.Ask != e.Ask {
		return
	}
	if e.Verdict != Placed {
		k.forgetAsk(s)
	}
	switch e.Verdict {
	case Placed:
		k.found(Stray{s.Door, s.Key}) // that placer knows the key now, and leaves one copy of it
		s.Machine, s.Tries = e.Machine, 0
		s.Starts++
		k.turn(s, Running, -1, "runs")
		if s.Leaving {
			k.do(Cancel{s.Door, s.Ask, s.Key})
		}
		k.replace(s.job)
		return
	case GivenUp:
		if k.effect(s) != scheduler.Idempotent && e.Text != "cancelled" {
			k.guard(s, "given up, and it may run")
			return
		}
	}
	if s.Leaving {
		if e.Verdict == TurnedAway && (s.Pinned || s.Last == "called off") { // that says nothing of what may run
			k.turn(s, Guarded, max(soon, e.HoldOff), s.Last)
			return
		}
		k.remove(s)
		return
	}
	what := map[Verdict]string{PushedBack: "pushed back", GivenUp: "given up", TurnedAway: "turned away"}[e.Verdict]
	if e.Text != "" {
		what += ": " + e.Text
	}
	if s.Pinned && e.Verdict != TurnedAway { // its placer has looked, and nothing of it runs
		k.again(s)
		return
	}
	k.wait(s, k.backOff(s, e.HoldOff), what)
	s.Held = e.Verdict == TurnedAway
}

// again begins a new container in the place of one of which nothing runs any more, unless that was to run once only
// and must not run twice: it may have run to its end.
func (k *Keeper) again(s *slot) {
	if s.job.spec.Once && k.effect(s) == scheduler.AtMostOnce {
		s.Machine, s.Pinned = "", false
		k.turn(s, Done, -1, "it may have run to its end, which nobody told")
		return
	}
	k.freshKey(s)
	k.wait(s, scheduler.Time(k.chance()*float64(soon)), "nothing of it runs")
}

// guard waits until what may run has surely turned up at its placer, or surely did not start.
func (k *Keeper) guard(s *slot, why string) {
	span := settle
	if w := s.job.spec.Workload; w < len(k.terms.Workloads) {
		span = max(span, k.terms.Workloads[w].Window)
	}
	s.Machine = ""
	k.turn(s, Guarded, span, why)
}

func (k *Keeper) fated(e Fated) {
	if x, is := strayOf(e.Ask); is {
		k.found(x)
		return
	}
	s := k.asks[e.Ask]
	if s == nil || s.State != Running && s.State != Unwatched && !(s.State == Asking && s.Leaving) {
		return
	}
	lost := e.Outcome == scheduler.OutcomeLost && e.Reason == scheduler.ReasonNone
	if lost && k.effect(s) != scheduler.Idempotent {
		k.guard(s, "lost with its machine or the way to it, and it may run")
		return
	}
	k.forgetAsk(s)
	if s.Leaving {
		k.remove(s)
		return
	}
	k.freshKey(s)
	switch {
	case e.Outcome == scheduler.OutcomeFinished && s.job.spec.Once:
		s.Machine = ""
		k.turn(s, Done, -1, "finished")
	case e.Reason == scheduler.ReasonOutOfMemory:
		k.wait(s, k.backOff(s, 0), "evicted for memory")
	case lost:
		k.wait(s, scheduler.Time(k.chance()*float64(2*soon)), "lost with its machine")
	default:
		k.wait(s, scheduler.Time(k.chance()*float64(2*soon)), map[scheduler.Outcome]string{scheduler.OutcomeFinished: "finished",
			scheduler.OutcomeStopped: "stopped"}[e.Outcome]+map[scheduler.Reason]string{scheduler.ReasonDrained: "sent away by its machine",
			scheduler.ReasonPreempted: "pushed out by other work"}[e.Reason])
	}
	if s.Replaced {
		s.Replaced = false
	}
}

// door follows a placer's coming and going. What was asked there and may run twice is asked for elsewhere; the
// rest waits. What runs there runs on: when the door is back it is asked for by its key, and the placer tells
// that it stands, or places it anew.
func (k *Keeper) door(e Door) {
	if e.Number < 0 || e.Number >= len(k.open) || k.open[e.Number] == e.Open {
		return
	}
	k.open[e.Number] = e.Open
	for x := range k.stray {
		if x.Door == e.Number {
			k.stray[x] = 0
			if e.Open {
				k.stray[x] = k.now + strayAfter
			}
		}
	}
	for _, s := range k.ordered() {
		mine := s.Door == e.Number
		switch {
		case !e.Open && mine && s.State == Asking:
			k.astray(s)
			if s.Leaving && k.effect(s) == scheduler.Idempotent {
				k.remove(s)
				continue
			}
			if k.effect(s) == scheduler.Idempotent {
				k.forgetAsk(s)
				k.wait(s, soon+scheduler.Time(k.chance()*float64(4*soon)), "its placer was lost")
			} else {
				k.guard(s, "its placer was lost, and it may run")
			}
		case !e.Open && mine && s.State == Running:
			k.turn(s, Unwatched, orphanAfter, "its placer was lost")
		case e.Open && mine && s.State == Unwatched:
			if s.Leaving {
				k.callOff(s)
				continue
			}
			k.forgetAsk(s)
			s.Pinned, s.Again = true, true
			k.wait(s, lookAgain+scheduler.Time(k.chance()*float64(2*lookAgain))+s.pace, "its placer is back")
			s.pace = 0
		case e.Open && s.State == Waiting && s.Until == 0:
			k.wait(s, scheduler.Time(k.chance()*float64(4*soon)), s.Last)
		}
	}
}

func (k *Keeper) jobIDs() []string {
	ids := make([]string, 0, len(k.jobs))
	for id := range k.jobs {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// ordered gives all slots in order of job and index.
func (k *Keeper) ordered() []*slot {
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
func (k *Keeper) replace(j *job) {
	var next *slot
	for _, s := range j.slots {
		if s.gone || s.Leaving {
			continue
		}
		if s.Replaced || s.revision == j.revision && s.State != Running && s.State != Done && s.Starts > 0 {
			return // one is under way
		}
		if next == nil && s.State == Running && s.revision != j.revision {
			next = s
		}
	}
	if next != nil {
		next.Replaced = true
		k.mark(next)
		k.do(Cancel{next.Door, next.Ask, next.Key})
	}
}
