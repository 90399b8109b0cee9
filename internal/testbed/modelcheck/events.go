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
