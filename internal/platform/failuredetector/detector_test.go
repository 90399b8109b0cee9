package failuredetector

import (
	"testing"

	"glenport/internal/testutil"
)

// handleTick handles an event, if any, and a tick. It ends the containers on a machine that is declared lost.
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

const tenth = Second / 10

// runUntilLost advances the time, with events, until machine a is declared lost or 15 s have passed. It returns the
// number of attempted connections and the time of the loss, or 0.
func runUntilLost(d *Detector, events map[Time]Event) (connects int, lostAt Time) {
	for now := 2 * tenth; now < 15*Second; now += tenth {
		tried, lost := handleTick(d, now, events[now])
		connects += tried
		if lost {
			return connects, now
		}
	}
	return connects, 0
}

// The detector tries to connect to a silent machine and declares it lost only if it remains silent.
func TestSilentMachineIsDeclaredLost(t *testing.T) {
	for _, tc := range []struct {
		name     string
		events   map[Time]Event // by time, in multiples of a tenth of a second
		connects int
		lostAt   Time
	}{
		{"silent", nil, 5, 66 * tenth},
		{"its last container ends", map[Time]Event{30 * tenth: RunningCountChanged{"a", 0}}, 1, 0},
		{"active in time, then silent", map[Time]Event{60 * tenth: ActivityObserved{"a"}}, 9, 125 * tenth},
		{"active now and then", map[Time]Event{
			15 * tenth: ActivityObserved{"a"}, 30 * tenth: ActivityObserved{"a"}, 45 * tenth: ActivityObserved{"a"},
			60 * tenth: ActivityObserved{"a"}, 75 * tenth: ActivityObserved{"a"},
			90 * tenth: RunningCountChanged{"a", 0},
		}, 0, 0},
		{"another machine is active", map[Time]Event{60 * tenth: ActivityObserved{"b"}}, 5, 66 * tenth},
		{"refuses a connection", map[Time]Event{22 * tenth: ConnectionRefused{"a"}}, 1, 22 * tenth},
		{"refuses a connection once nothing runs on it", map[Time]Event{
			5 * tenth: RunningCountChanged{"a", 0}, 22 * tenth: ConnectionRefused{"a"},
		}, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := New()
			d.Handle(tenth, []Event{RunningCountChanged{"a", 3}})
			connects, lostAt := runUntilLost(d, tc.events)
			testutil.Expect(t, connects == tc.connects && lostAt == tc.lostAt,
				"%d connection attempts, lost at %d, want %d and %d", connects, lostAt, tc.connects, tc.lostAt)
			testutil.Expect(t, len(d.machines) == 0, "%d machines are still monitored", len(d.machines))
		})
	}
}
