package modelcheck

import (
	"fmt"
	"sort"
	"strings"

	"glenport/scheduler"
)

// Decider is a placer, or a wrapper that breaks a rule.
type Decider interface {
	Handle(now scheduler.Time, events []scheduler.Event) []scheduler.Action
}

// Step is how far the clock goes with each event.
const Step = 20 * scheduler.Millisecond

// World is a tiny fleet in which events are possible or not. A new one is made for each order.
type World struct {
	Terms   scheduler.Config
	Placers int
	Grace   scheduler.Time // of drains
	Fleet   []scheduler.MachineEntry
	Asks    []scheduler.PlacementRequest // Due is the time to the hard stop
	Words   []string                     // the events to be put in order, as Possible tells them
	Joined  bool                         // two events may also come in one batch
	Make    func(t scheduler.Config) Decider

	now     scheduler.Time
	judge   *Judge
	made    []Decider
	timers  [][]timer
	fleet   map[scheduler.MachineID]*scheduler.MachineEntry // as it is, of which the placers hear in their lists
	at      map[scheduler.ContainerID]*out
	probes  []map[scheduler.MachineID]scheduler.Time // of each placer, those out, until when they are answered
	version int64
	joined  []scheduler.Event
	ask     int // next
}

type timer struct {
	at   scheduler.Time
	name string
}

var outcomes = map[string]scheduler.Outcome{"full": scheduler.OutcomeFull, "timeout": scheduler.OutcomeTimedOut, "reset": scheduler.OutcomeLost, "erred": scheduler.OutcomeErrored,
	"unsent": scheduler.OutcomeNotSent, "over": scheduler.OutcomeFinished, "lost": scheduler.OutcomeLost, "crossed": scheduler.OutcomeStopped}

const probe = "probe " // before the machine, as the name of a timer

// out is a container's bid, or where it runs.
type out struct {
	placer int
	to     scheduler.MachineID
	runs   bool
	ask    scheduler.PlacementRequest
}

// Result is what came of all orders.
type Result struct {
	Orders, Events, Bids int
	Broken               string   // the first order that breaks a rule
	Rules                []string // that it breaks
}

// Run tries every order of up to depth events. It stops at the first that breaks a rule.
func Run(w World, depth int) Result {
	var r Result
	Each(depth, func(path []int) ([]int, bool) {
		one := w
		widths, said, breaks := one.play(path)
		r.Orders++
		r.Events += len(said)
		r.Bids += one.judge.checked
		if len(breaks) > 0 {
			r.Broken, r.Rules = strings.Join(said, ", "), breaks
		}
		return widths, len(breaks) == 0
	})
	return r
}

// Each has every path of up to depth choices played, until play says that it is enough. play returns how many choices
// there were at each turn.
func Each(depth int, play func(path []int) (widths []int, on bool)) {
	for path := make([]int, depth); ; {
		widths, on := play(path)
		i := len(widths) - 1
		for ; i >= 0 && path[i]+1 >= widths[i]; i-- {
		}
		if !on || i < 0 {
			return
		}
		path[i]++
		clear(path[i+1:])
	}
}

// Replay plays one order as it was printed.
func Replay(w World, order string) []string {
	w.begin()
	for _, word := range strings.Split(order, ", ") {
		w.do(word)
	}
	w.end()
	return w.judge.Breaks
}

// play follows one path of choices, and returns how many there were at each turn.
func (w *World) play(path []int) (widths []int, said, breaks []string) {
	w.begin()
	for _, choice := range path {
		can := w.possible()
		if len(can) == 0 {
			break
		}
		widths = append(widths, len(can))
		said = append(said, can[choice])
		w.do(can[choice])
		if len(w.judge.Breaks) > 0 {
			return widths, said, w.judge.Breaks
		}
	}
	w.end()
	return widths, said, w.judge.Breaks
}

func (w *World) begin() {
	w.now, w.judge = 100*scheduler.Second, NewJudge(w.Terms, w.Placers, w.Grace)
	w.fleet, w.at = map[scheduler.MachineID]*scheduler.MachineEntry{}, map[scheduler.ContainerID]*out{}
	w.timers, w.probes = make([][]timer, w.Placers), make([]map[scheduler.MachineID]scheduler.Time, w.Placers)
	for _, e := range w.Fleet {
		w.fleet[e.Machine] = &e
	}
	for i := range w.Placers {
		t := w.Terms
		t.SchedulerIndex, t.SchedulerCount = i, w.Placers
		w.made, w.probes[i] = append(w.made, w.Make(t)), map[scheduler.MachineID]scheduler.Time{}
		w.give(i, scheduler.MachineListUpdate{Mode: scheduler.RestoredSnapshot, Entries: w.entries()})
	}
	w.pass(w.Terms.SlowStartWindow + w.Terms.SlowStartWindow/4) // so that they may send to cold machines
}

func (w *World) entries() []scheduler.MachineEntry {
	var all []scheduler.MachineEntry
	for _, e := range w.Fleet {
		if n := w.fleet[e.Machine]; n.State != scheduler.MachineGone {
			all = append(all, *n)
		}
	}
	return all
}

// possible are the events that the world allows now. A word names an event and what it happens to; "+" before it has it
// come in one batch with the next.
func (w *World) possible() []string {
	var all []string
	for _, word := range w.Words {
		f := strings.Fields(word)
		ok := false
		switch m := w.fleet[scheduler.MachineID(f[len(f)-1])]; f[0] {
		case "ask":
			ok = w.ask < len(w.Asks)
		case "yes", "full", "timeout", "reset", "unsent", "erred":
			ok = w.at[scheduler.ContainerID(f[1])] != nil && !w.at[scheduler.ContainerID(f[1])].runs
		case "over", "lost", "crossed":
			ok = w.at[scheduler.ContainerID(f[1])] != nil && w.at[scheduler.ContainerID(f[1])].runs
		case "withdraw":
			ok = w.at[scheduler.ContainerID(f[1])] != nil
		case "note": // also a late one, of what is over
			ok = w.judge.lives[0].containers[scheduler.ContainerID(f[1])] != nil
		case "echo":
			ok = w.probes[0][m.Machine] > 0
		case "drain":
			ok = m.State == scheduler.MachineServing
		case "leave":
			ok = m.State != scheduler.MachineGone
		case "back":
			ok = m.State != scheduler.MachineServing
		default: // restart, found, wait, list, failed, dies, forgets
			ok = true
		}
		if ok {
			all = append(all, word)
		}
	}
	if w.Joined && len(w.joined) == 0 {
		for _, word := range append([]string(nil), all...) {
			if word != "wait" && !strings.HasPrefix(word, "dies") && !strings.HasPrefix(word, "forgets") {
				all = append(all, "+"+word)
			}
		}
	}
	return all
}

func (w *World) do(word string) {
	w.pass(Step)
	hold := strings.HasPrefix(word, "+")
	f := strings.Fields(strings.TrimPrefix(word, "+"))
	last := f[len(f)-1]
	id, on := scheduler.ContainerID(last), scheduler.MachineID(last)
	all := func(e scheduler.Event) {
		for i := range w.made {
			w.bring(i, e, hold)
		}
	}
	tell := func(mode scheduler.UpdateMode, entries ...scheduler.MachineEntry) {
		w.version++
		all(scheduler.MachineListUpdate{Mode: mode, Version: w.version, Entries: entries})
	}
	switch f[0] {
	case "ask":
		a := w.Asks[w.ask]
		a.Deadline += w.now
		w.bring(w.ask%w.Placers, scheduler.RequestReceived{PlacementRequest: a}, hold)
		w.ask++
	case "found": // a container that runs there comes to the first placer
		w.bring(0, scheduler.ContainerAdopted{PlacementRequest: scheduler.PlacementRequest{ID: scheduler.ContainerID(fmt.Sprint("o", w.now)), Service: w.Asks[0].Service,
			WorkloadClass: w.Asks[0].WorkloadClass, Cores: 1, Memory: 1}, Machine: on}, hold)
	case "yes":
		if at := w.at[id]; at != nil {
			at.runs = true
			w.bring(at.placer, scheduler.AttemptAccepted{ID: id, Machine: at.to}, hold)
		}
	case "full", "timeout", "reset", "erred", "unsent", "over", "lost", "crossed":
		if at := w.at[id]; at != nil {
			delete(w.at, id)
			w.bring(at.placer, scheduler.AttemptEnded{ID: id, Outcome: outcomes[f[0]], Machine: at.to, Final: f[0] == "over" || f[0] == "lost"}, hold)
		}
	case "withdraw":
		if at := w.at[id]; at != nil {
			w.bring(at.placer, scheduler.ContainerRemoved{ID: id}, hold)
		}
	case "note":
		w.bring(0, scheduler.UsageReported{ID: id, Metric: scheduler.MetricMemoryUsed, Value: 2}, hold)
	case "echo":
		delete(w.probes[0], on)
		w.bring(0, scheduler.ProbeCompleted{Machine: on}, hold)
	case "drain", "leave", "back", "restart":
		m := w.fleet[on]
		switch f[0] {
		case "drain":
			m.State = scheduler.MachineDraining
		case "leave":
			m.State = scheduler.MachineGone
		case "back":
			m.State = scheduler.MachineServing
		case "restart":
			m.State, m.StartedAt = scheduler.MachineServing, w.now
		}
		if len(f) == 2 { // else it is heard of with the next list
			tell(scheduler.DeltaUpdate, *m)
		}
	case "list":
		tell(scheduler.FullSnapshot, w.entries()...)
	case "failed":
		tell(scheduler.UpdateFailed)
	case "wait":
		w.pass(scheduler.Second)
	case "dies", "forgets":
		w.dies(f[0] == "dies")
	}
}

// dies ends the first placer; its next life knows what it learned, or nothing.
func (w *World) dies(knows bool) {
	t := w.Terms
	t.SchedulerCount = w.Placers
	old, young := w.made[0], w.Make(t)
	w.judge.Restarted(0)
	w.made[0], w.timers[0], w.probes[0] = young, nil, map[scheduler.MachineID]scheduler.Time{}
	var ids []scheduler.ContainerID
	for id, at := range w.at {
		if at.placer == 0 {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, k int) bool { return ids[i] < ids[k] })
	w.give(0, scheduler.MachineListUpdate{Mode: scheduler.RestoredSnapshot, Entries: w.entries()})
	if k, ok := old.(interface{ Snapshot() scheduler.Snapshot }); ok && knows {
		young.(interface{ Restore(scheduler.Snapshot) }).Restore(k.Snapshot())
	}
	for _, id := range ids {
		at := w.at[id]
		if !at.runs { // its machine says that it waits, and it is called off
			delete(w.at, id)
			continue
		}
		w.give(0, scheduler.ContainerAdopted{PlacementRequest: at.ask, Machine: at.to})
	}
}

// bring hands an event over, with the one that waits for it, or has it wait.
func (w *World) bring(who int, e scheduler.Event, hold bool) {
	if hold && w.Placers == 1 {
		w.joined = append(w.joined, e)
		return
	}
	events := append(w.joined, e)
	w.joined = nil
	w.give(who, events...)
}

func (w *World) give(who int, events ...scheduler.Event) {
	for _, e := range events {
		w.judge.In(who, w.now, e)
	}
	for _, a := range w.made[who].Handle(w.now, events) {
		w.judge.Out(who, w.now, a)
		switch a := a.(type) {
		case scheduler.StartAttempt:
			w.at[a.ID] = &out{placer: who, to: a.Machine}
			if c := w.judge.lives[who].containers[a.ID]; c != nil {
				w.at[a.ID].ask = c.ask
			}
		case scheduler.Probe:
			w.probes[who][a.Machine] = w.now + scheduler.Second
			w.timers[who] = append(w.timers[who], timer{w.now + scheduler.Second, probe + string(a.Machine)})
		case scheduler.SetTimer:
			w.timers[who] = append(w.timers[who], timer{w.now + a.After, a.Name})
		}
	}
}

// pass lets time go by: timers wake, and what is owed by then is judged. Outcomes come only as they are put in order.
func (w *World) pass(span scheduler.Time) {
	if len(w.joined) > 0 && span > Step { // they have come by now
		events := w.joined
		w.joined = nil
		w.give(0, events...)
	}
	for until := w.now + span; ; {
		who, k := -1, 0
		for i, all := range w.timers {
			for n, t := range all {
				if t.at <= until && (who < 0 || t.at < w.timers[who][k].at) {
					who, k = i, n
				}
			}
		}
		if who < 0 {
			w.now = until
			break
		}
		t := w.timers[who][k]
		w.timers[who] = append(w.timers[who][:k:k], w.timers[who][k+1:]...)
		w.now = max(w.now, t.at)
		if m, ok := strings.CutPrefix(t.name, probe); !ok {
			w.give(who, scheduler.TimerFired{Name: t.name})
		} else if on := scheduler.MachineID(m); w.probes[who][on] == t.at {
			delete(w.probes[who], on)
			w.give(who, scheduler.ProbeCompleted{Machine: on, Outcome: scheduler.OutcomeTimedOut})
		}
	}
	w.judge.At(w.now)
}

// end runs past every hard stop, without any further outcome, and then gives those that are due.
func (w *World) end() {
	longest := scheduler.Time(0)
	for _, a := range w.Asks {
		longest = max(longest, a.Deadline)
	}
	w.pass(longest + w.Terms.AnswerGrace + Step)
	for _, a := range w.Asks {
		if at := w.at[a.ID]; at != nil && !at.runs {
			delete(w.at, a.ID)
			w.give(at.placer, scheduler.AttemptEnded{ID: a.ID, Outcome: scheduler.OutcomeTimedOut, Machine: at.to})
		}
	}
	w.judge.At(w.now)
}
