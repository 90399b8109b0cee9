package emulator

import (
	"fmt"
	"log/slog"
)

// TransitionError reports an event that is illegal in the state in which it came. The state stays as it was.
type TransitionError struct {
	Subject string // what has the state
	State   string
	Event   string
}

func (e *TransitionError) Error() string {
	return fmt.Sprintf("%s: the event %q is illegal in the state %q", e.Subject, e.Event, e.State)
}

// transitionTable has, by state, the events that are legal in it and the state that follows each.
type transitionTable[S, E ~string] map[S]map[E]S

// stateMachine is the state of one subject.
type stateMachine[S, E ~string] struct {
	subject string
	table   transitionTable[S, E]
	state   S
}

// apply is the only place in which a state changes. The error is a *TransitionError.
func (m *stateMachine[S, E]) apply(event E) error {
	next, legal := m.table[m.state][event]
	if !legal {
		return &TransitionError{Subject: m.subject, State: string(m.state), Event: string(event)}
	}
	m.state = next
	return nil
}

// applyOrLog is apply for an event whose source expects no answer.
func (m *stateMachine[S, E]) applyOrLog(event E) {
	if err := m.apply(event); err != nil {
		slog.Error("illegal transition in the emulator", "error", err)
	}
}
