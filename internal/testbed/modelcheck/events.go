package modelcheck

import (
	"slices"
	"strings"

	"glenport/scheduler"
)

// eventKind is the first word of an event in World.Events. What it happens to follows as the last word.
type eventKind string

const (
	eventRequest  eventKind = "request"  // the next request
	eventAccept   eventKind = "accept"   // CONTAINER: its machine accepts
	eventFull     eventKind = "full"     // CONTAINER: the attempt ends so
	eventTimeout  eventKind = "timeout"  // CONTAINER
	eventReset    eventKind = "reset"    // CONTAINER
	eventErrored  eventKind = "errored"  // CONTAINER
	eventUnsent   eventKind = "unsent"   // CONTAINER
	eventFinished eventKind = "finished" // CONTAINER: a running one ends so
	eventLost     eventKind = "lost"     // CONTAINER
	eventStopped  eventKind = "stopped"  // CONTAINER: its accept crossed the cancel of the attempt
	eventCancel   eventKind = "cancel"   // CONTAINER: by its client
	eventUsage    eventKind = "usage"    // CONTAINER: a usage report, perhaps a late one
	eventAdopt    eventKind = "adopt"    // MACHINE: another container is found running there
	eventProbed   eventKind = "probed"   // MACHINE: it answers the first scheduler's probe
	eventDrain    eventKind = "drain"    // MACHINE
	eventLeave    eventKind = "leave"    // MACHINE
	eventBack     eventKind = "back"     // MACHINE
	eventRestart  eventKind = "restart"  // [late] MACHINE: "late" has it seen only in the next list
	eventList     eventKind = "list"     // a full snapshot
	eventFailed   eventKind = "failed"   // the list cannot be reached
	eventWait     eventKind = "wait"     // time goes by
	eventCrash    eventKind = "crash"    // the first scheduler restarts with its snapshot
	eventForget   eventKind = "forget"   // the first scheduler restarts without it
)

const (
	sequenceSeparator = ", "
	batchPrefix       = "+" // the event comes in one batch with the next
	lateWord          = "late"
)

var outcomes = map[eventKind]scheduler.Outcome{
	eventFull:     scheduler.OutcomeFull,
	eventTimeout:  scheduler.OutcomeTimedOut,
	eventReset:    scheduler.OutcomeLost,
	eventErrored:  scheduler.OutcomeErrored,
	eventUnsent:   scheduler.OutcomeNotSent,
	eventFinished: scheduler.OutcomeFinished,
	eventLost:     scheduler.OutcomeLost,
	eventStopped:  scheduler.OutcomeStopped,
}

// event is one event of a sequence.
type event struct {
	kind      eventKind
	container scheduler.ContainerID // what it happens to, as the kind asks for
	machine   scheduler.MachineID
	late      bool
	batched   bool
}

func parseEvent(word string) event {
	word, batched := strings.CutPrefix(word, batchPrefix)
	fields := strings.Fields(word)
	target := fields[len(fields)-1]
	return event{
		kind:      eventKind(fields[0]),
		container: scheduler.ContainerID(target),
		machine:   scheduler.MachineID(target),
		late:      slices.Contains(fields, lateWord),
		batched:   batched,
	}
}

// mayBeBatched is false for events that no scheduler is given.
func (e event) mayBeBatched() bool {
	return e.kind != eventWait && e.kind != eventCrash && e.kind != eventForget
}

// possibleEvents are those of World.Events that can happen now.
func (w *World) possibleEvents() []string {
	var possible []string
	for _, word := range w.Events {
		if w.isPossible(parseEvent(word)) {
			possible = append(possible, word)
		}
	}
	if !w.Batches || len(w.batched) > 0 {
		return possible
	}
	for _, word := range slices.Clone(possible) {
		if parseEvent(word).mayBeBatched() {
			possible = append(possible, batchPrefix+word)
		}
	}
	return possible
}

func (w *World) isPossible(e event) bool {
	placed := w.placements[e.container]
	switch e.kind {
	case eventRequest:
		return w.nextRequest < len(w.Requests)
	case eventAccept, eventFull, eventTimeout, eventReset, eventUnsent, eventErrored:
		return placed != nil && !placed.running
	case eventFinished, eventLost, eventStopped:
		return placed != nil && placed.running
	case eventCancel:
		return placed != nil
	case eventUsage:
		return w.checker.incarnations[0].containers[e.container] != nil
	case eventProbed:
		return w.probes[0][e.machine] > 0
	case eventDrain:
		return w.machines[e.machine].State == scheduler.MachineServing
	case eventLeave:
		return w.machines[e.machine].State != scheduler.MachineGone
	case eventBack:
		return w.machines[e.machine].State != scheduler.MachineServing
	}
	return true
}

// apply has an event happen, a step later than the one before.
func (w *World) apply(e event) {
	w.advance(Step)
	switch e.kind {
	case eventRequest:
		w.request(e)
	case eventAdopt:
		w.adopt(e)
	case eventAccept:
		w.accept(e)
	case eventFull, eventTimeout, eventReset, eventErrored, eventUnsent, eventFinished, eventLost, eventStopped:
		w.endAttempt(e)
	case eventCancel:
		if placed := w.placements[e.container]; placed != nil {
			w.deliver(placed.scheduler, scheduler.ContainerRemoved{ID: e.container}, e.batched)
		}
	case eventUsage:
		w.deliver(0, scheduler.UsageReported{ID: e.container, Metric: scheduler.MetricMemoryUsed, Value: 2}, e.batched)
	case eventProbed:
		delete(w.probes[0], e.machine)
		w.deliver(0, scheduler.ProbeCompleted{Machine: e.machine}, e.batched)
	case eventDrain, eventLeave, eventBack, eventRestart:
		w.changeMachine(e)
	case eventList:
		w.sendList(e, scheduler.FullSnapshot, w.entries()...)
	case eventFailed:
		w.sendList(e, scheduler.UpdateFailed)
	case eventWait:
		w.advance(waitDuration)
	case eventCrash, eventForget:
		w.restartScheduler(e.kind == eventCrash)
	default:
		panic("no event " + string(e.kind))
	}
}

func (w *World) request(e event) {
	request := w.Requests[w.nextRequest]
	request.Deadline += w.now
	w.deliver(w.nextRequest%w.Schedulers, scheduler.RequestReceived{PlacementRequest: request}, e.batched)
	w.nextRequest++
}

// adopt gives the first scheduler a container that was found running on a machine.
func (w *World) adopt(e event) {
	like := w.Requests[0]
	found := scheduler.PlacementRequest{
		ID: w.newContainerID(), Service: like.Service, WorkloadClass: like.WorkloadClass,
		Cores: 1, Memory: 1,
	}
	w.deliver(0, scheduler.ContainerAdopted{PlacementRequest: found, Machine: e.machine}, e.batched)
}

func (w *World) accept(e event) {
	placed := w.placements[e.container]
	if placed == nil {
		return
	}
	placed.running = true
	w.deliver(placed.scheduler, scheduler.AttemptAccepted{ID: e.container, Machine: placed.machine}, e.batched)
}

func (w *World) endAttempt(e event) {
	placed := w.placements[e.container]
	if placed == nil {
		return
	}
	delete(w.placements, e.container)
	w.deliver(placed.scheduler, scheduler.AttemptEnded{
		ID: e.container, Outcome: outcomes[e.kind], Machine: placed.machine,
		Final: e.kind == eventFinished || e.kind == eventLost,
	}, e.batched)
}

func (w *World) changeMachine(e event) {
	entry := w.machines[e.machine]
	switch e.kind {
	case eventDrain:
		entry.State = scheduler.MachineDraining
	case eventLeave:
		entry.State = scheduler.MachineGone
	case eventBack:
		entry.State = scheduler.MachineServing
	case eventRestart:
		entry.State, entry.StartedAt = scheduler.MachineServing, w.now
	}
	if !e.late {
		w.sendList(e, scheduler.DeltaUpdate, *entry)
	}
}

// sendList gives an update of the machine list to every scheduler.
func (w *World) sendList(e event, mode scheduler.UpdateMode, entries ...scheduler.MachineEntry) {
	w.version++
	for i := range w.schedulers {
		w.deliver(i, scheduler.MachineListUpdate{Mode: mode, Version: w.version, Entries: entries}, e.batched)
	}
}

// restartScheduler ends the first scheduler and starts its next incarnation, with or without what it had learned. It
// adopts what runs; what was only offered is cancelled.
func (w *World) restartScheduler(withSnapshot bool) {
	config := w.Config
	config.SchedulerCount = w.Schedulers
	before, after := w.schedulers[0], w.NewScheduler(config)
	w.checker.Restarted(0)
	w.schedulers[0], w.timers[0], w.probes[0] = after, nil, map[scheduler.MachineID]scheduler.Time{}
	var ids []scheduler.ContainerID
	for id, placed := range w.placements {
		if placed.scheduler == 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	w.handle(0, scheduler.MachineListUpdate{Mode: scheduler.RestoredSnapshot, Entries: w.entries()})
	if persistent, ok := before.(interface{ Snapshot() scheduler.Snapshot }); ok && withSnapshot {
		after.(interface{ Restore(scheduler.Snapshot) }).Restore(persistent.Snapshot())
	}
	for _, id := range ids {
		placed := w.placements[id]
		if !placed.running {
			delete(w.placements, id)
			continue
		}
		w.handle(0, scheduler.ContainerAdopted{PlacementRequest: placed.request, Machine: placed.machine})
	}
}
