package scheduler

import (
	"fmt"
	"sort"
	"strings"
	"testing"

	"glenport/internal/testutil"
)

// Whatever the arrival times, no window of a machine in slow start has more attempts from all schedulers than the
// budget. If there are more schedulers than the budget, the schedulers with a quota draw the machine more often, so
// that the budget is used.
func TestSlowStartBudgetHoldsInAnyWindow(t *testing.T) {
	for _, tc := range []struct {
		gap        Time // time between two containers of a scheduler
		schedulers int
		starting   string // names of the machines in slow start
		least      int    // minimum of attempts on machine a
	}{
		{10, 3, "abcd", 1},
		{100, 3, "abcd", 1},
		{1000, 3, "abcd", 1},
		{100, 7, "abcd", 1},
		{100, 40, "abcd", 1},
		{1000, 300, "a", 1},
		{20 * Second, 300, "a", 8},
	} {
		name := fmt.Sprintf("a container every %d at each of %d, slow start of %s", tc.gap, tc.schedulers, tc.starting)
		t.Run(name, func(t *testing.T) {
			config := testConfig(Idempotent)
			all := startingSchedulers(tc.schedulers, tc.starting)
			var sent []Time
			for now := Time(10); now < config.SlowStartPeriod; now += min(tc.gap, 1000) {
				for range submitToAll(all, now, tc.gap) {
					sent = append(sent, now)
				}
			}
			most := maxInWindow(sent, config.SlowStartWindow)
			testutil.Expect(t, len(sent) >= tc.least && most <= config.SlowStartBudget,
				"%d attempts, up to %d in a window", len(sent), most)
		})
	}
}

// startingSchedulers returns schedulers that make one attempt for each container and have machines in slow start.
func startingSchedulers(count int, starting string) []*Scheduler {
	all := make([]*Scheduler, count)
	for i := range all {
		config := testConfig(Idempotent)
		config.SchedulerIndex, config.SchedulerCount, config.MaxAttempts = i, count, 1
		all[i] = testScheduler(config)
		for _, m := range all[i].machines.all() {
			if strings.Contains(starting, string(m.id)) {
				m.startAt(1)
			}
		}
	}
	return all
}

// submitToAll submits a container to each scheduler for which one is due, and returns how many are placed on machine a.
// For gaps above 1000, the schedulers get their containers at different times.
func submitToAll(all []*Scheduler, now, gap Time) int {
	count := 0
	for i, s := range all {
		if gap > 1000 && (now+Time(i)*7310)%gap >= 1000 {
			continue
		}
		if submit(s, now, ContainerID(fmt.Sprint(now)), fmt.Sprint("s", now, i)) == "a" {
			count++
		}
	}
	return count
}

// maxInWindow returns the maximum number of times, given in order, that lie in one window.
func maxInWindow(times []Time, window Time) int {
	most := 0
	for i := range times {
		end := sort.Search(len(times), func(k int) bool { return times[k] >= times[i]+window })
		most = max(most, end-i)
	}
	return most
}

func TestSlowStartQuotasAddUpToTheBudget(t *testing.T) {
	for _, tc := range []struct{ schedulers, budget int }{{1, 30}, {3, 30}, {7, 30}, {40, 30}, {3, 0}} {
		for _, id := range []string{"a", "b", "machine-17"} {
			sum := 0
			for i := range tc.schedulers {
				l := slowStartLimiter{budget: tc.budget, schedulerIndex: i, schedulerCount: tc.schedulers}
				sum += l.quota(&machine{hash: hash(id)})
			}
			testutil.Expect(t, sum == tc.budget,
				"quotas of %d schedulers for %s add up to %d of %d", tc.schedulers, id, sum, tc.budget)
		}
	}
}

func TestSendLedgerKeepsTheLastWindow(t *testing.T) {
	var l sendLedger
	l.restore(MachineSnapshot{RecentSends: []Time{10, 20}})
	l.record(30)
	testutil.Equal(t, fmt.Sprint(l.dropUntil(10)), "[20 30]", "sends after 10")
	l.dropBefore(30)
	testutil.Equal(t, fmt.Sprint(l.dropUntil(0), l.dropUntil(30)), "[30] []", "sends from 30 on, and after 30")
}
