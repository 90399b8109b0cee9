// Package keeper decides how jobs are kept running: when each of a job's containers is asked for, at which
// placer, and what follows each answer, fate and break. It is pure: Handle takes what happened and returns what
// is to be done. Where a container goes is the placers' business, and what may run twice is held to its effect.
package keeper

import (
	"container/heap"
	"fmt"
	"sort"

	"glenport/placer"
)

// Tuned values.
const (
	backOffFirst = placer.Second // after a push-back, doubled with each, by chance
	backOffMost  = 16 * placer.Second
	soon         = 100 * placer.Millisecond // after an end that asks for nothing but another start
	settle       = 3 * placer.Second        // what may run is given so long to turn up
	orphanAfter  = 10 * placer.Second       // reissuable work behind a lost door is started anew after this
	lookAgain    = 500 * placer.Millisecond // behind a door that came back, by chance up to three times that
)

// Workload is what the keeper needs of one.
type Workload struct {
	Effect   placer.Effect
	HardStop placer.Time
	Window   placer.Time
}

// Terms are what a keeper is told when it starts.
type Terms struct {
	Seed      uint64
	Doors     int // of placers
	Workloads []Workload
}

// Spec is what one container of a job is.
type Spec struct {
	Service  string
	Workload int
	Customer int
	Cores    float64
	Memory   float64
	RunFor   placer.Time // 0: until it is stopped
	Once     bool        // what finished is not started again
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

// Container is a view of one that a job wants.
type Container struct {
	Job     string
	Index   int
	State   State
	Leaving bool
	Machine string
	Door    int // it was asked for there last; -1: nowhere yet
	Pinned  bool
	Since   placer.Time // of this state
	Until   placer.Time // when something is due; 0: nothing is
	Tries   int         // since it last ran
	Starts  int
	Last    string // the last answer or fate, in words
	Held    bool   // the last answer was no push-back but a placer's word that it cannot be sure
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
		HoldOff placer.Time
		Text    string
	}
	Fated struct {
		Ask     string
		Outcome placer.Outcome
		Reason  placer.Reason
	}
	Woke struct{}
)

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
		Left  placer.Time
		Again bool
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
	Wake struct{ After placer.Time }
)

func (Submit) action()  {}
func (Cancel) action()  {}
func (Changed) action() {}
func (Removed) action() {}
func (Wake) action()    {}

// Keeper is the state of all jobs: as much as containers are wanted, or leave.
type Keeper struct {
	terms Terms
	now   placer.Time
	rng   uint64
	out   []Action
	jobs  map[string]*job
	asks  map[string]*slot // by the id of the ask that is open or runs
	open  []bool
	lastN uint64
	due   dueHeap
	wake  placer.Time
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
	key      string
	ask      string
	revision int
	again    bool
	replaced bool // it was cancelled for a newer revision
	stamp    int  // of its place in the heap: older ones there count no more
	dirty    bool
	gone     bool
}

type dueItem struct {
	at    placer.Time
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
	return &Keeper{terms: t, rng: t.Seed*2862933555777941757 + 3037000493, jobs: map[string]*job{}, asks: map[string]*slot{},
		open: make([]bool, t.Doors)}
}

// Handle takes what happened by now and returns what is to be done, in that order.
func (k *Keeper) Handle(now placer.Time, events []Event) []Action {
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
	for _, s := range k.dirty {
		if s.dirty = false; !s.gone {
			k.out = append(k.out, Changed{s.Container})
		}
	}
	k.dirty = k.dirty[:0]
	if len(k.due) > 0 && (k.wake <= now || k.due[0].at < k.wake) {
		k.wake = k.due[0].at
		k.out = append(k.out, Wake{k.wake - now})
	}
	return k.out
}

func (k *Keeper) do(a Action) { k.out = append(k.out, a) }

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
	k.wait(s, placer.Time(k.chance()*float64(soon)), "not asked for yet")
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
		k.do(Cancel{s.Door, s.ask, s.key})
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

// callOff ends one that may run, by the placer that knows; while its door is lost it stays, or a later one in its
// place could be a second copy.
func (k *Keeper) callOff(s *slot) {
	if !k.open[s.Door] {
		k.turn(s, Unwatched, -1, s.Last)
		return
	}
	k.do(Cancel{s.Door, s.ask, s.key})
	k.remove(s)
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

func (k *Keeper) turn(s *slot, to State, after placer.Time, why string) {
	s.State, s.Since, s.Last, s.Until = to, k.now, why, 0
	s.stamp++
	if after >= 0 {
		s.Until = k.now + max(1, after)
		k.lastN++
		heap.Push(&k.due, dueItem{s.Until, k.lastN, s, s.stamp})
	}
	k.mark(s)
}

func (k *Keeper) wait(s *slot, after placer.Time, why string) {
	s.Machine, s.Held = "", false
	k.turn(s, Waiting, after, why)
}

// backOff doubles with each try, by chance, so that what was refused together does not return together.
func (k *Keeper) backOff(s *slot, least placer.Time) placer.Time {
	span := min(backOffMost, backOffFirst<<min(max(0, s.Tries-1), 5))
	return max(least, span/2) + placer.Time(k.chance()*float64(span/2))
}

// freshKey begins a life of a container: what ran under the key before has surely ended, or may run twice.
func (k *Keeper) freshKey(s *slot) {
	k.lastN++
	s.key = fmt.Sprintf("%s/%d/%d", s.Job, s.Index, k.lastN)
	s.Pinned, s.again = false, false
}

func (k *Keeper) forgetAsk(s *slot) {
	if k.asks[s.ask] == s {
		delete(k.asks, s.ask)
	}
}

func (k *Keeper) effect(s *slot) placer.Effect {
	if w := s.job.spec.Workload; w < len(k.terms.Workloads) {
		return k.terms.Workloads[w].Effect
	}
	return placer.AtMostOnce
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
		s.Pinned, s.again = true, true
		k.wait(s, 0, "made sure")
	case Unwatched:
		if k.effect(s) == placer.Reissuable {
			k.forgetAsk(s)
			k.freshKey(s)
			k.wait(s, soon, "its placer stays away")
		}
	}
}

// askFor submits a container to a placer by chance. One that may run is asked for where that is known: only the
// placer that sent it can tell, and asking another could start a second copy.
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
	k.forgetAsk(s)
	k.lastN++
	s.ask = fmt.Sprintf("%s/%d#%d", s.Job, s.Index, k.lastN)
	k.asks[s.ask] = s
	s.Door, s.revision = door, s.job.revision
	s.Tries++
	left := placer.Second
	if w := s.job.spec.Workload; w < len(k.terms.Workloads) {
		left = k.terms.Workloads[w].HardStop
	}
	k.turn(s, Asking, -1, "asked")
	k.do(Submit{door, s.ask, s.key, s.job.spec, left, s.again})
	s.again = true
}

func (k *Keeper) answered(e Answered) {
	s := k.asks[e.Ask]
	if s == nil || s.State != Asking || s.ask != e.Ask {
		return
	}
	if e.Verdict != Placed {
		k.forgetAsk(s)
	}
	switch e.Verdict {
	case Placed:
		s.Machine, s.Tries = e.Machine, 0
		s.Starts++
		k.turn(s, Running, -1, "runs")
		if s.Leaving {
			k.do(Cancel{s.Door, s.ask, s.key})
		}
		k.replace(s.job)
		return
	case GivenUp:
		if k.effect(s) != placer.Reissuable && e.Text != "cancelled" {
			k.guard(s, "given up, and it may run")
			return
		}
	}
	if s.Leaving {
		if e.Verdict == TurnedAway && s.Pinned { // that says nothing of what may run
			k.callOff(s)
			return
		}
		k.remove(s)
		return
	}
	what := map[Verdict]string{PushedBack: "pushed back", GivenUp: "given up", TurnedAway: "turned away"}[e.Verdict]
	if e.Text != "" {
		what += ": " + e.Text
	}
	if e.Verdict == PushedBack {
		s.Pinned = false // its placer has looked, and nothing of it runs
	}
	k.wait(s, k.backOff(s, e.HoldOff), what)
	s.Held = e.Verdict == TurnedAway
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
	s := k.asks[e.Ask]
	if s == nil || s.State != Running && s.State != Unwatched {
		return
	}
	lost := e.Outcome == placer.Reset && e.Reason == placer.NoReason
	if lost && k.effect(s) != placer.Reissuable {
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
	case e.Outcome == placer.Finished && s.job.spec.Once:
		s.Machine = ""
		k.turn(s, Done, -1, "finished")
	case e.Reason == placer.Evicted:
		k.wait(s, k.backOff(s, 0), "evicted for memory")
	case lost:
		k.wait(s, placer.Time(k.chance()*float64(2*soon)), "lost with its machine")
	default:
		k.wait(s, placer.Time(k.chance()*float64(2*soon)), map[placer.Outcome]string{placer.Finished: "finished",
			placer.Stopped: "stopped"}[e.Outcome]+map[placer.Reason]string{placer.SentAway: "sent away by its machine",
			placer.PushedOut: "pushed out by other work"}[e.Reason])
	}
	if s.replaced {
		s.replaced = false
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
	for _, s := range k.ordered() {
		mine := s.Door == e.Number
		switch {
		case !e.Open && mine && s.State == Asking:
			if s.Leaving && k.effect(s) == placer.Reissuable {
				k.remove(s)
				continue
			}
			if k.effect(s) == placer.Reissuable {
				k.forgetAsk(s)
				k.wait(s, soon+placer.Time(k.chance()*float64(4*soon)), "its placer was lost")
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
			s.Pinned, s.again = true, true
			k.wait(s, lookAgain+placer.Time(k.chance()*float64(2*lookAgain)), "its placer is back")
		case e.Open && s.State == Waiting && s.Until == 0:
			k.wait(s, placer.Time(k.chance()*float64(4*soon)), s.Last)
		}
	}
}

// ordered gives all slots in order of job and index.
func (k *Keeper) ordered() []*slot {
	ids := make([]string, 0, len(k.jobs))
	for id := range k.jobs {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	var all []*slot
	for _, id := range ids {
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
		if s.replaced || s.revision == j.revision && s.State != Running && s.State != Done && s.Starts > 0 {
			return // one is under way
		}
		if next == nil && s.State == Running && s.revision != j.revision {
			next = s
		}
	}
	if next != nil {
		next.replaced = true
		k.do(Cancel{next.Door, next.ask, next.key})
	}
}
