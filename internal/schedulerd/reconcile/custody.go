// Package reconcile decides what a placer takes in at its door, and what becomes of containers that run, or may
// run, outside the ordinary path of a bid: after a restart of the placer, a broken link, a time-out, or when
// an owner asks again for what runs already. It is pure: Handle takes what happened and returns what is to be
// done. Which machine a container goes to is the placer module's business alone.
package reconcile

import (
	"fmt"
	"sort"

	"glenport/internal/schedulerd/overload"
	"glenport/internal/schedulerd/recovery"
	"glenport/scheduler"
)

// Tuned values.
const (
	resumeTries = 3 // links tried to a machine that runs our containers before they count as lost
	resumeFirst = 200 * scheduler.Millisecond
	resumeGrows = 4
	holdOff     = 500 * scheduler.Millisecond
	fullHoldOff = scheduler.Second
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
type Held = recovery.Held

// Event is something that happened.
type Event interface{ event() }

type (
	// Called and Left are an owner's link coming and going.
	Called struct{ Caller Caller }
	Left   struct{ Caller Caller }
	// Asked is a submission.
	Asked struct {
		Caller Caller
		Ask    scheduler.PlacementRequest
	}
	// Cancelled is an owner's word that it no longer wants a container, or what runs under a key.
	Cancelled struct {
		Caller Caller
		ID     scheduler.ContainerID
		Key    string
	}
	// Looked asks for what runs under a key; nothing is to be started.
	Looked struct {
		Caller Caller
		ID     scheduler.ContainerID
		Key    string
	}
	// Answered is a final answer other than placed; Placed a machine's yes in time.
	Answered struct{ ID scheduler.ContainerID }
	Placed   struct {
		ID      scheduler.ContainerID
		Machine scheduler.MachineID
		Bid     uint64
	}
	// Ended says that nothing of a container is left at this placer.
	Ended struct{ ID scheduler.ContainerID }
	// Logged is a bid of an earlier life that the log has no end of.
	Logged struct{ Held Held }
	// Unheard is a bid that ended without a word that tells whether it ran; Told is the machine's later word that
	// it does not run.
	Unheard struct{ Held Held }
	Told    struct{ Held Held }
	// LateYes is a yes to a bid that was over.
	LateYes struct{ Held Held }
	// Holds is a machine's word on all it holds for this placer.
	Holds struct {
		Machine scheduler.MachineID
		Held    []Held
	}
	// Broke is the end of a link, NoLink one that could not be made, perhaps for a want of this placer's own.
	Broke  struct{ Machine scheduler.MachineID }
	NoLink struct {
		Machine scheduler.MachineID
		Short   bool
	}
	// Named are machines of a list, all there are where it is whole and fresh; Unnamed is one that is gone.
	Named struct {
		Machines []scheduler.MachineID
		Whole    bool
	}
	Unnamed struct{ Machine scheduler.MachineID }
	Woke    struct{}
)

func (Called) event()    {}
func (Left) event()      {}
func (Asked) event()     {}
func (Cancelled) event() {}
func (Looked) event()    {}
func (Answered) event()  {}
func (Placed) event()    {}
func (Ended) event()     {}
func (Logged) event()    {}
func (Unheard) event()   {}
func (Told) event()      {}
func (LateYes) event()   {}
func (Holds) event()     {}
func (Broke) event()     {}
func (NoLink) event()    {}
func (Named) event()     {}
func (Unnamed) event()   {}
func (Woke) event()      {}

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
		Ask    scheduler.PlacementRequest
	}
	Refuse struct {
		Caller  Caller
		ID      scheduler.ContainerID
		Why     string
		HoldOff scheduler.Time
	}
	// Stands answers an ask by what runs already.
	Stands struct {
		Caller  Caller
		ID      scheduler.ContainerID
		As      scheduler.ContainerID // the id it runs under
		Machine scheduler.MachineID
	}
	// Cease ends a container for a caller that knows it by an id, Ceased says that nothing of what it names is there.
	Cease struct {
		Caller Caller
		ID     scheduler.ContainerID
		As     scheduler.ContainerID
	}
	Ceased struct {
		Caller Caller
		ID     scheduler.ContainerID
	}
	// Absent says that nothing runs under the key that a caller looked for.
	Absent struct {
		Caller Caller
		ID     scheduler.ContainerID
	}
	// CallOff stops a bid at its machine.
	CallOff struct {
		Machine scheduler.MachineID
		Life    uint64
		Bid     uint64
	}
	// Adopt takes over what runs.
	Adopt struct{ Held Held }
	// Lost says that a placed container is gone with its machine, or, where that is only silent, may be.
	Lost struct {
		ID   scheduler.ContainerID
		Sure bool
	}
	// Reach asks for a link to a machine.
	Reach struct{ Machine scheduler.MachineID }
	// Sure says, once, that all that runs from earlier lives is known, as far as it can be.
	Sure struct{}
	// ToldAll says, once, that every machine of the list told, or is gone.
	ToldAll struct{}
	// Settled says that nothing waits for a bid's end any more: its record can go.
	Settled struct{ Held Held }
	Wake    struct{ After scheduler.Time }
	Log     struct{ Text string }
)

func (Dismiss) action() {}
func (Pass) action()    {}
func (Refuse) action()  {}
func (Stands) action()  {}
func (Cease) action()   {}
func (Ceased) action()  {}
func (Absent) action()  {}
func (CallOff) action() {}
func (Adopt) action()   {}
func (Lost) action()    {}
func (Reach) action()   {}
func (Sure) action()    {}
func (Settled) action() {}
func (ToldAll) action() {}
func (Wake) action()    {}
func (Log) action()     {}

// Table is the custody of one life of a placer. Containers leave it when they end, callers with their link,
// machines once they told, came back or are gone.
type Table struct {
	life    uint64
	bounds  Bounds
	effects []scheduler.Idempotency
	now     scheduler.Time
	round   *recovery.Round // what waits for a machine's word
	storm   *overload.Door  // what is turned away because more comes than can be served
	out     []Action

	own     map[scheduler.ContainerID]*container
	keys    map[string]*container
	at      map[scheduler.MachineID]map[*container]bool // that run there
	open    int
	callers map[Caller]int // open containers of each
	broken  map[scheduler.MachineID]*gap
	wakeAt  scheduler.Time
}

type container struct {
	id       scheduler.ContainerID
	key      string
	caller   Caller
	open     bool
	since    scheduler.Time
	workload int
	machine  scheduler.MachineID // where it runs, by which bid of which life
	life     uint64
	bid      uint64
	ending   bool  // it was called off when it was found, and has not ended yet
	late     *Held // a bid that was over and runs, while the container is still open
}

// gap is a broken link to a machine that runs our containers.
type gap struct {
	tries int
	idle  bool           // no try is under way
	next  scheduler.Time // when the next one is
	pause scheduler.Time
}

// New begins a life; log is how much is known of the bids of earlier ones. With agreed times for the workloads the door
// narrows when starts become slow.
func New(life uint64, b Bounds, effects []scheduler.Idempotency, log recovery.Log, calm []overload.Workload) *Table {
	var door *overload.Door
	if len(calm) > 0 {
		door = overload.New(overload.Terms{Seed: life, Workloads: calm, Most: b.Open})
	}
	return &Table{life: life, bounds: b, effects: effects, round: recovery.NewRound(log, effects), storm: door, own: map[scheduler.ContainerID]*container{},
		keys: map[string]*container{}, at: map[scheduler.MachineID]map[*container]bool{},
		callers: map[Caller]int{}, broken: map[scheduler.MachineID]*gap{}}
}

// Handle takes what happened by now and returns what is to be done, in that order.
func (t *Table) Handle(now scheduler.Time, events []Event) []Action {
	t.now, t.out = now, nil
	t.recover(recovery.Passed{})
	for _, e := range events {
		switch e := e.(type) {
		case Called:
			t.called(e.Caller)
		case Left:
			delete(t.callers, e.Caller)
		case Asked:
			t.asked(e)
		case Cancelled:
			t.cancelled(e)
		case Looked:
			t.looked(e)
		case Answered:
			if c := t.own[e.ID]; c != nil {
				t.shut(c, overload.Failed{Workload: c.workload})
			}
		case Placed:
			t.placed(e)
		case Ended:
			t.ended(e.ID)
		case Logged:
			t.recover(recovery.Logged{Held: e.Held})
		case Unheard:
			t.recover(recovery.Unheard{Held: e.Held})
		case Told:
			t.recover(recovery.Told{Held: e.Held})
		case LateYes:
			t.recover(recovery.Told{Held: e.Held}) // it is known now
			t.lateYes(e.Held)
		case Holds:
			t.holds(e)
		case Broke:
			t.recover(recovery.Broke{Machine: e.Machine})
			if len(t.at[e.Machine]) > 0 && t.broken[e.Machine] == nil {
				t.broken[e.Machine] = &gap{pause: resumeFirst, idle: true, next: now}
			}
		case NoLink:
			t.noLink(e.Machine, e.Short)
		case Named:
			t.recover(recovery.Named{Machines: e.Machines, Whole: e.Whole})
		case Unnamed:
			t.recover(recovery.Unnamed{Machine: e.Machine})
		}
	}
	t.due()
	return t.out
}

func (t *Table) do(a Action) { t.out = append(t.out, a) }

// recover hands on what tells of bids that may run.
func (t *Table) recover(e recovery.Event) {
	for _, a := range t.round.Handle(t.now, e) {
		switch a := a.(type) {
		case recovery.Reach:
			t.do(Reach{a.Machine})
		case recovery.Settled:
			t.do(Settled{a.Held})
		case recovery.Sure:
			t.do(Sure{})
		case recovery.ToldAll:
			t.do(ToldAll{})
		}
	}
}

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
	refuse := func(wait scheduler.Time, format string, a ...any) {
		t.do(Refuse{e.Caller, e.Ask.ID, fmt.Sprintf(format, a...), wait})
	}
	n, known := t.callers[e.Caller]
	switch c := t.keys[e.Ask.IdempotencyKey]; {
	case !known:
		return // its link is gone, nobody would hear
	case e.Ask.WorkloadClass >= len(t.effects):
		refuse(0, "there is no workload %d", e.Ask.WorkloadClass)
	case t.own[e.Ask.ID] != nil:
		refuse(0, "container %s is known already", e.Ask.ID)
	case c != nil && c.ending:
		refuse(holdOff, "an earlier bid of key %s is being called off", e.Ask.IdempotencyKey)
	case c != nil && c.machine != "":
		t.do(Stands{e.Caller, e.Ask.ID, c.id, c.machine})
	case c != nil && (c.open || c.late != nil):
		refuse(holdOff, "key %s is being placed as %s", e.Ask.IdempotencyKey, c.id)
	case t.open >= t.bounds.Open:
		refuse(fullHoldOff, "%d containers are open, no more are taken", t.open)
	case n >= t.bounds.OpenPerCaller:
		refuse(fullHoldOff, "%d containers of this owner are open, no more are taken", n)
	case t.round.Wait(e.Ask) != "":
		refuse(holdOff, "%s", t.round.Wait(e.Ask))
	default:
		if t.stormy(e) {
			return
		}
		c := &container{id: e.Ask.ID, key: e.Ask.IdempotencyKey, caller: e.Caller, open: true, workload: e.Ask.WorkloadClass, since: t.now}
		t.own[c.id], t.keys[c.key] = c, c
		t.open++
		t.callers[e.Caller]++
		t.do(Pass{e.Caller, e.Ask})
	}
}

// cancelled ends what an id or a key stands for. Where a key is named and nothing is known of it, the answer tells
// whether that is sure: a placer that has just come up does not know yet what runs.
func (t *Table) cancelled(e Cancelled) {
	c := t.own[e.ID]
	if c == nil {
		c = t.keys[e.Key]
	}
	switch {
	case c != nil:
		if c.late != nil { // or it would be taken over, and nobody would end it
			t.callOff(*c.late)
			c.late = nil
		}
		t.do(Cease{e.Caller, c.id, e.ID})
	case e.Key == "":
	case t.round.Unsure(e.Key) != "":
		t.do(Refuse{e.Caller, e.ID, t.round.Unsure(e.Key), holdOff})
	default:
		t.do(Ceased{e.Caller, e.ID})
	}
}

// stormy turns an ask away when more comes than can be served, with the time at which to come back.
func (t *Table) stormy(e Asked) (turned bool) {
	if t.storm == nil {
		return false
	}
	client := fmt.Sprint(e.Caller, "/", e.Ask.Tenant)
	for _, a := range t.storm.Handle(t.now, overload.Asked{Client: client, Workload: e.Ask.WorkloadClass, Again: e.Ask.ClientRetry}) {
		switch a := a.(type) {
		case overload.Shed:
			t.do(Refuse{e.Caller, e.Ask.ID, "storm: " + a.Why.String(), a.HoldOff})
			turned = true
		case overload.Mode:
			t.do(Log{a.Text})
		}
	}
	return turned
}

// looked tells what runs under a key, once that is sure.
func (t *Table) looked(e Looked) {
	switch c := t.keys[e.Key]; {
	case c != nil && c.machine != "" && !c.ending:
		t.do(Stands{e.Caller, e.ID, c.id, c.machine})
	case c != nil:
		t.do(Refuse{e.Caller, e.ID, fmt.Sprintf("key %s is being placed, or ended, as %s", e.Key, c.id), holdOff})
	case t.round.Unsure(e.Key) != "":
		t.do(Refuse{e.Caller, e.ID, t.round.Unsure(e.Key), holdOff})
	default:
		t.do(Absent{e.Caller, e.ID})
	}
}

// shut notes that a container's final answer is out.
func (t *Table) shut(c *container, how overload.Event) {
	if !c.open {
		return
	}
	c.open = false
	t.open--
	if t.storm != nil {
		t.storm.Handle(t.now, how)
	}
	if n, ok := t.callers[c.caller]; ok {
		t.callers[c.caller] = n - 1
	}
}

func (t *Table) placed(e Placed) {
	c := t.own[e.ID]
	if c == nil {
		return
	}
	t.shut(c, overload.Started{Workload: c.workload, Took: t.now - c.since})
	t.run(c, e.Machine, t.life, e.Bid)
	if c.late != nil { // its earlier bid ran after all: one copy is enough
		t.callOff(*c.late)
		c.late = nil
	}
}

func (t *Table) run(c *container, m scheduler.MachineID, life, bid uint64) {
	c.machine, c.life, c.bid = m, life, bid
	if t.at[m] == nil {
		t.at[m] = map[*container]bool{}
	}
	t.at[m][c] = true
}

func (t *Table) ended(id scheduler.ContainerID) {
	c := t.own[id]
	if c == nil {
		return
	}
	t.shut(c, overload.Failed{Workload: c.workload})
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
	case t.effect(h) == scheduler.Idempotent:
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

func (t *Table) effect(h Held) scheduler.Idempotency {
	if h.Ask.WorkloadClass < len(t.effects) {
		return t.effects[h.Ask.WorkloadClass]
	}
	return scheduler.AtMostOnce
}

// adopt takes over what runs, unless its key runs or is being placed here under another id.
func (t *Table) adopt(h Held) {
	if h.Ask.WorkloadClass >= len(t.effects) {
		t.do(Log{fmt.Sprintf("machine %s runs %s of unknown workload %d: left alone", h.Machine, h.Ask.ID, h.Ask.WorkloadClass)})
		return
	}
	if t.own[h.Ask.ID] != nil {
		return
	}
	if o := t.keys[h.Ask.IdempotencyKey]; o != nil && (o.machine != "" || t.effect(h) == scheduler.Idempotent) {
		t.callOff(h)
		return
	}
	c := &container{id: h.Ask.ID, key: h.Ask.IdempotencyKey, ending: !h.Running}
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
	t.recover(recovery.Spoke{Machine: e.Machine})
	delete(t.broken, e.Machine)
	named := map[[2]uint64]bool{}
	for _, h := range e.Held {
		named[[2]uint64{h.Life, h.Bid}] = true
	}
	for _, c := range t.runningAt(e.Machine) {
		if !named[[2]uint64{c.life, c.bid}] {
			t.do(Lost{c.id, true})
		}
	}
	took := 0
	for _, h := range e.Held {
		c := t.own[h.Ask.ID]
		switch {
		case c != nil && c.machine == e.Machine && c.life == h.Life && c.bid == h.Bid:
		case !h.Running: // it counts until its machine says that it is over
			t.callOff(h)
			if h.Life != t.life {
				t.adopt(h)
			}
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
func (t *Table) runningAt(m scheduler.MachineID) []*container {
	all := make([]*container, 0, len(t.at[m]))
	for c := range t.at[m] {
		all = append(all, c)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].id < all[j].id })
	return all
}

// noLink gives up a machine's containers after some tries. A short loss of the link costs nothing then, and a
// dead machine is known a second after it died; containers that run on behind a longer cut are taken over, or
// stopped, when it ends. A try that failed for a want of this placer's own tells nothing of the machine.
func (t *Table) noLink(m scheduler.MachineID, short bool) {
	t.recover(recovery.NoLink{Machine: m})
	g := t.broken[m]
	if g == nil {
		return
	}
	if short {
		g.tries, g.idle, g.next = g.tries-1, true, t.now+resumeFirst
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
		t.do(Lost{c.id, false})
	}
	// Behind a cut they run on, and nothing else may call that machine for long: it is asked until it tells, or
	// until the list says that it is gone.
	t.recover(recovery.Lost{Machine: m})
}

// due does what its time has come for and sets the next waking.
func (t *Table) due() {
	next := scheduler.Time(0)
	later := func(at scheduler.Time) {
		if next == 0 || at < next {
			next = at
		}
	}
	t.recover(recovery.Passed{})
	if at := t.round.Next(); at > 0 {
		later(at)
	}
	var retry []scheduler.MachineID
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

// Doubts is the number of keys that wait for a machine's word.
func (t *Table) Doubts() int { return t.round.Doubts() }

// Door is what is turned away because more comes than can be served; nil where nothing is.
func (t *Table) Door() *overload.Door { return t.storm }
