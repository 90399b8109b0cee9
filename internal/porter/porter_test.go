package porter

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
