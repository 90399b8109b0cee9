package connmanager

import (
	"errors"
	"testing"

	"glenport/internal/statemachine"
	"glenport/internal/statemachine/statemachinetest"
	"glenport/internal/testutil"
)

func TestClientStatesAreDocumented(t *testing.T) {
	statemachinetest.CheckComment(t, statemachinetest.Machines{"A client is admitted as unserved.": clientTransitions})
}

func TestPageShowsEachTransition(t *testing.T) {
	statemachinetest.CheckPage(t, "Decisions on platform connections", map[string]statemachinetest.PageMachine{
		"Client": statemachinetest.NewPageMachine(clientTransitions, clientUnserved),
	})
}

// Closing a client that is already closing reports an error and does not count the client twice.
func TestIllegalTransitionOfClientIsReported(t *testing.T) {
	m := New(100)
	m.Handle(0, []Event{ClientConnected{1}})
	c := m.clients[1]
	m.closeClient(c, CloseNoRequest)
	m.actions = nil
	m.closeClient(c, CloseNoRequest)
	report, ok := m.actions[0].(ReportError)
	testutil.Expect(t, ok && report.Client == 1 && len(m.actions) <= 1, "actions %+v", m.actions)
	illegal, ok := errors.AsType[*statemachine.TransitionError](report.Err)
	testutil.Expect(t, ok && illegal.From == clientClosing.String(), "reported %v", report.Err)
	testutil.Expect(t, c.state == clientClosing && m.activeClients == 0,
		"client %v, %d active", c.state, m.activeClients)
}
