package schedulerd

import "glenport/internal/statemachine"

// serverState is the state of a server.
type serverState string

// States of a server.
const (
	serverCreated  serverState = "created"
	serverServing  serverState = "serving"
	serverStopping serverState = "stopping" // the loop ends after this iteration
	serverStopped  serverState = "stopped"
)

// serverEvent is what happens to a server.
type serverEvent string

// Events of a server.
const (
	serverStarted       serverEvent = "started"
	serverStopRequested serverEvent = "stop requested"
	serverLoopEnded     serverEvent = "loop ended"
)

// serverTransitions is the table of the package comment.
var serverTransitions = statemachine.Table[serverState, serverEvent]{
	serverCreated: {
		serverStarted:       serverServing,
		serverStopRequested: serverStopping,
		serverLoopEnded:     serverStopped, // New has failed
	},
	serverServing: {
		serverStopRequested: serverStopping,
		serverLoopEnded:     serverStopped, // it could not wait for events
	},
	serverStopping: {
		serverStarted:       serverStopping, // Stop was called before Run
		serverStopRequested: serverStopping,
		serverLoopEnded:     serverStopped,
	},
}

// transition is the one place where the state of a server changes.
func (s *Server) transition(event serverEvent) bool {
	return s.checkTransition(serverTransitions.Apply("server", &s.lifecycle, event))
}

// requestStop ends the BGP sessions, once.
func (s *Server) requestStop() {
	before := s.lifecycle
	if s.transition(serverStopRequested) && before != serverStopping {
		s.routes.stop()
	}
}

// handleLoopEnd writes what is left of the state.
func (s *Server) handleLoopEnd() {
	if s.transition(serverLoopEnded) && s.state != nil {
		s.state.close(s.takeSnapshot)
	}
}
