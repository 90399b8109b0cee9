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
	Config       scheduler.Config
	Schedulers   int
	DrainGrace   scheduler.Time // of drains
	Machines     []scheduler.MachineEntry
	Requests     []scheduler.PlacementRequest // Due is the time to the hard stop
	Events       []string                     // the events to be put in order, as Possible tells them
	Batches      bool                         // two events may also come in one batch
	NewScheduler func(t scheduler.Config) Decider

	now         scheduler.Time
	checker     *Checker
	schedulers  []Decider
	timers      [][]timer
	machines    map[scheduler.MachineID]*scheduler.MachineEntry // as it is, of which the placers hear in their lists
	placements  map[scheduler.ContainerID]*placement
	probes      []map[scheduler.MachineID]scheduler.Time // of each placer, those out, until when they are answered
	version     int64
	batched     []scheduler.Event
	nextRequest int // next
}

type timer struct {
	at   scheduler.Time
	name string
}

var outcomes = map[string]scheduler.Outcome{"full": scheduler.OutcomeFull, "timeout": scheduler.OutcomeTimedOut, "reset": scheduler.OutcomeLost, "erred": scheduler.OutcomeErrored,
	"unsent": scheduler.OutcomeNotSent, "over": scheduler.OutcomeFinished, "lost": scheduler.OutcomeLost, "crossed": scheduler.OutcomeStopped}

const probeTimer = "probe " // before the machine, as the name of a timer

// placement is a container's bid, or where it runs.
type placement struct {
	scheduler int
	machine   scheduler.MachineID
	running   bool
	request   scheduler.PlacementRequest
}

// Result is what came of all orders.
type Result struct {
	Sequences, Events, Attempts int
	FailingSequence             string   // the first order that breaks a rule
	Violations                  []string // that it breaks
}

// Run tries every order of up to depth events. It stops at the first that breaks a rule.
func Run(w World, depth int) Result {
	var r Result
	EnumeratePaths(depth, func(path []int) ([]int, bool) {
		one := w
		widths, said, breaks := one.playPath(path)
		r.Sequences++
		r.Events += len(said)
		r.Attempts += one.checker.attemptsChecked
		if len(breaks) > 0 {
			r.FailingSequence, r.Violations = strings.Join(said, ", "), breaks
		}
		return widths, len(breaks) == 0
	})
	return r
}

// EnumeratePaths has every path of up to depth choices played, until play says that it is enough. play returns how many choices
// there were at each turn.
func EnumeratePaths(depth int, play func(path []int) (widths []int, on bool)) {
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
		w.apply(word)
	}
	w.finish()
	return w.checker.Violations
}

// playPath follows one path of choices, and returns how many there were at each turn.
func (w *World) playPath(path []int) (widths []int, said, breaks []string) {
	w.begin()
	for _, choice := range path {
		can := w.possibleEvents()
		if len(can) == 0 {
			break
		}
		widths = append(widths, len(can))
		said = append(said, can[choice])
		w.apply(can[choice])
		if len(w.checker.Violations) > 0 {
			return widths, said, w.checker.Violations
		}
	}
	w.finish()
	return widths, said, w.checker.Violations
}

func (w *World) begin() {
	w.now, w.checker = 100*scheduler.Second, NewChecker(w.Config, w.Schedulers, w.DrainGrace)
	w.machines, w.placements = map[scheduler.MachineID]*scheduler.MachineEntry{}, map[scheduler.ContainerID]*placement{}
	w.timers, w.probes = make([][]timer, w.Schedulers), make([]map[scheduler.MachineID]scheduler.Time, w.Schedulers)
	for _, e := range w.Machines {
		w.machines[e.Machine] = &e
	}
	for i := range w.Schedulers {
		t := w.Config
		t.SchedulerIndex, t.SchedulerCount = i, w.Schedulers
		w.schedulers, w.probes[i] = append(w.schedulers, w.NewScheduler(t)), map[scheduler.MachineID]scheduler.Time{}
		w.handle(i, scheduler.MachineListUpdate{Mode: scheduler.RestoredSnapshot, Entries: w.entries()})
	}
	w.advance(w.Config.SlowStartWindow + w.Config.SlowStartWindow/4) // so that they may send to cold machines
}

func (w *World) entries() []scheduler.MachineEntry {
	var all []scheduler.MachineEntry
	for _, e := range w.Machines {
		if n := w.machines[e.Machine]; n.State != scheduler.MachineGone {
			all = append(all, *n)
		}
	}
	return all
}

// possibleEvents are the events that the world allows now. A word names an event and what it happens to; "+" before it has it
// come in one batch with the next.
func (w *World) possibleEvents() []string {
	var all []string
	for _, word := range w.Events {
		f := strings.Fields(word)
		ok := false
		switch m := w.machines[scheduler.MachineID(f[len(f)-1])]; f[0] {
		case "ask":
			ok = w.nextRequest < len(w.Requests)
		case "yes", "full", "timeout", "reset", "unsent", "erred":
			ok = w.placements[scheduler.ContainerID(f[1])] != nil && !w.placements[scheduler.ContainerID(f[1])].running
		case "over", "lost", "crossed":
			ok = w.placements[scheduler.ContainerID(f[1])] != nil && w.placements[scheduler.ContainerID(f[1])].running
		case "withdraw":
			ok = w.placements[scheduler.ContainerID(f[1])] != nil
		case "note": // also a late one, of what is over
			ok = w.checker.incarnations[0].containers[scheduler.ContainerID(f[1])] != nil
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
	if w.Batches && len(w.batched) == 0 {
		for _, word := range append([]string(nil), all...) {
			if word != "wait" && !strings.HasPrefix(word, "dies") && !strings.HasPrefix(word, "forgets") {
				all = append(all, "+"+word)
			}
		}
	}
	return all
}

func (w *World) apply(word string) {
	w.advance(Step)
	hold := strings.HasPrefix(word, "+")
	f := strings.Fields(strings.TrimPrefix(word, "+"))
	last := f[len(f)-1]
	id, on := scheduler.ContainerID(last), scheduler.MachineID(last)
	all := func(e scheduler.Event) {
		for i := range w.schedulers {
			w.deliver(i, e, hold)
		}
	}
	tell := func(mode scheduler.UpdateMode, entries ...scheduler.MachineEntry) {
		w.version++
		all(scheduler.MachineListUpdate{Mode: mode, Version: w.version, Entries: entries})
	}
	switch f[0] {
	case "ask":
		a := w.Requests[w.nextRequest]
		a.Deadline += w.now
		w.deliver(w.nextRequest%w.Schedulers, scheduler.RequestReceived{PlacementRequest: a}, hold)
		w.nextRequest++
	case "found": // a container that runs there comes to the first placer
		w.deliver(0, scheduler.ContainerAdopted{PlacementRequest: scheduler.PlacementRequest{ID: scheduler.ContainerID(fmt.Sprint("o", w.now)), Service: w.Requests[0].Service,
			WorkloadClass: w.Requests[0].WorkloadClass, Cores: 1, Memory: 1}, Machine: on}, hold)
	case "yes":
		if at := w.placements[id]; at != nil {
			at.running = true
			w.deliver(at.scheduler, scheduler.AttemptAccepted{ID: id, Machine: at.machine}, hold)
		}
	case "full", "timeout", "reset", "erred", "unsent", "over", "lost", "crossed":
		if at := w.placements[id]; at != nil {
			delete(w.placements, id)
			w.deliver(at.scheduler, scheduler.AttemptEnded{ID: id, Outcome: outcomes[f[0]], Machine: at.machine, Final: f[0] == "over" || f[0] == "lost"}, hold)
		}
	case "withdraw":
		if at := w.placements[id]; at != nil {
			w.deliver(at.scheduler, scheduler.ContainerRemoved{ID: id}, hold)
		}
	case "note":
		w.deliver(0, scheduler.UsageReported{ID: id, Metric: scheduler.MetricMemoryUsed, Value: 2}, hold)
	case "echo":
		delete(w.probes[0], on)
		w.deliver(0, scheduler.ProbeCompleted{Machine: on}, hold)
	case "drain", "leave", "back", "restart":
		m := w.machines[on]
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
		w.advance(scheduler.Second)
	case "dies", "forgets":
		w.restartScheduler(f[0] == "dies")
	}
}

// restartScheduler ends the first placer; its next life knows what it learned, or nothing.
func (w *World) restartScheduler(knows bool) {
	t := w.Config
	t.SchedulerCount = w.Schedulers
	old, young := w.schedulers[0], w.NewScheduler(t)
	w.checker.Restarted(0)
	w.schedulers[0], w.timers[0], w.probes[0] = young, nil, map[scheduler.MachineID]scheduler.Time{}
	var ids []scheduler.ContainerID
	for id, at := range w.placements {
		if at.scheduler == 0 {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, k int) bool { return ids[i] < ids[k] })
	w.handle(0, scheduler.MachineListUpdate{Mode: scheduler.RestoredSnapshot, Entries: w.entries()})
	if k, ok := old.(interface{ Snapshot() scheduler.Snapshot }); ok && knows {
		young.(interface{ Restore(scheduler.Snapshot) }).Restore(k.Snapshot())
	}
	for _, id := range ids {
		at := w.placements[id]
		if !at.running { // its machine says that it waits, and it is called off
			delete(w.placements, id)
			continue
		}
		w.handle(0, scheduler.ContainerAdopted{PlacementRequest: at.request, Machine: at.machine})
	}
}

// deliver hands an event over, with the one that waits for it, or has it wait.
func (w *World) deliver(who int, e scheduler.Event, hold bool) {
	if hold && w.Schedulers == 1 {
		w.batched = append(w.batched, e)
		return
	}
	events := append(w.batched, e)
	w.batched = nil
	w.handle(who, events...)
}

func (w *World) handle(who int, events ...scheduler.Event) {
	for _, e := range events {
		w.checker.ObserveEvent(who, w.now, e)
	}
	for _, a := range w.schedulers[who].Handle(w.now, events) {
		w.checker.ObserveAction(who, w.now, a)
		switch a := a.(type) {
		case scheduler.StartAttempt:
			w.placements[a.ID] = &placement{scheduler: who, machine: a.Machine}
			if c := w.checker.incarnations[who].containers[a.ID]; c != nil {
				w.placements[a.ID].request = c.request
			}
		case scheduler.Probe:
			w.probes[who][a.Machine] = w.now + scheduler.Second
			w.timers[who] = append(w.timers[who], timer{w.now + scheduler.Second, probeTimer + string(a.Machine)})
		case scheduler.SetTimer:
			w.timers[who] = append(w.timers[who], timer{w.now + a.After, a.Name})
		}
	}
}

// advance lets time go by: timers wake, and what is owed by then is judged. Outcomes come only as they are put in order.
func (w *World) advance(span scheduler.Time) {
	if len(w.batched) > 0 && span > Step { // they have come by now
		events := w.batched
		w.batched = nil
		w.handle(0, events...)
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
		if m, ok := strings.CutPrefix(t.name, probeTimer); !ok {
			w.handle(who, scheduler.TimerFired{Name: t.name})
		} else if on := scheduler.MachineID(m); w.probes[who][on] == t.at {
			delete(w.probes[who], on)
			w.handle(who, scheduler.ProbeCompleted{Machine: on, Outcome: scheduler.OutcomeTimedOut})
		}
	}
	w.checker.CheckDeadlines(w.now)
}

// finish runs past every hard stop, without any further outcome, and then gives those that are due.
func (w *World) finish() {
	longest := scheduler.Time(0)
	for _, a := range w.Requests {
		longest = max(longest, a.Deadline)
	}
	w.advance(longest + w.Config.AnswerGrace + Step)
	for _, a := range w.Requests {
		if at := w.placements[a.ID]; at != nil && !at.running {
			delete(w.placements, a.ID)
			w.handle(at.scheduler, scheduler.AttemptEnded{ID: a.ID, Outcome: scheduler.OutcomeTimedOut, Machine: at.machine})
		}
	}
	w.checker.CheckDeadlines(w.now)
}
