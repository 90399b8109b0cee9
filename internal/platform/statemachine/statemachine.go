// Package statemachine holds the transitions of a state machine as a table, and the error of an event that a state does
// not take.
package statemachine

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// size bounds the states and the events of a table, each numbered from 1.
const size = 8

// enum is a set of named values that are numbered from 1; 0 is none of them.
type enum interface {
	~uint8
	fmt.Stringer
}

// Table gives the state that follows a state by an event. A pair without an entry is illegal.
type Table[State, Event enum] [size][size]State

// Next returns the state that follows. Where the table has none, it returns the same state and a *TransitionError.
func (t *Table[State, Event]) Next(from State, event Event) (State, error) {
	next := t[from][event]
	if next == 0 {
		return from, &TransitionError{From: from, Event: event}
	}
	return next, nil
}

// TransitionError is the error of an event that happened in a state that does not take it.
type TransitionError struct{ From, Event fmt.Stringer }

func (e *TransitionError) Error() string {
	return fmt.Sprintf("event %q is illegal in state %q", e.Event, e.From)
}

// String is the table as text, a line for each state, as it stands in doc comments: "-" marks an illegal pair.
func (t *Table[State, Event]) String() string {
	states, events := t.used()
	header := []string{"state"}
	for _, event := range events {
		header = append(header, event.String())
	}
	lines := []string{row(header)}
	for _, from := range states {
		cells := []string{from.String()}
		for _, event := range events {
			cells = append(cells, t.cell(from, event))
		}
		lines = append(lines, row(cells))
	}
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 1, ' ', 0)
	// A strings.Builder takes all, so that neither call fails.
	_, _ = io.WriteString(w, strings.Join(lines, "\n"))
	_ = w.Flush()
	return text.String()
}

func row(cells []string) string { return "| " + strings.Join(cells, "\t| ") + "\t|" }

func (t *Table[State, Event]) cell(from State, event Event) string {
	if to := t[from][event]; to != 0 {
		return to.String()
	}
	return "-"
}

// used lists the states and the events of the table in order, the states that no event leaves included.
func (t *Table[State, Event]) used() (states []State, events []Event) {
	var isState, isEvent [size]bool
	for from := range t {
		for event, to := range t[from] {
			if to != 0 {
				isState[from], isState[to], isEvent[event] = true, true, true
			}
		}
	}
	for i := range size {
		if isState[i] {
			states = append(states, State(i))
		}
		if isEvent[i] {
			events = append(events, Event(i))
		}
	}
	return states, events
}
