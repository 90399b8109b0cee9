package emulator

import (
	"errors"
	"fmt"
	"testing"

	"glenport/internal/statemachine"
	"glenport/internal/statemachine/statemachinetest"
)

// checkTransitions applies each event in each state: the legal ones lead where the table says, the others are a
// *statemachine.TransitionError and leave the state as it was.
func checkTransitions[S, E ~string](t *testing.T, subject string, table statemachine.Table[S, E], events ...E) {
	t.Helper()
	listed := map[E]bool{}
	for state := range table {
		for _, event := range events {
			checkTransition(t, stateful[S, E]{subject: subject, table: table, state: state}, event)
		}
		for event := range table[state] {
			listed[event] = true
		}
	}
	if len(listed) != len(events) {
		t.Errorf("the table has %d events, of which %d are tested", len(listed), len(events))
	}
}

func checkTransition[S, E ~string](t *testing.T, m stateful[S, E], event E) {
	t.Helper()
	before := m.state
	err := m.apply(event)
	if next, legal := m.table[before][event]; legal {
		if _, known := m.table[next]; err != nil || m.state != next || !known {
			t.Errorf("%s while %s leads to %s, %v", event, before, m.state, err)
		}
		return
	}
	want := statemachine.TransitionError{Subject: fmt.Sprint(m.subject), From: string(before), Event: string(event)}
	illegal, ok := errors.AsType[*statemachine.TransitionError](err)
	if !ok || *illegal != want || m.state != before {
		t.Errorf("%s while %s is illegal and leads to %s, %v", event, before, m.state, err)
	}
}

func TestTransitionsAreThoseOfTheDocComment(t *testing.T) {
	statemachinetest.CheckComment(t, statemachinetest.Machines{
		"Task loop of a machine:": loopTransitions,
		"Machine:":                machineTransitions,
		"Container:":              containerTransitions,
		"BGP peer:":               peerTransitions,
	})
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

func TestPageShowsEachTransition(t *testing.T) {
	statemachinetest.CheckPage(t, "Test bed", map[string]statemachinetest.Shown{
		"Emulated machine": statemachinetest.Begin(machineTransitions, machineStopped),
		"Task loop":        statemachinetest.Begin(loopTransitions, loopRunning),
		"Container":        statemachinetest.Begin(containerTransitions, containerOffered),
		"BGP peer":         statemachinetest.Begin(peerTransitions, peerListening),
	})
}

func TestMachineIsStartedCrashedAndClosed(t *testing.T) {
	m := NewMachine(MachineSpec{Name: "m"}, &DedupGroup{}, 1)
	for range 2 { // a machine that is up stays as it is
		if err := m.Start(StartCold); err != nil {
			t.Fatal(err)
		}
	}
	m.Evacuate()
	addr := m.Addr()
	if s, ok := m.Status(); !ok || !s.Up || !s.Draining || s.Incarnation != 1 {
		t.Errorf("status %+v after start and drain, %v", s, ok)
	}
	m.Freeze()
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
	var illegal *statemachine.TransitionError
	if err := m.Start(StartCold); !errors.As(err, &illegal) || illegal.From != string(loopClosed) {
		t.Errorf("a closed machine is started: %v", err)
	}
}
