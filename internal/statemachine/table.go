package statemachine

import "slices"

// Table gives the state that follows a state by an event.
type Table[State, Event name] map[State]map[Event]State

// Apply changes a state by an event. The subject is what has the state; it is formatted only for the error.
func (t Table[State, Event]) Apply(subject any, state *State, event Event) error {
	next, legal := t[*state][event]
	if !legal {
		return &TransitionError{Subject: text(subject), From: text(*state), Event: text(event)}
	}
	*state = next
	return nil
}

// Transitions implements Machine.
func (t Table[State, Event]) Transitions() []Transition {
	var all []Transition
	for _, from := range sortedKeys(t) {
		for _, event := range sortedKeys(t[from]) {
			all = append(all, Transition{text(from), text(event), text(t[from][event])})
		}
	}
	return all
}

// Choices gives the states to which an event may lead from a state.
type Choices[State, Event name] map[State]map[Event][]State

// Apply changes a state by an event to one of the states to which that may lead. The subject is what has the state; it
// is formatted only for the error.
//
//nolint:revive // confusing-naming takes methods of two types with two type parameters each for those of one
func (c Choices[State, Event]) Apply(subject any, state *State, event Event, to State) error {
	if !slices.Contains(c[*state][event], to) {
		return &TransitionError{Subject: text(subject), From: text(*state), Event: text(event), To: text(to)}
	}
	*state = to
	return nil
}

// Transitions implements Machine.
//
//nolint:revive // confusing-naming takes methods of two types with two type parameters each for those of one
func (c Choices[State, Event]) Transitions() []Transition {
	var all []Transition
	for _, from := range sortedKeys(c) {
		for _, event := range sortedKeys(c[from]) {
			for _, to := range c[from][event] {
				all = append(all, Transition{text(from), text(event), text(to)})
			}
		}
	}
	return all
}
