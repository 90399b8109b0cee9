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

func held(id string, workload int, life, bid uint64, running bool) Attempt {
	return Attempt{Request: ask(id, workload), Machine: "m", Incarnation: life, Number: bid, Running: running}
}

func show(actions []Action) string {
	var all []string
	for _, a := range actions {
		switch a := a.(type) {
		case Admit:
			all = append(all, "pass "+string(a.Request.ID))
		case Reject:
			all = append(all, "refuse "+string(a.ID))
		case AlreadyRunning:
			all = append(all, fmt.Sprintf("stands %s at %s", a.ID, a.Machine))
		case CancelAttempt:
			all = append(all, fmt.Sprintf("call off %d.%d", a.Incarnation, a.Attempt))
		case Adopt:
			all = append(all, "adopt "+string(a.Attempt.Request.ID))
		case ContainerLost:
			all = append(all, "lost "+string(a.ID))
		case ConnectMachine:
			all = append(all, "reach "+string(a.Machine))
		case TerminateContainer:
			all = append(all, fmt.Sprintf("cease %s as %s", a.ID, a.RequestedID))
		case NotRunning:
			all = append(all, "absent "+string(a.ID))
		case AlreadyTerminated:
			all = append(all, "ceased "+string(a.ID))
		case CloseClient:
			all = append(all, fmt.Sprint("dismiss ", a.Client))
		}
	}
	return strings.Join(all, ", ")
}

// Each case is a history; the actions of its last step are compared. The life is 5, the first caller 1.
func TestHistories(t *testing.T) {
	named, told := MachinesListed{Machines: []scheduler.MachineID{"m"}}, MachineReported{Machine: "m"}
	for _, tc := range []struct {
		name  string
		steps []any // an event, or a moment from which on events happen
		want  string
	}{
		{"an ask", []any{PlacementRequested{1, ask("a", 0)}}, "pass a"},
		{"an id twice", []any{PlacementRequested{1, ask("a", 0)}, PlacementRequested{1, ask("a", 0)}}, "refuse a"},
		{"a key that is being placed", []any{PlacementRequested{1, ask("a", 2)}, PlacementRequested{1, again("b", "k-a", 2)}}, "refuse b"},
		{"a key that runs", []any{PlacementRequested{1, ask("a", 2)}, AttemptAccepted{"a", "m", 9}, PlacementRequested{1, again("b", "k-a", 2)}},
			"stands b at m"},
		{"a key that has ended", []any{4000 * ms, PlacementRequested{1, ask("a", 2)}, AttemptAccepted{"a", "m", 9}, ContainerRemoved{"a"},
			PlacementRequested{1, ask("b", 2)}}, "pass b"},
		{"an unknown workload", []any{PlacementRequested{1, ask("a", 3)}}, "refuse a"},
		{"a caller that left", []any{ClientDisconnected{1}, PlacementRequested{1, ask("a", 0)}}, ""},
		{"too many callers", []any{ClientConnected{2}, ClientConnected{3}}, "dismiss 3"},
		{"too many open", []any{ClientConnected{2}, PlacementRequested{1, ask("a", 0)}, PlacementRequested{1, ask("b", 0)}, PlacementRequested{2, ask("c", 0)},
			PlacementRequested{2, ask("d", 0)}}, "refuse d"},
		{"too many of one caller", []any{PlacementRequested{1, ask("a", 0)}, PlacementRequested{1, ask("b", 0)}, PlacementRequested{1, ask("c", 0)}}, "refuse c"},
		{"room again after an answer", []any{PlacementRequested{1, ask("a", 0)}, PlacementRequested{1, ask("b", 0)}, RequestFailed{"a"},
			PlacementRequested{1, ask("c", 0)}}, "pass c"},

		// What a placer killed -9 left running must not be started a second time by an owner who asks again.
		{"came before, nobody has told yet", []any{PlacementRequested{1, again("b", "k-a", 2)}}, "refuse b"},
		{"came before, reissuable", []any{PlacementRequested{1, again("b", "k-a", 0)}}, "pass b"},
		{"came before, all have told", []any{named, told, PlacementRequested{1, again("b", "k-a", 2)}}, "pass b"},
		{"came before, one cannot be asked", []any{named, ConnectFailed{Machine: "m"}, 3100 * ms, PlacementRequested{1, again("b", "k-a", 2)}}, "reach m, pass b"},
		{"came before, and runs", []any{named, MachineReported{"m", []Attempt{held("a", 2, 4, 7, true)}},
			PlacementRequested{1, again("b", "k-a", 2)}}, "stands b at m"},
		{"machines are asked", []any{named}, "reach m"},
		{"one that could not be asked is asked later", []any{named, ConnectFailed{Machine: "m"}, 2100 * ms, TimerFired{}}, "reach m"},
		{"one that is gone is not", []any{named, ConnectFailed{Machine: "m"}, MachineRemoved{"m"}, 5100 * ms, TimerFired{}}, ""},

		{"earlier life, running", []any{MachineReported{"m", []Attempt{held("a", 0, 4, 7, true)}}}, "adopt a"},
		{"earlier life, waiting: it counts until it is over", []any{MachineReported{"m", []Attempt{held("a", 2, 4, 7, false)}}}, "call off 4.7, adopt a"},
		{"earlier life, waiting, and asked for again", []any{MachineReported{"m", []Attempt{held("a", 2, 4, 7, false)}}, PlacementRequested{1, again("b", "k-a", 2)}}, "refuse b"},
		{"named twice", []any{MachineReported{"m", []Attempt{held("a", 0, 4, 7, true)}}, MachineReported{"m", []Attempt{held("a", 0, 4, 7, true)}}},
			""},
		{"earlier life, then gone", []any{MachineReported{"m", []Attempt{held("a", 0, 4, 7, true)}}, MachineReported{"m", nil}}, "lost a"},
		{"two copies of one key", []any{PlacementRequested{1, ask("a", 1)}, AttemptAccepted{"a", "n", 9},
			MachineReported{"m", []Attempt{{Request: again("b", "k-a", 1), Machine: "m", Incarnation: 4, Number: 7, Running: true}}}}, "call off 4.7"},

		{"late yes, reissuable", []any{PlacementRequested{1, ask("a", 0)}, LateAccept{held("a", 0, 5, 9, true)}}, "call off 5.9"},
		{"late yes, given up", []any{PlacementRequested{1, ask("a", 2)}, RequestFailed{"a"}, ContainerRemoved{"a"},
			LateAccept{held("a", 2, 5, 9, true)}}, "adopt a"},
		{"late yes while it is open", []any{PlacementRequested{1, ask("a", 1)}, LateAccept{held("a", 1, 5, 9, true)}}, ""},
		{"then it ends", []any{PlacementRequested{1, ask("a", 1)}, LateAccept{held("a", 1, 5, 9, true)}, ContainerRemoved{"a"}}, "adopt a"},
		{"then it is placed elsewhere", []any{PlacementRequested{1, ask("a", 1)}, LateAccept{held("a", 1, 5, 9, true)},
			AttemptAccepted{"a", "n", 10}}, "call off 5.9"},
		// A machine that fell silent with an at-most-once bid may run it: an owner that asks again waits for its word.
		{"in doubt", []any{4000 * ms, PlacementRequested{1, ask("a", 2)}, AttemptOutcomeUnknown{held("a", 2, 5, 9, false)}, ContainerRemoved{"a"},
			PlacementRequested{1, again("b", "k-a", 2)}}, "refuse b"},
		// Without this nobody asked the machine, and the doubt stood for ever.
		{"in doubt, the machine is asked", []any{4000 * ms, PlacementRequested{1, ask("a", 2)}, AttemptOutcomeUnknown{held("a", 2, 5, 9, false)}}, "reach m"},
		{"in doubt, and asked again when its link breaks", []any{4000 * ms, PlacementRequested{1, ask("a", 2)}, AttemptOutcomeUnknown{held("a", 2, 5, 9, false)},
			MachineDisconnected{"m"}}, "reach m"},
		{"in doubt, the machine told", []any{4000 * ms, PlacementRequested{1, ask("a", 2)}, AttemptOutcomeUnknown{held("a", 2, 5, 9, false)}, ContainerRemoved{"a"}, told,
			PlacementRequested{1, again("b", "k-a", 2)}}, "pass b"},
		{"in doubt, the bid was told", []any{4000 * ms, PlacementRequested{1, ask("a", 2)}, AttemptOutcomeUnknown{held("a", 2, 5, 9, false)}, ContainerRemoved{"a"},
			AttemptNotRunning{held("a", 2, 5, 9, false)}, PlacementRequested{1, again("b", "k-a", 2)}}, "pass b"},
		{"in doubt, the machine is gone", []any{4000 * ms, PlacementRequested{1, ask("a", 2)}, AttemptOutcomeUnknown{held("a", 2, 5, 9, false)}, ContainerRemoved{"a"},
			MachineRemoved{"m"}, PlacementRequested{1, again("b", "k-a", 2)}}, "pass b"},
		{"no doubt of reissuable work", []any{4000 * ms, PlacementRequested{1, ask("a", 0)}, AttemptOutcomeUnknown{held("a", 0, 5, 9, false)}, ContainerRemoved{"a"},
			PlacementRequested{1, again("b", "k-a", 0)}}, "pass b"},
		{"reset, then named by its machine", []any{PlacementRequested{1, ask("a", 2)}, ContainerRemoved{"a"},
			MachineReported{"m", []Attempt{held("a", 2, 5, 9, true)}}}, "adopt a"},

		{"cancelled", []any{PlacementRequested{1, ask("a", 0)}, CancelRequested{1, "a", "k-a"}}, "cease a as a"},
		{"cancelled by its key", []any{PlacementRequested{1, ask("a", 0)}, CancelRequested{1, "x", "k-a"}}, "cease a as x"},
		{"cancelled, and an earlier bid runs", []any{PlacementRequested{1, ask("a", 1)}, LateAccept{held("a", 1, 5, 9, true)}, CancelRequested{1, "a", "k-a"}},
			"call off 5.9, cease a as a"},
		// A placer that has just come up does not know what runs: "nothing" would leave it running for ever.
		{"cancelled, and nobody has told yet", []any{CancelRequested{1, "x", "k-a"}}, "refuse x"},
		{"cancelled, all have told", []any{named, told, CancelRequested{1, "x", "k-a"}}, "ceased x"},
		{"cancelled, and it is in doubt", []any{named, told, AttemptOutcomeUnknown{held("a", 2, 5, 9, false)}, CancelRequested{1, "x", "k-a"}}, "refuse x"},
		{"cancelled, only an id is known", []any{named, told, CancelRequested{1, "x", ""}}, ""},

		{"looked for, and it runs", []any{PlacementRequested{1, ask("a", 2)}, AttemptAccepted{"a", "m", 9}, LookupRequested{1, "x", "k-a"}}, "stands x at m"},
		{"looked for while it is placed", []any{PlacementRequested{1, ask("a", 2)}, LookupRequested{1, "x", "k-a"}}, "refuse x"},
		{"looked for, and nobody has told yet", []any{LookupRequested{1, "x", "k-a"}}, "refuse x"},
		{"looked for, and all have told", []any{named, told, LookupRequested{1, "x", "k-a"}}, "absent x"},

		{"link broken, tried at once", []any{PlacementRequested{1, ask("a", 0)}, AttemptAccepted{"a", "m", 9}, MachineDisconnected{"m"}}, "reach m"},
		{"nothing runs there", []any{MachineDisconnected{"m"}}, ""},
		{"still named", []any{PlacementRequested{1, ask("a", 0)}, AttemptAccepted{"a", "m", 9}, MachineDisconnected{"m"},
			MachineReported{"m", []Attempt{held("a", 0, 5, 9, true)}}}, ""},
		{"no longer named", []any{PlacementRequested{1, ask("a", 0)}, AttemptAccepted{"a", "m", 9}, MachineDisconnected{"m"}, MachineReported{"m", nil}}, "lost a"},
		{"tried again", []any{PlacementRequested{1, ask("a", 0)}, AttemptAccepted{"a", "m", 9}, MachineDisconnected{"m"}, ConnectFailed{Machine: "m"}, 200 * ms, TimerFired{}}, "reach m"},
		{"given up", []any{PlacementRequested{1, ask("a", 0)}, AttemptAccepted{"a", "m", 9}, MachineDisconnected{"m"}, ConnectFailed{Machine: "m"}, 200 * ms, TimerFired{},
			ConnectFailed{Machine: "m"}, 1000 * ms, TimerFired{}, ConnectFailed{Machine: "m"}}, "lost a"},
		{"not given up for a want of our own", []any{PlacementRequested{1, ask("a", 0)}, AttemptAccepted{"a", "m", 9}, MachineDisconnected{"m"}, ConnectFailed{Machine: "m"}, 200 * ms, TimerFired{},
			ConnectFailed{Machine: "m"}, 1000 * ms, TimerFired{}, ConnectFailed{"m", true}, 1200 * ms, TimerFired{}}, "reach m"},
		// Without this a container that ran on behind a cut was never heard of again.
		{"given up, and its machine asked later", []any{PlacementRequested{1, ask("a", 0)}, AttemptAccepted{"a", "m", 9}, MachineDisconnected{"m"}, ConnectFailed{Machine: "m"}, 200 * ms, TimerFired{},
			ConnectFailed{Machine: "m"}, 1000 * ms, TimerFired{}, ConnectFailed{Machine: "m"}, ContainerRemoved{"a"}, 3100 * ms, TimerFired{}}, "reach m"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table, now, got := New(5, Limits{Clients: 2, OpenRequests: 3, OpenRequestsPerClient: 2}, effects, recovery.LogNone, nil), scheduler.Time(0), ""
			table.Handle(now, []Event{ClientConnected{1}})
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
		a, b := New(5, Limits{9, 9, 9}, effects, recovery.LogNone, nil), New(5, Limits{9, 9, 9}, effects, recovery.LogNone, nil)
		now, open, runs, bid := scheduler.Time(0), map[scheduler.ContainerID]string{}, map[scheduler.ContainerID]string{}, uint64(0)
		a.Handle(0, []Event{ClientConnected{1}})
		b.Handle(0, []Event{ClientConnected{1}})
		id := func() scheduler.ContainerID {
			return scheduler.ContainerID(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id"))
		}
		for range 40 {
			now += scheduler.Time(rapid.IntRange(0, 20000).Draw(t, "on"))
			var e Event
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0, 1:
				q := again(string(id()), rapid.SampledFrom([]string{"x", "y"}).Draw(t, "key"), rapid.IntRange(0, 2).Draw(t, "workload"))
				e = PlacementRequested{1, q}
			case 2:
				i := id()
				if key, ok := open[i]; ok {
					bid++
					delete(open, i)
					runs[i] = key
					e = AttemptAccepted{i, "m", bid}
				}
			case 3:
				i := id()
				delete(open, i)
				delete(runs, i)
				e = ContainerRemoved{i}
			case 4:
				e = MachineDisconnected{"m"}
			case 5:
				e = ConnectFailed{Machine: "m"}
			case 6:
				e = MachineReported{"m", nil}
			case 7:
				e = TimerFired{}
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
				case Admit:
					for _, table := range []map[scheduler.ContainerID]string{open, runs} {
						for other, key := range table {
							if key == act.Request.IdempotencyKey {
								t.Fatalf("%s passed though %s has key %s", act.Request.ID, other, key)
							}
						}
					}
					open[act.Request.ID] = act.Request.IdempotencyKey
				case ContainerLost:
					delete(runs, act.ID)
					a.Handle(now, []Event{ContainerRemoved{act.ID}})
					b.Handle(now, []Event{ContainerRemoved{act.ID}})
				}
			}
		}
		for _, i := range []scheduler.ContainerID{"a", "b", "c", "d"} {
			a.Handle(now, []Event{ContainerRemoved{i}})
		}
		if n := len(a.containers) + len(a.byKey) + len(a.running) + len(a.reconnects) + a.openRequests + a.openByClient[1]; n != 0 {
			t.Fatalf("%d left in tables", n)
		}
	})
}
