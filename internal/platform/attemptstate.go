package platform

import "glenport/internal/statemachine"

// attemptState is the state of an attempt.
type attemptState uint8

const (
	attemptConnecting  attemptState = iota + 1 // waiting for a connection
	attemptOffered                             // offer sent, waiting for its answer
	attemptRunning                             // accepted by the machine: the container is running
	attemptTerminating                         // a client has ordered the end of the running container
	attemptFinished                            // the outcome is known
)

func (s attemptState) String() string {
	return [...]string{"none", "connecting", "offered", "running", "terminating", "finished"}[s]
}

// attemptEvent is an event that changes the state of an attempt.
type attemptEvent uint8

const (
	offerSent attemptEvent = iota + 1
	offerWasAccepted
	terminationRequested
	outcomeKnown
)

func (e attemptEvent) String() string {
	return [...]string{"none", "offer sent", "offer accepted", "termination requested", "outcome known"}[e]
}

var attemptTransitions = statemachine.Table[attemptState, attemptEvent]{
	attemptConnecting:  {offerSent: attemptOffered, outcomeKnown: attemptFinished},
	attemptOffered:     {offerWasAccepted: attemptRunning, outcomeKnown: attemptFinished},
	attemptRunning:     {terminationRequested: attemptTerminating, outcomeKnown: attemptFinished},
	attemptTerminating: {terminationRequested: attemptTerminating, outcomeKnown: attemptFinished},
}

// transition applies an event. It is the only place where the state of an attempt changes.
func (a *attempt) transition(event attemptEvent) error {
	before := a.state
	err := attemptTransitions.Apply(statemachine.Unnamed, &a.state, event)
	if err != nil {
		a.env.logIllegalTransition(err, "request_id", a.id())
	} else if before == attemptConnecting {
		a.env.adoptions.AttemptsDone(1)
	}
	return err
}

// isRunning reports whether the container of the attempt is running.
func (a *attempt) isRunning() bool { return a.state == attemptRunning || a.state == attemptTerminating }

// wasAcceptedByMachine reports whether the container is running because the machine accepted its offer. It is false for
// an adopted container.
func (a *attempt) wasAcceptedByMachine() bool { return a.isRunning() && a.conn != nil }

// awaitsAnswer reports whether the offer was sent and is not answered yet.
func (a *attempt) awaitsAnswer() bool { return a.state == attemptOffered }

// isOffered reports whether the offer was sent and awaits its answer, or the container is running.
func (a *attempt) isOffered() bool { return a.awaitsAnswer() || a.isRunning() }
