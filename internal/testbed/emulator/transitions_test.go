package emulator

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
)

// checkTransitions applies each event in each state: the legal ones lead where the table of the package's doc comment
// says, the others are a *TransitionError and leave the state as it was.
func checkTransitions[S, E ~string](t *testing.T, title string, table transitionTable[S, E], events ...E) {
	t.Helper()
	var rows []string
	for state := range table {
		for _, event := range events {
			m := stateMachine[S, E]{subject: title, table: table, state: state}
			err := m.apply(event)
			var illegal *TransitionError
			switch next, legal := table[state][event]; {
			case legal:
				rows = append(rows, fmt.Sprintf("//\t| %-11s | %-20s | %-11s |\n", state, event, next))
				if _, known := table[next]; err != nil || m.state != next || !known {
					t.Errorf("%s while %s leads to %s, %v", event, state, m.state, err)
				}
			case !errors.As(err, &illegal) || *illegal != TransitionError{title, string(state), string(event)}:
				t.Errorf("%s while %s: %v", event, state, err)
			case m.state != state:
				t.Errorf("%s while %s is illegal and leads to %s", event, state, m.state)
			}
		}
	}
	slices.SortFunc(rows, cmp.Compare[string])
	want := "//\n// " + title + ":\n//\n" + strings.Join(rows, "")
	if doc, err := os.ReadFile("doc.go"); err != nil || !strings.Contains(string(doc), want) {
		t.Errorf("doc.go (%v) lacks\n%s", err, want)
	}
}

func TestTransitionsAreThoseOfTheDocComment(t *testing.T) {
	t.Run("task loop", func(t *testing.T) {
		checkTransitions(t, "Task loop of a machine", loopTransitions,
			taskPosted, loopWasFrozen, loopWasThawed, loopWasClosed)
	})
	t.Run("machine", func(t *testing.T) {
		checkTransitions(t, "Machine", machineTransitions,
			machineStarted, drainRequested, evacuationRequested, drainRevoked, machineCrashed, capacityExceeded)
	})
	t.Run("container", func(t *testing.T) {
		checkTransitions(t, "Container", containerTransitions, offerAccepted, startCompleted, containerGone)
	})
	t.Run("BGP peer", func(t *testing.T) {
		checkTransitions(t, "BGP peer", peerTransitions, sessionEstablished, sessionEnded, peerWasClosed)
	})
}

func TestMachineIsStartedCrashedAndClosed(t *testing.T) {
	m := NewMachine(MachineSpec{Name: "m"}, &DedupGroup{}, 1)
	for range 2 { // a machine that is up stays as it is
		if err := m.Start(StartCold); err != nil {
			t.Fatal(err)
		}
	}
	m.SetDraining(true, true)
	addr := m.Addr()
	if s, ok := m.Status(); !ok || !s.Up || !s.Draining || s.Incarnation != 1 {
		t.Errorf("status %+v after start and drain, %v", s, ok)
	}
	m.SetFrozen(true)
	if s, ok := m.Status(); ok {
		t.Errorf("a frozen machine answers %+v", s)
	}
	m.Crash()
	if s, ok := m.Status(); !ok || s.Up {
		t.Errorf("status %+v after a crash, %v", s, ok)
	}
	if err := m.Start(StartWarm); err != nil {
		t.Fatal(err)
	}
	if s, ok := m.Status(); !ok || !s.Up || s.Draining || s.Incarnation != 2 || s.Addr != addr {
		t.Errorf("status %+v after a restart, %v", s, ok)
	}
	m.Close()
	m.Close() // changes nothing
	var illegal *TransitionError
	if err := m.Start(StartCold); !errors.As(err, &illegal) || illegal.State != string(loopClosed) {
		t.Errorf("a closed machine is started: %v", err)
	}
}
