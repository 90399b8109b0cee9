package scheduler

import (
	"slices"
	"testing"
)

// Schedulers that start together, or fail together, do not poll together: the list service answers few at a time.
func TestPollsOfManySchedulersAreSpread(t *testing.T) {
	for _, tc := range []struct {
		name       string
		schedulers int
		downUntil  Time // polls fail so long
		most       int  // polls by all schedulers in any half second
		by         Time // every scheduler has its list
	}{
		{"few", 3, 0, 3, Second},
		{"hundreds", 300, 0, 60, 6 * Second},
		{"hundreds, the service away", 300, 20 * Second, 60, 31 * Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var all []*Scheduler
			polls, informed := make([]int, 200), 0
			for i := 0; i < tc.schedulers; i++ {
				config := testConfig(Idempotent)
				config.Seed = uint64(i)
				config.SchedulerCount = tc.schedulers
				config.SchedulerIndex = i
				config.ListOnRequest = true
				config.ResyncInterval = 10 * Second
				all = append(all, New(config))
			}
			for now := Time(0); now <= tc.by; now += Second / 4 {
				for _, s := range all {
					if slices.Contains(s.Handle(now, []Event{TimerFired{maintenanceTimerName}}), Action(WatchMachineList{true})) {
						polls[now/(Second/2)]++
						if now < tc.downUntil {
							s.Handle(now, []Event{MachineListUpdate{Mode: UpdateFailed}})
						} else {
							s.Handle(now, []Event{MachineListUpdate{Mode: FullSnapshot}})
							informed++
						}
					}
				}
			}
			if informed != tc.schedulers || slices.Max(polls) > tc.most {
				t.Errorf("%d informed, up to %d polls in half a second", informed, slices.Max(polls))
			}
		})
	}
}

// A start that a machine reports itself is taken up, and the poll that is due still comes, while any answer of the list
// service ends it. The other machines stay as they were.
func TestSelfReportedStartLeavesPollDue(t *testing.T) {
	for _, tc := range []struct {
		name     string
		before   []Event // from the list service, before the machine's report
		mode     UpdateMode
		stillDue bool
	}{
		{"first poll of a new incarnation", nil, SelfReported, true},
		{"list service unreachable", []Event{MachineListUpdate{Mode: UpdateFailed}}, SelfReported, true},
		{"list service unreachable for long", []Event{MachineListUpdate{Mode: UpdateFailed},
			MachineListUpdate{Mode: UpdateFailed}, MachineListUpdate{Mode: UpdateFailed}}, SelfReported, true},
		{"list service answered before", []Event{MachineListUpdate{Mode: DeltaUpdate}}, SelfReported, false},
		{"reported by the list service", []Event{MachineListUpdate{Mode: UpdateFailed}}, DeltaUpdate, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			config := testConfig(Idempotent)
			config.ListOnRequest, config.ResyncInterval = true, 4*Second
			s := testScheduler(config)
			now := Millisecond
			s.Handle(now, tc.before)
			s.Handle(now, []Event{MachineListUpdate{Mode: tc.mode, Entries: []MachineEntry{{Machine: "a", StartedAt: now}}}})
			if m := s.machines.findOrAdd("a"); m.listing.startedAt != now || !s.slowStart.inSlowStart(m, now) {
				t.Errorf("machine a started at %d, slow start: %v", m.listing.startedAt, s.slowStart.inSlowStart(m, now))
			}
			if m := s.machines.findOrAdd("d"); m.listing.state != MachineServing {
				t.Errorf("machine d is in state %d", m.listing.state)
			}
			polls := 0
			for ; now <= 10*Second; now += Second / 4 {
				if slices.Contains(s.Handle(now, []Event{TimerFired{maintenanceTimerName}}), Action(WatchMachineList{true})) {
					polls++
				}
			}
			if due := polls == 1; due != tc.stillDue {
				t.Errorf("the list was polled %d times", polls)
			}
		})
	}
}
