package scheduler

import (
	"fmt"
	"testing"

	"glenport/internal/testutil"
)

// A scheduler that restores the snapshot of an earlier incarnation continues as that incarnation would. An ejected
// machine stays ejected. No window of a slow start has more sends than the quota, even if several incarnations of the
// scheduler run within the window.
func TestRestoredSchedulerContinuesItsEarlierIncarnation(t *testing.T) {
	config := testConfig(Idempotent)
	config.SchedulerCount, config.MaxAttempts = 1, 1
	var previous *Scheduler
	var sent []Time
	for incarnation := range 20 {
		s := New(config)
		now := Time(incarnation)*Second/2 + 10
		listMachines(s, now, RestoredSnapshot, MachineEntry{Machine: "a", StartedAt: 10})
		if previous != nil {
			s.Restore(previous.Snapshot())
		}
		for range 40 {
			now += 100
			id := ContainerID(fmt.Sprint(now))
			if submit(s, now, id, fmt.Sprint("s", now)) == "a" {
				sent = append(sent, now)
				s.Handle(now, []Event{AttemptEnded{ID: id, Final: true, Machine: "a", Elapsed: 1}})
			}
		}
		previous = s
	}
	most := maxInWindow(sent, config.SlowStartWindow)
	testutil.Require(t, most <= config.SlowStartBudget, "%d attempts in a window", most)
	testutil.Expect(t, len(sent) >= 3*config.SlowStartBudget,
		"%d attempts in 20 incarnations: the quota is not used", len(sent))

	restored := New(config)
	listMachines(restored, 0, RestoredSnapshot, MachineEntry{Machine: "a"}, MachineEntry{Machine: "b"})
	snapshot := restored.Snapshot()
	snapshot.Machines[0].OutlierLogOdds, snapshot.Machines[0].EjectedUntil = 5, 4*Second
	otherIncarnation := MachineSnapshot{Machine: "b", StartedAt: 99, OutlierLogOdds: 5, EjectedUntil: 4 * Second}
	snapshot.Machines = append(snapshot.Machines, otherIncarnation)
	restored.Restore(snapshot)
	explanation := restored.Explain(smallRequest("", "s", 0))
	testutil.Expect(t, explanation.Ejected == 1 && explanation.Eligible == 1, "%+v", explanation)
}
