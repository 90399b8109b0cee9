package eventloop

import (
	"errors"
	"regexp"
	"slices"
	"testing"

	"glenport/internal/testutil"
)

var tableRow = regexp.MustCompile(`(?m)^//\t(\S+) {2,}(\S.*?) {2,}(\S+)(?: |$)`)

// documentedSuccessors are the states that follow each state by the table in doc.go.
func documentedSuccessors(t *testing.T) map[string][]string {
	t.Helper()
	doc := testutil.ReadFile(t, "doc.go")
	successors := map[string][]string{}
	for _, row := range tableRow.FindAllStringSubmatch(string(doc), -1)[1:] { // without its head
		successors[row[1]] = append(successors[row[1]], row[3])
	}
	return successors
}

func TestConnTransitionsAreThoseOfTheTable(t *testing.T) {
	documented := documentedSuccessors(t)
	for from := connDialing; from <= connClosed; from++ {
		for to := connDialing; to <= connClosed; to++ {
			t.Run(from.String()+" to "+to.String(), func(t *testing.T) {
				handler := newProbe()
				c := &Conn{loop: &Loop{}, fd: -1, handler: handler, state: from}
				c.transition(to)
				if slices.Contains(documented[from.String()], to.String()) {
					testutil.Expect(t, c.state == to && len(handler.closed) == 0, "now %s", c.state)
					return
				}
				checkIllegal(t, c, handler, TransitionError{from, to})
			})
		}
	}
}

// checkIllegal expects a connection that ended, with the error as the reason unless its handler was notified before.
func checkIllegal(t *testing.T, c *Conn, handler *probe, want TransitionError) {
	t.Helper()
	testutil.Require(t, c.state == connClosed, "now %s", c.state)
	notifiedBefore := want.from == connEnding || want.from == connHalfClosed || want.from == connClosed
	if len(handler.closed) == 0 {
		testutil.Expect(t, notifiedBefore, "the handler is not notified")
		return
	}
	var illegal *TransitionError
	reason := <-handler.closed
	testutil.Expect(t, !notifiedBefore && errors.As(reason, &illegal) && *illegal == want, "closed by %v", reason)
}
