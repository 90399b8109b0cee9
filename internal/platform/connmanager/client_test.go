package connmanager

import (
	"errors"
	"strings"
	"testing"

	"glenport/internal/platform/statemachine"
	"glenport/internal/testutil"
)

func TestClientStatesAreDocumented(t *testing.T) {
	page := testutil.ReadFile(t, "doc.go")
	want := strings.ReplaceAll("\n"+clientTransitions.String()+"\n", "\n", "\n//\t")
	if !strings.Contains(string(page), strings.TrimSuffix(want, "//\t")) {
		t.Errorf("doc.go lacks the table%s", want)
	}
}

// A client that is closed already is not closed again: the error is returned, and no client is counted twice.
func TestIllegalTransitionOfClientIsReported(t *testing.T) {
	m := New(100)
	m.Handle(0, []Event{ClientConnected{1}})
	c := m.clients[1]
	m.closeClient(c, CloseNoRequest)
	m.actions = nil
	m.closeClient(c, CloseNoRequest)
	report, ok := m.actions[0].(ReportError)
	var illegal *statemachine.TransitionError
	if !ok || report.Client != 1 || !errors.As(report.Err, &illegal) || illegal.From != closing || len(m.actions) > 1 {
		t.Errorf("actions %+v", m.actions)
	}
	testutil.Expect(t, c.state == closing && m.activeClients == 0, "client %v, %d active", c.state, m.activeClients)
}
