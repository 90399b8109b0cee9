package scheduler

import (
	"fmt"
	"sort"
	"strings"
	"testing"
)

// However attempts come, no window of a machine in slow start holds more of them, from all schedulers, than its budget;
// and where there are more schedulers than that, those with a quota use it for the rest.
func TestSlowStartBudgetHoldsInAnyWindow(t *testing.T) {
	for _, tc := range []struct {
		gap        Time // between a scheduler's containers
		schedulers int
		starting   string
		least      int // attempts on a
	}{{10, 3, "abcd", 1}, {100, 3, "abcd", 1}, {1000, 3, "abcd", 1}, {100, 7, "abcd", 1}, {100, 40, "abcd", 1},
		{1000, 300, "a", 1}, {20 * Second, 300, "a", 8}} {
		name := fmt.Sprintf("a container every %d at each of %d, slow start of %s", tc.gap, tc.schedulers, tc.starting)
		t.Run(name, func(t *testing.T) {
			all := startingSchedulers(tc.schedulers, tc.starting)
			budget, window := all[0].config.SlowStartBudget, all[0].config.SlowStartWindow
			var sent []Time
			for now := Time(10); now < all[0].config.SlowStartPeriod; now += min(tc.gap, 1000) {
				for i, s := range all {
					if tc.gap > 1000 && (now+Time(i)*7310)%tc.gap >= 1000 {
						continue
					}
					if submit(s, now, ContainerID(fmt.Sprint(now)), fmt.Sprint("s", now, i)) == "a" {
						sent = append(sent, now)
					}
				}
			}
			if most := mostInWindow(sent, window); len(sent) < tc.least || most > budget {
				t.Errorf("%d attempts, up to %d in a window", len(sent), most)
			}
		})
	}
}

// startingSchedulers have one attempt for each container and machines in slow start.
func startingSchedulers(count int, starting string) []*Scheduler {
	var all []*Scheduler
	for i := range count {
		config := testConfig(Idempotent)
		config.SchedulerIndex, config.SchedulerCount, config.MaxAttempts = i, count, 1
		s := testScheduler(config)
		for _, m := range s.machines.all() {
			if strings.Contains(starting, string(m.id)) {
				m.listing.startedAt = 1
			}
		}
		all = append(all, s)
	}
	return all
}

// mostInWindow counts times in order that lie in one window.
func mostInWindow(times []Time, window Time) int {
	most := 0
	for i := range times {
		end := sort.Search(len(times), func(k int) bool { return times[k] >= times[i]+window })
		most = max(most, end-i)
	}
	return most
}
