package modelcheck

import (
	"slices"
	"strings"

	"glenport/scheduler"
)

// eventKind is the first word of an event in World.Events. The last word names the container or machine that the event
// concerns, if there is one.
type eventKind string

const (
	eventRequest  eventKind = "request"  // the next request arrives
	eventAccept   eventKind = "accept"   // CONTAINER: its machine accepts
	eventFull     eventKind = "full"     // CONTAINER: its attempt ends with OutcomeFull
	eventTimeout  eventKind = "timeout"  // CONTAINER: its attempt times out
	eventReset    eventKind = "reset"    // CONTAINER: its attempt ends with OutcomeLost
	eventErrored  eventKind = "errored"  // CONTAINER: its attempt ends with OutcomeErrored
	eventUnsent   eventKind = "unsent"   // CONTAINER: its attempt ends with OutcomeNotSent
	eventFinished eventKind = "finished" // CONTAINER: it runs, and finishes
	eventLost     eventKind = "lost"     // CONTAINER: it runs, and is lost
	eventStopped  eventKind = "stopped"  // CONTAINER: it is stopped, as its accept crossed the cancel of the attempt
	eventCancel   eventKind = "cancel"   // CONTAINER: its client cancels it
	eventUsage    eventKind = "usage"    // CONTAINER: a usage report, possibly a late one
	eventAdopt    eventKind = "adopt"    // MACHINE: another container is found running there
	eventProbed   eventKind = "probed"   // MACHINE: it answers the first scheduler's probe
	eventDrain    eventKind = "drain"    // MACHINE: it begins to drain
	eventLeave    eventKind = "leave"    // MACHINE: it is gone
	eventBack     eventKind = "back"     // MACHINE: it serves again
	eventRestart  eventKind = "restart"  // [late] MACHINE: it restarts; with "late" only a later list shows it
	eventList     eventKind = "list"     // a full snapshot of the machine list arrives
	eventFailed   eventKind = "failed"   // the machine list is unreachable
	eventWait     eventKind = "wait"     // one second passes
	eventCrash    eventKind = "crash"    // the first scheduler restarts and restores its snapshot
	eventForget   eventKind = "forget"   // the first scheduler restarts without its snapshot
)

const (
	sequenceSeparator = ", "
	batchPrefix       = "+" // the event is delivered in one batch with the next
	lateWord          = "late"
)

var outcomeByEvent = map[eventKind]scheduler.Outcome{
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
	container scheduler.ContainerID // the last word, for events of a container
	machine   scheduler.MachineID   // the last word, for events of a machine
	late      bool                  // only a later machine list shows the event
	batched   bool                  // delivered in one batch with the next event
}

func parseEvent(text string) event {
	text, batched := strings.CutPrefix(text, batchPrefix)
	fields := strings.Fields(text)
	target := fields[len(fields)-1]
	return event{
		kind:      eventKind(fields[0]),
		container: scheduler.ContainerID(target),
		machine:   scheduler.MachineID(target),
		late:      slices.Contains(fields, lateWord),
		batched:   batched,
	}
}

// mayBeBatched reports whether the event is delivered to a scheduler and can thus be part of a batch.
func (e event) mayBeBatched() bool {
	return e.kind != eventWait && e.kind != eventCrash && e.kind != eventForget
}
