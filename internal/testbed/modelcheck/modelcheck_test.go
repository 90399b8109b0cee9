package modelcheck

import (
	"fmt"
	"strings"
	"testing"

	"glenport/scheduler"
)

// tiny has machines a and b in one hall and c in another, and three workloads of the three effects.
func tiny() World {
	w := World{Placers: 1, Grace: 250 * scheduler.Millisecond, Make: func(t scheduler.Config) Decider { return scheduler.New(t) },
		Terms: scheduler.Config{Seed: 7, CoresOvercommit: 2, MemoryOvercommit: 2, MeanCores: 1, MeanMemory: 1, ProbesAllowed: true, MaxAttempts: 4,
			SchedulerCount: 1, MachineTypes: []scheduler.MachineType{{Cores: 10, Memory: 10}}, SlowStartPeriod: 10 * scheduler.Second, SlowStartWindow: 2 * scheduler.Second,
			SlowStartBudget: 2, AnswerGrace: 10 * scheduler.Millisecond, ResyncInterval: 10 * scheduler.Second}}
	for _, l := range []scheduler.WorkloadClass{{Idempotency: scheduler.Idempotent}, {Idempotency: scheduler.IdempotentWithKey, DedupScope: scheduler.ScopeZone, DedupWindow: scheduler.Second},
		{Idempotency: scheduler.AtMostOnce}, {Idempotency: scheduler.Idempotent, SpreadScope: scheduler.ScopeZone, MaxPerScope: 1},
		{Idempotency: scheduler.IdempotentWithKey, DedupScope: scheduler.ScopeFleet, DedupWindow: scheduler.Second}} {
		l.MachineType, l.LatencyObjective, l.PlacementTimeout, l.PriorityWeight = -1, scheduler.Second, 3*scheduler.Second, 1
		w.Terms.WorkloadClasses = append(w.Terms.WorkloadClasses, l)
	}
	for i, id := range []scheduler.MachineID{"a", "b", "c"} {
		w.Fleet = append(w.Fleet, scheduler.MachineEntry{Machine: id, Zone: i / 2, RackGroup: i, FreeCores: 10, FreeMemory: 10})
	}
	return w
}

func (w World) asking(workloads ...int) World {
	for i, l := range workloads {
		w.Asks = append(w.Asks, scheduler.PlacementRequest{ID: scheduler.ContainerID(string(rune('x' + i))), Service: "s", WorkloadClass: l, Cores: 1, Memory: 1,
			Deadline: 3 * scheduler.Second})
	}
	return w
}

func (w World) of(words string) World {
	w.Words = strings.Split(words, ", ")
	return w
}

// pair has two placers and one machine.
func pair() World {
	w := tiny()
	w.Placers, w.Fleet = 2, []scheduler.MachineEntry{w.Fleet[0]}
	return w
}

var worlds = []struct {
	name   string
	world  World
	depth  int
	breaks string // what is yet to be mended: expected to fail
}{
	{"outcomes of each effect, and lists", tiny().asking(2, 1, 0).of("ask, yes x, timeout x, full x, timeout y, erred y, timeout z, drain a, leave b, back b, list, note x"), 5, ""},
	{"numbered, its machine leaves and comes back", tiny().asking(1).of("ask, timeout x, full x, unsent x, crossed x, yes x, leave a, back a, leave b, restart b, wait, list"), 5, ""},
	{"the list changes under bids", tiny().asking(0, 2).of("ask, full x, timeout y, drain a, drain b, back a, leave c, back c, list, failed, wait"), 5, ""},
	{"withdrawn, crossed and lost", tiny().asking(4, 2).of("ask, yes x, crossed x, withdraw x, lost x, reset y, withdraw y, unsent y, note x, wait"), 6, ""},
	{"cold budget of two placers", pair().asking(0, 0, 0, 0, 0, 0, 0, 0).of("ask, full x, restart a, leave a, back a"), 7, ""},
	{"cold, started before it is heard", pair().asking(0, 0, 0, 0, 0, 0, 0, 0).of("ask, restart late a, list, timeout x, full z, echo a, wait"), 7, ""},
	{"cold, and its placer dies", pair().asking(0, 0, 0, 0, 0, 0, 0, 0).of("ask, restart a, dies, forgets, full x, wait"), 6, ""},
	{"spread, and what is found running", func() World { w := tiny().asking(3, 3, 3); w.Joined = true; return w }().
		of("ask, found a, found c, yes x, full x, full y, withdraw x, lost x, leave a, back a"), 4, ""},
}

// Every order of each world's events keeps all rules after each event.
func TestEveryOrder(t *testing.T) {
	for _, tc := range worlds {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			r := Run(tc.world, tc.depth)
			if tc.breaks != "" && r.Broken != "" && strings.HasPrefix(r.Rules[0], tc.breaks) {
				t.Skipf("expected to fail: %s\n%s", r.Broken, r.Rules[0])
			}
			if r.Broken != "" || tc.breaks != "" {
				t.Errorf("%s\n%s", r.Broken, strings.Join(r.Rules, "\n"))
			}
			if r.Bids == 0 {
				t.Error("nothing was bid")
			}
			t.Logf("%d orders, %d events, %d bids judged", r.Orders, r.Events, r.Bids)
		})
	}
}

// The judge sees each rule broken, and the order that it prints breaks the rule again when it is pasted.
func TestJudgeSeesEachRule(t *testing.T) {
	for rule, world := range []World{
		tiny().asking(0).of("ask, timeout x, full x, wait"),
		tiny().asking(2).of("ask, timeout x, full x, yes x"),
		tiny().asking(0, 0, 0).of("ask, drain a, drain b, drain c, wait"),
		pair().asking(0, 0, 0, 0).of("restart a, ask"),
		tiny().asking(3, 3).of("found a, found c, ask"),
	} {
		t.Run(fmt.Sprint("rule ", rule+1), func(t *testing.T) {
			world.Make = func(t scheduler.Config) Decider { return Breaker{scheduler.New(t), rule + 1} }
			r := Run(world, 6)
			want := fmt.Sprintf("rule %d: ", rule+1)
			if len(r.Rules) == 0 || !strings.HasPrefix(r.Rules[0], want) {
				t.Fatalf("after %q: %q", r.Broken, r.Rules)
			}
			if again := Replay(world, r.Broken); len(again) == 0 || again[0] != r.Rules[0] {
				t.Errorf("%q breaks %q when it is pasted", r.Broken, again)
			}
		})
	}
}
