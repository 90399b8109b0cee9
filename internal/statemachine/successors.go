package statemachine

import "slices"

// Successors gives the states that may follow a state, itself included where it may be entered anew.
type Successors[State name] map[State][]State

// Apply changes a state to one that may follow it. The subject is what has the state; it is formatted only for the
// error.
func (s Successors[State]) Apply(subject any, state *State, to State) error {
	if !slices.Contains(s[*state], to) {
		return &TransitionError{Subject: text(subject), From: text(*state), To: text(to)}
	}
	*state = to
	return nil
}

// Transitions implements Machine. It leaves out where a state is entered anew.
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
