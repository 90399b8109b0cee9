package scheduler

import (
	"fmt"
	"testing"

	"glenport/internal/testutil"
)

// A scheduler that is given the snapshot of an earlier incarnation goes on as that would have: the outlier stays
// ejected, and no window of a slow start has more than one quota, though several incarnations follow on each other
// within it.
func TestRestoredSchedulerContinuesItsEarlierIncarnation(t *testing.T) {
	config := testConfig(Idempotent)
	config.SchedulerCount, config.MaxAttempts = 1, 1
	var before *Scheduler
	var sent []Time
	for incarnation := range 20 {
		s := New(config)
		now := Time(incarnation)*Second/2 + 10
		listMachines(s, now, RestoredSnapshot, MachineEntry{Machine: "a", StartedAt: 10})
		if before != nil {
			s.Restore(before.Snapshot())
		}
		for range 40 {
			now += 100
			id := ContainerID(fmt.Sprint(now))
			if submit(s, now, id, fmt.Sprint("s", now)) == "a" {
				sent = append(sent, now)
				s.Handle(now, []Event{AttemptEnded{ID: id, Final: true, Machine: "a", Elapsed: 1}})
			}
		}
		before = s
	}
	if most := mostInWindow(sent, config.SlowStartWindow); most > config.SlowStartBudget {
		t.Fatalf("%d attempts in a window", most)
	}
	if len(sent) < 3*config.SlowStartBudget {
		t.Errorf("%d attempts in 20 incarnations: the quota is left unused", len(sent))
	}

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
