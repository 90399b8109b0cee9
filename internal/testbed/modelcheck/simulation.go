package modelcheck

import (
	"fmt"
	"slices"
	"strings"

	"glenport/scheduler"
)

const (
	startOfTime    = 100 * scheduler.Second
	waitDuration   = scheduler.Second // of the event "wait"
	probeTimeout   = scheduler.Second
	probeTimerName = "probe " // before the machine, as the name of a timer
)

// simulation is one sequence of events in a world.
type simulation struct {
	World

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

func newSimulation(world World) *simulation {
	s := &simulation{
		World:      world,
		now:        startOfTime,
		checker:    NewChecker(world.Config, world.Schedulers, world.DrainGrace),
		timers:     make([][]timer, world.Schedulers),
		machines:   map[scheduler.MachineID]*scheduler.MachineEntry{},
		placements: map[scheduler.ContainerID]*placement{},
	}
	s.begin()
	return s
}

// playPath follows one path of choices, and returns how many there were at each turn.
func (s *simulation) playPath(path []int) (widths []int, played, violations []string) {
	for _, choice := range path {
		possible := s.possibleEvents()
		if len(possible) == 0 {
			break
		}
		widths = append(widths, len(possible))
		played = append(played, possible[choice])
		s.apply(parseEvent(possible[choice]))
		if len(s.checker.Violations) > 0 {
			return widths, played, s.checker.Violations
		}
	}
	s.finish()
	return widths, played, s.checker.Violations
}

// begin has the schedulers start and learn the machine list.
func (s *simulation) begin() {
	for _, entry := range s.Machines {
		s.machines[entry.Machine] = &entry
	}
	for i := range s.Schedulers {
		config := s.Config
		config.SchedulerIndex, config.SchedulerCount = i, s.Schedulers
		s.schedulers = append(s.schedulers, s.NewScheduler(config))
		s.probes = append(s.probes, map[scheduler.MachineID]scheduler.Time{})
		s.handle(i, scheduler.MachineListUpdate{Mode: scheduler.RestoredSnapshot, Entries: s.entries()})
	}
	s.advance(s.Config.SlowStartWindow + s.Config.SlowStartWindow/4) // so that they may send to machines in slow start
}

// finish runs past every deadline without any further outcome, and then gives those that are owed.
func (s *simulation) finish() {
	longest := scheduler.Time(0)
	for _, request := range s.Requests {
		longest = max(longest, request.Deadline)
	}
	s.advance(longest + s.Config.AnswerGrace + Step)
	for _, request := range s.Requests {
		placed := s.placements[request.ID]
		if placed == nil || placed.running {
			continue
		}
		delete(s.placements, request.ID)
		s.handle(placed.scheduler, scheduler.AttemptEnded{
			ID: request.ID, Outcome: scheduler.OutcomeTimedOut, Machine: placed.machine,
		})
	}
	s.checker.CheckDeadlines(s.now)
}

// entries lists the machines that are not gone.
func (s *simulation) entries() []scheduler.MachineEntry {
	var all []scheduler.MachineEntry
	for _, entry := range s.Machines {
		if current := s.machines[entry.Machine]; current.State != scheduler.MachineGone {
			all = append(all, *current)
		}
	}
	return all
}

// deliver gives a scheduler what an event is to it, with what waits for that; where the event is batched, it waits for
// the next one.
func (s *simulation) deliver(e event, index int, given scheduler.Event) {
	if e.batched && s.Schedulers == 1 {
		s.batched = append(s.batched, given)
		return
	}
	events := append(slices.Clip(s.batched), given)
	s.batched = nil
	s.handle(index, events...)
}

// handle gives events to the checker and to a scheduler, and carries out its actions.
func (s *simulation) handle(index int, events ...scheduler.Event) {
	for _, event := range events {
		s.checker.ObserveEvent(index, s.now, event)
	}
	for _, action := range s.schedulers[index].Handle(s.now, events) {
		s.checker.ObserveAction(index, s.now, action)
		s.carryOut(index, action)
	}
}

func (s *simulation) carryOut(index int, action scheduler.Action) {
	switch action := action.(type) {
	case scheduler.StartAttempt:
		placed := &placement{scheduler: index, machine: action.Machine}
		if container := s.checker.incarnations[index].containers[action.ID]; container != nil {
			placed.request = container.request
		}
		s.placements[action.ID] = placed
	case scheduler.Probe:
		timeout := s.now + probeTimeout
		s.probes[index][action.Machine] = timeout
		s.timers[index] = append(s.timers[index], timer{timeout, probeTimerName + string(action.Machine)})
	case scheduler.SetTimer:
		s.timers[index] = append(s.timers[index], timer{s.now + action.After, action.Name})
	}
}

// advance lets time go by: timers fire, and the replies that are owed by then are checked. Outcomes come only as
// events.
func (s *simulation) advance(span scheduler.Time) {
	if len(s.batched) > 0 && span > Step { // a batch is not held up for so long
		events := s.batched
		s.batched = nil
		s.handle(0, events...)
	}
	until := s.now + span
	for {
		index, next, ok := s.takeTimer(until)
		if !ok {
			break
		}
		s.now = max(s.now, next.at)
		s.fire(index, next)
	}
	s.now = until
	s.checker.CheckDeadlines(s.now)
}

// takeTimer removes the first timer up to a time, of whichever scheduler.
func (s *simulation) takeTimer(until scheduler.Time) (index int, first timer, ok bool) {
	position := 0
	for i, timers := range s.timers {
		for n, t := range timers {
			if t.at <= until && (!ok || t.at < first.at) {
				index, position, first, ok = i, n, t, true
			}
		}
	}
	if ok {
		s.timers[index] = slices.Delete(slices.Clone(s.timers[index]), position, position+1)
	}
	return index, first, ok
}

// fire fires a scheduler's timer, or the timeout of a probe that is still outstanding.
func (s *simulation) fire(index int, t timer) {
	name, isProbe := strings.CutPrefix(t.name, probeTimerName)
	if !isProbe {
		s.handle(index, scheduler.TimerFired{Name: t.name})
		return
	}
	machine := scheduler.MachineID(name)
	if s.probes[index][machine] == t.at {
		delete(s.probes[index], machine)
		s.handle(index, scheduler.ProbeCompleted{Machine: machine, Outcome: scheduler.OutcomeTimedOut})
	}
}

// newContainerID names a container that no client of this world has submitted.
func (s *simulation) newContainerID() scheduler.ContainerID {
	return scheduler.ContainerID(fmt.Sprint("o", s.now))
}
