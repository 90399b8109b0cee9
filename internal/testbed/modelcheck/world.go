package modelcheck

import (
	"fmt"
	"slices"
	"strings"

	"glenport/scheduler"
)

// Decider is a scheduler's decisions, or a wrapper that breaks a rule.
type Decider interface {
	Handle(now scheduler.Time, events []scheduler.Event) []scheduler.Action
}

// Step is how far the clock goes with each event.
const Step = 20 * scheduler.Millisecond

const (
	startOfTime    = 100 * scheduler.Second
	waitDuration   = scheduler.Second // of the event "wait"
	probeTimeout   = scheduler.Second
	probeTimerName = "probe " // before the machine, as the name of a timer
)

// World is a tiny fleet with its schedulers. The exported fields describe it; Run makes a new one of them for each
// sequence.
type World struct {
	Config       scheduler.Config
	Schedulers   int
	DrainGrace   scheduler.Time
	Machines     []scheduler.MachineEntry
	Requests     []scheduler.PlacementRequest // their Deadline counts from the request
	Events       []string                     // the events to put in order, in the words of the eventKind constants
	Batches      bool                         // two events may also come in one batch
	NewScheduler func(config scheduler.Config) Decider

	now         scheduler.Time
	checker     *Checker
	schedulers  []Decider
	timers      [][]timer                                       // by scheduler
	machines    map[scheduler.MachineID]*scheduler.MachineEntry // as they are; schedulers see them by the list
	placements  map[scheduler.ContainerID]*placement            // what is offered or runs
	probes      []map[scheduler.MachineID]scheduler.Time        // by scheduler: when those outstanding time out
	version     int64                                           // of the machine list
	batched     []scheduler.Event                               // waits for the next event of its batch
	nextRequest int
}

type timer struct {
	at   scheduler.Time
	name string
}

// placement is a container's outstanding attempt, or where it runs.
type placement struct {
	scheduler int
	machine   scheduler.MachineID
	running   bool
	request   scheduler.PlacementRequest
}

// Result is what came of all sequences.
type Result struct {
	Sequences, Events, Attempts int
	FailingSequence             string   // the first sequence that breaks a rule, as Replay takes it
	Violations                  []string // of that sequence
}

// Run plays every sequence of up to depth events. It stops at the first that breaks a rule.
func Run(world World, depth int) Result {
	var result Result
	EnumeratePaths(depth, func(path []int) ([]int, bool) {
		fresh := world
		widths, played, violations := fresh.playPath(path)
		result.Sequences++
		result.Events += len(played)
		result.Attempts += fresh.checker.attemptsChecked
		if len(violations) > 0 {
			result.FailingSequence, result.Violations = strings.Join(played, sequenceSeparator), violations
		}
		return widths, len(violations) == 0
	})
	return result
}

// EnumeratePaths has every path of up to depth choices played, until play returns false. play also returns how many
// choices there were at each turn.
func EnumeratePaths(depth int, play func(path []int) (widths []int, goOn bool)) {
	path := make([]int, depth)
	for {
		widths, goOn := play(path)
		last := len(widths) - 1
		for last >= 0 && path[last]+1 >= widths[last] {
			last--
		}
		if !goOn || last < 0 {
			return
		}
		path[last]++
		clear(path[last+1:])
	}
}

// Replay plays one sequence as Run returned it, and returns its violations.
func Replay(world World, sequence string) []string {
	world.begin()
	for _, word := range strings.Split(sequence, sequenceSeparator) {
		world.apply(parseEvent(word))
	}
	world.finish()
	return world.checker.Violations
}

// playPath follows one path of choices, and returns how many there were at each turn.
func (w *World) playPath(path []int) (widths []int, played, violations []string) {
	w.begin()
	for _, choice := range path {
		possible := w.possibleEvents()
		if len(possible) == 0 {
			break
		}
		widths = append(widths, len(possible))
		played = append(played, possible[choice])
		w.apply(parseEvent(possible[choice]))
		if len(w.checker.Violations) > 0 {
			return widths, played, w.checker.Violations
		}
	}
	w.finish()
	return widths, played, w.checker.Violations
}

func (w *World) begin() {
	w.now, w.checker = startOfTime, NewChecker(w.Config, w.Schedulers, w.DrainGrace)
	w.machines = map[scheduler.MachineID]*scheduler.MachineEntry{}
	w.placements = map[scheduler.ContainerID]*placement{}
	w.timers = make([][]timer, w.Schedulers)
	w.probes = make([]map[scheduler.MachineID]scheduler.Time, w.Schedulers)
	for _, entry := range w.Machines {
		w.machines[entry.Machine] = &entry
	}
	for i := range w.Schedulers {
		config := w.Config
		config.SchedulerIndex, config.SchedulerCount = i, w.Schedulers
		w.schedulers = append(w.schedulers, w.NewScheduler(config))
		w.probes[i] = map[scheduler.MachineID]scheduler.Time{}
		w.handle(i, scheduler.MachineListUpdate{Mode: scheduler.RestoredSnapshot, Entries: w.entries()})
	}
	w.advance(w.Config.SlowStartWindow + w.Config.SlowStartWindow/4) // so that they may send to machines in slow start
}

// finish runs past every deadline without any further outcome, and then gives those that are owed.
func (w *World) finish() {
	longest := scheduler.Time(0)
	for _, request := range w.Requests {
		longest = max(longest, request.Deadline)
	}
	w.advance(longest + w.Config.AnswerGrace + Step)
	for _, request := range w.Requests {
		placed := w.placements[request.ID]
		if placed == nil || placed.running {
			continue
		}
		delete(w.placements, request.ID)
		w.handle(
			placed.scheduler,
			scheduler.AttemptEnded{ID: request.ID, Outcome: scheduler.OutcomeTimedOut, Machine: placed.machine},
		)
	}
	w.checker.CheckDeadlines(w.now)
}

// entries lists the machines that are not gone.
func (w *World) entries() []scheduler.MachineEntry {
	var all []scheduler.MachineEntry
	for _, entry := range w.Machines {
		if current := w.machines[entry.Machine]; current.State != scheduler.MachineGone {
			all = append(all, *current)
		}
	}
	return all
}

// deliver gives a scheduler an event, with the one that waits for it, or has it wait for the next one.
func (w *World) deliver(index int, event scheduler.Event, wait bool) {
	if wait && w.Schedulers == 1 {
		w.batched = append(w.batched, event)
		return
	}
	events := append(slices.Clip(w.batched), event)
	w.batched = nil
	w.handle(index, events...)
}

// handle gives events to the checker and to a scheduler, and carries out its actions.
func (w *World) handle(index int, events ...scheduler.Event) {
	for _, event := range events {
		w.checker.ObserveEvent(index, w.now, event)
	}
	for _, action := range w.schedulers[index].Handle(w.now, events) {
		w.checker.ObserveAction(index, w.now, action)
		w.carryOut(index, action)
	}
}

func (w *World) carryOut(index int, action scheduler.Action) {
	switch action := action.(type) {
	case scheduler.StartAttempt:
		placed := &placement{scheduler: index, machine: action.Machine}
		if container := w.checker.incarnations[index].containers[action.ID]; container != nil {
			placed.request = container.request
		}
		w.placements[action.ID] = placed
	case scheduler.Probe:
		timeout := w.now + probeTimeout
		w.probes[index][action.Machine] = timeout
		w.timers[index] = append(w.timers[index], timer{timeout, probeTimerName + string(action.Machine)})
	case scheduler.SetTimer:
		w.timers[index] = append(w.timers[index], timer{w.now + action.After, action.Name})
	}
}

// advance lets time go by: timers fire, and the answers that are owed by then are checked. Outcomes come only as
// events.
func (w *World) advance(span scheduler.Time) {
	if len(w.batched) > 0 && span > Step { // a batch is not held up for so long
		events := w.batched
		w.batched = nil
		w.handle(0, events...)
	}
	until := w.now + span
	for {
		index, next, ok := w.takeTimer(until)
		if !ok {
			break
		}
		w.now = max(w.now, next.at)
		w.fire(index, next)
	}
	w.now = until
	w.checker.CheckDeadlines(w.now)
}

// takeTimer removes the first timer up to a time, of whichever scheduler.
func (w *World) takeTimer(until scheduler.Time) (index int, first timer, ok bool) {
	position := 0
	for i, timers := range w.timers {
		for n, t := range timers {
			if t.at <= until && (!ok || t.at < first.at) {
				index, position, first, ok = i, n, t, true
			}
		}
	}
	if ok {
		w.timers[index] = slices.Delete(slices.Clone(w.timers[index]), position, position+1)
	}
	return index, first, ok
}

// fire fires a scheduler's timer, or the timeout of a probe that is still outstanding.
func (w *World) fire(index int, t timer) {
	name, isProbe := strings.CutPrefix(t.name, probeTimerName)
	if !isProbe {
		w.handle(index, scheduler.TimerFired{Name: t.name})
		return
	}
	machine := scheduler.MachineID(name)
	if w.probes[index][machine] == t.at {
		delete(w.probes[index], machine)
		w.handle(index, scheduler.ProbeCompleted{Machine: machine, Outcome: scheduler.OutcomeTimedOut})
	}
}

// newContainerID names a container that no client of this world has submitted.
func (w *World) newContainerID() scheduler.ContainerID {
	return scheduler.ContainerID(fmt.Sprint("o", w.now))
}
