package connmanager

import (
	"fmt"
	"slices"
	"testing"
)

// letGo names the callers that a batch of actions lets go.
func letGo(actions []Action) (out []CallerID) {
	for _, a := range actions {
		if a, ok := a.(LetGo); ok {
			out = append(out, a.Caller)
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
		told func(id CallerID) []Event // what happened to each of those before
		want CallerID
	}{
		{"silent ones, the oldest goes", Second, func(CallerID) []Event { return nil }, 1},
		{"all new, the newest goes", Second / 10, func(CallerID) []Event { return nil }, most + 1},
		{"one silent among served", Second, func(id CallerID) []Event {
			if id == 5 {
				return nil
			}
			return []Event{Answered{Caller: id}}
		}, 5},
		{"all served, the one not used for longest", Second, func(id CallerID) []Event {
			if id == 8 { // all but the third are heard again
				return []Event{Heard{Caller: 8}, Answered{Caller: 8}, Answered{Caller: 1}, Heard{Caller: 2}, Heard{Caller: 4},
					Heard{Caller: 5}, Heard{Caller: 6}, Heard{Caller: 7}}
			}
			return []Event{Answered{Caller: id}}
		}, 3},
		{"one without a set-up", Second, func(id CallerID) []Event {
			if id == 6 {
				return []Event{Asked{id}, Answered{id, 1}}
			}
			return []Event{Asked{id}}
		}, 6},
		{"all but the newcomer await something", Second, func(id CallerID) []Event { return []Event{Asked{id}} }, most + 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := New(2 * most)
			now := Time(0)
			for id := CallerID(1); id <= most; id++ {
				for _, e := range append([]Event{Came{id}}, tc.told(id)...) {
					now++
					if got := letGo(p.Handle(now, []Event{e})); len(got) > 0 {
						t.Fatalf("%v let go while there is room", got)
					}
				}
			}
			if got := letGo(p.Handle(tc.at, []Event{Came{most + 1}})); !slices.Equal(got, []CallerID{tc.want}) {
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
		{"awaits an answer", []Event{Heard{Caller: 1}, Asked{1}}, false},
		{"was answered", []Event{Asked{1}, Answered{1, 1}}, false},
		{"spoke for owners", []Event{Heard{Caller: 1}, Proved{1}}, false},
		{"named what stands, alone", []Event{Heard{Caller: 1}, Named{1}}, false},
		{"named what stands, and nobody knows who speaks for owners", []Event{Named{1}, Came{2}, Asked{2}, Named{2}}, false},
		{"named what stands, where another speaks for owners", []Event{Named{1}, Came{2}, Proved{2}}, true},
		{"named what stands, where another did until it left", []Event{Named{1}, Came{2}, Proved{2}, Left{2}}, false},
		{"named what stands and heard of its end", []Event{Named{1}, Over{"x", 16, 1}, HeardOver{"x", 1}, Came{2}, Proved{2}}, false},
		{"says that it heard of an end that nobody told", []Event{HeardOver{"x", 1}}, true},
		{"named what stands, and then half a message", []Event{Named{1}, Heard{1, true}}, true},
		{"took all back", []Event{Asked{1}, TookBack{1}}, true},
		{"half a message", []Event{Answered{Caller: 1}, Heard{1, true}}, true},
		{"half a message, then the rest", []Event{Answered{Caller: 1}, Heard{1, true}, Heard{1, false}}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := New(100)
			p.Handle(1, append([]Event{Came{1}}, tc.told...))
			if early := letGo(p.Handle(Second, []Event{Tick{}})); len(early) > 0 {
				t.Errorf("let go after a second")
			}
			if got := letGo(p.Handle(2*Second+2, []Event{Tick{}})); (len(got) > 0) != tc.gone {
				t.Errorf("let go: %v, want %t", got, tc.gone)
			}
		})
	}
}

// Rests double up to a bound, and the table is empty once all have left.
func TestRest(t *testing.T) {
	p := New(100)
	p.Handle(0, []Event{Came{1}})
	var got []Time
	for range 7 {
		got = append(got, p.Handle(0, []Event{TurnedAway{1}})[0].(Rest).For)
	}
	if want := "[500 1000 2000 4000 8000 10000 10000]"; fmt.Sprint(got) != want {
		t.Errorf("rests %v, want %s", got, want)
	}
	if p.Handle(0, []Event{Left{1}, Left{1}}); len(p.callers) != 0 || p.staying != 0 {
		t.Errorf("%d callers kept, %d staying", len(p.callers), p.staying)
	}
}

func TestLinks(t *testing.T) {
	for _, tc := range []struct {
		name string
		link Link
		want bool
	}{
		{"the only one where something stands", Link{First: true, Stands: true, Idle: 60 * Second, Closes: 30 * Second}, true},
		{"first, used lately", Link{First: true, Idle: 14 * Second, Closes: 30 * Second}, true},
		{"first, idle", Link{First: true, Idle: 15 * Second, Closes: 30 * Second}, false},
		{"one more, used lately", Link{Stands: true, Idle: 4 * Second, Closes: 30 * Second}, true},
		{"one more, by which something stands", Link{Stands: true, Here: true, Idle: 60 * Second, Closes: 30 * Second}, true},
		{"one more, idle", Link{Stands: true, Idle: 5 * Second, Closes: 30 * Second}, false},
		{"one more, the machine is quick to close", Link{Idle: 2 * Second, Closes: 3 * Second}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := tc.link.Keeps(); got != tc.want {
				t.Errorf("kept: %t", got)
			}
		})
	}
	if a, b := MostLinks(384, 12), MostLinks(64, 1000); a != 10 || b != 1 {
		t.Errorf("%d and %d links a machine", a, b)
	}
}

// Callers, links and the program's own descriptors stay within what a placer may hold, however few that are, and where there
// may be no more links the one that is missed least makes way.
func TestFewDescriptors(t *testing.T) {
	for _, n := range []int{64, 100, 256, 576, 1024} {
		if links := AllLinks(n); links < 8 || n >= 256 && New(n).most < n/3 || New(n).most+links+reserve > n {
			t.Errorf("of %d descriptors %d are for links", n, links)
		}
	}
	links := []Link{ // in the order in which they make way
		{Idle: Second}, {First: true, Idle: Second}, {Stands: true, Idle: Second}, {Stands: true, Here: true, Idle: Second}}
	last := 0
	for _, l := range links {
		if n := l.Yields(); n < last {
			t.Errorf("%+v yields at %d, after %d", l, n, last)
		} else {
			last = n
		}
		if l.Idle = callTime - 1; l.Yields() >= 0 {
			t.Errorf("%+v yields before its machine could speak", l)
		}
	}
	if last != 2 {
		t.Errorf("one by which something stands yields at %d", last)
	}
	if at := 30 * Second; !(Link{Idle: 15*Second - 1, Closes: at}).Fits() || (Link{Idle: 15 * Second, Closes: at}).Fits() {
		t.Error("a bid may cross the close of an idle link")
	}
}

// An end is told to who asked, else to callers that speak for owners, one after the other until one has heard it.
func TestTell(t *testing.T) {
	const tenth = Second / 10
	served := func(id CallerID) []Event { return []Event{Came{id}, Asked{id}, Answered{id, 1}} }
	owner := func(id CallerID) []Event { return append(served(id), Proved{id}) }
	for _, tc := range []struct {
		name   string
		before []Event
		asker  CallerID
		then   map[Time]Event // after tenths of a second
		want   []CallerID
	}{
		{"the asker is there and hears", owner(1), 1, map[Time]Event{1: HeardOver{Call: "x"}}, []CallerID{1}},
		{"the asker has left", slices.Concat(owner(1), served(2), owner(3), served(4), []Event{Left{1}}), 1,
			map[Time]Event{1: HeardOver{Call: "x"}}, []CallerID{3}},
		{"the asker leaves before it hears", slices.Concat(owner(1), owner(2)), 1, map[Time]Event{1: Left{1}, 2: HeardOver{Call: "x"}}, []CallerID{1, 2}},
		{"nobody says that he heard", slices.Concat(owner(1), owner(2), owner(3), served(4)), 2, nil, []CallerID{2, 3, 1, 4}},
		{"another end is heard of", slices.Concat(owner(1), owner(2)), 1, map[Time]Event{1: HeardOver{Call: "y"}}, []CallerID{1, 2}},
		{"only callers that never spoke for owners", served(4), 0, map[Time]Event{15: HeardOver{Call: "x"}}, []CallerID{4}},
		{"an owner comes later", served(4), 0, map[Time]Event{4: Came{5}, 5: Proved{5}, 9: HeardOver{Call: "x"}}, []CallerID{5}},
		{"only an owner that awaits its first answer", []Event{Came{4}, Asked{4}}, 0, map[Time]Event{8: HeardOver{Call: "x"}}, []CallerID{4}},
		{"one that has heard before one that only says so", slices.Concat([]Event{Came{1}, Named{1}, Over{"w", 16, 1}, HeardOver{"w", 1}, Came{2}},
			owner(3), []Event{Named{2}, HeardOver{"w", 2}, HeardOver{"v", 2}}), 0, nil, []CallerID{1, 3, 2}},
		{"nobody is there", nil, 0, nil, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := New(100)
			var got []CallerID
			see := func(now Time, e Event) {
				for _, a := range p.Handle(now, []Event{e}) {
					if a, ok := a.(Tell); ok {
						if a.Call == "w" {
							continue
						}
						if a.Call != "x" || a.Cause != 16 {
							t.Errorf("told %+v", a)
						}
						got = append(got, a.Caller)
					}
				}
			}
			for _, e := range tc.before {
				see(1, e)
			}
			see(2, Over{"x", 16, tc.asker})
			for i := Time(1); i <= 110; i++ {
				if e := tc.then[i]; e != nil {
					see(i*tenth, e)
				}
				see(i*tenth, Tick{})
			}
			if !slices.Equal(got, tc.want) {
				t.Errorf("told %v, want %v", got, tc.want)
			}
			if len(p.ends) > 0 {
				t.Errorf("%d ends kept", len(p.ends))
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
		if got := Stays(tc.since, tc.unanswered, tc.longest); got != tc.stays {
			t.Errorf("%+v: stays %t", tc, got)
		}
		if got := Hurries(tc.since, tc.longest); got != tc.hurrying {
			t.Errorf("%+v: hurries %t", tc, got)
		}
		if killed := min(tc.longest, 3*Second) + 7*Second/10; tc.hurrying && tc.since+Second/4 > killed {
			t.Errorf("%+v: hurries too late", tc)
		}
	}
}
