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

// serverEvent is an event in the lifecycle of a server.
type serverEvent string

// Events of a server.
const (
	serverStarted       serverEvent = "started"
	serverStopRequested serverEvent = "stop requested"
	serverLoopEnded     serverEvent = "loop ended"
)

// serverTransitions is the table in the package comment.
var serverTransitions = statemachine.Table[serverState, serverEvent]{
	serverCreated: {
		serverStarted:       serverServing,
		serverStopRequested: serverStopping,
		serverLoopEnded:     serverStopped, // New has failed
	},
	serverServing: {
		serverStopRequested: serverStopping,
		serverLoopEnded:     serverStopped, // waiting for events has failed
	},
	serverStopping: {
		serverStarted:       serverStopping, // Stop was called before Run
		serverStopRequested: serverStopping,
		serverLoopEnded:     serverStopped,
	},
}

// transition applies an event. It is the only function that changes the state of a server.
func (s *Server) transition(event serverEvent) bool {
	return s.checkTransition(serverTransitions.Apply("server", &s.lifecycle, event))
}

// requestStop begins the shutdown. Only the first call closes the BGP sessions.
func (s *Server) requestStop() {
	before := s.lifecycle
	if s.transition(serverStopRequested) && before != serverStopping {
		s.routes.stop()
	}
}

// handleLoopEnd closes the state store once the event loop has ended.
func (s *Server) handleLoopEnd() {
	if s.transition(serverLoopEnded) && s.state != nil {
		s.state.close(s.takeSnapshot)
	}
}
