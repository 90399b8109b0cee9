package schedulerd

import (
	"errors"
	"log/slog"
	"maps"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// rows are the lines of a table: state, event and next state.
func rows[State, Event ~string](table transitionTable[State, Event]) (all []string) {
	for state, events := range table {
		for event, next := range events {
			all = append(all, strings.Join([]string{string(state), string(event), string(next)}, " | "))
		}
	}
	return all
}

// documentedRows are the lines of the tables in the package comment, by the heading above the table.
func documentedRows(t *testing.T) map[string][]string {
	t.Helper()
	text, err := os.ReadFile("doc.go")
	if err != nil {
		t.Fatal(err)
	}
	spaces := regexp.MustCompile(` +`)
	documented, heading := map[string][]string{}, ""
	for line := range strings.Lines(string(text)) {
		line = spaces.ReplaceAllString(strings.TrimSpace(line), " ")
		row, isRow := strings.CutPrefix(line, "//\t| ")
		switch {
		case isRow && !strings.HasPrefix(row, "state |"):
			documented[heading] = append(documented[heading], strings.TrimSuffix(row, " |"))
		case strings.HasPrefix(line, "// "):
			heading, _, _ = strings.Cut(strings.TrimSuffix(line[3:], ":"), ".")
		}
	}
	return documented
}

func TestPackageCommentListsEachTransition(t *testing.T) {
	documented := documentedRows(t)
	tables := map[string][]string{
		"An attempt":                  rows(attemptTransitions),
		"The connection of a machine": rows(machineConnTransitions),
		"The connection of a client":  rows(clientTransitions),
		"The server":                  rows(serverTransitions),
		"The state store":             rows(storeTransitions),
		"The snapshot writer":         rows(writerTransitions),
	}
	if got, want := slices.Sorted(maps.Keys(documented)), slices.Sorted(maps.Keys(tables)); !slices.Equal(got, want) {
		t.Fatalf("tables of %q, want %q", got, want)
	}
	for name, want := range tables {
		got := documented[name]
		slices.Sort(got)
		slices.Sort(want)
		if !slices.Equal(got, want) {
			t.Errorf("%s: the comment lists\n%s\nthe code\n%s", name, strings.Join(got, "\n"), strings.Join(want, "\n"))
		}
	}
}

func TestIllegalTransitionIsLoggedAndChangesNothing(t *testing.T) {
	var logged error
	p := &process{log: slog.New(&transitionLog{illegal: func(err error) { logged = err }})}
	registry := &machineRegistry{process: p}
	ended := &attempt{state: attemptEnded, machine: &machine{registry: registry}}
	ready := &machineConn{state: machineReady, machine: &machine{registry: registry}}
	closed := &clientConn{state: clientClosed, registry: &clientRegistry{process: p}}
	stopped := &Server{process: p, lifecycle: serverStopped}
	released := &stateStore{journal: &journal{process: p}, state: storeClosed}
	idle := &snapshotWriter{process: p, state: writerSaved}
	for _, tc := range []illegalEvent{
		illegal("attempt", &ended.state, ended.transition, attemptAcceptReceived),
		illegal("machine connection", &ready.state, ready.transition, machineDialed),
		illegal("client connection", &closed.state, closed.transition, clientConnClosed),
		illegal("server", &stopped.lifecycle, stopped.transition, serverStarted),
		illegal("state store", &released.state, released.transition, storeRestored),
		illegal("snapshot writer", &idle.state, idle.transition, writeFailed),
	} {
		t.Run(tc.subject, func(t *testing.T) {
			before := tc.state()
			if tc.happens() || tc.state() != before {
				t.Errorf("from %q to %q", before, tc.state())
			}
			var illegal *TransitionError
			if !errors.As(logged, &illegal) || illegal.Subject != tc.subject || illegal.State != before {
				t.Errorf("logged %v", logged)
			}
		})
	}
}

// illegalEvent happens in a state that does not allow it.
type illegalEvent struct {
	subject string
	state   func() string
	happens func() bool
}

func illegal[State ~string, Event any](
	subject string, state *State, transition func(Event) bool, event Event,
) illegalEvent {
	return illegalEvent{subject, func() string { return string(*state) }, func() bool { return transition(event) }}
}
