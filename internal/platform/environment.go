package platform

import (
	"log/slog"

	"glenport/internal/adoptions"
	"glenport/internal/eventloop"
	"glenport/internal/platform/adoption"
	"glenport/internal/platform/connmanager"
	"glenport/internal/platform/failuredetector"
	"glenport/internal/platform/jsonlines"
	"glenport/scheduler"
)

// environment holds what the parts of a server share: the settings, the event loop, the log, the encoder, and the event
// queues of the packages that decide.
type environment struct {
	config       *Config
	log          *slog.Logger
	tracing      bool // every message is logged
	loop         *eventloop.Loop
	encodeBuffer []byte              // reused by encode
	claims       *adoption.Claims    // adopted claims that no machine has confirmed
	cancels      connmanager.Cancels // orders to end containers that their machines may not have read
	adoptions    adoptions.Tracker

	schedulerQueue       eventQueue[scheduler.Event, scheduler.Action]
	connManagerQueue     eventQueue[connmanager.Event, connmanager.Action]         // handled after schedulerQueue
	failureDetectorQueue eventQueue[failuredetector.Event, failuredetector.Action] // handled last
}

// notifyScheduler queues an event for the scheduler.
func (env *environment) notifyScheduler(e scheduler.Event) { env.schedulerQueue.add(e) }

// notifyConnManager queues an event for the connection manager.
func (env *environment) notifyConnManager(e connmanager.Event) { env.connManagerQueue.add(e) }

// notifyFailureDetector queues an event for the failure detector.
func (env *environment) notifyFailureDetector(e failuredetector.Event) {
	env.failureDetectorQueue.add(e)
}

// notifyUnadoptedEnd has a client notified of the end of a container whose claim was not adopted. Machines end running
// containers with two causes only. A message with any other cause answers an offer that was cancelled; the client
// already has an answer and must not be notified.
func (env *environment) notifyUnadoptedEnd(id scheduler.ContainerID, at scheduler.MachineID, cause terminationCause) {
	endsRunning := cause == causeFinished || cause == causeLost
	if endsRunning && env.claims.WasRejected(string(id), string(at)) {
		env.notifyConnManager(connmanager.ContainerTerminated{RequestID: string(id), Cause: int(cause)})
	}
}

// processEvents passes the events of this iteration to the packages that decide, and carries out their actions. It
// reports whether these actions have caused further events.
func (env *environment) processEvents() (more bool) {
	now := env.loop.Now()
	env.schedulerQueue.run(now)
	env.connManagerQueue.run(now)
	env.failureDetectorQueue.run(now)
	return env.schedulerQueue.pending()+env.connManagerQueue.pending()+env.failureDetectorQueue.pending() > 0
}

// elapsedSince is the time since an earlier iteration.
func (env *environment) elapsedSince(start eventloop.Tick) scheduler.Time {
	return scheduler.Time(env.loop.Now() - start)
}

// encode returns a message as a line, which is valid until the next call.
func (env *environment) encode(msg *jsonlines.Message) ([]byte, error) {
	var err error
	env.encodeBuffer, err = jsonlines.Append(env.encodeBuffer[:0], msg)
	return env.encodeBuffer, err
}

// trace logs a message with further attributes. It is called only if tracing is on.
func (env *environment) trace(direction, peer string, msg *jsonlines.Message, attributes ...any) {
	log := env.log.With("time", env.loop.Now(), "direction", direction, "peer", peer, "op", msg.Op,
		"request_id", msg.RequestID, "fields", msg.Fields, "cause", msg.CauseOrNone())
	log.Info("message", attributes...)
}

// logIllegalTransition logs an event that is illegal in the state of a state machine. The attribute key=id identifies
// the state machine.
func (env *environment) logIllegalTransition(err error, key string, id any) {
	env.log.Error("illegal state transition", key, id, "error", err)
}

// eventQueue holds the events for a package that decides, until the end of an iteration.
type eventQueue[Event, Action any] struct {
	events []Event
	handle func(now eventloop.Tick, events []Event) []Action
	apply  func(Action)
}

func (q *eventQueue[Event, Action]) add(e Event) { q.events = append(q.events, e) }

func (q *eventQueue[Event, Action]) pending() int { return len(q.events) }

// run passes the events to handle and carries out the returned actions in order. Events that the actions cause wait for
// the next run.
func (q *eventQueue[Event, Action]) run(now eventloop.Tick) {
	events := q.events
	if len(events) == 0 {
		return
	}
	q.events = nil
	for _, action := range q.handle(now, events) {
		q.apply(action)
	}
}
