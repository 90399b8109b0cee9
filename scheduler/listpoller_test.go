package scheduler

import (
	"slices"
	"testing"

	"glenport/internal/testutil"
)

// pollsList reports whether the list is polled in a maintenance tick.
func pollsList(s *Scheduler, now Time) bool {
	return slices.Contains(runMaintenance(s, now), Action(WatchMachineList{true}))
}

// countPolls runs the maintenance from one time to another, without answers, and counts the polls.
func countPolls(s *Scheduler, from, to Time) int {
	count := 0
	for now := from; now <= to; now += Second / 4 {
		if pollsList(s, now) {
			count++
		}
	}
	return count
}

// The polls of schedulers that start at the same time, or whose polls fail at the same time, must be spread: the list
// service can answer only a few at a time.
func TestPollsOfManySchedulersAreSpread(t *testing.T) {
	for _, tc := range []struct {
		name       string
		schedulers int
		downUntil  Time // end of the outage of the list service
		most       int  // maximum of polls by all schedulers in half a second
		by         Time // time at which every scheduler must have the list
	}{
		{"few", 3, 0, 3, Second},
		{"hundreds", 300, 0, 60, 6 * Second},
		{"hundreds, list service down", 300, 20 * Second, 60, 31 * Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			all := pollingSchedulers(tc.schedulers)
			pollsInHalfSecond, listsReceived := make([]int, 200), 0
			for now := Time(0); now <= tc.by; now += Second / 4 {
				if now < tc.downUntil {
					pollsInHalfSecond[now/(Second/2)] += pollAll(all, now, UpdateFailed)
					continue
				}
				answered := pollAll(all, now, FullSnapshot)
				pollsInHalfSecond[now/(Second/2)] += answered
				listsReceived += answered
			}
			if most := slices.Max(pollsInHalfSecond); listsReceived != tc.schedulers || most > tc.most {
				t.Errorf("%d schedulers have the list, up to %d polls in half a second", listsReceived, most)
			}
		})
	}
}

func pollingSchedulers(count int) []*Scheduler {
	all := make([]*Scheduler, count)
	for i := range all {
		config := testConfig(Idempotent)
		config.Seed = uint64(i)
		config.SchedulerCount = count
		config.SchedulerIndex = i
		config.ListOnRequest = true
		config.ResyncInterval = 10 * Second
		all[i] = New(config)
	}
	return all
}

// pollAll runs the maintenance of all schedulers, answers their polls and counts them.
func pollAll(all []*Scheduler, now Time, answer UpdateMode) int {
	count := 0
	for _, s := range all {
		if pollsList(s, now) {
			listMachines(s, now, answer)
			count++
		}
	}
	return count
}

// A start that a machine reports itself is applied, and leaves the other machines unchanged. The start must not cancel
// a poll that is due: only an answer of the list service does.
func TestSelfReportedStartLeavesPollDue(t *testing.T) {
	failed, delta := MachineListUpdate{Mode: UpdateFailed}, MachineListUpdate{Mode: DeltaUpdate}
	for _, tc := range []struct {
		name     string
		before   []Event // events from the list service before the machine's report
		mode     UpdateMode
		stillDue bool
	}{
		{"first poll of a new incarnation", nil, SelfReported, true},
		{"list service unreachable", []Event{failed}, SelfReported, true},
		{"list service unreachable for a long time", []Event{failed, failed, failed}, SelfReported, true},
		{"list service answered before", []Event{delta}, SelfReported, false},
		{"reported by the list service", []Event{failed}, DeltaUpdate, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			config := testConfig(Idempotent)
			config.ListOnRequest, config.ResyncInterval = true, 4*Second
			s := testScheduler(config)
			now := Millisecond
			s.Handle(now, tc.before)
			listMachines(s, now, tc.mode, MachineEntry{Machine: "a", StartedAt: now})
			m := s.machines.findOrAdd("a")
			if slow := s.slowStart.inSlowStart(m, now); m.listing.startedAt != now || !slow {
				t.Errorf("machine a started at %d, slow start: %v", m.listing.startedAt, slow)
			}
			d := s.machines.findOrAdd("d")
			testutil.Expect(t, d.listing.state == MachineServing, "machine d is in state %d", d.listing.state)
			count := countPolls(s, now, 10*Second)
			testutil.Expect(t, (count == 1) == tc.stillDue, "the list was polled %d times", count)
		})
	}
}

func TestPollDelayDoublesUntilAnAnswer(t *testing.T) {
	p := newListPoller(&Config{SchedulerCount: 3, ResyncInterval: Second}, &pcg{1})
	p.resetDelay()
	for i, want := range []Time{300 * Millisecond, 600 * Millisecond, Second, Second} {
		testutil.Expect(t, p.delay == want, "after %d failures the delay is %d, want %d", i, p.delay, want)
		p.recordFailure(0)
		testutil.Expect(t, !p.takeDuePoll(0) && p.takeDuePoll(want+Millisecond) && !p.takeDuePoll(want+Millisecond),
			"after %d failures there is not exactly one poll within the delay", i+1)
	}
	if p.recordAnswer(); p.delay != 300*Millisecond || p.takeDuePoll(Second) {
		t.Errorf("after an answer the delay is %d", p.delay)
	}
}
