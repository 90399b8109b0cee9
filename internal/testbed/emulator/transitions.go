package emulator

import (
	"log/slog"

	"glenport/internal/statemachine"
)

// stateful is the state of one subject.
type stateful[State, Event ~string] struct {
	subject any // its name, boxed once
	table   statemachine.Table[State, Event]
	state   State
}

// apply is the only place in which a state changes. The error is a *statemachine.TransitionError.
func (s *stateful[State, Event]) apply(event Event) error {
	return s.table.Apply(s.subject, &s.state, event)
}

// applyOrLog is apply for an event whose source expects no answer.
func (s *stateful[State, Event]) applyOrLog(event Event) {
	if err := s.apply(event); err != nil {
		slog.Error("illegal transition in the emulator", "error", err)
	}
}
