// Package statemachine defines state machines by tables of their transitions. There are three kinds of tables:
//
//   - Table: an event in a state leads to exactly one state.
//   - Choices: an event in a state may lead to several states, and the caller chooses one of them.
//   - Successors: there are no events, and the caller names the next state.
//
// A transition that is not in the table returns a *TransitionError and leaves the state unchanged.
//
// The tables are documented in docs/state-machines.md and in package comments. Package statemachinetest compares these
// with the code.
package statemachine

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// symbol is the constraint of states and events: a string, or a small integer with a String method. States and events
// are listed in the order of their values.
type symbol interface{ ~string | ~uint8 }

// Unnamed is the subject for errors whose log line already names the object that has the state.
const Unnamed = ""

// TransitionError reports a transition that is not in the table of a state machine.
type TransitionError struct {
	Subject string // the object that has the state, or Unnamed
	From    string
	Event   string // empty for Successors
	To      string // empty for Table
}

// Error returns the subject, if it is named, and the illegal transition.
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

// text formats a subject, a state or an event.
func text(v any) string { return fmt.Sprint(v) }

func sortedKeys[Key cmp.Ordered, Value any](m map[Key]Value) []Key {
	return slices.Sorted(maps.Keys(m))
}
