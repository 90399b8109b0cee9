package session

import (
	"fmt"
	"slices"
)

// State is the state of a session, named as in RFC 4271.
type State uint8

// The states, in the order in which a session passes through them.
const (
	Idle State = iota
	Connect
	Active
	OpenSent
	OpenConfirm
	Established
)

func (s State) String() string {
	return [...]string{"Idle", "Connect", "Active", "OpenSent", "OpenConfirm", "Established"}[s]
}

// successors are the states that may follow each state, itself included where an event begins it anew.
var successors = map[State][]State{
	Idle:        {Idle, Connect, Active},
	Connect:     {Idle, Connect, OpenSent},
	Active:      {Idle, Active, OpenSent},
	OpenSent:    {Idle, OpenConfirm},
	OpenConfirm: {Idle, OpenConfirm, Established},
	Established: {Idle},
}

// TransitionError is a transition that the state machine does not have.
type TransitionError struct{ From, To State }

func (e *TransitionError) Error() string {
	return fmt.Sprintf("BGP session: no transition from %s to %s", e.From, e.To)
}

// next returns the state after a transition, which is the one before if there is no such transition.
func (s State) next(to State) (State, error) {
	if !slices.Contains(successors[s], to) {
		return s, &TransitionError{From: s, To: to}
	}
	return to, nil
}
