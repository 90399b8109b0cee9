package schedulerd

import "glenport/internal/statemachine"

// storeState is the state of a state store.
type storeState string

// States of a state store.
const (
	storeLoading   storeState = "loading"
	storeLoaded    storeState = "loaded"    // the folder holds a better snapshot than this incarnation has
	storeRecording storeState = "recording" // snapshots are written
	storeClosed    storeState = "closed"
)

// storeEvent is what happens to a state store.
type storeEvent string

// Events of a state store.
const (
	storeFolderLoaded storeEvent = "loaded"
	storeRestored     storeEvent = "restored"
	storeReleased     storeEvent = "closed"
)

// storeTransitions is the table of the package comment.
var storeTransitions = statemachine.Table[storeState, storeEvent]{
	storeLoading: {
		storeFolderLoaded: storeLoaded,
	},
	storeLoaded: {
		storeRestored: storeRecording,
		storeReleased: storeClosed,
	},
	storeRecording: {
		storeReleased: storeClosed,
	},
}

// transition is the one place where the state of a state store changes.
func (st *stateStore) transition(event storeEvent) bool {
	return st.checkTransition(storeTransitions.Apply("state store", &st.state, event))
}
