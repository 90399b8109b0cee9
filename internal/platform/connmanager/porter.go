// Package connmanager decides on the connections of a placer: which callers at its door are let go or left waiting while
// descriptors are few, which of them is told that a container which stood is over, and how many links a machine may
// have and for how long. It does no I/O and has no clock.
package connmanager

import (
	"cmp"
	"slices"
)

// Time is a clock reading or a span, in tenths of a millisecond.
type Time int64

const (
	Millisecond Time = 10
	Second      Time = 10_000
)

// Tuned values. What a peer can do to a door, not one deployment, sets them.
const (
	callersPart = 2                // one part in so many of the descriptors beyond the reserve is for callers, the rest for links;
	linksPart   = 3                // as long as there are enough, one part in so many of all is shared among the machines' links
	unknownFor  = 2 * Second       // a caller that has been sent nothing by then, and awaits nothing, is let go
	halfFor     = 2 * Second       // likewise one whose message is not whole by then
	settled     = Second / 5       // a caller younger than this may have a set-up on the way
	firstRest   = 50 * Millisecond // after a message that was turned away; it doubles with each more
	longestRest = Second
	staleAfter  = 4 * Second      // owners close a connection of their own that was unused for so long
	tellAgain   = Second / 4      // after this, who was told of an end has not heard it
	tellSome    = Second          // until then only an owner who has shown that work of his stands is told,
	tellAny     = Second / 2      // where there is one: the word is owed within a second
	tellUntil   = 10 * Second     // then an end that nobody hears is dropped
	longestStay = 3 * Second      // a placer told to leave is killed a while after the longest hard stop, or after this
	killedAfter = 7 * Second / 10 // where that is shorter, and so long after;
	hurryBefore = 3 * Second / 10 // shortly before it owes nothing any more
	idleLink    = 5 * Second      // a link beyond a machine's first that carries nothing is closed after it
	reserve     = 32              // for event queues, runtime, log, listener, a file, the bus (two while it moves), and bursts
	callTime    = Second / 2      // where links are short, one that carries nothing makes way after so long
)

// CallerID numbers the callers in the order in which they came.
type CallerID uint64

// Event is something that happened at the door.
type Event interface{ event() }

type (
	Came  struct{ Caller CallerID }
	Heard struct {
		Caller CallerID
		Half   bool // a message is not whole yet
	}
	Asked    struct{ Caller CallerID } // a set-up was taken in
	Answered struct {                  // something was sent to it
		Caller CallerID
		Closed int // set-ups that this closed
	}
	TookBack   struct{ Caller CallerID } // its owner gave a set-up up
	TurnedAway struct{ Caller CallerID } // a message that nothing can be done with was answered
	// Proved tells that a caller speaks for owners: it was given a yes.
	Proved struct{ Caller CallerID }
	// Named tells that a caller named what stands. Anybody can do that, but after a start owners do nothing else at first.
	Named struct{ Caller CallerID }
	Left  struct{ Caller CallerID }
	// Over is a container that stood and has ended; Caller is who asked for it, 0 where that has left.
	Over struct {
		Call   string
		Cause  int
		Caller CallerID
	}
	HeardOver struct { // a caller says that it has heard of that end
		Call   string
		Caller CallerID
	}
	Tick struct{} // some time has passed
)

func (Came) event()       {}
func (Heard) event()      {}
func (Asked) event()      {}
func (Answered) event()   {}
func (TookBack) event()   {}
func (TurnedAway) event() {}
func (Proved) event()     {}
func (Named) event()      {}
func (Left) event()       {}
func (Over) event()       {}
func (HeardOver) event()  {}
func (Tick) event()       {}

// Action is something that the host is to do.
type Action interface{ action() }

type (
	// LetGo closes a caller's connection.
	LetGo struct {
		Caller CallerID
		Why    string
	}
	// Tell tells a caller that a container is over.
	Tell struct {
		Call   string
		Cause  int
		Caller CallerID
	}
	// Rest leaves what a caller sends unread for a while.
	Rest struct {
		Caller CallerID
		For    Time
	}
)

func (LetGo) action() {}
func (Tell) action()  {}
func (Rest) action()  {}

// Porter knows the callers at one door, until they have left, and the ends that nobody has heard of yet, for
// tellUntil at most.
type Porter struct {
	most    int
	callers map[CallerID]*caller
	staying int // callers that were not told to go
	ends    []*end
}

type end struct {
	call  string
	cause int
	since Time
	to    CallerID // who was told last; 0: nobody
	at    Time
	tried []CallerID
}

type caller struct {
	id     CallerID
	came   Time
	usedAt Time
	half   Time // since when a message is not whole; 0: none is under way
	open   int  // set-ups without an answer
	sent   bool
	proved bool
	heard  bool // of an end
	named  bool
	rest   Time
	going  bool
}

// speaks tells whether a caller speaks for owners, by what it has shown or says.
func (c *caller) speaks() bool { return c.proved || c.named }

// proof is how sure it is that a caller speaks for owners.
func (c *caller) proof() int {
	switch {
	case c.heard:
		return 3
	case c.proved:
		return 2
	case c.named:
		return 1
	}
	return 0
}

// New makes the porter of a placer that may hold so many descriptors.
func New(descriptors int) *Porter {
	return &Porter{most: forCallers(descriptors), callers: map[CallerID]*caller{}}
}

// Handle takes what happened by now and returns what is to be done.
func (p *Porter) Handle(now Time, events []Event) []Action {
	var out []Action
	for _, e := range events {
		switch e := e.(type) {
		case Came:
			p.callers[e.Caller] = &caller{id: e.Caller, came: now, usedAt: now}
			p.staying++
			if p.staying > p.most {
				out = p.makeRoom(now, out)
			}
		case Heard:
			if c := p.callers[e.Caller]; c != nil {
				if c.usedAt = now; !e.Half {
					c.half = 0
				} else if c.half == 0 {
					c.half = now
				}
			}
		case Asked:
			if c := p.callers[e.Caller]; c != nil {
				c.open++
			}
		case Answered:
			if c := p.callers[e.Caller]; c != nil {
				c.usedAt, c.sent = now, true
				c.open -= e.Closed
			}
		case TookBack:
			if c := p.callers[e.Caller]; c != nil {
				c.open--
			}
		case TurnedAway:
			if c := p.callers[e.Caller]; c != nil && !c.going {
				c.rest = min(max(firstRest, 2*c.rest), longestRest)
				out = append(out, Rest{c.id, c.rest})
			}
		case Left:
			if c := p.callers[e.Caller]; c != nil {
				if delete(p.callers, e.Caller); !c.going {
					p.staying--
				}
			}
			for _, x := range p.ends {
				if x.to == e.Caller {
					out = p.tell(now, x, out)
				}
			}
		case Proved:
			if c := p.callers[e.Caller]; c != nil {
				c.proved = true
			}
		case Named:
			if c := p.callers[e.Caller]; c != nil {
				c.named = true
			}
		case Over:
			x := &end{call: e.Call, cause: e.Cause, since: now}
			p.ends = append(p.ends, x)
			if c := p.callers[e.Caller]; c != nil && !c.going {
				out = p.tellTo(now, x, c, out)
			} else {
				out = p.tell(now, x, out)
			}
		case HeardOver:
			// Only who hears of an end that is being told proves something: anybody can say that he heard of another.
			told := func(x *end) bool { return x.call == e.Call && slices.Contains(x.tried, e.Caller) }
			if c := p.callers[e.Caller]; c != nil && slices.ContainsFunc(p.ends, told) {
				c.proved, c.heard = true, true
			}
			p.ends = slices.DeleteFunc(p.ends, func(x *end) bool { return x.call == e.Call })
		case Tick:
			p.ends = slices.DeleteFunc(p.ends, func(x *end) bool { return now-x.since > tellUntil })
			for _, x := range p.ends {
				if x.to == 0 || now-x.at >= tellAgain {
					out = p.tell(now, x, out)
				}
			}
			callers := p.sorted()
			spoken := slices.ContainsFunc(callers, func(c *caller) bool { return c.proved && !c.going })
			for _, c := range callers {
				switch {
				case c.going || c.open > 0:
				// One that named what stands stays while nobody else could be told what ends.
				case !c.sent && !c.proved && (!c.named || spoken) && now-c.came > unknownFor:
					out = p.letGo(c, "it has asked nothing", out)
				case c.half > 0 && now-c.half > halfFor:
					out = p.letGo(c, "its message never ends", out)
				}
			}
		}
	}
	return out
}

// tell names the caller that hears of an end: the one used last of those that speak for owners and have not been told,
// and if there is none for a while, of all that await an answer or had one: where set-ups take seconds, an owner's new
// connections may all be such. With none left, whoever was told may hear it yet.
func (p *Porter) tell(now Time, x *end, out []Action) []Action {
	var to *caller
	callers := p.sorted()
	others := tellAny
	if slices.ContainsFunc(callers, func(c *caller) bool { return c.speaks() && !c.going }) {
		others = tellSome
	}
	for _, c := range callers {
		fits := !c.going && (c.speaks() || (c.sent || c.open > 0) && now-x.since >= others) && !slices.Contains(x.tried, c.id)
		if fits && (to == nil || c.proof() > to.proof() || c.proof() == to.proof() && c.usedAt >= to.usedAt) {
			to = c
		}
	}
	if to == nil {
		return out
	}
	return p.tellTo(now, x, to, out)
}

func (p *Porter) tellTo(now Time, x *end, c *caller, out []Action) []Action {
	x.to, x.at, x.tried = c.id, now, append(x.tried, c.id)
	return append(out, Tell{x.call, x.cause, c.id})
}

func (p *Porter) letGo(c *caller, why string, out []Action) []Action {
	c.going = true
	p.staying--
	return append(out, LetGo{c.id, why})
}

func (p *Porter) sorted() []*caller {
	out := make([]*caller, 0, len(p.callers))
	for _, c := range p.callers {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b *caller) int { return cmp.Compare(a.id, b.id) })
	return out
}

// makeRoom lets one caller go that awaits nothing: first one that came some time ago and has asked nothing, then one that
// never spoke for an owner, then a connection that its owner has left unused, then the newest, then the one used last
// longest ago. Where all await something the newest goes, and what it asked is taken back.
func (p *Porter) makeRoom(now Time, out []Action) []Action {
	const fresh, awaits = 3, 5
	rank := func(c *caller) int {
		switch {
		case c.open > 0:
			return awaits
		case c.speaks() && now-c.usedAt > staleAfter:
			return 2
		case c.speaks():
			return 4
		case now-c.came < settled:
			return fresh
		case c.sent:
			return 1
		}
		return 0
	}
	var worst *caller
	for _, c := range p.sorted() {
		switch {
		case c.going:
		case worst == nil || rank(c) < rank(worst):
			worst = c
		case rank(c) > rank(worst):
		case rank(c) == fresh || rank(c) == awaits || c.usedAt < worst.usedAt:
			worst = c
		}
	}
	return p.letGo(worst, "the door is full", out)
}

// MostLinks is the number of links that each of so many machines may have.
func MostLinks(descriptors, machines int) int { return max(1, descriptors/linksPart/max(1, machines)) }

// Bears tells whether one more connection may be opened before one that makes way for it is closed: its descriptor is free
// only after the turn, and until then the reserve has to bear it, beside the program's own needs and as many new callers.
func Bears(descriptors, connections int) bool { return connections < descriptors-reserve+reserve/4 }

// AllLinks is the number of links that a placer may have in all: what callers and the program's own needs leave.
func AllLinks(descriptors int) int { return max(8, descriptors-forCallers(descriptors)-reserve) }

func forCallers(descriptors int) int { return max(8, (descriptors-reserve)/callersPart) }

// Link is what counts when it is asked whether a link stays.
type Link struct {
	First  bool // the machine's
	Stands bool // a container stands at the machine,
	Here   bool // and its set-up went over this link: its end will come here, and could cross a close
	Idle   Time // since when it has carried nothing
	Closes Time // the machine closes a link that is idle for so long
}

// Keeps tells whether a link that carries nothing stays. It goes well before the machine would close it: a bid that
// crosses such a close may have run.
func (l Link) Keeps() bool {
	switch {
	case l.Here || l.First && l.Stands:
		return true
	case l.First:
		return l.Idle < l.Closes/2
	}
	return l.Idle < min(idleLink, l.Closes/2)
}

// Yields tells in which order links that carry nothing make way where there may be no more: the least first, never one
// below 0. What ended at the machine of a link that made way is said again on the next one, and a vigil calls each machine
// where something stands every few seconds.
func (l Link) Yields() int {
	switch {
	case l.Idle < callTime:
		return -1
	case l.Here:
		return 2
	case l.Stands:
		return 1
	}
	return 0
}

// Fits tells whether a link may carry a bid: not one that the machine may be closing right now.
func (l Link) Fits() bool { return l.Idle < l.Closes/2 }

// stay is how long a placer that was told to leave takes in what is on its way, and tells ends.
func stay(longest Time) Time { return max(killedAfter, min(longest, longestStay)) }

// Stays tells whether a placer that was told to leave so long ago, with so many set-ups unanswered, stays. Longest is the
// longest hard stop.
func Stays(since Time, unanswered int, longest Time) bool {
	return since < stay(longest) || unanswered > 0
}

// Hurries tells whether it answers what is still open, before it is killed.
func Hurries(since, longest Time) bool { return since >= stay(longest)+killedAfter-hurryBefore }
