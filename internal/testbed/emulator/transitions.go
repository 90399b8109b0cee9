package emulator

import (
	"log/slog"

	"glenport/internal/statemachine"
)

// stateMachine is the current state of one subject and its transition table.
type stateMachine[State, Event ~string] struct {
	subject any // the name in errors; converted to an interface once, not at each event
	table   statemachine.Table[State, Event]
	state   State
}

// apply is the only place that changes the state. The error is a *statemachine.TransitionError.
func (s *stateMachine[State, Event]) apply(event Event) error {
	return s.table.Apply(s.subject, &s.state, event)
}

// applyOrLog applies an event and logs the error, for callers that cannot return it.
func (s *stateMachine[State, Event]) applyOrLog(event Event) {
	if err := s.apply(event); err != nil {
		slog.Error("illegal transition in the emulator", "error", err)
	}
}
