// Package recovery decides what becomes of work that is under way when a program dies. Round is for a placer that
// came up: which machines it asks what they hold, in which order and at what pace, and which keys wait for their
// word. Resume is for a keeper: what is done first for each container that its log names. Both are pure.
package recovery

import (
	"fmt"
	"sort"

	"glenport/scheduler"
)

// Tuned values.
const (
	reachAtOnce = 32 // machines asked in one step what they hold
	reachEvery  = 100 * scheduler.Millisecond
	reachAgain  = 2 * scheduler.Second // one that could not be asked
	sureWithin  = 3 * scheduler.Second // without a log: how long asks that came before wait for all to have told
)

// Held is a container at a machine, as the bid of one life of a placer.
type Held struct {
	Ask     scheduler.PlacementRequest `cbor:"Ask"`
	Machine scheduler.MachineID        `cbor:"Machine"`
	Life    uint64                     `cbor:"Life"`
	Bid     uint64                     `cbor:"Bid"`
	Running bool                       `cbor:"Running"`
}

// Log is how much a placer's log says of the bids of its earlier lives.
type Log uint8

const (
	NoLog   Log = iota
	Synced      // every bid of at-most-once work was on disk before it was sent
	Written     // every bid of work that is not reissuable was written, and the system has run on since
)

func (l Log) String() string { return [...]string{"none", "synced", "whole"}[l] }

// Event is something that happened.
type Event interface{ event() }

type (
	// Logged is a bid of an earlier life that the log has no end of; Unheard one of this life that ended without a
	// word that tells whether it ran.
	Logged  struct{ Held Held }
	Unheard struct{ Held Held }
	// Told is a machine's later word that a bid does not run.
	Told struct{ Held Held }
	// Named are machines of a list, all there are where it is whole and fresh; Unnamed is one that is gone.
	Named struct {
		Machines []scheduler.MachineID
		Whole    bool
	}
	Unnamed struct{ Machine scheduler.MachineID }
	// Spoke is a machine's word on all that it holds. Broke is the end of its link, NoLink one that could not be made,
	// Lost one that was not made in many tries.
	Spoke  struct{ Machine scheduler.MachineID }
	Broke  struct{ Machine scheduler.MachineID }
	NoLink struct{ Machine scheduler.MachineID }
	Lost   struct{ Machine scheduler.MachineID }
	// Passed is time.
	Passed struct{}
)

func (Logged) event()  {}
func (Unheard) event() {}
func (Told) event()    {}
func (Named) event()   {}
func (Unnamed) event() {}
func (Spoke) event()   {}
func (Broke) event()   {}
func (NoLink) event()  {}
func (Lost) event()    {}
func (Passed) event()  {}

// Action is something to be done.
type Action interface{ action() }

type (
	// Reach asks for a link to a machine, by which it says what it holds.
	Reach struct{ Machine scheduler.MachineID }
	// Settled says that nothing waits for a bid's end any more.
	Settled struct{ Held Held }
	// Sure says, once, that all that runs from earlier lives is known, as far as it can be.
	Sure struct{}
	// ToldAll says, once, that every machine of the list told, or is gone.
	ToldAll struct{}
)

func (Reach) action()   {}
func (Settled) action() {}
func (Sure) action()    {}
func (ToldAll) action() {}

// Writes tells what must be in a placer's log before a bid is sent: whether anything, and whether on disk. Work that
// must not run twice is worth a sync. Numbered work is only written, which the death of the process does not undo;
// after that of the system every machine is heard before a number that came before is let out.
func Writes(e scheduler.Idempotency) (write, sync bool) {
	return e != scheduler.Idempotent, e == scheduler.AtMostOnce
}

// Round is one life's. Doubts leave it by their machine's word or end, machines once they told or are gone.
type Round struct {
	log     Log
	effects []scheduler.Idempotency
	now     scheduler.Time
	began   scheduler.Time
	listed  bool
	said    bool
	all     bool
	out     []Action
	doubts  map[string][]doubt // by key: work that must not run twice and may
	asking  []*inquiry         // in order of time
}

type doubt struct {
	held  Held
	since scheduler.Time
}

// inquiry is a machine yet to be asked what it holds.
type inquiry struct {
	machine scheduler.MachineID
	at      scheduler.Time
	sent    bool
}

// NewRound begins a life; effects are those of the workloads.
func NewRound(log Log, effects []scheduler.Idempotency) *Round {
	return &Round{log: log, effects: effects, began: -1, doubts: map[string][]doubt{}}
}

// Handle takes what happened and returns what is to be done, in that order.
func (r *Round) Handle(now scheduler.Time, events ...Event) []Action {
	r.now, r.out = now, nil
	if r.began < 0 {
		r.began = now
	}
	for _, e := range events {
		switch e := e.(type) {
		case Logged:
			r.doubt(e.Held)
		case Unheard:
			if r.effect(e.Held.Ask.WorkloadClass) != scheduler.Idempotent {
				r.doubt(e.Held)
				r.inquire(e.Held.Machine, now)
			}
		case Told:
			r.settle(e.Held.Ask.IdempotencyKey, func(h Held) bool { return h.Bid == e.Held.Bid })
			r.told(e.Held.Machine) // its link stands, and what else it knows it will tell by it
		case Named:
			r.named(e)
		case Unnamed:
			r.told(e.Machine)
			r.settleAt(e.Machine)
		case Spoke:
			r.told(e.Machine)
			r.settleAt(e.Machine)
		case Broke:
			if q := r.inquiry(e.Machine); q != nil {
				q.sent, q.at = false, now
			}
		case NoLink:
			if q := r.inquiry(e.Machine); q != nil && q.sent {
				q.sent, q.at = false, now+reachAgain
			}
		case Lost:
			r.inquire(e.Machine, now+reachAgain)
		}
	}
	r.due()
	return r.out
}

func (r *Round) do(a Action) { r.out = append(r.out, a) }

func (r *Round) effect(workload int) scheduler.Idempotency {
	if workload >= 0 && workload < len(r.effects) {
		return r.effects[workload]
	}
	return scheduler.AtMostOnce
}

func (r *Round) doubt(h Held) {
	r.doubts[h.Ask.IdempotencyKey] = append(r.doubts[h.Ask.IdempotencyKey], doubt{h, r.now})
}

// settle ends a key's doubts that match.
func (r *Round) settle(key string, match func(Held) bool) {
	var left []doubt
	for _, d := range r.doubts[key] {
		if match(d.held) {
			r.do(Settled{d.held})
		} else {
			left = append(left, d)
		}
	}
	if r.doubts[key] = left; len(left) == 0 {
		delete(r.doubts, key)
	}
}

func (r *Round) settleAt(m scheduler.MachineID) {
	var keys []string
	for key, all := range r.doubts {
		for _, d := range all {
			if d.held.Machine == m {
				keys = append(keys, key)
				break
			}
		}
	}
	sort.Strings(keys)
	for _, key := range keys {
		r.settle(key, func(h Held) bool { return h.Machine == m })
	}
}

// named asks the machines of the first list, a few at a time: first those that may run what must not run twice, as
// its owners wait for their word. What a fresh list no longer has is gone; the list as last heard does not tell that.
func (r *Round) named(e Named) {
	waited, there := map[scheduler.MachineID]bool{}, map[scheduler.MachineID]bool{}
	for _, all := range r.doubts {
		for _, d := range all {
			waited[d.held.Machine] = true
		}
	}
	for _, m := range e.Machines {
		there[m] = true
	}
	if e.Whole {
		var gone []scheduler.MachineID
		for m := range waited {
			if !there[m] {
				gone = append(gone, m)
			}
		}
		sort.Slice(gone, func(i, j int) bool { return gone[i] < gone[j] })
		for _, m := range gone {
			r.told(m)
			r.settleAt(m)
		}
	}
	if r.listed || len(e.Machines) == 0 {
		return
	}
	r.listed = true
	n := 0
	for _, first := range []bool{true, false} {
		for _, m := range e.Machines {
			if waited[m] == first && r.inquiry(m) == nil {
				r.inquire(m, r.now+scheduler.Time(n/reachAtOnce)*reachEvery)
				n++
			}
		}
	}
}

func (r *Round) inquiry(m scheduler.MachineID) *inquiry {
	for _, q := range r.asking {
		if q.machine == m {
			return q
		}
	}
	return nil
}

// inquire has a machine asked. Where its link stands nothing is to be done: its word comes by that, or the link
// breaks and is then made anew.
func (r *Round) inquire(m scheduler.MachineID, at scheduler.Time) {
	if r.inquiry(m) == nil {
		r.asking = append(r.asking, &inquiry{machine: m, at: at})
	}
}

func (r *Round) told(m scheduler.MachineID) {
	for i, q := range r.asking {
		if q.machine == m {
			r.asking = append(r.asking[:i], r.asking[i+1:]...)
			return
		}
	}
}

// due asks the machines whose time has come.
func (r *Round) due() {
	for _, q := range r.asking {
		if !q.sent && q.at <= r.now {
			q.sent = true
			r.do(Reach{q.machine})
		}
	}
	if !r.said && (r.toldAll() || r.now >= r.began+sureWithin) {
		r.said = true
		r.do(Sure{})
	}
	if !r.all && r.toldAll() {
		r.all, r.log = true, Written
		r.do(ToldAll{})
	}
}

func (r *Round) toldAll() bool { return r.listed && len(r.asking) == 0 }

// Next is when time is to pass again; 0: it need not.
func (r *Round) Next() scheduler.Time {
	next := scheduler.Time(0)
	if !r.said {
		next = r.began + sureWithin
	}
	for _, q := range r.asking {
		if !q.sent && (next == 0 || q.at < next) {
			next = q.at
		}
	}
	return next
}

// Wait tells why an ask must wait, or is empty. Work that must not run twice never goes out while a bid of its key
// may run. Beyond that, an ask that came before waits until it is known what runs from earlier lives: at once with
// a log that has it all, and without one when all machines told, or for some seconds. Of numbered work some bids are
// missing from a log whose system stopped; that waits for every machine.
func (r *Round) Wait(a scheduler.PlacementRequest) string {
	effect := r.effect(a.WorkloadClass)
	if effect == scheduler.Idempotent {
		return ""
	}
	for _, d := range r.doubts[a.IdempotencyKey] {
		if effect == scheduler.AtMostOnce || r.earlier(d) {
			return fmt.Sprintf("key %s may run on machine %s, which has not told since %d ms", a.IdempotencyKey, d.held.Machine,
				(r.now-d.since)/scheduler.Millisecond)
		}
	}
	if !a.ClientRetry || r.toldAll() || r.log == Written || r.log == Synced && effect == scheduler.AtMostOnce {
		return ""
	}
	if r.log == NoLog && (r.said || r.now >= r.began+sureWithin) {
		return ""
	}
	return fmt.Sprintf("this placer came up %d ms ago and does not know yet what runs", (r.now-r.began)/scheduler.Millisecond)
}

// Unsure tells why it is not known yet whether anything of a key runs, or is empty.
func (r *Round) Unsure(key string) string {
	if all := r.doubts[key]; len(all) > 0 {
		return fmt.Sprintf("key %s may run on machine %s, which has not told", key, all[0].held.Machine)
	}
	if !r.said && !r.toldAll() {
		return fmt.Sprintf("this placer came up %d ms ago and does not know yet what runs", (r.now-r.began)/scheduler.Millisecond)
	}
	return ""
}

// earlier tells whether a doubt is of an earlier life. Of this life the placer module holds numbered work to its
// group and window by itself; of an earlier one nobody knows when its bid was sent.
func (r *Round) earlier(d doubt) bool { return d.since == r.began }

// Doubts is the number of keys that wait for a machine's word.
func (r *Round) Doubts() int { return len(r.doubts) }

// Phase is how far a container had come by a keeper's log.
type Phase uint8

const (
	Wanted Phase = iota // nothing of it was asked for, or what was is surely over
	Sent                // a placer was asked, or about to be: it may run
	Ran                 // a machine ran it
	Kept                // it was being waited for whether it runs
	Over                // it finished and is not started again
)

// Step is what is done first.
type Step uint8

const (
	Ask   Step = iota // it is asked for, anywhere
	Look              // the placer that was asked is asked again by the same key: it knows, or finds out
	Guard             // the wait begins anew: nobody knows how much of it had passed
	Leave             // nothing
)

// perSecond is how many containers a keeper asks for in a second while it recovers: a placer decides on some 10,000
// a second, and what came before must not crowd out what comes.
const perSecond = 2000

// Resume decides on one container, the nth of those that its keeper's log names. What may run is never asked for
// elsewhere, whatever its effect: a second copy of reissuable work does no harm, but nobody would end it.
func Resume(p Phase, n int) (Step, scheduler.Time) {
	pace := scheduler.Time(n) * scheduler.Second / perSecond
	switch p {
	case Sent, Ran:
		return Look, pace
	case Kept:
		return Guard, 0
	case Over:
		return Leave, 0
	}
	return Ask, pace
}
