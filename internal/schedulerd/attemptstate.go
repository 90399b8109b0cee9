package schedulerd

import "glenport/internal/statemachine"

// attemptState is the state of an attempt.
type attemptState string

// States of an attempt.
const (
	attemptQueued      attemptState = "queued"       // not sent, for want of a connection that is ready
	attemptAwaitingLog attemptState = "awaiting log" // it must not be sent before the log holds it
	attemptOffered     attemptState = "offered"      // sent, without an answer
	attemptRunning     attemptState = "running"      // accepted: the container runs, or will
	attemptTerminating attemptState = "terminating"  // its client has cancelled it; the machine's result ends it
	attemptEnded       attemptState = "ended"
)

// attemptEvent is what happens to an attempt.
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

// attemptTransitions is the table of the package comment.
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
		attemptTerminationRequested: attemptTerminating, // by a client that asks again
		attemptOutcomeKnown:         attemptEnded,
	},
	attemptEnded: {
		attemptLogged: attemptEnded, // it has waited for the log too long
	},
}

// transition is the one place where the state of an attempt changes.
func (a *attempt) transition(event attemptEvent) bool {
	return a.machine.registry.checkTransition(attemptTransitions.Apply("attempt", &a.state, event))
}

func (s attemptState) accepted() bool { return s == attemptRunning || s == attemptTerminating }

func (a *attempt) accepted() bool { return a.state.accepted() }

func (a *attempt) terminating() bool { return a.state == attemptTerminating }

func (a *attempt) awaitsLog() bool { return a.state == attemptAwaitingLog }

func (a *attempt) unsent() bool { return a.state == attemptQueued || a.state == attemptAwaitingLog }
