package connmanager

import (
	"fmt"
	"slices"
	"testing"
)

// closedClients names the callers that a batch of actions lets go.
func closedClients(actions []Action) (out []ClientID) {
	for _, a := range actions {
		if a, ok := a.(CloseClient); ok {
			out = append(out, a.Client)
		}
	}
	return out
}

// A full door lets one caller go for each that comes, and none that awaits something as long as another does not.
func TestMakesRoom(t *testing.T) {
	const most = 8
	for _, tc := range []struct {
		name string
		at   Time                      // when one more comes
		told func(id ClientID) []Event // what happened to each of those before
		want ClientID
	}{
		{"silent ones, the oldest goes", Second, func(ClientID) []Event { return nil }, 1},
		{"all new, the newest goes", Second / 10, func(ClientID) []Event { return nil }, most + 1},
		{"one silent among served", Second, func(id ClientID) []Event {
			if id == 5 {
				return nil
			}
			return []Event{MessageSent{Client: id}}
		}, 5},
		{"all served, the one not used for longest", Second, func(id ClientID) []Event {
			if id == 8 { // all but the third are heard again
				return []Event{BytesReceived{Client: 8}, MessageSent{Client: 8}, MessageSent{Client: 1}, BytesReceived{Client: 2}, BytesReceived{Client: 4},
					BytesReceived{Client: 5}, BytesReceived{Client: 6}, BytesReceived{Client: 7}}
			}
			return []Event{MessageSent{Client: id}}
		}, 3},
		{"one without a set-up", Second, func(id ClientID) []Event {
			if id == 6 {
				return []Event{PlacementRequested{id}, MessageSent{id, 1}}
			}
			return []Event{PlacementRequested{id}}
		}, 6},
		{"all but the newcomer await something", Second, func(id ClientID) []Event { return []Event{PlacementRequested{id}} }, most + 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := New(2 * most)
			now := Time(0)
			for id := ClientID(1); id <= most; id++ {
				for _, e := range append([]Event{ClientConnected{id}}, tc.told(id)...) {
					now++
					if got := closedClients(p.Handle(now, []Event{e})); len(got) > 0 {
						t.Fatalf("%v let go while there is room", got)
					}
				}
			}
			if got := closedClients(p.Handle(tc.at, []Event{ClientConnected{most + 1}})); !slices.Equal(got, []ClientID{tc.want}) {
				t.Errorf("%v let go, want %d", got, tc.want)
			}
		})
	}
}

func TestWhoStays(t *testing.T) {
	for _, tc := range []struct {
		name string
		told []Event
		gone bool
	}{
		{"asks nothing", nil, true},
		{"awaits an answer", []Event{BytesReceived{Client: 1}, PlacementRequested{1}}, false},
		{"was answered", []Event{PlacementRequested{1}, MessageSent{1, 1}}, false},
		{"spoke for owners", []Event{BytesReceived{Client: 1}, OwnershipProven{1}}, false},
		{"named what stands, alone", []Event{BytesReceived{Client: 1}, ContainerReclaimed{1}}, false},
		{"named what stands, and nobody knows who speaks for owners", []Event{ContainerReclaimed{1}, ClientConnected{2}, PlacementRequested{2}, ContainerReclaimed{2}}, false},
		{"named what stands, where another speaks for owners", []Event{ContainerReclaimed{1}, ClientConnected{2}, OwnershipProven{2}}, true},
		{"named what stands, where another did until it left", []Event{ContainerReclaimed{1}, ClientConnected{2}, OwnershipProven{2}, ClientDisconnected{2}}, false},
		{"named what stands and heard of its end", []Event{ContainerReclaimed{1}, ContainerTerminated{"x", 16, 1}, TerminationAcknowledged{"x", 1}, ClientConnected{2}, OwnershipProven{2}}, false},
		{"says that it heard of an end that nobody told", []Event{TerminationAcknowledged{"x", 1}}, true},
		{"named what stands, and then half a message", []Event{ContainerReclaimed{1}, BytesReceived{1, true}}, true},
		{"took all back", []Event{PlacementRequested{1}, RequestCancelled{1}}, true},
		{"half a message", []Event{MessageSent{Client: 1}, BytesReceived{1, true}}, true},
		{"half a message, then the rest", []Event{MessageSent{Client: 1}, BytesReceived{1, true}, BytesReceived{1, false}}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := New(100)
			p.Handle(1, append([]Event{ClientConnected{1}}, tc.told...))
			if early := closedClients(p.Handle(Second, []Event{Tick{}})); len(early) > 0 {
				t.Errorf("let go after a second")
			}
			if got := closedClients(p.Handle(2*Second+2, []Event{Tick{}})); (len(got) > 0) != tc.gone {
				t.Errorf("let go: %v, want %t", got, tc.gone)
			}
		})
	}
}

// Rests double up to a bound, and the table is empty once all have left.
func TestRest(t *testing.T) {
	p := New(100)
	p.Handle(0, []Event{ClientConnected{1}})
	var got []Time
	for range 7 {
		got = append(got, p.Handle(0, []Event{InvalidMessageReceived{1}})[0].(PauseReading).Duration)
	}
	if want := "[500 1000 2000 4000 8000 10000 10000]"; fmt.Sprint(got) != want {
		t.Errorf("rests %v, want %s", got, want)
	}
	if p.Handle(0, []Event{ClientDisconnected{1}, ClientDisconnected{1}}); len(p.clients) != 0 || p.activeClients != 0 {
		t.Errorf("%d callers kept, %d staying", len(p.clients), p.activeClients)
	}
}

func TestLinks(t *testing.T) {
	for _, tc := range []struct {
		name string
		link MachineConn
		want bool
	}{
		{"the only one where something stands", MachineConn{Primary: true, MachineHasRunning: true, IdleFor: 60 * Second, MachineIdleTimeout: 30 * Second}, true},
		{"first, used lately", MachineConn{Primary: true, IdleFor: 14 * Second, MachineIdleTimeout: 30 * Second}, true},
		{"first, idle", MachineConn{Primary: true, IdleFor: 15 * Second, MachineIdleTimeout: 30 * Second}, false},
		{"one more, used lately", MachineConn{MachineHasRunning: true, IdleFor: 4 * Second, MachineIdleTimeout: 30 * Second}, true},
		{"one more, by which something stands", MachineConn{MachineHasRunning: true, CarriesRunning: true, IdleFor: 60 * Second, MachineIdleTimeout: 30 * Second}, true},
		{"one more, idle", MachineConn{MachineHasRunning: true, IdleFor: 5 * Second, MachineIdleTimeout: 30 * Second}, false},
		{"one more, the machine is quick to close", MachineConn{IdleFor: 2 * Second, MachineIdleTimeout: 3 * Second}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := tc.link.ShouldKeep(); got != tc.want {
				t.Errorf("kept: %t", got)
			}
		})
	}
	if a, b := MaxConnsPerMachine(384, 12), MaxConnsPerMachine(64, 1000); a != 10 || b != 1 {
		t.Errorf("%d and %d links a machine", a, b)
	}
}

// Callers, links and the program's own descriptors stay within what a placer may hold, however few that are, and where there
// may be no more links the one that is missed least makes way.
func TestFewDescriptors(t *testing.T) {
	for _, n := range []int{64, 100, 256, 576, 1024} {
		if links := MaxMachineConns(n); links < 8 || n >= 256 && New(n).maxClients < n/3 || New(n).maxClients+links+reservedDescriptors > n {
			t.Errorf("of %d descriptors %d are for links", n, links)
		}
	}
	links := []MachineConn{ // in the order in which they make way
		{IdleFor: Second}, {Primary: true, IdleFor: Second}, {MachineHasRunning: true, IdleFor: Second}, {MachineHasRunning: true, CarriesRunning: true, IdleFor: Second}}
	last := 0
	for _, l := range links {
		if n := l.EvictionRank(); n < last {
			t.Errorf("%+v yields at %d, after %d", l, n, last)
		} else {
			last = n
		}
		if l.IdleFor = minEvictionIdle - 1; l.EvictionRank() >= 0 {
			t.Errorf("%+v yields before its machine could speak", l)
		}
	}
	if last != 2 {
		t.Errorf("one by which something stands yields at %d", last)
	}
	if at := 30 * Second; !(MachineConn{IdleFor: 15*Second - 1, MachineIdleTimeout: at}).CanCarryAttempt() || (MachineConn{IdleFor: 15 * Second, MachineIdleTimeout: at}).CanCarryAttempt() {
		t.Error("a bid may cross the close of an idle link")
	}
}

// An end is told to who asked, else to callers that speak for owners, one after the other until one has heard it.
func TestTell(t *testing.T) {
	const tenth = Second / 10
	served := func(id ClientID) []Event {
		return []Event{ClientConnected{id}, PlacementRequested{id}, MessageSent{id, 1}}
	}
	owner := func(id ClientID) []Event { return append(served(id), OwnershipProven{id}) }
	for _, tc := range []struct {
		name   string
		before []Event
		asker  ClientID
		then   map[Time]Event // after tenths of a second
		want   []ClientID
	}{
		{"the asker is there and hears", owner(1), 1, map[Time]Event{1: TerminationAcknowledged{RequestID: "x"}}, []ClientID{1}},
		{"the asker has left", slices.Concat(owner(1), served(2), owner(3), served(4), []Event{ClientDisconnected{1}}), 1,
			map[Time]Event{1: TerminationAcknowledged{RequestID: "x"}}, []ClientID{3}},
		{"the asker leaves before it hears", slices.Concat(owner(1), owner(2)), 1, map[Time]Event{1: ClientDisconnected{1}, 2: TerminationAcknowledged{RequestID: "x"}}, []ClientID{1, 2}},
		{"nobody says that he heard", slices.Concat(owner(1), owner(2), owner(3), served(4)), 2, nil, []ClientID{2, 3, 1, 4}},
		{"another end is heard of", slices.Concat(owner(1), owner(2)), 1, map[Time]Event{1: TerminationAcknowledged{RequestID: "y"}}, []ClientID{1, 2}},
		{"only callers that never spoke for owners", served(4), 0, map[Time]Event{15: TerminationAcknowledged{RequestID: "x"}}, []ClientID{4}},
		{"an owner comes later", served(4), 0, map[Time]Event{4: ClientConnected{5}, 5: OwnershipProven{5}, 9: TerminationAcknowledged{RequestID: "x"}}, []ClientID{5}},
		{"only an owner that awaits its first answer", []Event{ClientConnected{4}, PlacementRequested{4}}, 0, map[Time]Event{8: TerminationAcknowledged{RequestID: "x"}}, []ClientID{4}},
		{"one that has heard before one that only says so", slices.Concat([]Event{ClientConnected{1}, ContainerReclaimed{1}, ContainerTerminated{"w", 16, 1}, TerminationAcknowledged{"w", 1}, ClientConnected{2}},
			owner(3), []Event{ContainerReclaimed{2}, TerminationAcknowledged{"w", 2}, TerminationAcknowledged{"v", 2}}), 0, nil, []ClientID{1, 3, 2}},
		{"nobody is there", nil, 0, nil, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := New(100)
			var got []ClientID
			see := func(now Time, e Event) {
				for _, a := range p.Handle(now, []Event{e}) {
					if a, ok := a.(NotifyTermination); ok {
						if a.RequestID == "w" {
							continue
						}
						if a.RequestID != "x" || a.Cause != 16 {
							t.Errorf("told %+v", a)
						}
						got = append(got, a.Client)
					}
				}
			}
			for _, e := range tc.before {
				see(1, e)
			}
			see(2, ContainerTerminated{"x", 16, tc.asker})
			for i := Time(1); i <= 110; i++ {
				if e := tc.then[i]; e != nil {
					see(i*tenth, e)
				}
				see(i*tenth, Tick{})
			}
			if !slices.Equal(got, tc.want) {
				t.Errorf("told %v, want %v", got, tc.want)
			}
			if len(p.terminations) > 0 {
				t.Errorf("%d ends kept", len(p.terminations))
			}
		})
	}
}

func TestStays(t *testing.T) {
	for _, tc := range []struct {
		longest, since  Time
		unanswered      int
		stays, hurrying bool
	}{
		{6 * Second, Second, 0, true, false},
		{6 * Second, 3*Second - 1, 0, true, false},
		{6 * Second, 3 * Second, 0, false, false},
		{6 * Second, 3 * Second, 1, true, false},
		{6 * Second, 34 * Second / 10, 1, true, true}, // killed at 3.7 s at the soonest, and asked four times a second
		{Second, Second - 1, 0, true, false},
		{Second, Second, 0, false, false},
		{Second, 14 * Second / 10, 1, true, true},      // killed at 1.7 s
		{Second / 10, 6 * Second / 10, 0, true, false}, // set-ups come for 0.6 s
	} {
		if got := ShouldKeepDraining(tc.since, tc.unanswered, tc.longest); got != tc.stays {
			t.Errorf("%+v: stays %t", tc, got)
		}
		if got := ShouldForceAnswers(tc.since, tc.longest); got != tc.hurrying {
			t.Errorf("%+v: hurries %t", tc, got)
		}
		if killed := min(tc.longest, 3*Second) + 7*Second/10; tc.hurrying && tc.since+Second/4 > killed {
			t.Errorf("%+v: hurries too late", tc)
		}
	}
}
