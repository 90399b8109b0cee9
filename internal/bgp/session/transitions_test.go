package session

import (
	"errors"
	"maps"
	"slices"
	"testing"

	"glenport/internal/bgp/wire"
	"glenport/internal/statemachine"
	"glenport/internal/statemachine/statemachinetest"
	"glenport/internal/testutil"
)

// transitionTable is the table in doc.go: the next state by state and event.
type transitionTable map[[2]string]string

const (
	anyState       = "any"
	anotherMessage = "another message"
)

func readTransitionTable(t *testing.T) transitionTable {
	t.Helper()
	table := transitionTable{}
	for _, row := range statemachinetest.CommentTables(t)[0].Rows {
		table[[2]string{row[0], row[1]}] = row[2]
	}
	return table
}

// row returns the key of the row for an event in a state, and whether there is one.
func (table transitionTable) row(state State, e tableEvent) (key [2]string, listed bool) {
	keys := [][2]string{{state.String(), e.name}, {anyState, e.name}}
	if e.message {
		keys = append(keys, [2]string{state.String(), anotherMessage})
	}
	for _, key := range keys {
		if _, listed := table[key]; listed {
			return key, true
		}
	}
	return key, false
}

// leadsTo reports whether an event takes a session from one state to another.
func (table transitionTable) leadsTo(from, to State) bool {
	for key, next := range table {
		if next == to.String() && (key[0] == from.String() || key[0] == anyState) {
			return true
		}
	}
	return false
}

// tableEvent is an event of the table, with an event on connection 1 that represents it.
type tableEvent struct {
	name    string
	message bool
	event   Event
}

func messageEvent(name string, m wire.Message) tableEvent {
	return tableEvent{name, true, MessageReceived{1, m}}
}

func tableEvents() []tableEvent {
	return []tableEvent{
		{"Start", false, Start{}},
		{"Start, passive", false, Start{}},
		{"Stop", false, Stop{"maintenance"}},
		{"IdleHoldTimer", false, TimerExpired{IdleHoldTimer}},
		{"ConnectRetryTimer", false, TimerExpired{ConnectRetryTimer}},
		{"HoldTimer", false, TimerExpired{HoldTimer}},
		{"KeepaliveTimer", false, TimerExpired{KeepaliveTimer}},
		{"ConnOpened", false, ConnOpened{inbound, true}},
		{"ConnClosed", false, ConnClosed{1}},
		{anotherMessage, true, MessageInvalid{1, &wire.MessageError{}}},
		messageEvent("Open", openMessage(nil)),
		messageEvent("Open, unacceptable", openMessage(func(o *wire.Open) { o.AS++ })),
		messageEvent("Update", &wire.Update{}),
		messageEvent("Notification", &wire.Notification{}),
		messageEvent("Keepalive", &wire.Keepalive{}),
		messageEvent("RouteRefresh", &wire.RouteRefresh{}),
	}
}

// sessionIn returns a session in the given state, ready to handle an event of the table.
func sessionIn(state State, e tableEvent) *Session {
	p := peerConfig()
	p.Passive = state == Active || state == Idle && e.name == "Start, passive"
	before := [...][]Event{
		Idle:        nil,
		Connect:     {Start{}},
		Active:      {Start{}},
		OpenSent:    {Start{}, ConnOpened{1, false}},
		OpenConfirm: append([]Event{Start{}}, openReceived(nil)...),
		Established: append([]Event{Start{}}, established()...),
	}[state]
	if state == Idle && e.name == "IdleHoldTimer" { // the timer runs after a failure
		before = []Event{Start{}, ConnClosed{1}}
	}
	s := New(p)
	for _, e := range before {
		s.Handle(e)
	}
	return s
}

func TestTransitionsMatchTheTable(t *testing.T) {
	table, tested := readTransitionTable(t), transitionTable{}
	for state := Idle; state <= Established; state++ {
		for _, e := range tableEvents() {
			t.Run(state.String()+" "+e.name, func(t *testing.T) {
				want := state.String()
				if key, listed := table.row(state, e); listed {
					want = table[key]
					tested[key] = want
				}
				s := sessionIn(state, e)
				if s.Handle(e.event); s.State().String() != want {
					t.Errorf("next state is %s, documented is %s", s.State(), want)
				}
			})
		}
	}
	if !maps.Equal(tested, table) {
		t.Errorf("tested the rows %v of %v", tested, table)
	}
}

func TestIllegalTransitionIsLoggedAndNotMade(t *testing.T) {
	table := readTransitionTable(t)
	for from := Idle; from <= Established; from++ {
		for to := Idle; to <= Established; to++ {
			switch {
			case from == to:
			case table.leadsTo(from, to):
				expectTransition(t, from, to)
			default:
				expectNoTransition(t, from, to)
			}
		}
	}
}

func expectTransition(t *testing.T, from, to State) {
	t.Helper()
	s, next, err := applyTransition(from, to)
	testutil.Expect(t, err == nil && next == to && s.State() == to,
		"from %s to %s: %v, now %s", from, to, err, s.State())
}

func expectNoTransition(t *testing.T, from, to State) {
	t.Helper()
	s, next, err := applyTransition(from, to)
	var illegal *statemachine.TransitionError
	want := statemachine.TransitionError{Subject: "BGP session", From: from.String(), To: to.String()}
	testutil.Expect(t, errors.As(err, &illegal) && *illegal == want && next == from,
		"from %s to %s: got %v for an illegal transition", from, to, err)
	testutil.Expect(t, s.State() == from && len(s.actions.take()) == 1,
		"from %s to %s: the transition was made or not logged", from, to)
}

// applyTransition applies a transition to a session, and to a state alone.
func applyTransition(from, to State) (s *Session, next State, err error) {
	s = New(peerConfig())
	s.state = from
	s.transition(to)
	next = from
	err = successors.Apply("BGP session", &next, to)
	return s, next, err
}

// The diagram on the page has the transitions of the code, and the code has the transitions of the table in doc.go.
func TestDiagramHasTheTransitionsOfTheTable(t *testing.T) {
	statemachinetest.CheckPage(t, "BGP sessions", map[string]statemachinetest.PageMachine{
		"Session": statemachinetest.NewPageMachine(successors, Idle),
	})
	table := readTransitionTable(t)
	for from := Idle; from <= Established; from++ {
		for to := Idle; to <= Established; to++ {
			listed := slices.Contains(successors[from], to)
			if want := table.leadsTo(from, to); from != to && listed != want {
				t.Errorf("%s to %s is in the code: %t, in the table: %t", from, to, listed, want)
			}
		}
	}
}
