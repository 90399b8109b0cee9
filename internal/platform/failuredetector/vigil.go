// Package failuredetector decides when what stands at a machine that has fallen silent is held to be lost. A machine that dies may
// say nothing at all, and the owners of what stood there are owed a word in time. It does no I/O and has no clock.
package failuredetector

import (
	"cmp"
	"slices"
)

// Time is a clock reading or a span, in tenths of a millisecond.
type Time int64

const Second Time = 10_000

// Tuned values. A word to owners is owed 8 s after the end at the latest; a machine that is only cut off for less than
// lostAfter keeps what it runs.
const (
	quietFor  = 2 * Second          // silence after which a machine is looked at
	lookEvery = Second              // and how often
	lostAfter = 6*Second + Second/2 // silence after which, with every look failed, what stood there is lost
	saidFor   = 10 * Second         // how long an end that nobody here knows of is kept, for who names its container yet,
	saidMost  = 4096                // and how many
)

// Event is something that happened to a machine.
type Event interface{ event() }

type (
	// Stands is how many containers stand at a machine now.
	Stands struct {
		Machine string
		Count   int
	}
	// Heard is any sign of life: bytes, or a connection that came up.
	Heard struct{ Machine string }
	// Refused is a connection that was turned down: nobody is there.
	Refused struct{ Machine string }
	// Said is an end of something that nobody here knows of. After a start machines tell what ended meanwhile on the first
	// link, and owners may name it as standing only then.
	Said struct {
		Machine, Call string
		Cause         int
	}
	// Named is a container that an owner has named as standing at a machine.
	Named struct{ Machine, Call string }
	// Tick tells that some time has passed.
	Tick struct{}
)

func (Stands) event()  {}
func (Heard) event()   {}
func (Refused) event() {}
func (Said) event()    {}
func (Named) event()   {}
func (Tick) event()    {}

// Action is something that the host is to do.
type Action interface{ action() }

type (
	// Look opens a connection to a machine and asks nothing.
	Look struct{ Machine string }
	// Lost ends all that stands at a machine.
	Lost struct {
		Machine string
		Silent  Time // 0: it turned a connection down
	}
	// Over ends a container that was named as standing after its machine had said that it is over.
	Over struct {
		Machine, Call string
		Cause         int
	}
)

func (Look) action() {}
func (Lost) action() {}
func (Over) action() {}

// Vigil watches machines at which something stands, until nothing stands there any more, and keeps ends that nobody knows
// of, the earliest first, for saidFor.
type Vigil struct {
	watched map[string]*watch
	said    []said
}

type said struct {
	Said
	at Time
}

type watch struct {
	machine  string
	heardAt  Time
	lookedAt Time // 0: not since it was heard
}

func New() *Vigil { return &Vigil{watched: map[string]*watch{}} }

// Handle takes what happened by now and returns what is to be done.
func (v *Vigil) Handle(now Time, events []Event) []Action {
	var out []Action
	for _, e := range events {
		switch e := e.(type) {
		case Stands:
			if w := v.watched[e.Machine]; e.Count == 0 {
				delete(v.watched, e.Machine)
			} else if w == nil {
				v.watched[e.Machine] = &watch{machine: e.Machine, heardAt: now}
			}
		case Heard:
			if w := v.watched[e.Machine]; w != nil {
				w.heardAt, w.lookedAt = now, 0
			}
		case Refused:
			if v.watched[e.Machine] != nil {
				out = append(out, Lost{Machine: e.Machine})
			}
		case Said:
			v.said = append(v.said[max(0, len(v.said)+1-saidMost):], said{e, now})
		case Named:
			for i, s := range v.said {
				if s.Machine == e.Machine && s.Call == e.Call {
					v.said = slices.Delete(v.said, i, i+1)
					out = append(out, Over(s.Said))
					break
				}
			}
		case Tick:
			v.said = slices.DeleteFunc(v.said, func(s said) bool { return now-s.at > saidFor })
			for _, w := range v.sorted() {
				silent := now - w.heardAt
				switch {
				case silent >= lostAfter:
					out = append(out, Lost{w.machine, silent})
				case silent >= quietFor && now-w.lookedAt >= lookEvery:
					w.lookedAt = now
					out = append(out, Look{w.machine})
				}
			}
		}
	}
	return out
}

func (v *Vigil) sorted() []*watch {
	out := make([]*watch, 0, len(v.watched))
	for _, w := range v.watched {
		out = append(out, w)
	}
	slices.SortFunc(out, func(a, b *watch) int { return cmp.Compare(a.machine, b.machine) })
	return out
}
