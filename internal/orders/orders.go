package orders

import (
	"fmt"
	"sort"
	"strings"

	"glenport/placer"
)

// Decider is a placer, or a wrapper that breaks a rule.
type Decider interface {
	Handle(now placer.Time, events []placer.Event) []placer.Action
}

// Step is how far the clock goes with each event.
const Step = 20 * placer.Millisecond

// World is a tiny fleet in which events are possible or not. A new one is made for each order.
type World struct {
	Terms   placer.Terms
	Placers int
	Grace   placer.Time // of drains
	Fleet   []placer.Entry
	Asks    []placer.Ask // Due is the time to the hard stop
	Words   []string     // the events to be put in order, as Possible tells them
	Joined  bool         // two events may also come in one batch
	Make    func(t placer.Terms) Decider

	now     placer.Time
	judge   *Judge
	made    []Decider
	timers  [][]timer
	fleet   map[placer.MachineID]*placer.Entry // as it is, of which the placers hear in their lists
	at      map[placer.ContainerID]*out
	probes  []map[placer.MachineID]placer.Time // of each placer, those out, until when they are answered
	version int64
	joined  []placer.Event
	ask     int // next
}

type timer struct {
	at   placer.Time
	name string
}

var outcomes = map[string]placer.Outcome{"full": placer.Full, "timeout": placer.TimedOut, "reset": placer.Reset, "erred": placer.Erred,
	"unsent": placer.NotSent, "over": placer.Finished, "lost": placer.Reset, "crossed": placer.Stopped}

const probe = "probe " // before the machine, as the name of a timer

// out is a container's bid, or where it runs.
type out struct {
	placer int
	to     placer.MachineID
	runs   bool
	ask    placer.Ask
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
	w.now, w.judge = 100*placer.Second, NewJudge(w.Terms, w.Placers, w.Grace)
	w.fleet, w.at = map[placer.MachineID]*placer.Entry{}, map[placer.ContainerID]*out{}
	w.timers, w.probes = make([][]timer, w.Placers), make([]map[placer.MachineID]placer.Time, w.Placers)
	for _, e := range w.Fleet {
		w.fleet[e.Machine] = &e
	}
	for i := range w.Placers {
		t := w.Terms
		t.Me, t.Placers = i, w.Placers
		w.made, w.probes[i] = append(w.made, w.Make(t)), map[placer.MachineID]placer.Time{}
		w.give(i, placer.ListCame{Mode: placer.OldList, Entries: w.entries()})
	}
	w.pass(w.Terms.ColdWindow + w.Terms.ColdWindow/4) // so that they may send to cold machines
}

func (w *World) entries() []placer.Entry {
	var all []placer.Entry
	for _, e := range w.Fleet {
		if n := w.fleet[e.Machine]; n.State != placer.Gone {
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
		switch m := w.fleet[placer.MachineID(f[len(f)-1])]; f[0] {
		case "ask":
			ok = w.ask < len(w.Asks)
		case "yes", "full", "timeout", "reset", "unsent", "erred":
			ok = w.at[placer.ContainerID(f[1])] != nil && !w.at[placer.ContainerID(f[1])].runs
		case "over", "lost", "crossed":
			ok = w.at[placer.ContainerID(f[1])] != nil && w.at[placer.ContainerID(f[1])].runs
		case "withdraw":
			ok = w.at[placer.ContainerID(f[1])] != nil
		case "note": // also a late one, of what is over
			ok = w.judge.lives[0].containers[placer.ContainerID(f[1])] != nil
		case "echo":
			ok = w.probes[0][m.Machine] > 0
		case "drain":
			ok = m.State == placer.Serving
		case "leave":
			ok = m.State != placer.Gone
		case "back":
			ok = m.State != placer.Serving
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
	id, on := placer.ContainerID(last), placer.MachineID(last)
	all := func(e placer.Event) {
		for i := range w.made {
			w.bring(i, e, hold)
		}
	}
	tell := func(mode placer.ListMode, entries ...placer.Entry) {
		w.version++
		all(placer.ListCame{Mode: mode, Version: w.version, Entries: entries})
	}
	switch f[0] {
	case "ask":
		a := w.Asks[w.ask]
		a.Due += w.now
		w.bring(w.ask%w.Placers, placer.Asked{Ask: a}, hold)
		w.ask++
	case "found": // a container that runs there comes to the first placer
		w.bring(0, placer.TookOver{Ask: placer.Ask{ID: placer.ContainerID(fmt.Sprint("o", w.now)), Service: w.Asks[0].Service,
			Workload: w.Asks[0].Workload, Cores: 1, Memory: 1}, Machine: on}, hold)
	case "yes":
		if at := w.at[id]; at != nil {
			at.runs = true
			w.bring(at.placer, placer.Placed{ID: id, Machine: at.to}, hold)
		}
	case "full", "timeout", "reset", "erred", "unsent", "over", "lost", "crossed":
		if at := w.at[id]; at != nil {
			delete(w.at, id)
			w.bring(at.placer, placer.Ended{ID: id, Outcome: outcomes[f[0]], Machine: at.to, Over: f[0] == "over" || f[0] == "lost"}, hold)
		}
	case "withdraw":
		if at := w.at[id]; at != nil {
			w.bring(at.placer, placer.Vanished{ID: id}, hold)
		}
	case "note":
		w.bring(0, placer.Noted{ID: id, Sort: placer.MemoryUsed, Amount: 2}, hold)
	case "echo":
		delete(w.probes[0], on)
		w.bring(0, placer.Probed{Machine: on}, hold)
	case "drain", "leave", "back", "restart":
		m := w.fleet[on]
		switch f[0] {
		case "drain":
			m.State = placer.Draining
		case "leave":
			m.State = placer.Gone
		case "back":
			m.State = placer.Serving
		case "restart":
			m.State, m.StartedAt = placer.Serving, w.now
		}
		if len(f) == 2 { // else it is heard of with the next list
			tell(placer.Changes, *m)
		}
	case "list":
		tell(placer.WholeList, w.entries()...)
	case "failed":
		tell(placer.ListFailed)
	case "wait":
		w.pass(placer.Second)
	case "dies", "forgets":
		w.dies(f[0] == "dies")
	}
}

// dies ends the first placer; its next life knows what it learned, or nothing.
func (w *World) dies(knows bool) {
	t := w.Terms
	t.Placers = w.Placers
	old, young := w.made[0], w.Make(t)
	w.judge.Restarted(0)
	w.made[0], w.timers[0], w.probes[0] = young, nil, map[placer.MachineID]placer.Time{}
	var ids []placer.ContainerID
	for id, at := range w.at {
		if at.placer == 0 {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, k int) bool { return ids[i] < ids[k] })
	w.give(0, placer.ListCame{Mode: placer.OldList, Entries: w.entries()})
	if k, ok := old.(interface{ Knows() placer.Knowledge }); ok && knows {
		young.(interface{ Recall(placer.Knowledge) }).Recall(k.Knows())
	}
	for _, id := range ids {
		at := w.at[id]
		if !at.runs { // its machine says that it waits, and it is called off
			delete(w.at, id)
			continue
		}
		w.give(0, placer.TookOver{Ask: at.ask, Machine: at.to})
	}
}

// bring hands an event over, with the one that waits for it, or has it wait.
func (w *World) bring(who int, e placer.Event, hold bool) {
	if hold && w.Placers == 1 {
		w.joined = append(w.joined, e)
		return
	}
	events := append(w.joined, e)
	w.joined = nil
	w.give(who, events...)
}

func (w *World) give(who int, events ...placer.Event) {
	for _, e := range events {
		w.judge.In(who, w.now, e)
	}
	for _, a := range w.made[who].Handle(w.now, events) {
		w.judge.Out(who, w.now, a)
		switch a := a.(type) {
		case placer.Bid:
			w.at[a.ID] = &out{placer: who, to: a.Machine}
			if c := w.judge.lives[who].containers[a.ID]; c != nil {
				w.at[a.ID].ask = c.ask
			}
		case placer.Probe:
			w.probes[who][a.Machine] = w.now + placer.Second
			w.timers[who] = append(w.timers[who], timer{w.now + placer.Second, probe + string(a.Machine)})
		case placer.Wake:
			w.timers[who] = append(w.timers[who], timer{w.now + a.After, a.Name})
		}
	}
}

// pass lets time go by: timers wake, and what is owed by then is judged. Outcomes come only as they are put in order.
func (w *World) pass(span placer.Time) {
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
			w.give(who, placer.Woke{Name: t.name})
		} else if on := placer.MachineID(m); w.probes[who][on] == t.at {
			delete(w.probes[who], on)
			w.give(who, placer.Probed{Machine: on, Outcome: placer.TimedOut})
		}
	}
	w.judge.At(w.now)
}

// end runs past every hard stop, without any further outcome, and then gives those that are due.
func (w *World) end() {
	longest := placer.Time(0)
	for _, a := range w.Asks {
		longest = max(longest, a.Due)
	}
	w.pass(longest + w.Terms.AnswerGrace + Step)
	for _, a := range w.Asks {
		if at := w.at[a.ID]; at != nil && !at.runs {
			delete(w.at, a.ID)
			w.give(at.placer, placer.Ended{ID: a.ID, Outcome: placer.TimedOut, Machine: at.to})
		}
	}
	w.judge.At(w.now)
}
