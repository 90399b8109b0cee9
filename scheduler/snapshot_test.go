package scheduler

import (
	"fmt"
	"testing"
)

// A scheduler that is given the snapshot of an earlier incarnation goes on as that would have: the outlier stays ejected,
// and no window of a slow start has more than one quota, though several incarnations follow on each other within it.
func TestRestoredSchedulerContinuesItsEarlierIncarnation(t *testing.T) {
	config := testConfig(Idempotent)
	config.SchedulerCount, config.MaxAttempts = 1, 1
	starting := MachineListUpdate{Mode: RestoredSnapshot, Entries: []MachineEntry{{Machine: "a", StartedAt: 10}}}
	var before *Scheduler
	var sent []Time
	for incarnation := range 20 {
		s := New(config)
		now := Time(incarnation)*Second/2 + 10
		s.Handle(now, []Event{starting})
		if before != nil {
			s.Restore(before.Snapshot())
		}
		for range 40 {
			if now += 100; submit(s, now, ContainerID(fmt.Sprint(now)), fmt.Sprint("s", now)) == "a" {
				sent = append(sent, now)
				s.Handle(now, []Event{AttemptEnded{ID: ContainerID(fmt.Sprint(now)), Final: true, Machine: "a", Elapsed: 1}})
			}
		}
		before = s
	}
	for i := range sent {
		if n := i + config.SlowStartBudget; n < len(sent) && sent[n]-sent[i] < config.SlowStartWindow {
			t.Fatalf("%d attempts from %d to %d", config.SlowStartBudget+1, sent[i], sent[n])
		}
	}
	if len(sent) < 3*config.SlowStartBudget {
		t.Errorf("%d attempts in 20 incarnations: the quota is left unused", len(sent))
	}

	restored := New(config)
	listed := MachineListUpdate{Mode: RestoredSnapshot, Entries: []MachineEntry{{Machine: "a"}, {Machine: "b"}}}
	restored.Handle(0, []Event{listed})
	snapshot := restored.Snapshot()
	snapshot.Machines[0].OutlierLogOdds, snapshot.Machines[0].EjectedUntil = 5, 4*Second
	otherIncarnation := MachineSnapshot{Machine: "b", StartedAt: 99, OutlierLogOdds: 5, EjectedUntil: 4 * Second}
	snapshot.Machines = append(snapshot.Machines, otherIncarnation)
	restored.Restore(snapshot)
	if explanation := restored.Explain(smallRequest("", "s", 0)); explanation.Ejected != 1 || explanation.Eligible != 1 {
		t.Errorf("%+v", explanation)
	}
}
