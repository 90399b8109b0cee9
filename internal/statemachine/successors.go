package statemachine

import "slices"

// Successors maps each state to the possible next states. A state that may be re-entered is among its own successors.
type Successors[State symbol] map[State][]State

// Apply changes a state to one of its successors. The subject is the object that has the state; it is formatted only
// for the error.
func (s Successors[State]) Apply(subject any, state *State, to State) error {
	if !slices.Contains(s[*state], to) {
		return &TransitionError{Subject: text(subject), From: text(*state), To: text(to)}
	}
	*state = to
	return nil
}

// Transitions implements Machine. It omits transitions from a state to itself.
func (s Successors[State]) Transitions() []Transition {
	var all []Transition
	for _, from := range sortedKeys(s) {
		for _, to := range s[from] {
			if to != from {
				all = append(all, Transition{From: text(from), To: text(to)})
			}
		}
	}
	return all
}
