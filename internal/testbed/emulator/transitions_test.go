package emulator

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"glenport/internal/statemachine"
	"glenport/internal/statemachine/statemachinetest"
	"glenport/internal/testbed/loopback"
	"glenport/internal/testutil"
)

// checkTransitions applies each event in each state. Legal events lead to the state in the table. Others return a
// *statemachine.TransitionError and leave the state unchanged.
func checkTransitions[S, E ~string](t *testing.T, subject string, table statemachine.Table[S, E], events ...E) {
	t.Helper()
	listed := map[E]bool{}
	for state := range table {
		for _, event := range events {
			checkTransition(t, stateMachine[S, E]{subject: subject, table: table, state: state}, event)
		}
		for event := range table[state] {
			listed[event] = true
		}
	}
	if len(listed) != len(events) {
		t.Errorf("the table has %d events, %d are tested", len(listed), len(events))
	}
}

func checkTransition[S, E ~string](t *testing.T, m stateMachine[S, E], event E) {
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

func TestTransitionsMatchDocComment(t *testing.T) {
	statemachinetest.CheckComment(t, statemachinetest.Machines{
		"Task loop of a machine:": loopTransitions,
		"Machine:":                machineTransitions,
		"Container:":              containerTransitions,
		"BGP peer:":               peerTransitions,
	})
	t.Run("task loop", func(t *testing.T) {
		checkTransitions(t, "Task loop of a machine", loopTransitions,
			taskPosted, loopFreezeEvent, loopThawEvent, loopCloseEvent)
	})
	t.Run("machine", func(t *testing.T) {
		checkTransitions(t, "Machine", machineTransitions,
			machineStarted, drainRequested, evacuationRequested, drainRevoked, machineCrashed, capacityExceeded)
	})
	t.Run("container", func(t *testing.T) {
		checkTransitions(t, "Container", containerTransitions, offerAccepted, startCompleted, containerTerminated)
	})
	t.Run("BGP peer", func(t *testing.T) {
		checkTransitions(t, "BGP peer", peerTransitions, sessionEstablished, sessionEnded, peerCloseEvent)
	})
}

func TestPageShowsEachTransition(t *testing.T) {
	statemachinetest.CheckPage(t, "Test bed", map[string]statemachinetest.PageMachine{
		"Emulated machine": statemachinetest.NewPageMachine(machineTransitions, machineStopped),
		"Task loop":        statemachinetest.NewPageMachine(loopTransitions, loopRunning),
		"Container":        statemachinetest.NewPageMachine(containerTransitions, containerOffered),
		"BGP peer":         statemachinetest.NewPageMachine(peerTransitions, peerListening),
	})
}

func TestMachineStartCrashAndClose(t *testing.T) {
	m := NewMachine(MachineSpec{Name: "m"}, &DedupGroup{}, 1)
	for range 2 { // the second start changes nothing
		if err := m.Start(StartCold); err != nil {
			t.Fatal(err)
		}
	}
	m.Evacuate()
	addr := m.Addr()
	first, ok := m.Status()
	if !ok || !first.Up || !first.Draining || first.Incarnation == 0 {
		t.Errorf("status %+v after start and drain, %v", first, ok)
	}
	m.Freeze()
	if s, ok := m.Status(); ok {
		t.Errorf("a frozen machine returned status %+v", s)
	}
	m.Crash()
	if s, ok := m.Status(); !ok || s.Up {
		t.Errorf("status %+v after a crash, %v", s, ok)
	}
	if holder, err := loopback.ListenPacket(addr); err == nil {
		loopback.CloseQuietly(holder)
		t.Errorf("the port of a stopped machine is not reserved")
	}
	if err := m.Start(StartWarm); err != nil {
		t.Fatal(err)
	}
	if s, ok := m.Status(); !ok || !s.Up || s.Draining || s.Incarnation <= first.Incarnation || s.Addr != addr {
		t.Errorf("status %+v after a restart, %v; %+v before", s, ok, first)
	}
	m.Close()
	m.Close() // changes nothing
	var illegal *statemachine.TransitionError
	if err := m.Start(StartCold); !errors.As(err, &illegal) || illegal.From != string(loopClosed) {
		t.Errorf("start of a closed machine returned %v", err)
	}
}

// The state folder of a scheduler stores the incarnations of machines of an earlier test bed. The incarnations of a
// later test bed must be higher, however often the earlier machine was restarted.
func TestIncarnationsIncreaseAcrossTestBeds(t *testing.T) {
	began := time.Now()
	earlier, later := newLifecycle("m"), newLifecycle("m")
	for range 3 {
		testutil.NoError(t, earlier.start(began))
		testutil.NoError(t, earlier.apply(machineCrashed))
	}
	testutil.NoError(t, later.start(began.Add(time.Second)))
	testutil.Expect(t, later.incarnation > earlier.incarnation, "incarnation %d after %d", later.incarnation,
		earlier.incarnation)
}
