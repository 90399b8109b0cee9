package modelcheck

import (
	"slices"

	"glenport/scheduler"
)

// possibleEvents returns the events of World.Events that can happen now.
func (s *simulation) possibleEvents() []string {
	var possible []string
	for _, text := range s.Events {
		if s.isPossible(parseEvent(text)) {
			possible = append(possible, text)
		}
	}
	if !s.Batches || len(s.batched) > 0 {
		return possible
	}
	for _, text := range slices.Clone(possible) {
		if parseEvent(text).mayBeBatched() {
			possible = append(possible, batchPrefix+text)
		}
	}
	return possible
}

func (s *simulation) isPossible(e event) bool {
	placed := s.placements[e.container]
	switch e.kind {
	case eventRequest:
		return s.nextRequest < len(s.Requests)
	case eventAccept, eventFull, eventTimeout, eventReset, eventUnsent, eventErrored:
		return placed != nil && !placed.running
	case eventFinished, eventLost, eventStopped:
		return placed != nil && placed.running
	case eventCancel:
		return placed != nil
	case eventUsage:
		return s.checker.incarnations[0].containers[e.container] != nil
	case eventProbed:
		return s.probes[0][e.machine] > 0
	case eventDrain:
		return s.machines[e.machine].State == scheduler.MachineServing
	case eventLeave:
		return s.machines[e.machine].State != scheduler.MachineGone
	case eventBack:
		return s.machines[e.machine].State != scheduler.MachineServing
	default:
		return true // the other events can happen at any time
	}
}

// apply plays an event, one step later than the one before.
func (s *simulation) apply(e event) {
	s.advance(Step)
	switch e.kind {
	case eventRequest:
		s.submitRequest(e)
	case eventAdopt:
		s.adoptContainer(e)
	case eventAccept:
		s.acceptAttempt(e)
	case eventFull, eventTimeout, eventReset, eventErrored, eventUnsent, eventFinished, eventLost, eventStopped:
		s.endAttempt(e)
	case eventCancel:
		if placed := s.placements[e.container]; placed != nil {
			s.deliver(e, placed.scheduler, scheduler.ContainerRemoved{ID: e.container})
		}
	case eventUsage:
		s.deliver(e, 0, scheduler.UsageReported{ID: e.container, Metric: scheduler.MetricMemoryUsed, Value: 2})
	case eventProbed:
		delete(s.probes[0], e.machine)
		s.deliver(e, 0, scheduler.ProbeCompleted{Machine: e.machine})
	case eventDrain, eventLeave, eventBack, eventRestart:
		s.changeMachine(e)
	case eventList:
		s.sendList(e, scheduler.FullSnapshot, s.entries()...)
	case eventFailed:
		s.sendList(e, scheduler.UpdateFailed)
	case eventWait:
		s.advance(waitDuration)
	case eventCrash, eventForget:
		s.restartScheduler(e)
	default:
		panic("unknown event " + string(e.kind))
	}
}

func (s *simulation) submitRequest(e event) {
	request := s.Requests[s.nextRequest]
	request.Deadline += s.now
	s.deliver(e, s.nextRequest%s.Schedulers, scheduler.RequestReceived{PlacementRequest: request})
	s.nextRequest++
}

// adoptContainer has the first scheduler adopt a container that was found running on a machine.
func (s *simulation) adoptContainer(e event) {
	template := s.Requests[0]
	found := scheduler.PlacementRequest{
		ID: s.newContainerID(), Service: template.Service, WorkloadClass: template.WorkloadClass,
		Cores: 1, Memory: 1,
	}
	s.deliver(e, 0, scheduler.ContainerAdopted{PlacementRequest: found, Machine: e.machine})
}

func (s *simulation) acceptAttempt(e event) {
	placed := s.placements[e.container]
	if placed == nil {
		return
	}
	placed.running = true
	s.deliver(e, placed.scheduler, scheduler.AttemptAccepted{ID: e.container, Machine: placed.machine})
}

func (s *simulation) endAttempt(e event) {
	placed := s.placements[e.container]
	if placed == nil {
		return
	}
	delete(s.placements, e.container)
	s.deliver(e, placed.scheduler, scheduler.AttemptEnded{
		ID: e.container, Outcome: outcomeByEvent[e.kind], Machine: placed.machine,
		Final: e.kind == eventFinished || e.kind == eventLost,
	})
}

func (s *simulation) changeMachine(e event) {
	entry := s.machines[e.machine]
	switch e.kind {
	case eventDrain:
		entry.State = scheduler.MachineDraining
	case eventLeave:
		entry.State = scheduler.MachineGone
	case eventBack:
		entry.State = scheduler.MachineServing
	case eventRestart:
		entry.State, entry.StartedAt = scheduler.MachineServing, s.now
	default:
		panic("not a change of a machine: " + string(e.kind))
	}
	if !e.late {
		s.sendList(e, scheduler.DeltaUpdate, *entry)
	}
}

// sendList gives an update of the machine list to every scheduler.
func (s *simulation) sendList(e event, mode scheduler.UpdateMode, entries ...scheduler.MachineEntry) {
	s.version++
	for i := range s.schedulers {
		s.deliver(e, i, scheduler.MachineListUpdate{Mode: mode, Version: s.version, Entries: entries})
	}
}

// restartScheduler replaces the first scheduler by its next incarnation. After eventCrash, the new incarnation restores
// the snapshot of the previous one. The new incarnation adopts the running containers. Attempts without an accept are
// cancelled.
func (s *simulation) restartScheduler(e event) {
	config := s.Config
	config.SchedulerCount = s.Schedulers
	before, after := s.schedulers[0], s.NewScheduler(config)
	s.checker.ObserveRestart(0)
	s.schedulers[0], s.timers[0], s.probes[0] = after, nil, map[scheduler.MachineID]scheduler.Time{}
	s.handle(0, scheduler.MachineListUpdate{Mode: scheduler.RestoredSnapshot, Entries: s.entries()})
	if e.kind == eventCrash {
		restoreSnapshot(before, after)
	}
	for _, id := range s.placementsOf(0) {
		placed := s.placements[id]
		if !placed.running {
			delete(s.placements, id)
			continue
		}
		s.handle(0, scheduler.ContainerAdopted{PlacementRequest: placed.request, Machine: placed.machine})
	}
}

// placementsOf returns the containers that a scheduler has offered or runs, sorted by ID.
func (s *simulation) placementsOf(index int) []scheduler.ContainerID {
	var ids []scheduler.ContainerID
	for id, placed := range s.placements {
		if placed.scheduler == index {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// snapshotter is implemented by a Decider that can save and restore its state. A mutant cannot.
type snapshotter interface {
	Snapshot() scheduler.Snapshot
	Restore(snapshot scheduler.Snapshot)
}

func restoreSnapshot(before, after Decider) {
	source, hasSnapshot := before.(snapshotter)
	if target, restores := after.(snapshotter); hasSnapshot && restores {
		target.Restore(source.Snapshot())
	}
}
