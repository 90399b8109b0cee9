package eventloop

import (
	"errors"
	"os"
	"regexp"
	"slices"
	"testing"
)

var tableRow = regexp.MustCompile(`(?m)^//\t(\S+) {2,}(\S.*?) {2,}(\S+)(?: |$)`)

// documentedSuccessors are the states that follow each state by the table in doc.go.
func documentedSuccessors(t *testing.T) map[string][]string {
	t.Helper()
	doc, err := os.ReadFile("doc.go")
	if err != nil {
		t.Fatal(err)
	}
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
					if c.state != to || len(handler.closed) > 0 {
						t.Errorf("now %s", c.state)
					}
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
	if c.state != connClosed {
		t.Fatalf("now %s", c.state)
	}
	notifiedBefore := want.from == connEnding || want.from == connHalfClosed || want.from == connClosed
	if len(handler.closed) == 0 {
		if !notifiedBefore {
			t.Error("the handler is not notified")
		}
		return
	}
	var illegal *TransitionError
	if reason := <-handler.closed; notifiedBefore || !errors.As(reason, &illegal) || *illegal != want {
		t.Errorf("closed by %v", reason)
	}
}
