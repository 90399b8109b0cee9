package statemachine

import "slices"

// Table maps each state and event to the next state.
type Table[State, Event symbol] map[State]map[Event]State

// Apply applies an event to a state. The subject is the object that has the state; it is formatted only for the error.
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

// Choices maps each state and event to the possible next states.
type Choices[State, Event symbol] map[State]map[Event][]State

// Apply applies an event to a state. The next state, to, must be among the possible next states. The subject is the
// object that has the state; it is formatted only for the error.
//
//nolint:revive // confusing-naming mistakes the methods of two types with two type parameters for those of one
func (c Choices[State, Event]) Apply(subject any, state *State, event Event, to State) error {
	if !slices.Contains(c[*state][event], to) {
		return &TransitionError{Subject: text(subject), From: text(*state), Event: text(event), To: text(to)}
	}
	*state = to
	return nil
}

// Transitions implements Machine.
//
//nolint:revive // confusing-naming mistakes the methods of two types with two type parameters for those of one
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
