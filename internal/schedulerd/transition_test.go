package schedulerd

import (
	"errors"
	"log/slog"
	"testing"

	"glenport/internal/statemachine"
	"glenport/internal/statemachine/statemachinetest"
)

func TestPackageCommentListsEachTransition(t *testing.T) {
	statemachinetest.CheckComment(t, statemachinetest.Machines{
		"An attempt:":                  attemptTransitions,
		"The connection of a machine.": machineConnTransitions,
		"The connection of a client.":  clientTransitions,
		"The server.":                  serverTransitions,
		"The state store.":             storeTransitions,
		"The snapshot writer:":         writerTransitions,
	})
}

func TestPageShowsEachTransition(t *testing.T) {
	statemachinetest.CheckPage(t, "Scheduler process", map[string]statemachinetest.PageMachine{
		"Attempt":            statemachinetest.NewPageMachine(attemptTransitions, attemptQueued, attemptRunning),
		"Machine connection": statemachinetest.NewPageMachine(machineConnTransitions, machineDisconnected),
		"Client connection":  statemachinetest.NewPageMachine(clientTransitions, clientAwaitingHello),
		"Server":             statemachinetest.NewPageMachine(serverTransitions, serverCreated),
		"State store":        statemachinetest.NewPageMachine(storeTransitions, storeLoading),
		"Snapshot writer":    statemachinetest.NewPageMachine(writerTransitions, writerSaved),
	})
}

func TestIllegalTransitionIsLoggedAndChangesNothing(t *testing.T) {
	var logged error
	p := &process{log: slog.New(&transitionLog{illegal: func(err error) { logged = err }})}
	registry := &machineRegistry{process: p}
	ended := &attempt{state: attemptEnded, machine: &machine{registry: registry}}
	ready := &machineConn{state: machineReady, machine: &machine{registry: registry}}
	closed := &clientConn{state: clientClosed, registry: &clientRegistry{process: p}}
	stopped := &Server{process: p, lifecycle: serverStopped}
	released := &stateStore{journal: &journal{process: p}, state: storeClosed}
	idle := &snapshotWriter{process: p, state: writerSaved}
	for _, tc := range []illegalEvent{
		illegal("attempt", &ended.state, ended.transition, attemptAcceptReceived),
		illegal("machine connection", &ready.state, ready.transition, machineDialed),
		illegal("client connection", &closed.state, closed.transition, clientConnClosed),
		illegal("server", &stopped.lifecycle, stopped.transition, serverStarted),
		illegal("state store", &released.state, released.transition, storeRestored),
		illegal("snapshot writer", &idle.state, idle.transition, writeFailed),
	} {
		t.Run(tc.subject, func(t *testing.T) {
			before := tc.state()
			if tc.apply() || tc.state() != before {
				t.Errorf("from %q to %q", before, tc.state())
			}
			var illegal *statemachine.TransitionError
			if !errors.As(logged, &illegal) || illegal.Subject != tc.subject || illegal.From != before {
				t.Errorf("logged %v", logged)
			}
		})
	}
}

// illegalEvent is an event in a state that does not allow it.
type illegalEvent struct {
	subject string
	state   func() string
	apply   func() bool
}

func illegal[State ~string, Event any](
	subject string, state *State, transition func(Event) bool, event Event,
) illegalEvent {
	return illegalEvent{subject, func() string { return string(*state) }, func() bool { return transition(event) }}
}
