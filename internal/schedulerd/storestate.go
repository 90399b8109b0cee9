package schedulerd

import "glenport/internal/statemachine"

// storeState is the state of a state store.
type storeState string

// States of a state store.
const (
	storeLoading   storeState = "loading"
	storeLoaded    storeState = "loaded"    // the snapshot in the folder is not restored yet and must be kept
	storeRecording storeState = "recording" // snapshots are written
	storeClosed    storeState = "closed"
)

// storeEvent is an event of a state store.
type storeEvent string

// Events of a state store.
const (
	storeFolderLoaded storeEvent = "loaded"
	storeRestored     storeEvent = "restored"
	storeReleased     storeEvent = "closed"
)

// storeTransitions is the table in the package comment.
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

// transition applies an event. It is the only function that changes the state of a state store.
func (st *stateStore) transition(event storeEvent) bool {
	return st.checkTransition(storeTransitions.Apply("state store", &st.state, event))
}
