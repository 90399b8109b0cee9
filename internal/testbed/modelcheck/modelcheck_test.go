package modelcheck

import (
	"fmt"
	"strings"
	"testing"

	"glenport/internal/testutil"
	"glenport/scheduler"
)

// tinyWorld returns a world with machines a and b in one zone and c in another. It has workload classes of each
// idempotency, one of them with a spread limit.
func tinyWorld() World {
	w := World{
		Schedulers:   1,
		DrainGrace:   250 * scheduler.Millisecond,
		NewScheduler: func(config scheduler.Config) Decider { return scheduler.New(config) },
		Config: scheduler.Config{
			Seed:             7,
			CoresOvercommit:  2,
			MemoryOvercommit: 2,
			MeanCores:        1,
			MeanMemory:       1,
			ProbesAllowed:    true,
			MaxAttempts:      4,
			SchedulerCount:   1,
			MachineTypes:     []scheduler.MachineType{{Cores: 10, Memory: 10}},
			SlowStartPeriod:  10 * scheduler.Second,
			SlowStartWindow:  2 * scheduler.Second,
			SlowStartBudget:  2,
			AnswerGrace:      10 * scheduler.Millisecond,
			ResyncInterval:   10 * scheduler.Second,
		},
	}
	for _, class := range []scheduler.WorkloadClass{
		{Idempotency: scheduler.Idempotent},
		{Idempotency: scheduler.IdempotentWithKey, DedupScope: scheduler.ScopeZone, DedupWindow: scheduler.Second},
		{Idempotency: scheduler.AtMostOnce},
		{Idempotency: scheduler.Idempotent, SpreadScope: scheduler.ScopeZone, MaxPerScope: 1},
		{Idempotency: scheduler.IdempotentWithKey, DedupScope: scheduler.ScopeFleet, DedupWindow: scheduler.Second},
	} {
		class.MachineType, class.PriorityWeight = -1, 1
		class.LatencyObjective, class.PlacementTimeout = scheduler.Second, 3*scheduler.Second
		w.Config.WorkloadClasses = append(w.Config.WorkloadClasses, class)
	}
	for i, id := range []scheduler.MachineID{"a", "b", "c"} {
		machine := scheduler.MachineEntry{Machine: id, Zone: i / 2, RackGroup: i, FreeCores: 10, FreeMemory: 10}
		w.Machines = append(w.Machines, machine)
	}
	return w
}

func (w World) withRequests(workloads ...int) World {
	for i, class := range workloads {
		w.Requests = append(w.Requests, scheduler.PlacementRequest{
			ID: scheduler.ContainerID(string(rune('x' + i))), Service: "s", WorkloadClass: class, Cores: 1, Memory: 1,
			Deadline: 3 * scheduler.Second,
		})
	}
	return w
}

func (w World) withEvents(text string) World {
	w.Events = strings.Split(text, ", ")
	return w
}

func (w World) withBatches() World {
	w.Batches = true
	return w
}

// twoSchedulerWorld returns a world with two schedulers and one machine.
func twoSchedulerWorld() World {
	w := tinyWorld()
	w.Schedulers, w.Machines = 2, []scheduler.MachineEntry{w.Machines[0]}
	return w
}

var worlds = []struct {
	name  string
	depth int
	world World
}{
	{"outcomes of each idempotency, and machine lists", 5, tinyWorld().withRequests(2, 1, 0).withEvents(
		"request, accept x, timeout x, full x, timeout y, errored y, timeout z, " +
			"drain a, leave b, back b, list, usage x")},
	{"idempotent with a key, its machine leaves and comes back", 5, tinyWorld().withRequests(1).withEvents(
		"request, timeout x, full x, unsent x, stopped x, accept x, leave a, back a, leave b, restart b, wait, list")},
	{"machine list changes during attempts", 5, tinyWorld().withRequests(0, 2).withEvents(
		"request, full x, timeout y, drain a, drain b, back a, leave c, back c, list, failed, wait")},
	{"cancelled, stopped and lost", 6, tinyWorld().withRequests(4, 2).withEvents(
		"request, accept x, stopped x, cancel x, lost x, reset y, cancel y, unsent y, usage x, wait")},
	{"slow-start budget of two schedulers", 7, twoSchedulerWorld().withRequests(0, 0, 0, 0, 0, 0, 0, 0).withEvents(
		"request, full x, restart a, leave a, back a")},
	{"slow start, listed late", 7, twoSchedulerWorld().withRequests(0, 0, 0, 0, 0, 0, 0, 0).withEvents(
		"request, restart late a, list, timeout x, full z, probed a, wait")},
	{"slow start, and the scheduler restarts", 6, twoSchedulerWorld().withRequests(0, 0, 0, 0, 0, 0, 0, 0).withEvents(
		"request, restart a, crash, forget, full x, wait")},
	{"spread, and adopted containers", 4, tinyWorld().withRequests(3, 3, 3).withBatches().withEvents(
		"request, adopt a, adopt c, accept x, full x, full y, cancel x, lost x, leave a, back a")},
}

// All rules hold after each event of every sequence.
func TestEveryOrderKeepsAllRules(t *testing.T) {
	t.Parallel()
	for _, tc := range worlds {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			r := Run(tc.world, tc.depth)
			testutil.Expect(t, r.FailingSequence == "", "%s\n%s", r.FailingSequence, strings.Join(r.Violations, "\n"))
			testutil.Expect(t, r.Attempts != 0, "no attempt was checked")
			t.Logf("%d sequences, %d events, %d attempts checked", r.Sequences, r.Events, r.Attempts)
		})
	}
}

// The checker reports a violation for the mutant of each rule, and the failing sequence breaks the rule again when it
// is replayed.
func TestCheckerDetectsEachMutant(t *testing.T) {
	for rule, world := range []World{
		tinyWorld().withRequests(0).withEvents("request, timeout x, full x, wait"),
		tinyWorld().withRequests(2).withEvents("request, timeout x, full x, accept x"),
		tinyWorld().withRequests(0, 0, 0).withEvents("request, drain a, drain b, drain c, wait"),
		twoSchedulerWorld().withRequests(0, 0, 0, 0).withEvents("restart a, request"),
		tinyWorld().withRequests(3, 3).withEvents("adopt a, adopt c, request"),
	} {
		t.Run(fmt.Sprint("rule ", rule+1), func(t *testing.T) {
			world.NewScheduler = func(t scheduler.Config) Decider { return Mutant{scheduler.New(t), rule + 1} }
			r := Run(world, 6)
			want := fmt.Sprintf("rule %d: ", rule+1)
			testutil.Require(t, len(r.Violations) != 0 && strings.HasPrefix(r.Violations[0], want),
				"after %q: %q", r.FailingSequence, r.Violations)
			if again := Replay(world, r.FailingSequence); len(again) == 0 || again[0] != r.Violations[0] {
				t.Errorf("replay of %q reports %q", r.FailingSequence, again)
			}
		})
	}
}
