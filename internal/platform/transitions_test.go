package platform

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"glenport/internal/statemachine"
	"glenport/internal/statemachine/statemachinetest"
)

// doc.go shows the tables of the state machines.
func TestStatesAreDocumented(t *testing.T) {
	statemachinetest.CheckComment(t, statemachinetest.Machines{
		"An attempt ":                attemptTransitions,
		"A connection to a machine ": machineConnTransitions,
		"A connection of a client ":  clientTransitions,
		"The process ":               shutdownTransitions,
	})
}

func TestPageShowsEachTransition(t *testing.T) {
	statemachinetest.CheckPage(t, "Platform process", map[string]statemachinetest.PageMachine{
		"Attempt":            statemachinetest.NewPageMachine(attemptTransitions, attemptConnecting, attemptRunning),
		"Machine connection": statemachinetest.NewPageMachine(machineConnTransitions, machineConnecting),
		"Client connection":  statemachinetest.NewPageMachine(clientTransitions, clientAccepted),
		"Shutdown":           statemachinetest.NewPageMachine(shutdownTransitions, processServing),
	})
}

// An event that is illegal in a state returns a typed error, is logged, and leaves the state unchanged.
func TestIllegalTransitionIsReported(t *testing.T) {
	var logged strings.Builder
	env := loggingEnvironment(&logged)
	finished := &attempt{env: env, container: &container{}, state: attemptFinished}
	connected := &machineConn{env: env, machine: &machine{}, state: machineEstablished}
	ended := &clientConn{env: env, state: clientClosed}
	idle := newShutdownSequence(env, nil)
	for _, tc := range []struct {
		name       string
		transition func() error
		state      func() fmt.Stringer
	}{
		{
			"attempt",
			func() error { return finished.transition(outcomeKnown) },
			func() fmt.Stringer { return finished.state },
		},
		{
			"machine connection",
			func() error { return connected.transition(machineConnOpened) },
			func() fmt.Stringer { return connected.state },
		},
		{
			"client connection",
			func() error { return ended.transition(clientConnEnded) },
			func() fmt.Stringer { return ended.state },
		},
		{
			"shutdown",
			func() error { return idle.transition(drainCompleted) },
			func() fmt.Stringer { return idle.state },
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			logged.Reset()
			before := tc.state()
			illegal, ok := errors.AsType[*statemachine.TransitionError](tc.transition())
			if !ok || illegal.From != before.String() || tc.state() != before {
				t.Errorf("error %v, state %v, was %v", illegal, tc.state(), before)
			}
			if !strings.Contains(logged.String(), "illegal state transition") {
				t.Errorf("logged %q", logged.String())
			}
		})
	}
}
