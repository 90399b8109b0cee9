package vigil

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
		{"nothing stands any more", map[Time]Event{30 * tenth: Stands{"a", 0}}, 1, 0},
		{"heard in time, then silent", map[Time]Event{60 * tenth: Heard{"a"}}, 9, 125 * tenth},
		{"heard of now and then", map[Time]Event{15 * tenth: Heard{"a"}, 30 * tenth: Heard{"a"}, 45 * tenth: Heard{"a"},
			60 * tenth: Heard{"a"}, 75 * tenth: Heard{"a"}, 90 * tenth: Stands{"a", 0}}, 0, 0},
		{"another is heard", map[Time]Event{60 * tenth: Heard{"b"}}, 5, 66 * tenth},
		{"turns a connection down", map[Time]Event{22 * tenth: Refused{"a"}}, 1, 22 * tenth},
		{"one where nothing stands turns one down", map[Time]Event{5 * tenth: Stands{"a", 0}, 22 * tenth: Refused{"a"}}, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			v := New()
			v.Handle(tenth, []Event{Stands{"a", 3}})
			looks, lostAt := 0, Time(0)
			for now := 2 * tenth; now < 15*Second && lostAt == 0; now += tenth {
				events := []Event{Tick{}}
				if e := tc.happens[now]; e != nil {
					events = []Event{e, Tick{}}
				}
				for _, a := range v.Handle(now, events) {
					switch a := a.(type) {
					case Look:
						looks++
					case Lost:
						lostAt = now
						v.Handle(now, []Event{Stands{a.Machine, 0}})
					}
				}
			}
			if looks != tc.looks || lostAt != tc.lostAt {
				t.Errorf("%d looks, lost at %s, want %d and %s", looks, fmt.Sprint(lostAt), tc.looks, fmt.Sprint(tc.lostAt))
			}
			if len(v.watched) > 0 {
				t.Errorf("%d machines are watched still", len(v.watched))
			}
		})
	}
}
