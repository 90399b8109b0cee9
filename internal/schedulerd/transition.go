package schedulerd

import "fmt"

// TransitionError says that an event is illegal in the state of an object.
type TransitionError struct {
	Subject string // the kind of object
	State   string
	Event   string
}

func (e *TransitionError) Error() string {
	return fmt.Sprintf("%s: event %q is illegal in state %q", e.Subject, e.Event, e.State)
}

// transitionTable gives the next state for each legal pair of state and event.
type transitionTable[State, Event ~string] map[State]map[Event]State

// next returns the state after an event, or the present state and a *TransitionError.
func (t transitionTable[State, Event]) next(subject string, from State, event Event) (State, error) {
	to, legal := t[from][event]
	if !legal {
		return from, &TransitionError{Subject: subject, State: string(from), Event: string(event)}
	}
	return to, nil
}
