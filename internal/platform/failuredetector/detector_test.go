package failuredetector

import (
	"fmt"
	"testing"
)

// A machine is looked at when it falls silent, and lost only if no sign of life comes.
func TestVigil(t *testing.T) {
	const tenth = Second / 10
	for _, tc := range []struct {
		name    string
		happens map[Time]Event // at a tenth of a second
		looks   int
		lostAt  Time
	}{
		{"silent", nil, 5, 66 * tenth},
		{"nothing stands any more", map[Time]Event{30 * tenth: RunningCountChanged{"a", 0}}, 1, 0},
		{"heard in time, then silent", map[Time]Event{60 * tenth: ActivityObserved{"a"}}, 9, 125 * tenth},
		{"heard of now and then", map[Time]Event{15 * tenth: ActivityObserved{"a"}, 30 * tenth: ActivityObserved{"a"}, 45 * tenth: ActivityObserved{"a"},
			60 * tenth: ActivityObserved{"a"}, 75 * tenth: ActivityObserved{"a"}, 90 * tenth: RunningCountChanged{"a", 0}}, 0, 0},
		{"another is heard", map[Time]Event{60 * tenth: ActivityObserved{"b"}}, 5, 66 * tenth},
		{"turns a connection down", map[Time]Event{22 * tenth: ConnectionRefused{"a"}}, 1, 22 * tenth},
		{"one where nothing stands turns one down", map[Time]Event{5 * tenth: RunningCountChanged{"a", 0}, 22 * tenth: ConnectionRefused{"a"}}, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			v := New()
			v.Handle(tenth, []Event{RunningCountChanged{"a", 3}})
			looks, lostAt := 0, Time(0)
			for now := 2 * tenth; now < 15*Second && lostAt == 0; now += tenth {
				events := []Event{Tick{}}
				if e := tc.happens[now]; e != nil {
					events = []Event{e, Tick{}}
				}
				for _, a := range v.Handle(now, events) {
					switch a := a.(type) {
					case Connect:
						looks++
					case DeclareLost:
						lostAt = now
						v.Handle(now, []Event{RunningCountChanged{a.Machine, 0}})
					}
				}
			}
			if looks != tc.looks || lostAt != tc.lostAt {
				t.Errorf("%d looks, lost at %s, want %d and %s", looks, fmt.Sprint(lostAt), tc.looks, fmt.Sprint(tc.lostAt))
			}
			if len(v.machines) > 0 {
				t.Errorf("%d machines are watched still", len(v.machines))
			}
		})
	}
}

// An end that nobody here knew of is told to who names its container later, once; ends are kept for a while and not without
// bound.
func TestSaidBeforeNamed(t *testing.T) {
	said := UnclaimedTermination{"a", "x", 16}
	many := make([]Event, maxUnclaimed+5)
	for i := range many {
		many[i] = UnclaimedTermination{"a", fmt.Sprint(i), 16}
	}
	for _, tc := range []struct {
		name   string
		before []Event
		after  Time
		named  ContainerReclaimed
		want   int
	}{
		{"named soon", []Event{said}, Second, ContainerReclaimed{"a", "x"}, 1},
		{"said twice", []Event{said, said}, Second, ContainerReclaimed{"a", "x"}, 1},
		{"at another machine", []Event{said}, Second, ContainerReclaimed{"b", "x"}, 0},
		{"another call", []Event{said}, Second, ContainerReclaimed{"a", "y"}, 0},
		{"named late", []Event{said}, unclaimedTTL + 1, ContainerReclaimed{"a", "x"}, 0},
		{"the earliest of too many", many, Second, ContainerReclaimed{"a", "0"}, 0},
		{"the last of too many", many, Second, ContainerReclaimed{"a", fmt.Sprint(maxUnclaimed + 4)}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			v := New()
			v.Handle(0, tc.before)
			if len(v.unclaimed) > maxUnclaimed {
				t.Errorf("%d ends are kept", len(v.unclaimed))
			}
			out := v.Handle(tc.after, []Event{Tick{}, tc.named})
			for _, a := range out {
				if o, ok := a.(ReportTermination); !ok || o.Machine != tc.named.Machine || o.RequestID != tc.named.RequestID || o.Cause != 16 {
					t.Errorf("got %+v", a)
				}
			}
			if len(out) != tc.want {
				t.Errorf("%d ends told, want %d", len(out), tc.want)
			}
			if v.Handle(tc.after+unclaimedTTL+1, []Event{Tick{}}); len(v.unclaimed) > 0 {
				t.Errorf("%d ends are kept for good", len(v.unclaimed))
			}
		})
	}
}
