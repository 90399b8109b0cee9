// Package custody decides what a placer takes in at its door, and what becomes of containers that run, or may
// run, outside the ordinary path of a bid: after a restart of the placer, a broken link, a time-out, or when
// an owner asks again for what runs already. It is pure: Handle takes what happened and returns what is to be
// done. Which machine a container goes to is the placer module's business alone.
package custody

import (
	"fmt"
	"sort"

	"glenport/placer"
)

// Tuned values.
const (
	resumeTries = 3 // links tried to a machine that runs our containers before they count as lost
	resumeFirst = 200 * placer.Millisecond
	resumeGrows = 4
	reachAtOnce = 32 // machines asked in one step what they hold
	reachEvery  = 100 * placer.Millisecond
	reachAgain  = 2 * placer.Second // one that could not be asked
	sureWithin  = 3 * placer.Second // after a start: how long asks that came before wait for all to have told
	holdOff     = 500 * placer.Millisecond
	fullHoldOff = placer.Second
)

// Bounds are what the door takes in at most.
type Bounds struct {
	Callers       int // links of owners
	Open          int // containers without a final answer
	OpenPerCaller int
}

// Caller is an owner's link.
type Caller uint64

// Held is a container at a machine, as the bid of one life of this placer.
type Held struct {
	Ask     placer.Ask
	Machine placer.MachineID
	Life    uint64
	Bid     uint64
	Running bool
}

// Event is something that happened.
type Event interface{ event() }

type (
	// Called and Left are an owner's link coming and going.
	Called struct{ Caller Caller }
	Left   struct{ Caller Caller }
	// Asked is a submission.
	Asked struct {
		Caller Caller
		Ask    placer.Ask
	}
	// Answered is a final answer other than placed; Placed a machine's yes in time.
	Answered struct{ ID placer.ContainerID }
	Placed   struct {
		ID      placer.ContainerID
		Machine placer.MachineID
		Bid     uint64
	}
	// Ended says that nothing of a container is left at this placer.
	Ended struct{ ID placer.ContainerID }
	// Unheard is a bid that ended without a word that tells whether it ran; Told is the machine's later word that
	// it does not run.
	Unheard struct{ Held Held }
	Told    struct{ Held Held }
	// LateYes is a yes to a bid that was over.
	LateYes struct{ Held Held }
	// Holds is a machine's word on all it holds for this placer.
	Holds struct {
		Machine placer.MachineID
		Held    []Held
	}
	// Broke is the end of a link, NoLink one that could not be made.
	Broke  struct{ Machine placer.MachineID }
	NoLink struct{ Machine placer.MachineID }
	// Named are machines of a list; Unnamed one that is gone.
	Named   struct{ Machines []placer.MachineID }
	Unnamed struct{ Machine placer.MachineID }
	Woke    struct{}
)

func (Called) event()   {}
func (Left) event()     {}
func (Asked) event()    {}
func (Answered) event() {}
func (Placed) event()   {}
func (Ended) event()    {}
func (Unheard) event()  {}
func (Told) event()     {}
func (LateYes) event()  {}
func (Holds) event()    {}
func (Broke) event()    {}
func (NoLink) event()   {}
func (Named) event()    {}
func (Unnamed) event()  {}
func (Woke) event()     {}

// Action is something to be done.
type Action interface{ action() }

type (
	// Dismiss ends an owner's link.
	Dismiss struct {
		Caller Caller
		Why    string
	}
	// Pass hands an ask to the placer module; Refuse turns it away.
	Pass struct {
		Caller Caller
		Ask    placer.Ask
	}
	Refuse struct {
		Caller  Caller
		ID      placer.ContainerID
		Why     string
		HoldOff placer.Time
	}
	// Stands answers an ask by what runs already.
	Stands struct {
		Caller  Caller
		ID      placer.ContainerID
		As      placer.ContainerID // the id it runs under
		Machine placer.MachineID
	}
	// CallOff stops a bid at its machine.
	CallOff struct {
		Machine placer.MachineID
		Life    uint64
		Bid     uint64
	}
	// Adopt takes over what runs.
	Adopt struct{ Held Held }
	// Lost says that a placed container is gone with its machine.
	Lost struct{ ID placer.ContainerID }
	// Reach asks for a link to a machine.
	Reach struct{ Machine placer.MachineID }
	// Sure says, once, that all that runs from earlier lives is known, as far as it can be.
	Sure struct{}
	Wake struct{ After placer.Time }
	Log  struct{ Text string }
)

func (Dismiss) action() {}
func (Pass) action()    {}
func (Refuse) action()  {}
func (Stands) action()  {}
func (CallOff) action() {}
func (Adopt) action()   {}
func (Lost) action()    {}
func (Reach) action()   {}
func (Sure) action()    {}
func (Wake) action()    {}
func (Log) action()     {}

// Table is the custody of one life of a placer. Containers leave it when they end, callers with their link,
// machines once they told, came back or are gone.
type Table struct {
	life    uint64
	bounds  Bounds
	effects []placer.Effect
	now     placer.Time
	began   placer.Time
	said    bool // and that was said
	sure    bool // every machine of the first list told what it holds, or time is up
	listed  bool
	out     []Action

	own     map[placer.ContainerID]*container
	keys    map[string]*container
	at      map[placer.MachineID]map[*container]bool // that run there
	open    int
	callers map[Caller]int // open containers of each
	broken  map[placer.MachineID]*gap
	doubts  map[string]doubt // by key: work that must not run twice and may; emptied by its machine's word or end
	asking  []*inquiry       // in order of time
	wakeAt  placer.Time
}

// doubt is a bid that may run, or may have.
type doubt struct {
	machine placer.MachineID
	life    uint64
	bid     uint64
	since   placer.Time
}

type container struct {
	id      placer.ContainerID
	key     string
	caller  Caller
	open    bool
	machine placer.MachineID // where it runs, by which bid of which life
	life    uint64
	bid     uint64
	late    *Held // a bid that was over and runs, while the container is still open
}

// gap is a broken link to a machine that runs our containers.
type gap struct {
	tries int
	idle  bool        // no try is under way
	next  placer.Time // when the next one is
	pause placer.Time
}

// inquiry is a machine yet to be asked what it holds.
type inquiry struct {
	machine placer.MachineID
	at      placer.Time
	sent    bool
}

func New(life uint64, b Bounds, effects []placer.Effect) *Table {
	return &Table{life: life, bounds: b, effects: effects, began: -1, own: map[placer.ContainerID]*container{},
		keys: map[string]*container{}, at: map[placer.MachineID]map[*container]bool{},
		callers: map[Caller]int{}, broken: map[placer.MachineID]*gap{}, doubts: map[string]doubt{}}
}

// Handle takes what happened by now and returns what is to be done, in that order.
func (t *Table) Handle(now placer.Time, events []Event) []Action {
	t.now, t.out = now, nil
	if t.began < 0 {
		t.began = now
	}
	for _, e := range events {
		switch e := e.(type) {
		case Called:
			t.called(e.Caller)
		case Left:
			delete(t.callers, e.Caller)
		case Asked:
			t.asked(e)
		case Answered:
			if c := t.own[e.ID]; c != nil {
				t.shut(c)
			}
		case Placed:
			t.placed(e)
		case Ended:
			t.ended(e.ID)
		case Unheard:
			if h := e.Held; t.effect(h) != placer.Reissuable {
				t.doubts[h.Ask.Key] = doubt{h.Machine, h.Life, h.Bid, now}
				t.inquire(h.Machine)
			}
		case Told:
			if d := t.doubts[e.Held.Ask.Key]; d.bid == e.Held.Bid {
				delete(t.doubts, e.Held.Ask.Key)
			}
			t.told(e.Held.Machine) // its link stands, and what else it knows it will tell by it
		case LateYes:
			delete(t.doubts, e.Held.Ask.Key)
			t.lateYes(e.Held)
		case Holds:
			t.holds(e)
		case Broke:
			for _, q := range t.asking {
				if q.machine == e.Machine {
					q.sent, q.at = false, now
				}
			}
			if len(t.at[e.Machine]) > 0 && t.broken[e.Machine] == nil {
				t.broken[e.Machine] = &gap{pause: resumeFirst, idle: true, next: now}
			}
		case NoLink:
			t.noLink(e.Machine)
		case Named:
			t.named(e.Machines)
		case Unnamed:
			t.told(e.Machine)
			t.undoubt(e.Machine)
		}
	}
	t.due()
	return t.out
}

func (t *Table) do(a Action) { t.out = append(t.out, a) }

func (t *Table) called(c Caller) {
	if len(t.callers) >= t.bounds.Callers {
		t.do(Dismiss{c, fmt.Sprintf("%d owners are connected, no more are taken", len(t.callers))})
		return
	}
	t.callers[c] = 0
}

// asked guards the door: the bounds, ids and keys that are open already, and, after a start, keys that may
// run where nobody has told yet. Everything refused here was never bid, so asking again does no harm.
func (t *Table) asked(e Asked) {
	refuse := func(wait placer.Time, format string, a ...any) {
		t.do(Refuse{e.Caller, e.Ask.ID, fmt.Sprintf(format, a...), wait})
	}
	n, known := t.callers[e.Caller]
	switch c := t.keys[e.Ask.Key]; {
	case !known:
		return // its link is gone, nobody would hear
	case e.Ask.Workload >= len(t.effects):
		refuse(0, "there is no workload %d", e.Ask.Workload)
	case t.own[e.Ask.ID] != nil:
		refuse(0, "container %s is known already", e.Ask.ID)
	case c != nil && c.machine != "":
		t.do(Stands{e.Caller, e.Ask.ID, c.id, c.machine})
	case c != nil && (c.open || c.late != nil):
		refuse(holdOff, "key %s is being placed as %s", e.Ask.Key, c.id)
	case t.doubtful(e.Ask):
		d := t.doubts[e.Ask.Key]
		refuse(holdOff, "key %s may run on machine %s, which has not told since %d ms", e.Ask.Key, d.machine,
			(t.now-d.since)/placer.Millisecond)
	case t.open >= t.bounds.Open:
		refuse(fullHoldOff, "%d containers are open, no more are taken", t.open)
	case n >= t.bounds.OpenPerCaller:
		refuse(fullHoldOff, "%d containers of this owner are open, no more are taken", n)
	case e.Ask.Again && !t.isSure() && t.effects[e.Ask.Workload] != placer.Reissuable:
		refuse(holdOff, "this placer came up %d ms ago and does not know yet what runs",
			(t.now-t.began)/placer.Millisecond)
	default:
		c := &container{id: e.Ask.ID, key: e.Ask.Key, caller: e.Caller, open: true}
		t.own[c.id], t.keys[c.key] = c, c
		t.open++
		t.callers[e.Caller]++
		t.do(Pass{e.Caller, e.Ask})
	}
}

// doubtful tells whether an ask must wait for a machine's word: at-most-once work never goes out while a bid of its
// key may run. A machine that is gone from the list, or that names all it holds, ends the doubt.
func (t *Table) doubtful(a placer.Ask) bool {
	_, ok := t.doubts[a.Key]
	return ok && t.effects[a.Workload] == placer.AtMostOnce
}

// inquire has a machine asked what it holds. Where its link stands nothing is to be done: its word comes by that,
// or the link breaks and is then made anew.
func (t *Table) inquire(m placer.MachineID) {
	for _, q := range t.asking {
		if q.machine == m {
			return
		}
	}
	t.asking = append(t.asking, &inquiry{machine: m, at: t.now})
}

func (t *Table) undoubt(m placer.MachineID) {
	for key, d := range t.doubts {
		if d.machine == m {
			delete(t.doubts, key)
		}
	}
}

// isSure tells whether it is known what runs from earlier lives, as far as it can be.
func (t *Table) isSure() bool {
	if !t.sure && (t.now >= t.began+sureWithin || t.listed && len(t.asking) == 0) {
		t.sure = true
	}
	return t.sure
}

// shut notes that a container's final answer is out.
func (t *Table) shut(c *container) {
	if !c.open {
		return
	}
	c.open = false
	t.open--
	if n, ok := t.callers[c.caller]; ok {
		t.callers[c.caller] = n - 1
	}
}

func (t *Table) placed(e Placed) {
	c := t.own[e.ID]
	if c == nil {
		return
	}
	t.shut(c)
	t.run(c, e.Machine, t.life, e.Bid)
	if c.late != nil { // its earlier bid ran after all: one copy is enough
		t.callOff(*c.late)
		c.late = nil
	}
}

func (t *Table) run(c *container, m placer.MachineID, life, bid uint64) {
	c.machine, c.life, c.bid = m, life, bid
	if t.at[m] == nil {
		t.at[m] = map[*container]bool{}
	}
	t.at[m][c] = true
}

func (t *Table) ended(id placer.ContainerID) {
	c := t.own[id]
	if c == nil {
		return
	}
	t.shut(c)
	delete(t.own, id)
	if t.keys[c.key] == c {
		delete(t.keys, c.key)
	}
	if c.machine != "" {
		delete(t.at[c.machine], c)
		if len(t.at[c.machine]) == 0 {
			delete(t.at, c.machine)
			delete(t.broken, c.machine)
		}
	}
	if c.late != nil {
		t.adopt(*c.late)
	}
}

func (t *Table) callOff(h Held) { t.do(CallOff{h.Machine, h.Life, h.Bid}) }

// lateYes settles a bid that turns out to run though it was over. Reissuable work is stopped: its container
// went elsewhere or was handed back, and a copy that nobody waits for only takes room. What must not run twice
// is never stopped for that; it is taken over once its container is closed.
func (t *Table) lateYes(h Held) {
	switch c := t.own[h.Ask.ID]; {
	case t.effect(h) == placer.Reissuable:
		t.callOff(h)
	case c == nil:
		t.adopt(h)
	case c.machine != "":
		if c.machine != h.Machine || c.bid != h.Bid {
			t.callOff(h)
		}
	case c.late == nil:
		c.late = &h
	default:
		t.callOff(h)
	}
}

func (t *Table) effect(h Held) placer.Effect {
	if h.Ask.Workload < len(t.effects) {
		return t.effects[h.Ask.Workload]
	}
	return placer.AtMostOnce
}

// adopt takes over what runs, unless its key runs or is being placed here under another id.
func (t *Table) adopt(h Held) {
	if h.Ask.Workload >= len(t.effects) {
		t.do(Log{fmt.Sprintf("machine %s runs %s of unknown workload %d: left alone", h.Machine, h.Ask.ID, h.Ask.Workload)})
		return
	}
	if t.own[h.Ask.ID] != nil {
		return
	}
	if o := t.keys[h.Ask.Key]; o != nil && (o.machine != "" || t.effect(h) == placer.Reissuable) {
		t.callOff(h)
		return
	}
	c := &container{id: h.Ask.ID, key: h.Ask.Key}
	t.own[c.id] = c
	if t.keys[c.key] == nil {
		t.keys[c.key] = c
	}
	t.run(c, h.Machine, h.Life, h.Bid)
	t.do(Adopt{h})
}

// holds compares a machine's word with what is known. What should run there and is not named is lost. What is
// named and not known comes from an earlier life or from a bid that was over: offers that only wait are called
// off, as nobody would hear their answer.
func (t *Table) holds(e Holds) {
	t.told(e.Machine)
	t.undoubt(e.Machine)
	delete(t.broken, e.Machine)
	named := map[[2]uint64]bool{}
	for _, h := range e.Held {
		named[[2]uint64{h.Life, h.Bid}] = true
	}
	for _, c := range t.runningAt(e.Machine) {
		if !named[[2]uint64{c.life, c.bid}] {
			t.do(Lost{c.id})
		}
	}
	took := 0
	for _, h := range e.Held {
		c := t.own[h.Ask.ID]
		switch {
		case c != nil && c.machine == e.Machine && c.life == h.Life && c.bid == h.Bid:
		case !h.Running:
			t.callOff(h)
		case h.Life == t.life:
			t.lateYes(h)
		default:
			took++
			t.adopt(h)
		}
	}
	if took > 0 {
		t.do(Log{fmt.Sprintf("machine %s runs %d containers of an earlier life: taken over", e.Machine, took)})
	}
}

// runningAt is in order of ids, so that equal events are answered alike.
func (t *Table) runningAt(m placer.MachineID) []*container {
	all := make([]*container, 0, len(t.at[m]))
	for c := range t.at[m] {
		all = append(all, c)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].id < all[j].id })
	return all
}

// noLink gives up a machine's containers after some tries. A short loss of the link costs nothing then, and a
// dead machine is known a second after it died; containers that run on behind a longer cut are taken over, or
// stopped, when it ends.
func (t *Table) noLink(m placer.MachineID) {
	for _, q := range t.asking {
		if q.machine == m && q.sent {
			q.sent, q.at = false, t.now+reachAgain
		}
	}
	g := t.broken[m]
	if g == nil {
		return
	}
	if g.tries < resumeTries {
		g.idle, g.next, g.pause = true, t.now+g.pause, g.pause*resumeGrows
		return
	}
	lost := t.runningAt(m)
	t.do(Log{fmt.Sprintf("machine %s: no link in %d tries, %d containers lost", m, g.tries, len(lost))})
	delete(t.broken, m)
	for _, c := range lost {
		t.do(Lost{c.id})
	}
	// Behind a cut they run on, and nothing else may call that machine for long: it is asked until it tells, or
	// until the list says that it is gone.
	t.inquire(m)
	t.asking[len(t.asking)-1].at = t.now + reachAgain
}

// named notes the machines of the first list that has any: each is asked what it holds, a few at a time.
func (t *Table) named(machines []placer.MachineID) {
	if t.listed || len(machines) == 0 {
		return
	}
	t.listed = true
	for i, m := range machines {
		t.asking = append(t.asking, &inquiry{machine: m, at: t.now + placer.Time(i/reachAtOnce)*reachEvery})
	}
}

// told ends the asking of one machine.
func (t *Table) told(m placer.MachineID) {
	for i, q := range t.asking {
		if q.machine == m {
			t.asking = append(t.asking[:i], t.asking[i+1:]...)
			return
		}
	}
}

// due does what its time has come for and sets the next waking.
func (t *Table) due() {
	next := placer.Time(0)
	later := func(at placer.Time) {
		if next == 0 || at < next {
			next = at
		}
	}
	if !t.said {
		if t.said = t.isSure(); t.said {
			t.do(Sure{})
		} else {
			later(t.began + sureWithin)
		}
	}
	for _, q := range t.asking {
		if !q.sent && q.at <= t.now {
			q.sent = true
			t.do(Reach{q.machine})
		} else if !q.sent {
			later(q.at)
		}
	}
	var retry []placer.MachineID
	for m, g := range t.broken {
		if g.idle && g.next <= t.now {
			retry = append(retry, m)
		} else if g.idle {
			later(g.next)
		}
	}
	sort.Slice(retry, func(i, j int) bool { return retry[i] < retry[j] })
	for _, m := range retry {
		t.broken[m].idle = false
		t.broken[m].tries++
		t.do(Reach{m})
	}
	if next > 0 && (t.wakeAt <= t.now || next < t.wakeAt) {
		t.wakeAt = next
		t.do(Wake{next - t.now})
	}
}
