package modelcheck

import (
	"fmt"
	"slices"
	"strings"

	"glenport/scheduler"
)

const (
	startTime      = 100 * scheduler.Second
	waitDuration   = scheduler.Second // duration of the event "wait"
	probeTimeout   = scheduler.Second
	probeTimerName = "probe " // prefix of a probe timer's name; the machine follows
)

// simulation plays one sequence of events in a world.
type simulation struct {
	World

	now         scheduler.Time
	checker     *Checker
	schedulers  []Decider
	timers      [][]timer                                       // by scheduler
	machines    map[scheduler.MachineID]*scheduler.MachineEntry // true states; schedulers learn them by the list
	placements  map[scheduler.ContainerID]*placement            // containers that are offered or run
	probes      []map[scheduler.MachineID]scheduler.Time        // by scheduler: timeouts of outstanding probes
	version     int64                                           // of the machine list
	batched     []scheduler.Event                               // held back for the next event of their batch
	nextRequest int
}

type timer struct {
	at   scheduler.Time
	name string
}

// placement is the outstanding attempt of a container, or the machine on which it runs.
type placement struct {
	scheduler int
	machine   scheduler.MachineID
	running   bool
	request   scheduler.PlacementRequest
}

func newSimulation(world World) *simulation {
	s := &simulation{
		World:      world,
		now:        startTime,
		checker:    NewChecker(world.Config, world.Schedulers, world.DrainGrace),
		timers:     make([][]timer, world.Schedulers),
		machines:   map[scheduler.MachineID]*scheduler.MachineEntry{},
		placements: map[scheduler.ContainerID]*placement{},
	}
	s.start()
	return s
}

// playPath plays the events chosen by a path, and returns how many events were possible at each step.
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

// start starts the schedulers with the restored machine list.
func (s *simulation) start() {
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
	// Schedulers may send to machines in slow start from then on.
	s.advance(s.Config.SlowStartWindow + s.Config.SlowStartWindow/4)
}

// finish advances past every deadline without any further outcome, and then delivers a timeout for each outstanding
// attempt.
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

// entries returns the machine-list entries of the machines that are not gone.
func (s *simulation) entries() []scheduler.MachineEntry {
	var all []scheduler.MachineEntry
	for _, entry := range s.Machines {
		if current := s.machines[entry.Machine]; current.State != scheduler.MachineGone {
			all = append(all, *current)
		}
	}
	return all
}

// deliver gives a scheduler the event that results from an event of the sequence, together with the batched events. An
// event that is batched itself is held back for the next one.
func (s *simulation) deliver(e event, index int, given scheduler.Event) {
	if e.batched && s.Schedulers == 1 {
		s.batched = append(s.batched, given)
		return
	}
	events := append(slices.Clip(s.batched), given)
	s.batched = nil
	s.handle(index, events...)
}

// handle gives events to the checker and to a scheduler, and executes the scheduler's actions.
func (s *simulation) handle(index int, events ...scheduler.Event) {
	for _, event := range events {
		s.checker.ObserveEvent(index, s.now, event)
	}
	for _, action := range s.schedulers[index].Handle(s.now, events) {
		s.checker.ObserveAction(index, s.now, action)
		s.execute(index, action)
	}
}

func (s *simulation) execute(index int, action scheduler.Action) {
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

// advance moves the clock: timers fire, and overdue replies are detected. Attempts get outcomes only by events of the
// sequence.
func (s *simulation) advance(span scheduler.Time) {
	if len(s.batched) > 0 && span > Step { // a batch is not delayed by more than a step
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

// takeTimer removes and returns the earliest timer of any scheduler that is due by a time.
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

// fire delivers a timer to a scheduler, or the timeout of a probe that is still outstanding.
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

// newContainerID returns the ID of a container that no client of this world has submitted.
func (s *simulation) newContainerID() scheduler.ContainerID {
	return scheduler.ContainerID(fmt.Sprint("o", s.now))
}
