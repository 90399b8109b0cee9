package session

import "glenport/internal/statemachine"

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

// successors maps each state to the states that may follow it. A state that an event can restart follows itself.
var successors = statemachine.Successors[State]{
	Idle:        {Idle, Connect, Active},
	Connect:     {Idle, Connect, OpenSent},
	Active:      {Idle, Active, OpenSent},
	OpenSent:    {Idle, OpenConfirm},
	OpenConfirm: {Idle, OpenConfirm, Established},
	Established: {Idle},
}
