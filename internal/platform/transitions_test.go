package platform

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"glenport/internal/platform/statemachine"
)

// doc.go shows the tables by which the state machines work.
func TestStatesAreDocumented(t *testing.T) {
	page, err := os.ReadFile("doc.go")
	if err != nil {
		t.Fatal(err)
	}
	for name, table := range map[string]fmt.Stringer{
		"attempt": &attemptTransitions, "machine connection": &machineConnTransitions,
		"client connection": &clientTransitions, "shutdown": &shutdownTransitions,
	} {
		want := "//\t" + strings.ReplaceAll(table.String(), "\n", "\n//\t") + "\n"
		if !strings.Contains(string(page), want) {
			t.Errorf("doc.go lacks the table of the %s:\n%s", name, want)
		}
	}
}

// An event that a state does not take is a typed error, is logged, and changes nothing.
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
			if !ok || illegal.From != before || tc.state() != before {
				t.Errorf("error %v, state %v, was %v", illegal, tc.state(), before)
			}
			if !strings.Contains(logged.String(), "illegal state transition") {
				t.Errorf("logged %q", logged.String())
			}
		})
	}
}
