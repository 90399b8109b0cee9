package session

import (
	"errors"
	"maps"
	"os"
	"regexp"
	"testing"

	"glenport/internal/bgp/wire"
)

var tableRow = regexp.MustCompile(`(?m)^//\t(\S+) {2,}(\S.*?) {2,}(\S+) {2,}\S`)

// transitionTable is the table in doc.go: the next state by state and event.
type transitionTable map[[2]string]string

const (
	anyState       = "any"
	anotherMessage = "another message"
)

func readTransitionTable(t *testing.T) transitionTable {
	t.Helper()
	doc, err := os.ReadFile("doc.go")
	if err != nil {
		t.Fatal(err)
	}
	table := transitionTable{}
	for _, row := range tableRow.FindAllStringSubmatch(string(doc), -1)[1:] { // without its head
		table[[2]string{row[1], row[2]}] = row[3]
	}
	return table
}

// row returns the key of the row that an event in a state follows, and whether there is one.
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

// tableEvent is an event of the table with what plays it on connection 1.
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
		messageEvent("Open", open(nil)),
		messageEvent("Open, unacceptable", open(func(o *wire.Open) { o.AS++ })),
		messageEvent("Update", &wire.Update{}),
		messageEvent("Notification", &wire.Notification{}),
		messageEvent("Keepalive", &wire.Keepalive{}),
		messageEvent("RouteRefresh", &wire.RouteRefresh{}),
	}
}

// sessionIn returns a session in a state in which an event of the table is to be played.
func sessionIn(state State, e tableEvent) *Session {
	p := peer()
	p.Passive = state == Active || state == Idle && e.name == "Start, passive"
	before := [...][]Event{
		Idle:        nil,
		Connect:     {Start{}},
		Active:      {Start{}},
		OpenSent:    {Start{}, ConnOpened{1, false}},
		OpenConfirm: append([]Event{Start{}}, openReceivedOn1(nil)...),
		Established: append([]Event{Start{}}, established()...),
	}[state]
	if state == Idle && e.name == "IdleHoldTimer" { // it runs after a fault
		before = []Event{Start{}, ConnClosed{1}}
	}
	s := New(p)
	for _, e := range before {
		s.Handle(e)
	}
	return s
}

func TestStatesFollowAsTheTableSays(t *testing.T) {
	table, played := readTransitionTable(t), transitionTable{}
	for state := Idle; state <= Established; state++ {
		for _, e := range tableEvents() {
			t.Run(state.String()+" "+e.name, func(t *testing.T) {
				want := state.String()
				if key, listed := table.row(state, e); listed {
					want = table[key]
					played[key] = want
				}
				s := sessionIn(state, e)
				if s.Handle(e.event); s.State().String() != want {
					t.Errorf("leads to %s, documented is %s", s.State(), want)
				}
			})
		}
	}
	if !maps.Equal(played, table) {
		t.Errorf("played %v of %v", played, table)
	}
}

func TestIllegalTransitionIsReportedAndNotMade(t *testing.T) {
	table := readTransitionTable(t)
	for from := Idle; from <= Established; from++ {
		for to := Idle; to <= Established; to++ {
			if from == to {
				continue
			}
			s := New(peer())
			s.state = from
			s.transition(to)
			next, err := from.next(to)
			var illegal *TransitionError
			switch legal := table.leadsTo(from, to); {
			case legal && (err != nil || s.State() != to):
				t.Errorf("from %s to %s: %v, now %s", from, to, err, s.State())
			case !legal && (!errors.As(err, &illegal) || *illegal != TransitionError{from, to} || next != from):
				t.Errorf("from %s to %s: %v, which is illegal", from, to, err)
			case !legal && (s.State() != from || len(s.actions.take()) != 1):
				t.Errorf("from %s to %s: made, or not logged", from, to)
			}
		}
	}
}

var diagramEdge = regexp.MustCompile(`(?m)^ +(\w+) --> (\w+):`)

func TestDiagramHasTheTransitionsOfTheTable(t *testing.T) {
	page, err := os.ReadFile("../../../docs/bgp.md")
	if err != nil {
		t.Fatal(err)
	}
	drawn := map[[2]string]bool{}
	for _, edge := range diagramEdge.FindAllStringSubmatch(string(page), -1) {
		drawn[[2]string{edge[1], edge[2]}] = true
	}
	table := readTransitionTable(t)
	for from := Idle; from <= Established; from++ {
		for to := Idle; to <= Established; to++ {
			edge := [2]string{from.String(), to.String()}
			if want := from != to && table.leadsTo(from, to); drawn[edge] != want {
				t.Errorf("%s to %s is drawn: %t, in the table: %t", from, to, drawn[edge], want)
			}
			delete(drawn, edge)
		}
	}
	if len(drawn) > 0 {
		t.Errorf("drawn between states that are none: %v", drawn)
	}
}
