// Package statemachine holds the transitions of state machines as tables, in three forms: a Table, where an event leads
// to one state; Choices, where it may lead to several and the caller decides by facts; and Successors, where the caller
// names the next state alone. A transition that a table does not have is a *TransitionError, and the state stays.
//
// The tables are shown on docs/state-machines.md and in the package comments; statemachinetest compares them.
package statemachine

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// name is the type of a state or an event: a string, or a small integer with a String method. The order of its values
// is the order in which they are listed.
type name interface{ ~string | ~uint8 }

// Unnamed is the subject of a state machine whose log line says what has the state.
const Unnamed = ""

// TransitionError is a transition that a state machine does not have.
type TransitionError struct {
	Subject string // what has the state; Unnamed where the log line says it
	From    string
	Event   string // empty for Successors
	To      string // empty for a Table
}

// Error implements error.
func (e *TransitionError) Error() string {
	return e.prefix() + e.reason()
}

func (e *TransitionError) prefix() string {
	if e.Subject == Unnamed {
		return ""
	}
	return e.Subject + ": "
}

func (e *TransitionError) reason() string {
	switch {
	case e.To == "":
		return fmt.Sprintf("event %q is illegal in state %q", e.Event, e.From)
	case e.Event == "":
		return fmt.Sprintf("no transition from %s to %s", e.From, e.To)
	default:
		return fmt.Sprintf("%s must not lead from %s to %s", e.Event, e.From, e.To)
	}
}

// text is the text of a subject, a state or an event.
func text(v any) string { return fmt.Sprint(v) }

func sortedKeys[Key cmp.Ordered, Value any](m map[Key]Value) []Key {
	return slices.Sorted(maps.Keys(m))
}
