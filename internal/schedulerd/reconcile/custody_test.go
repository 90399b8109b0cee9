package reconcile

import (
	"fmt"
	"strings"
	"testing"

	"glenport/internal/schedulerd/recovery"
	"glenport/scheduler"

	"pgregory.net/rapid"
)

const ms = scheduler.Millisecond

var effects = []scheduler.Idempotency{scheduler.Idempotent, scheduler.IdempotentWithKey, scheduler.AtMostOnce}

func ask(id string, workload int) scheduler.PlacementRequest {
	return scheduler.PlacementRequest{ID: scheduler.ContainerID(id), IdempotencyKey: "k-" + id, Service: "s", WorkloadClass: workload}
}

func again(id, key string, workload int) scheduler.PlacementRequest {
	a := ask(id, workload)
	a.IdempotencyKey, a.ClientRetry = key, true
	return a
}

func held(id string, workload int, life, bid uint64, running bool) Held {
	return Held{Ask: ask(id, workload), Machine: "m", Life: life, Bid: bid, Running: running}
}

func show(actions []Action) string {
	var all []string
	for _, a := range actions {
		switch a := a.(type) {
		case Pass:
			all = append(all, "pass "+string(a.Ask.ID))
		case Refuse:
			all = append(all, "refuse "+string(a.ID))
		case Stands:
			all = append(all, fmt.Sprintf("stands %s at %s", a.ID, a.Machine))
		case CallOff:
			all = append(all, fmt.Sprintf("call off %d.%d", a.Life, a.Bid))
		case Adopt:
			all = append(all, "adopt "+string(a.Held.Ask.ID))
		case Lost:
			all = append(all, "lost "+string(a.ID))
		case Reach:
			all = append(all, "reach "+string(a.Machine))
		case Cease:
			all = append(all, fmt.Sprintf("cease %s as %s", a.ID, a.As))
		case Absent:
			all = append(all, "absent "+string(a.ID))
		case Ceased:
			all = append(all, "ceased "+string(a.ID))
		case Dismiss:
			all = append(all, fmt.Sprint("dismiss ", a.Caller))
		}
	}
	return strings.Join(all, ", ")
}

// Each case is a history; the actions of its last step are compared. The life is 5, the first caller 1.
func TestHistories(t *testing.T) {
	named, told := Named{Machines: []scheduler.MachineID{"m"}}, Holds{Machine: "m"}
	for _, tc := range []struct {
		name  string
		steps []any // an event, or a moment from which on events happen
		want  string
	}{
		{"an ask", []any{Asked{1, ask("a", 0)}}, "pass a"},
		{"an id twice", []any{Asked{1, ask("a", 0)}, Asked{1, ask("a", 0)}}, "refuse a"},
		{"a key that is being placed", []any{Asked{1, ask("a", 2)}, Asked{1, again("b", "k-a", 2)}}, "refuse b"},
		{"a key that runs", []any{Asked{1, ask("a", 2)}, Placed{"a", "m", 9}, Asked{1, again("b", "k-a", 2)}},
			"stands b at m"},
		{"a key that has ended", []any{4000 * ms, Asked{1, ask("a", 2)}, Placed{"a", "m", 9}, Ended{"a"},
			Asked{1, ask("b", 2)}}, "pass b"},
		{"an unknown workload", []any{Asked{1, ask("a", 3)}}, "refuse a"},
		{"a caller that left", []any{Left{1}, Asked{1, ask("a", 0)}}, ""},
		{"too many callers", []any{Called{2}, Called{3}}, "dismiss 3"},
		{"too many open", []any{Called{2}, Asked{1, ask("a", 0)}, Asked{1, ask("b", 0)}, Asked{2, ask("c", 0)},
			Asked{2, ask("d", 0)}}, "refuse d"},
		{"too many of one caller", []any{Asked{1, ask("a", 0)}, Asked{1, ask("b", 0)}, Asked{1, ask("c", 0)}}, "refuse c"},
		{"room again after an answer", []any{Asked{1, ask("a", 0)}, Asked{1, ask("b", 0)}, Answered{"a"},
			Asked{1, ask("c", 0)}}, "pass c"},

		// What a placer killed -9 left running must not be started a second time by an owner who asks again.
		{"came before, nobody has told yet", []any{Asked{1, again("b", "k-a", 2)}}, "refuse b"},
		{"came before, reissuable", []any{Asked{1, again("b", "k-a", 0)}}, "pass b"},
		{"came before, all have told", []any{named, told, Asked{1, again("b", "k-a", 2)}}, "pass b"},
		{"came before, one cannot be asked", []any{named, NoLink{Machine: "m"}, 3100 * ms, Asked{1, again("b", "k-a", 2)}}, "reach m, pass b"},
		{"came before, and runs", []any{named, Holds{"m", []Held{held("a", 2, 4, 7, true)}},
			Asked{1, again("b", "k-a", 2)}}, "stands b at m"},
		{"machines are asked", []any{named}, "reach m"},
		{"one that could not be asked is asked later", []any{named, NoLink{Machine: "m"}, 2100 * ms, Woke{}}, "reach m"},
		{"one that is gone is not", []any{named, NoLink{Machine: "m"}, Unnamed{"m"}, 5100 * ms, Woke{}}, ""},

		{"earlier life, running", []any{Holds{"m", []Held{held("a", 0, 4, 7, true)}}}, "adopt a"},
		{"earlier life, waiting: it counts until it is over", []any{Holds{"m", []Held{held("a", 2, 4, 7, false)}}}, "call off 4.7, adopt a"},
		{"earlier life, waiting, and asked for again", []any{Holds{"m", []Held{held("a", 2, 4, 7, false)}}, Asked{1, again("b", "k-a", 2)}}, "refuse b"},
		{"named twice", []any{Holds{"m", []Held{held("a", 0, 4, 7, true)}}, Holds{"m", []Held{held("a", 0, 4, 7, true)}}},
			""},
		{"earlier life, then gone", []any{Holds{"m", []Held{held("a", 0, 4, 7, true)}}, Holds{"m", nil}}, "lost a"},
		{"two copies of one key", []any{Asked{1, ask("a", 1)}, Placed{"a", "n", 9},
			Holds{"m", []Held{{Ask: again("b", "k-a", 1), Machine: "m", Life: 4, Bid: 7, Running: true}}}}, "call off 4.7"},

		{"late yes, reissuable", []any{Asked{1, ask("a", 0)}, LateYes{held("a", 0, 5, 9, true)}}, "call off 5.9"},
		{"late yes, given up", []any{Asked{1, ask("a", 2)}, Answered{"a"}, Ended{"a"},
			LateYes{held("a", 2, 5, 9, true)}}, "adopt a"},
		{"late yes while it is open", []any{Asked{1, ask("a", 1)}, LateYes{held("a", 1, 5, 9, true)}}, ""},
		{"then it ends", []any{Asked{1, ask("a", 1)}, LateYes{held("a", 1, 5, 9, true)}, Ended{"a"}}, "adopt a"},
		{"then it is placed elsewhere", []any{Asked{1, ask("a", 1)}, LateYes{held("a", 1, 5, 9, true)},
			Placed{"a", "n", 10}}, "call off 5.9"},
		// A machine that fell silent with an at-most-once bid may run it: an owner that asks again waits for its word.
		{"in doubt", []any{4000 * ms, Asked{1, ask("a", 2)}, Unheard{held("a", 2, 5, 9, false)}, Ended{"a"},
			Asked{1, again("b", "k-a", 2)}}, "refuse b"},
		// Without this nobody asked the machine, and the doubt stood for ever.
		{"in doubt, the machine is asked", []any{4000 * ms, Asked{1, ask("a", 2)}, Unheard{held("a", 2, 5, 9, false)}}, "reach m"},
		{"in doubt, and asked again when its link breaks", []any{4000 * ms, Asked{1, ask("a", 2)}, Unheard{held("a", 2, 5, 9, false)},
			Broke{"m"}}, "reach m"},
		{"in doubt, the machine told", []any{4000 * ms, Asked{1, ask("a", 2)}, Unheard{held("a", 2, 5, 9, false)}, Ended{"a"}, told,
			Asked{1, again("b", "k-a", 2)}}, "pass b"},
		{"in doubt, the bid was told", []any{4000 * ms, Asked{1, ask("a", 2)}, Unheard{held("a", 2, 5, 9, false)}, Ended{"a"},
			Told{held("a", 2, 5, 9, false)}, Asked{1, again("b", "k-a", 2)}}, "pass b"},
		{"in doubt, the machine is gone", []any{4000 * ms, Asked{1, ask("a", 2)}, Unheard{held("a", 2, 5, 9, false)}, Ended{"a"},
			Unnamed{"m"}, Asked{1, again("b", "k-a", 2)}}, "pass b"},
		{"no doubt of reissuable work", []any{4000 * ms, Asked{1, ask("a", 0)}, Unheard{held("a", 0, 5, 9, false)}, Ended{"a"},
			Asked{1, again("b", "k-a", 0)}}, "pass b"},
		{"reset, then named by its machine", []any{Asked{1, ask("a", 2)}, Ended{"a"},
			Holds{"m", []Held{held("a", 2, 5, 9, true)}}}, "adopt a"},

		{"cancelled", []any{Asked{1, ask("a", 0)}, Cancelled{1, "a", "k-a"}}, "cease a as a"},
		{"cancelled by its key", []any{Asked{1, ask("a", 0)}, Cancelled{1, "x", "k-a"}}, "cease a as x"},
		{"cancelled, and an earlier bid runs", []any{Asked{1, ask("a", 1)}, LateYes{held("a", 1, 5, 9, true)}, Cancelled{1, "a", "k-a"}},
			"call off 5.9, cease a as a"},
		// A placer that has just come up does not know what runs: "nothing" would leave it running for ever.
		{"cancelled, and nobody has told yet", []any{Cancelled{1, "x", "k-a"}}, "refuse x"},
		{"cancelled, all have told", []any{named, told, Cancelled{1, "x", "k-a"}}, "ceased x"},
		{"cancelled, and it is in doubt", []any{named, told, Unheard{held("a", 2, 5, 9, false)}, Cancelled{1, "x", "k-a"}}, "refuse x"},
		{"cancelled, only an id is known", []any{named, told, Cancelled{1, "x", ""}}, ""},

		{"looked for, and it runs", []any{Asked{1, ask("a", 2)}, Placed{"a", "m", 9}, Looked{1, "x", "k-a"}}, "stands x at m"},
		{"looked for while it is placed", []any{Asked{1, ask("a", 2)}, Looked{1, "x", "k-a"}}, "refuse x"},
		{"looked for, and nobody has told yet", []any{Looked{1, "x", "k-a"}}, "refuse x"},
		{"looked for, and all have told", []any{named, told, Looked{1, "x", "k-a"}}, "absent x"},

		{"link broken, tried at once", []any{Asked{1, ask("a", 0)}, Placed{"a", "m", 9}, Broke{"m"}}, "reach m"},
		{"nothing runs there", []any{Broke{"m"}}, ""},
		{"still named", []any{Asked{1, ask("a", 0)}, Placed{"a", "m", 9}, Broke{"m"},
			Holds{"m", []Held{held("a", 0, 5, 9, true)}}}, ""},
		{"no longer named", []any{Asked{1, ask("a", 0)}, Placed{"a", "m", 9}, Broke{"m"}, Holds{"m", nil}}, "lost a"},
		{"tried again", []any{Asked{1, ask("a", 0)}, Placed{"a", "m", 9}, Broke{"m"}, NoLink{Machine: "m"}, 200 * ms, Woke{}}, "reach m"},
		{"given up", []any{Asked{1, ask("a", 0)}, Placed{"a", "m", 9}, Broke{"m"}, NoLink{Machine: "m"}, 200 * ms, Woke{},
			NoLink{Machine: "m"}, 1000 * ms, Woke{}, NoLink{Machine: "m"}}, "lost a"},
		{"not given up for a want of our own", []any{Asked{1, ask("a", 0)}, Placed{"a", "m", 9}, Broke{"m"}, NoLink{Machine: "m"}, 200 * ms, Woke{},
			NoLink{Machine: "m"}, 1000 * ms, Woke{}, NoLink{"m", true}, 1200 * ms, Woke{}}, "reach m"},
		// Without this a container that ran on behind a cut was never heard of again.
		{"given up, and its machine asked later", []any{Asked{1, ask("a", 0)}, Placed{"a", "m", 9}, Broke{"m"}, NoLink{Machine: "m"}, 200 * ms, Woke{},
			NoLink{Machine: "m"}, 1000 * ms, Woke{}, NoLink{Machine: "m"}, Ended{"a"}, 3100 * ms, Woke{}}, "reach m"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table, now, got := New(5, Bounds{Callers: 2, Open: 3, OpenPerCaller: 2}, effects, recovery.NoLog, nil), scheduler.Time(0), ""
			table.Handle(now, []Event{Called{1}})
			for _, s := range tc.steps {
				switch s := s.(type) {
				case scheduler.Time:
					now = s
				case Event:
					got = show(table.Handle(now, []Event{s}))
				}
			}
			if got != tc.want {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
}

// Drawn histories against what must hold whatever happens: a key that must not run twice is passed on only
// while it neither runs nor is open; tables empty when all has ended; equal histories give equal actions.
func TestDrawnHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(5, Bounds{9, 9, 9}, effects, recovery.NoLog, nil), New(5, Bounds{9, 9, 9}, effects, recovery.NoLog, nil)
		now, open, runs, bid := scheduler.Time(0), map[scheduler.ContainerID]string{}, map[scheduler.ContainerID]string{}, uint64(0)
		a.Handle(0, []Event{Called{1}})
		b.Handle(0, []Event{Called{1}})
		id := func() scheduler.ContainerID {
			return scheduler.ContainerID(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id"))
		}
		for range 40 {
			now += scheduler.Time(rapid.IntRange(0, 20000).Draw(t, "on"))
			var e Event
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0, 1:
				q := again(string(id()), rapid.SampledFrom([]string{"x", "y"}).Draw(t, "key"), rapid.IntRange(0, 2).Draw(t, "workload"))
				e = Asked{1, q}
			case 2:
				i := id()
				if key, ok := open[i]; ok {
					bid++
					delete(open, i)
					runs[i] = key
					e = Placed{i, "m", bid}
				}
			case 3:
				i := id()
				delete(open, i)
				delete(runs, i)
				e = Ended{i}
			case 4:
				e = Broke{"m"}
			case 5:
				e = NoLink{Machine: "m"}
			case 6:
				e = Holds{"m", nil}
			case 7:
				e = Woke{}
			}
			if e == nil {
				continue
			}
			got := a.Handle(now, []Event{e})
			if other := b.Handle(now, []Event{e}); show(got) != show(other) {
				t.Fatalf("%v gives %q and %q", e, show(got), show(other))
			}
			for _, act := range got {
				switch act := act.(type) {
				case Pass:
					for _, table := range []map[scheduler.ContainerID]string{open, runs} {
						for other, key := range table {
							if key == act.Ask.IdempotencyKey {
								t.Fatalf("%s passed though %s has key %s", act.Ask.ID, other, key)
							}
						}
					}
					open[act.Ask.ID] = act.Ask.IdempotencyKey
				case Lost:
					delete(runs, act.ID)
					a.Handle(now, []Event{Ended{act.ID}})
					b.Handle(now, []Event{Ended{act.ID}})
				}
			}
		}
		for _, i := range []scheduler.ContainerID{"a", "b", "c", "d"} {
			a.Handle(now, []Event{Ended{i}})
		}
		if n := len(a.own) + len(a.keys) + len(a.at) + len(a.broken) + a.open + a.callers[1]; n != 0 {
			t.Fatalf("%d left in tables", n)
		}
	})
}
