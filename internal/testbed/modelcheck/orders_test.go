package modelcheck

import (
	"fmt"
	"strings"
	"testing"

	"glenport/scheduler"
)

// tiny has machines a and b in one hall and c in another, and three workloads of the three effects.
func tiny() World {
	w := World{Placers: 1, Grace: 250 * scheduler.Millisecond, Make: func(t scheduler.Terms) Decider { return scheduler.New(t) },
		Terms: scheduler.Terms{Seed: 7, AcceptCores: 2, AcceptMemory: 2, MeanCores: 1, MeanMemory: 1, MayProbe: true, MostBids: 4,
			Placers: 1, Kinds: []scheduler.Kind{{Cores: 10, Memory: 10}}, ColdFor: 10 * scheduler.Second, ColdWindow: 2 * scheduler.Second,
			ColdBids: 2, AnswerGrace: 10 * scheduler.Millisecond, AskWithin: 10 * scheduler.Second}}
	for _, l := range []scheduler.Workload{{Effect: scheduler.Reissuable}, {Effect: scheduler.Numbered, Repeats: scheduler.OneZone, Window: scheduler.Second},
		{Effect: scheduler.AtMostOnce}, {Effect: scheduler.Reissuable, Spread: scheduler.OneZone, Most: 1},
		{Effect: scheduler.Numbered, Repeats: scheduler.Everywhere, Window: scheduler.Second}} {
		l.Kind, l.Agreed, l.HardStop, l.Gain = -1, scheduler.Second, 3*scheduler.Second, 1
		w.Terms.Workloads = append(w.Terms.Workloads, l)
	}
	for i, id := range []scheduler.MachineID{"a", "b", "c"} {
		w.Fleet = append(w.Fleet, scheduler.Entry{Machine: id, Zone: i / 2, Cell: i, FreeCores: 10, FreeMemory: 10})
	}
	return w
}

func (w World) asking(workloads ...int) World {
	for i, l := range workloads {
		w.Asks = append(w.Asks, scheduler.Ask{ID: scheduler.ContainerID(string(rune('x' + i))), Service: "s", Workload: l, Cores: 1, Memory: 1,
			Due: 3 * scheduler.Second})
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
	w.Placers, w.Fleet = 2, []scheduler.Entry{w.Fleet[0]}
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
			world.Make = func(t scheduler.Terms) Decider { return Breaker{scheduler.New(t), rule + 1} }
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
