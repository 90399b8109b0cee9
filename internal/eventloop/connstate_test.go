package eventloop

import (
	"errors"
	"slices"
	"testing"

	"glenport/internal/statemachine"
	"glenport/internal/statemachine/statemachinetest"
	"glenport/internal/testutil"
)

// documentedSuccessors are the successors of each state in the table of doc.go.
func documentedSuccessors(t *testing.T) map[string][]string {
	t.Helper()
	successors := map[string][]string{}
	for _, row := range statemachinetest.CommentTables(t)[0].Rows {
		successors[row[0]] = append(successors[row[0]], row[2])
	}
	return successors
}

func TestPageShowsEachTransition(t *testing.T) {
	statemachinetest.CheckPage(t, "Event loop", map[string]statemachinetest.PageMachine{
		"Connection": statemachinetest.NewPageMachine(connSuccessors, connDialing, connOpen),
	})
}

func TestConnTransitionsMatchTheTable(t *testing.T) {
	documented := documentedSuccessors(t)
	for from := connDialing; from <= connClosed; from++ {
		for to := connDialing; to <= connClosed; to++ {
			t.Run(from.String()+" to "+to.String(), func(t *testing.T) {
				handler := newProbe()
				c := &Conn{loop: &Loop{}, fd: -1, handler: handler, state: from}
				c.transition(to)
				if slices.Contains(documented[from.String()], to.String()) {
					testutil.Expect(t, c.state == to && len(handler.closed) == 0, "state is %s", c.state)
					return
				}
				checkIllegalTransition(t, c, handler, from, to)
			})
		}
	}
}

// checkIllegalTransition expects that an illegal transition has closed the connection, and that the handler received
// the error as the reason unless it had been notified before.
func checkIllegalTransition(t *testing.T, c *Conn, handler *probe, from, to connState) {
	t.Helper()
	testutil.Require(t, c.state == connClosed, "state is %s", c.state)
	notifiedBefore := from == connEnding || from == connHalfClosed || from == connClosed
	if len(handler.closed) == 0 {
		testutil.Expect(t, notifiedBefore, "the handler was not notified")
		return
	}
	want := statemachine.TransitionError{Subject: "connection", From: from.String(), To: to.String()}
	reason := <-handler.closed
	illegal, ok := errors.AsType[*statemachine.TransitionError](reason)
	testutil.Expect(t, !notifiedBefore && ok && *illegal == want, "closed by %v", reason)
}
