package connmanager

import (
	"fmt"
	"slices"
	"testing"

	"glenport/internal/testutil"
)

// closedClients returns the clients that the actions close.
func closedClients(actions []Action) (out []ClientID) {
	for _, a := range actions {
		if a, ok := a.(CloseClient); ok {
			out = append(out, a.Client)
		}
	}
	return out
}

// answeredRequest returns the events of a client whose only request was answered.
func answeredRequest(id ClientID) []Event { return []Event{PlacementRequested{id}, MessageSent{id, 1}} }

// exceptFor returns a function that returns the events own for the client one, and the result of others for each other
// client.
func exceptFor(one ClientID, own []Event, others func(ClientID) []Event) func(ClientID) []Event {
	return func(id ClientID) []Event {
		if id == one {
			return own
		}
		return others(id)
	}
}

// A full listener closes one client for each new connection. It closes no client with an open request while there is
// a client without an open request.
func TestFullListenerClosesTheClientThatLosesLeast(t *testing.T) {
	const limit = 8
	served := func(id ClientID) []Event { return []Event{MessageSent{Client: id}} }
	awaiting := func(id ClientID) []Event { return []Event{PlacementRequested{id}} }
	latestActivity := []Event{ // of every client except the third
		BytesReceived{Client: 8},
		MessageSent{Client: 8},
		MessageSent{Client: 1},
		BytesReceived{Client: 2},
		BytesReceived{Client: 4},
		BytesReceived{Client: 5},
		BytesReceived{Client: 6},
		BytesReceived{Client: 7},
	}
	for _, tc := range []struct {
		name   string
		at     Time                      // when the next client connects
		events func(id ClientID) []Event // the events of each client that connected before
		want   ClientID
	}{
		{"all unserved, the first is closed", Second, func(ClientID) []Event { return nil }, 1},
		{"all new, the newest is closed", Second / 10, func(ClientID) []Event { return nil }, limit + 1},
		{"one unserved client among served ones", Second, exceptFor(5, nil, served), 5},
		{"all served, the least recently active is closed", Second, exceptFor(8, latestActivity, served), 3},
		{"one without an open request", Second, exceptFor(6, answeredRequest(6), awaiting), 6},
		{"all but the newest await an answer", Second, awaiting, limit + 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := New(2 * limit)
			var before []Event
			for id := ClientID(1); id <= limit; id++ {
				before = append(append(before, ClientConnected{id}), tc.events(id)...)
			}
			for i, e := range before {
				if got := closedClients(m.Handle(Time(i+1), []Event{e})); len(got) > 0 {
					t.Fatalf("clients %v closed below the limit", got)
				}
			}
			got := closedClients(m.Handle(tc.at, []Event{ClientConnected{limit + 1}}))
			testutil.Expect(t, slices.Equal(got, []ClientID{tc.want}), "clients %v closed, want %d", got, tc.want)
		})
	}
}

// A client that does not use its connection is closed after the time limit, and not earlier.
func TestUnusedClientIsClosedInTime(t *testing.T) {
	for _, tc := range []struct {
		name   string
		events []Event
		closed bool
	}{
		{"no request", nil, true},
		{"awaits an answer", []Event{BytesReceived{Client: 1}, PlacementRequested{1}}, false},
		{"was answered", answeredRequest(1), false},
		{"proved to be an owner", []Event{BytesReceived{Client: 1}, OwnershipProven{1}}, false},
		{"reclaimed a container, alone", []Event{BytesReceived{Client: 1}, ContainerReclaimed{1}}, false},
		{"reclaimed a container, no proven owner", []Event{
			ContainerReclaimed{1}, ClientConnected{2}, PlacementRequested{2}, ContainerReclaimed{2},
		}, false},
		{"reclaimed a container, another is a proven owner", []Event{
			ContainerReclaimed{1}, ClientConnected{2}, OwnershipProven{2},
		}, true},
		{"reclaimed a container, the proven owner has disconnected", []Event{
			ContainerReclaimed{1}, ClientConnected{2}, OwnershipProven{2}, ClientDisconnected{2},
		}, false},
		{"reclaimed a container and acknowledged its end", []Event{
			ContainerReclaimed{1},
			ContainerTerminated{"x", 16, 1},
			TerminationAcknowledged{"x", 1},
			ClientConnected{2},
			OwnershipProven{2},
		}, false},
		{"acknowledged an end that it was not notified of", []Event{TerminationAcknowledged{"x", 1}}, true},
		{"reclaimed a container, then an incomplete message", []Event{
			ContainerReclaimed{1}, BytesReceived{1, true},
		}, true},
		{"cancelled every request", []Event{PlacementRequested{1}, RequestCancelled{1}}, true},
		{"incomplete message", []Event{MessageSent{Client: 1}, BytesReceived{1, true}}, true},
		{"incomplete message, completed in time", []Event{
			MessageSent{Client: 1}, BytesReceived{1, true}, BytesReceived{1, false},
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := New(100)
			m.Handle(1, append([]Event{ClientConnected{1}}, tc.events...))
			testutil.Expect(t, len(closedClients(m.Handle(Second, []Event{Tick{}}))) == 0, "closed after a second")
			got := closedClients(m.Handle(2*Second+2, []Event{Tick{}}))
			testutil.Expect(t, (len(got) > 0) == tc.closed, "closed: %v, want %t", got, tc.closed)
		})
	}
}

// Every read from a fast client may end within a message, although the client is not slow. The time limit of an
// incomplete message therefore counts from the end of the last complete one.
func TestIncompleteMessageIsTimedFromTheLastComplete(t *testing.T) {
	m := New(100)
	m.Handle(1, []Event{ClientConnected{1}, MessageSent{Client: 1}})
	for at := Second / 2; at <= 4*Second; at += Second / 2 {
		got := m.Handle(at, []Event{MessageCompleted{1}, BytesReceived{1, true}, Tick{}})
		testutil.Expect(t, len(closedClients(got)) == 0, "closed at %d", at)
	}
	got := m.Handle(6*Second+1, []Event{BytesReceived{1, true}, Tick{}})
	testutil.Expect(t, len(closedClients(got)) == 1, "not closed 2 s after its last complete message")
}

// The pause doubles with each invalid message up to maxReadPause. The state of the client is removed when it
// disconnects.
func TestReadPauseDoublesUpToItsLimit(t *testing.T) {
	m := New(100)
	m.Handle(0, []Event{ClientConnected{1}})
	var got []Time
	for range 7 {
		got = append(got, m.Handle(0, []Event{InvalidMessageReceived{1}})[0].(PauseReading).Duration)
	}
	want := "[500 1000 2000 4000 8000 10000 10000]"
	testutil.Expect(t, fmt.Sprint(got) == want, "pauses %v, want %s", got, want)
	if m.Handle(0, []Event{ClientDisconnected{1}, ClientDisconnected{1}}); len(m.clients) != 0 || m.activeClients != 0 {
		t.Errorf("%d clients remain, %d are active", len(m.clients), m.activeClients)
	}
}
