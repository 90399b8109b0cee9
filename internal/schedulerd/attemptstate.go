package schedulerd

import "glenport/internal/statemachine"

// attemptState is the state of an attempt.
type attemptState string

// States of an attempt.
const (
	attemptQueued      attemptState = "queued"       // not sent, because the connection is not ready
	attemptAwaitingLog attemptState = "awaiting log" // not sent before the log holds it
	attemptOffered     attemptState = "offered"      // sent, not answered yet
	attemptRunning     attemptState = "running"      // accepted: the container runs or will run
	attemptTerminating attemptState = "terminating"  // cancelled by a client; ends with the result from the machine
	attemptEnded       attemptState = "ended"
)

// attemptEvent is an event of an attempt.
type attemptEvent string

// Events of an attempt.
const (
	attemptLogRequired          attemptEvent = "log required"
	attemptLogged               attemptEvent = "logged"
	attemptOfferSent            attemptEvent = "offer sent"
	attemptAcceptReceived       attemptEvent = "accept received"
	attemptTerminationRequested attemptEvent = "termination requested"
	attemptOutcomeKnown         attemptEvent = "ended"
)

// attemptTransitions is the table in the package comment.
var attemptTransitions = statemachine.Table[attemptState, attemptEvent]{
	attemptQueued: {
		attemptLogRequired:  attemptAwaitingLog,
		attemptOfferSent:    attemptOffered,
		attemptOutcomeKnown: attemptEnded,
	},
	attemptAwaitingLog: {
		attemptLogged:       attemptQueued,
		attemptOutcomeKnown: attemptEnded,
	},
	attemptOffered: {
		attemptAcceptReceived: attemptRunning,
		attemptOutcomeKnown:   attemptEnded,
	},
	attemptRunning: {
		attemptTerminationRequested: attemptTerminating,
		attemptOutcomeKnown:         attemptEnded,
	},
	attemptTerminating: {
		attemptTerminationRequested: attemptTerminating, // a client has repeated the cancel
		attemptOutcomeKnown:         attemptEnded,
	},
	attemptEnded: {
		attemptLogged: attemptEnded, // the attempt ended while it waited for the log
	},
}

// transition applies an event. It is the only function that changes the state of an attempt.
func (a *attempt) transition(event attemptEvent) bool {
	return a.machine.registry.checkTransition(attemptTransitions.Apply("attempt", &a.state, event))
}

func (s attemptState) accepted() bool { return s == attemptRunning || s == attemptTerminating }

func (a *attempt) accepted() bool { return a.state.accepted() }

func (a *attempt) terminating() bool { return a.state == attemptTerminating }

func (a *attempt) awaitsLog() bool { return a.state == attemptAwaitingLog }

func (a *attempt) unsent() bool { return a.state == attemptQueued || a.state == attemptAwaitingLog }
