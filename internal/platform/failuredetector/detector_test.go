package failuredetector

import (
	"fmt"
	"testing"
)

// handleTick handles an event, if any, and a tick, and ends the containers on a machine that is lost.
func handleTick(d *Detector, now Time, event Event) (connects int, lost bool) {
	events := []Event{Tick{}}
	if event != nil {
		events = []Event{event, Tick{}}
	}
	for _, a := range d.Handle(now, events) {
		switch a := a.(type) {
		case Connect:
			connects++
		case DeclareLost:
			lost = true
			d.Handle(now, []Event{RunningCountChanged{a.Machine, 0}})
		}
	}
	return connects, lost
}

// Connections are tried to a machine that falls silent, and it is lost only if it stays silent.
func TestSilentMachineIsDeclaredLost(t *testing.T) {
	const tenth = Second / 10
	for _, tc := range []struct {
		name     string
		events   map[Time]Event // at a tenth of a second
		connects int
		lostAt   Time
	}{
		{"silent", nil, 5, 66 * tenth},
		{"its last container ends", map[Time]Event{30 * tenth: RunningCountChanged{"a", 0}}, 1, 0},
		{"active in time, then silent", map[Time]Event{60 * tenth: ActivityObserved{"a"}}, 9, 125 * tenth},
		{"active now and then", map[Time]Event{
			15 * tenth: ActivityObserved{"a"}, 30 * tenth: ActivityObserved{"a"}, 45 * tenth: ActivityObserved{"a"},
			60 * tenth: ActivityObserved{"a"}, 75 * tenth: ActivityObserved{"a"}, 90 * tenth: RunningCountChanged{"a", 0},
		}, 0, 0},
		{"another machine is active", map[Time]Event{60 * tenth: ActivityObserved{"b"}}, 5, 66 * tenth},
		{"refuses a connection", map[Time]Event{22 * tenth: ConnectionRefused{"a"}}, 1, 22 * tenth},
		{"refuses a connection once nothing runs on it", map[Time]Event{5 * tenth: RunningCountChanged{"a", 0}, 22 * tenth: ConnectionRefused{"a"}}, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := New()
			d.Handle(tenth, []Event{RunningCountChanged{"a", 3}})
			connects, lostAt := 0, Time(0)
			for now := 2 * tenth; now < 15*Second && lostAt == 0; now += tenth {
				tried, lost := handleTick(d, now, tc.events[now])
				connects += tried
				if lost {
					lostAt = now
				}
			}
			if connects != tc.connects || lostAt != tc.lostAt {
				t.Errorf(
					"%d connects, lost at %s, want %d and %s",
					connects,
					fmt.Sprint(lostAt),
					tc.connects,
					fmt.Sprint(tc.lostAt),
				)
			}
			if len(d.machines) > 0 {
				t.Errorf("%d machines are still monitored", len(d.machines))
			}
		})
	}
}
