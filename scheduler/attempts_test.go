package scheduler

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"
	"strings"
	"testing"
)

func TestDrawOdds(t *testing.T) {
	for _, tc := range []struct {
		name  string
		setup func(*Scheduler)
		want  func(m *machine) float64
	}{
		{"by contract", func(*Scheduler) {}, func(m *machine) float64 { return m.capacity }},
		{"not by placement", func(p *Scheduler) {
			for i := 0; i < 30; i++ {
				adopt(p, fmt.Sprint("own", i), "busy", "b")
			}
		}, func(m *machine) float64 { return m.capacity }},
		{"not by reported room", func(p *Scheduler) {
			p.Handle(1, []Event{MachineListUpdate{Mode: DeltaUpdate, Entries: []MachineEntry{
				{Machine: "b", Zone: 0, RackGroup: 0, MachineType: 1, FreeCores: -99, FreeMemory: -99}}}})
		}, func(m *machine) float64 { return m.capacity }},
		{"by honored capacity", func(p *Scheduler) {
			p.config.UsageReports = true
			adopt(p, "hog", "other", "b")
			p.Handle(1, []Event{UsageReported{ID: "hog", Machine: "b", Metric: MetricCoresUsed, Value: 35}})
		}, func(m *machine) float64 {
			if m.id == "b" {
				return 40 - (35 - 1) // one core was asked for
			}
			return m.capacity
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := testScheduler(testConfig(Idempotent))
			tc.setup(p)
			const n = 20000
			seen, sum := map[*machine]float64{}, 0.0
			for i := 0; i < n; i++ {
				c := p.addContainer(PlacementRequest{ID: "x", Service: fmt.Sprint("s", i), Cores: 1, Memory: 1})
				seen[p.draw(c)]++
				c.closed = true
				p.removeIfClosed(c)
			}
			for _, m := range p.machineOrder {
				sum += tc.want(m)
			}
			for _, m := range p.machineOrder {
				if got, want := seen[m]/n, tc.want(m)/sum; math.Abs(got-want) > 0.015 {
					t.Errorf("%s: drawn %.3f of the time, want %.3f", m.id, got, want)
				}
			}
		})
	}
}

func TestHonored(t *testing.T) {
	for _, tc := range []struct {
		name                       string
		notes                      bool
		used, asked, listAsk, want float64
	}{
		{"no notes", false, 30, 1, 1, 40},
		{"within the asks", true, 10, 4, 12, 40},
		{"beyond the list's asks", true, 20, 4, 12, 32},
		{"beyond own asks, list late", true, 20, 15, 12, 35},
		{"floor", true, 500, 4, 12, 40 * minWeightShare},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := testScheduler(testConfig(Idempotent))
			p.config.UsageReports = tc.notes
			m := p.machines["b"]
			m.used.cores, m.requested.cores, m.listRequested.cores = tc.used, tc.asked, tc.listAsk
			if got := p.honoredCapacity(m); math.Abs(got-tc.want) > 1e-9 {
				t.Errorf("honored %.2f, want %.2f", got, tc.want)
			}
		})
	}
}

// The answers that each effect and outcome of a first bid allow.
func TestAfterOutcome(t *testing.T) {
	for _, tc := range []struct {
		name    string
		effect  Idempotency
		repeats Scope
		outcome Outcome
		wait    Time   // until the outcome
		want    Action // of this type
	}{
		{"reissuable timed out", Idempotent, 0, OutcomeTimedOut, Second, StartAttempt{}},
		{"reissuable full", Idempotent, 0, OutcomeFull, Second, StartAttempt{}},
		{"at-most-once full", AtMostOnce, 0, OutcomeFull, Second, StartAttempt{}},
		{"at-most-once refused connection", AtMostOnce, 0, OutcomeConnectFailed, Second, StartAttempt{}},
		{"at-most-once not sent", AtMostOnce, 0, OutcomeNotSent, Second, StartAttempt{}},
		{"at-most-once timed out", AtMostOnce, 0, OutcomeTimedOut, Second, Fail{}},
		{"at-most-once erred", AtMostOnce, 0, OutcomeErrored, Second, Fail{}},
		{"at-most-once reset", AtMostOnce, 0, OutcomeLost, Second, Fail{}},
		{"numbered stays in its zone", IdempotentWithKey, ScopeZone, OutcomeTimedOut, Second, StartAttempt{}},
		{"numbered stays in its cell", IdempotentWithKey, ScopeRackGroup, OutcomeTimedOut, Second, Fail{}},
		{"numbered anywhere", IdempotentWithKey, ScopeFleet, OutcomeTimedOut, Second, StartAttempt{}},
		{"numbered past its window", IdempotentWithKey, ScopeZone, OutcomeTimedOut, 5 * Second, Fail{}},
		{"numbered past its window, anywhere", IdempotentWithKey, ScopeFleet, OutcomeTimedOut, 5 * Second, Reject{}},
		{"at the hard stop", Idempotent, 0, OutcomeTimedOut, 10 * Second, Reject{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tm := testConfig(tc.effect)
			tm.WorkloadClasses[0].DedupScope, tm.WorkloadClasses[0].DedupWindow = tc.repeats, 5*Second
			p := testScheduler(tm)
			first := submit(p, 0, "x", "s")
			got := p.Handle(tc.wait, []Event{AttemptEnded{ID: "x", Outcome: tc.outcome, Machine: first}})
			if !sameType(lastAction(got), tc.want) {
				t.Errorf("%T, want %T", lastAction(got), tc.want)
			}
			if b, ok := lastAction(got).(StartAttempt); ok && (b.Machine == first ||
				!p.machines[b.Machine].sharesScope(p.machines[first], tc.repeats) && tc.repeats != 0) {
				t.Errorf("bid to %s after %s", b.Machine, first)
			}
		})
	}
}

func TestOneAnswer(t *testing.T) {
	for _, tc := range []struct {
		name   string
		events []Event
		want   int // actions for the container after its first bid
		left   int
	}{
		{"withdrawn, then its outcome", []Event{ContainerRemoved{"x"}, AttemptEnded{ID: "x", Outcome: OutcomeTimedOut}}, 0, 0},
		{"outcome closes it, then it vanishes", []Event{AttemptEnded{ID: "x", Final: true, Outcome: OutcomeFinished},
			ContainerRemoved{"x"}}, 0, 0},
		{"placed, then lost", []Event{AttemptAccepted{ID: "x"}, AttemptEnded{ID: "x", Final: true, Outcome: OutcomeLost}}, 0, 0},
		{"every machine full", []Event{AttemptEnded{ID: "x", Outcome: OutcomeFull}, AttemptEnded{ID: "x", Outcome: OutcomeFull},
			AttemptEnded{ID: "x", Outcome: OutcomeFull}, AttemptEnded{ID: "x", Outcome: OutcomeFull}}, 4, 0},
		{"yes crossed by a withdrawal", []Event{AttemptAccepted{ID: "x"}, AttemptEnded{ID: "x", Outcome: OutcomeStopped}}, 1, 2},
		{"no outcome at the hard stop", []Event{TimerFired{"sweep"}, TimerFired{"due"}}, 1, 2},
		{"unknown to us", []Event{UsageReported{ID: "y"}, AttemptEnded{ID: "y"}, AttemptAccepted{ID: "y"}, ContainerRemoved{"y"}}, 0, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := testScheduler(testConfig(Idempotent))
			submit(p, 0, "x", "s")
			n := 0
			for i, e := range tc.events {
				now := Time(i + 1)
				if (e == Event(TimerFired{"due"})) {
					now += 6 * Second
				}
				for _, a := range p.Handle(now, []Event{e}) {
					switch a.(type) {
					case StartAttempt, Reject, Fail, CancelAttempt:
						n++
					}
				}
			}
			if n != tc.want {
				t.Errorf("%d actions, want %d", n, tc.want)
			}
			if left := len(p.containers) + len(p.services); left != tc.left {
				t.Errorf("%d left in tables, want %d", left, tc.left)
			}
		})
	}
}

func TestFilters(t *testing.T) {
	for _, tc := range []struct {
		name  string
		setup func(p *Scheduler)
		want  string // machines that may be bid to
	}{
		{"all", func(*Scheduler) {}, "abcd"},
		{"draining and gone", func(p *Scheduler) {
			p.Handle(0, []Event{MachineListUpdate{Mode: DeltaUpdate, Entries: []MachineEntry{
				{Machine: "a", State: MachineDraining}, {Machine: "b", State: MachineGone, MachineType: 1}}}})
		}, "cd"},
		{"absent from a whole list", func(p *Scheduler) {
			p.Handle(0, []Event{MachineListUpdate{Mode: FullSnapshot, Entries: []MachineEntry{{Machine: "c"}}}})
		}, "c"},
		{"kind", func(p *Scheduler) { p.config.WorkloadClasses[0].MachineType = 1 }, "b"},
		{"kinds too small", func(p *Scheduler) { p.config.MachineTypes[0].Cores = 0.4 }, "b"},
		{"spread over machines", func(p *Scheduler) {
			p.config.WorkloadClasses[0].SpreadScope, p.config.WorkloadClasses[0].MaxPerScope = ScopeMachine, 2
			adopt(p, "o1", "s", "a")
			submit(p, 0, "o2", "s")
			p.moveAttempt("o2", "a")
		}, "bcd"},
		{"spread over zones", func(p *Scheduler) {
			p.config.WorkloadClasses[0].SpreadScope, p.config.WorkloadClasses[0].MaxPerScope = ScopeZone, 1
			adopt(p, "o1", "s", "a")
		}, "cd"},
		{"spread: running on a machine no list has named", func(p *Scheduler) {
			p.config.WorkloadClasses[0].SpreadScope, p.config.WorkloadClasses[0].MaxPerScope = ScopeZone, 1
			adopt(p, "o1", "s", "nowhere")
		}, ""},
		{"cold, its budget spent", func(p *Scheduler) {
			m := p.machines["a"]
			m.startedAt = p.now + 1
			for i := 0; i < p.config.SlowStartBudget/p.config.SchedulerCount; i++ {
				m.recentSends = append(m.recentSends, p.now)
			}
		}, "bcd"},
		{"cold, just after own start", func(p *Scheduler) {
			p.machines["a"].startedAt, p.sendsKnownSince = p.now+1, p.now
		}, "bcd"},
		{"sent a container away", func(p *Scheduler) {
			adopt(p, "o1", "o", "a")
			p.Handle(p.now, []Event{AttemptEnded{ID: "o1", Final: true, Outcome: OutcomeLost, Reason: ReasonDrained}})
		}, "bcd"},
		{"not here", func(p *Scheduler) {
			submit(p, p.now, "o1", "o")
			p.moveAttempt("o1", "a")
			p.Handle(p.now, []Event{AttemptEnded{ID: "o1", Outcome: OutcomeFull, Reason: ReasonWrongMachine}})
		}, "bcd"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := testScheduler(testConfig(Idempotent))
			p.now, p.sendsKnownSince = 100*Second, 0
			tc.setup(p)
			c, got := p.addContainer(PlacementRequest{ID: "x", Service: "s", Cores: 1, Memory: 1}), ""
			for _, m := range p.machineOrder {
				if p.eligible(c, m) {
					got += string(m.id)
				}
			}
			if got != tc.want {
				t.Errorf("may bid to %q, want %q", got, tc.want)
			}
		})
	}
}

// However bids come, no window of a cold machine holds more of them, from all placers, than it always bears;
// and where there are more placers than that, those with a part use it for the rest.
func TestColdBudgetInAnyWindow(t *testing.T) {
	for _, tc := range []struct {
		gap     Time // between a placer's containers
		placers int
		cold    string
		least   int // bids to a
	}{{10, 3, "abcd", 1}, {100, 3, "abcd", 1}, {1000, 3, "abcd", 1}, {100, 7, "abcd", 1}, {100, 40, "abcd", 1},
		{1000, 300, "a", 1}, {20 * Second, 300, "a", 8}} {
		t.Run(fmt.Sprintf("a container every %d at each of %d, cold %s", tc.gap, tc.placers, tc.cold), func(t *testing.T) {
			var all []*Scheduler
			for i := 0; i < tc.placers; i++ {
				tm := testConfig(Idempotent)
				tm.SchedulerIndex, tm.SchedulerCount, tm.MaxAttempts = i, tc.placers, 1
				all = append(all, testScheduler(tm))
				for _, m := range all[i].machineOrder {
					if strings.Contains(tc.cold, string(m.id)) {
						m.startedAt = 1
					}
				}
			}
			var sent []Time
			for now := Time(10); now < all[0].config.SlowStartPeriod; now += min(tc.gap, 1000) {
				for i, p := range all {
					if tc.gap > 1000 && (now+Time(i)*7310)%tc.gap >= 1000 {
						continue
					}
					if submit(p, now, ContainerID(fmt.Sprint(now)), fmt.Sprint("s", now, i)) == "a" {
						sent = append(sent, now)
					}
				}
			}
			most := 0
			for i := range sent {
				n := sort.Search(len(sent), func(k int) bool { return sent[k] >= sent[i]+all[0].config.SlowStartWindow }) - i
				most = max(most, n)
			}
			if len(sent) < tc.least || most > all[0].config.SlowStartBudget {
				t.Errorf("%d bids, up to %d in a window", len(sent), most)
			}
		})
	}
}

func TestSequentialTest(t *testing.T) {
	for _, tc := range []struct {
		name, outcomes string // on machine a
		out            bool
	}{
		{"one failure", "unreachable", false},
		{"two in a row", "unreachable unreachable", true},
		{"failures among yeses", "unreachable yes yes unreachable yes yes unreachable", false},
		{"full is not sick", "full full full full", false},
		{"silent", "late late", true},
		{"late but heard of", "heard-late heard-late heard-late", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := testScheduler(testConfig(Idempotent))
			for i, word := range strings.Fields(tc.outcomes) {
				now, id := Time(i+1)*Second, ContainerID(fmt.Sprint("x", i))
				submit(p, now, id, "s")
				p.moveAttempt(id, "a")
				if word == "heard-late" {
					p.Handle(now+1, []Event{ProbeCompleted{Machine: "a"}})
				}
				p.Handle(now+2, []Event{map[string]Event{
					"unreachable": AttemptEnded{ID: id, Final: true, Outcome: OutcomeConnectFailed},
					"full":        AttemptEnded{ID: id, Final: true, Outcome: OutcomeFull, Reason: ReasonNoMemory},
					"late":        AttemptEnded{ID: id, Final: true, Outcome: OutcomeTimedOut},
					"heard-late":  AttemptEnded{ID: id, Final: true, Outcome: OutcomeTimedOut},
					"yes":         AttemptAccepted{ID: id}}[word]})
			}
			if out := p.machines["a"].ejectedUntil > 0; out != tc.out {
				t.Errorf("out %t, want %t (log odds %.1f)", out, tc.out, p.machines["a"].outlierLogOdds)
			}
		})
	}
	t.Run("sick ones are the last resort", func(t *testing.T) {
		p := testScheduler(testConfig(Idempotent))
		for i, m := range p.machineOrder {
			p.recordOutcome(m, true)
			p.recordOutcome(m, true)
			got := submit(p, 0, ContainerID(m.id), fmt.Sprint("s", i))
			if sick := p.machines[got] == nil || p.machines[got].ejectedUntil > 0; sick != (i == 3) {
				t.Errorf("with %d of 4 sick a container goes to %q", i+1, got)
			}
		}
	})
	t.Run("comes back by a probe, on trial", func(t *testing.T) {
		p := testScheduler(testConfig(Idempotent))
		m := p.machines["a"]
		p.recordOutcome(m, true)
		p.recordOutcome(m, true)
		acts := p.Handle(m.ejectedUntil, []Event{TimerFired{"sweep"}})
		p.Handle(m.ejectedUntil+100, []Event{ProbeCompleted{Machine: "a", Outcome: OutcomeFinished}})
		if lastAction(acts) != (Probe{"a"}) || m.ejectedUntil > 0 {
			t.Fatalf("probed by %v, out until %d", acts, m.ejectedUntil)
		}
		if p.recordOutcome(m, true); m.ejectedUntil == 0 {
			t.Error("a failure on trial does not take it out again")
		}
	})
}

// An error speaks against a machine once the container ran elsewhere, or erred nowhere else.
func TestErrorsAreHeldTo(t *testing.T) {
	for _, tc := range []struct {
		name  string
		words string // e: error, y: yes, f: full, of each machine in turn
		sick  int    // machines with evidence against them
	}{
		{"one error, then a yes", "ey", 1},
		{"two errors, then a yes", "eey", 2},
		{"an error, then full everywhere", "efff", 1},
		{"errors everywhere", "eeee", 0},
		{"two errors, then full", "eeff", 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := testScheduler(testConfig(Idempotent))
			at := submit(p, Second, "x", "s")
			for i, w := range tc.words {
				if at == "" {
					t.Fatalf("no bid before word %d", i)
				}
				var e Event = AttemptAccepted{ID: "x", Attempt: i, Machine: at}
				switch w {
				case 'e':
					e = AttemptEnded{ID: "x", Attempt: i, Machine: at, Outcome: OutcomeErrored}
				case 'f':
					e = AttemptEnded{ID: "x", Attempt: i, Machine: at, Outcome: OutcomeFull, Reason: ReasonNoMemory}
				}
				at = ""
				if b, ok := lastAction(p.Handle(Second+Time(i+1), []Event{e})).(StartAttempt); ok {
					at = b.Machine
				}
			}
			sick := 0
			for _, m := range p.machineOrder {
				if m.outlierLogOdds > 0 {
					sick++
				}
			}
			if sick != tc.sick {
				t.Errorf("%d machines look sick, want %d", sick, tc.sick)
			}
		})
	}
}

// A container whose own time passed before a yes is answered at once, by what may have run, and speaks against no machine.
func TestTimePassed(t *testing.T) {
	for _, tc := range []struct {
		name   string
		effect Idempotency
		want   Action
	}{
		{"reissuable", Idempotent, Reject{ID: "x"}},
		{"numbered", IdempotentWithKey, Fail{"x"}},
		{"at-most-once", AtMostOnce, Fail{"x"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tm := testConfig(tc.effect)
			tm.WorkloadClasses[0].DedupScope, tm.WorkloadClasses[0].DedupWindow = ScopeZone, 8*Second
			p := testScheduler(tm)
			at := submit(p, Second, "x", "s")
			acts := p.Handle(2*Second, []Event{AttemptEnded{ID: "x", Machine: at, Outcome: OutcomeFinished}})
			if m := p.machines[at]; len(acts) != 1 || acts[0] != tc.want || m.outlierLogOdds > 0 || m.lastHeardAt != 2*Second {
				t.Errorf("%v, log odds %.1f, heard at %d", acts, m.outlierLogOdds, m.lastHeardAt)
			}
			if len(p.containers) > 0 {
				t.Error("it is kept")
			}
		})
	}
}

// Placers that start together, or fail together, do not ask for the list together: it answers few at a time.
func TestListCalls(t *testing.T) {
	for _, tc := range []struct {
		name      string
		placers   int
		downUntil Time // calls fail so long
		most      int  // calls of all placers in any half second
		by        Time // every placer has its list
	}{
		{"few", 3, 0, 3, Second},
		{"hundreds", 300, 0, 60, 6 * Second},
		{"hundreds, the service away", 300, 20 * Second, 60, 31 * Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var all []*Scheduler
			calls, informed := make([]int, 200), 0
			for i := 0; i < tc.placers; i++ {
				tm := testConfig(Idempotent)
				tm.Seed, tm.SchedulerCount, tm.SchedulerIndex, tm.ListOnRequest, tm.ResyncInterval = uint64(i), tc.placers, i, true, 10*Second
				all = append(all, New(tm))
			}
			for now := Time(0); now <= tc.by; now += Second / 4 {
				for _, p := range all {
					if slices.Contains(p.Handle(now, []Event{TimerFired{"sweep"}}), Action(WatchMachineList{true})) {
						calls[now/(Second/2)]++
						if now < tc.downUntil {
							p.Handle(now, []Event{MachineListUpdate{Mode: UpdateFailed}})
						} else {
							p.Handle(now, []Event{MachineListUpdate{Mode: FullSnapshot}})
							informed++
						}
					}
				}
			}
			if informed != tc.placers || slices.Max(calls) > tc.most {
				t.Errorf("%d informed, up to %d calls in half a second", informed, slices.Max(calls))
			}
		})
	}
}

// A start that a machine reports by its own hello is taken up, and the call of the list that is due still comes, while
// any answer of the list ends it. The other machines stay as they were.
func TestSelfReportedStartLeavesListCallDue(t *testing.T) {
	for _, tc := range []struct {
		name     string
		before   []Event // of the list, before the hello
		mode     UpdateMode
		stillDue bool
	}{
		{"first call of a new incarnation", nil, SelfReported, true},
		{"list unreachable", []Event{MachineListUpdate{Mode: UpdateFailed}}, SelfReported, true},
		{"list unreachable for long", []Event{MachineListUpdate{Mode: UpdateFailed}, MachineListUpdate{Mode: UpdateFailed},
			MachineListUpdate{Mode: UpdateFailed}}, SelfReported, true},
		{"list answered before", []Event{MachineListUpdate{Mode: DeltaUpdate}}, SelfReported, false},
		{"the list itself tells", []Event{MachineListUpdate{Mode: UpdateFailed}}, DeltaUpdate, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tm := testConfig(Idempotent)
			tm.ListOnRequest, tm.ResyncInterval = true, 4*Second
			p := testScheduler(tm)
			now := Millisecond
			p.Handle(now, tc.before)
			p.Handle(now, []Event{MachineListUpdate{Mode: tc.mode, Entries: []MachineEntry{{Machine: "a", StartedAt: now}}}})
			if m := p.findOrAddMachine("a"); m.startedAt != now || !p.inSlowStart(m) {
				t.Errorf("machine a started at %d, cold: %v", m.startedAt, p.inSlowStart(m))
			}
			if m := p.findOrAddMachine("d"); m.state != MachineServing {
				t.Errorf("machine d is in state %d", m.state)
			}
			calls := 0
			for ; now <= 10*Second; now += Second / 4 {
				if slices.Contains(p.Handle(now, []Event{TimerFired{"sweep"}}), Action(WatchMachineList{true})) {
					calls++
				}
			}
			if due := calls == 1; due != tc.stillDue {
				t.Errorf("the list was called %d times", calls)
			}
		})
	}
}

// While bids find no room, low gain yields to high gain, and a customer beyond its share to the others.
func TestYield(t *testing.T) {
	for _, tc := range []struct {
		name        string
		full        float64
		workload    int
		customer    int
		again       bool
		least, most int
	}{
		{"room, low gain", 0.1, 0, 0, false, 0, 0},
		{"full, low gain", 0.35, 0, 0, false, 620, 780},
		{"full, best gain", 0.9, 1, 0, false, 0, 0},
		{"full, best gain, came before", 0.35, 1, 0, true, 620, 780},
		{"full, best gain, beyond its share", 0.35, 1, 1, false, 400, 700},
		{"room, beyond its share", 0.1, 1, 1, false, 0, 0},
		{"room, came before", 0.1, 1, 0, true, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tm := testConfig(Idempotent)
			tm.WorkloadClasses = append(tm.WorkloadClasses, tm.WorkloadClasses[0])
			tm.WorkloadClasses[1].PriorityWeight = 2 * tm.WorkloadClasses[0].PriorityWeight
			tm.Tenants = []Tenant{{QuotaCores: 50}, {QuotaCores: 50}}
			p, n := testScheduler(tm), 0
			for i := 0; i < 1000; i++ {
				p.tenantCores[0], p.tenantCores[1] = 20, 80
				p.fullRatio, p.rejectedWeight = tc.full, tc.full*tm.WorkloadClasses[1].PriorityWeight
				id := ContainerID(fmt.Sprint(i))
				acts := p.Handle(0, []Event{RequestReceived{PlacementRequest{ID: id, Service: "s", WorkloadClass: tc.workload,
					Tenant: tc.customer, ClientRetry: tc.again, Cores: 1, Memory: 1, Deadline: 5 * Second}}})
				if _, ok := lastAction(acts).(Reject); ok {
					n++
				}
			}
			if n < tc.least || n > tc.most {
				t.Errorf("%d of 1000 pushed back, want %d to %d", n, tc.least, tc.most)
			}
		})
	}
}

// A machine may leave one workload or customer unserved and serve the rest: it is lost to that one only, for
// a while. Losses that all share, refusals with a reason and a fleet where all shun it change nothing.
func TestShunned(t *testing.T) {
	yes := func(int) Event { return AttemptAccepted{ID: "x"} }
	lost := func(int) Event { return AttemptEnded{ID: "x", Final: true, Outcome: OutcomeTimedOut} }
	full := func(r Reason) func(int) Event {
		return func(int) Event { return AttemptEnded{ID: "x", Final: true, Outcome: OutcomeFull, Reason: r} }
	}
	third := func(i int) Event { return []func(int) Event{lost, yes, yes}[i%3](i) }
	for _, tc := range []struct {
		name        string
		first, rest func(turn int) Event // to the first workload and customer, to the others
		full        bool                 // the list has no room on a
		at          MachineID            // only there, or everywhere
		after       Time
		want        string // machines that take the first ones
	}{
		{"unanswered", lost, yes, false, "a", 0, "bcd"},
		{"it lifts", lost, yes, false, "a", 3 * evidenceDecay, "abcd"},
		{"a third unanswered, of all alike", third, third, false, "", 0, "abcd"},
		{"full for no reason", full(ReasonNone), yes, false, "a", 0, "bcd"},
		{"full with a reason", full(ReasonNoMemory), yes, false, "a", 0, "abcd"},
		{"full for no reason, no room", full(ReasonNone), yes, true, "a", 0, "abcd"},
		{"everywhere", lost, yes, false, "", 0, "abcd"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tm := testConfig(Idempotent)
			tm.WorkloadClasses = append(tm.WorkloadClasses, tm.WorkloadClasses[0])
			tm.Tenants = []Tenant{{50}, {50}}
			p := testScheduler(tm)
			for i := 0; i < 6; i++ {
				for _, m := range p.machineOrder {
					m.listRequested = resources{}
					if tc.full {
						m.listRequested.cores = 99
					}
					for w, event := range []func(int) Event{tc.first, tc.rest} {
						p.Handle(1, []Event{RequestReceived{PlacementRequest{ID: "x", Service: "s", WorkloadClass: w, Tenant: w, Cores: 1, Memory: 1,
							Deadline: 6 * Second}}})
						p.moveAttempt("x", m.id)
						m.lastHeardAt = 1
						if w == 0 && tc.at != "" && tc.at != m.id {
							event = yes
						}
						p.Handle(2, []Event{event(i), AttemptEnded{ID: "x", Final: true}})
					}
				}
			}
			p.now, p.random = 2+tc.after, pcg{1}
			for _, w := range []int{0, 1} {
				got := map[string]bool{}
				for i := 0; i < 400; i++ {
					c := p.addContainer(PlacementRequest{ID: "y", Service: fmt.Sprint(i), WorkloadClass: w, Tenant: w, Cores: 1, Memory: 1})
					got[string(p.draw(c).id)] = true
				}
				if s := strings.Join(slices.Sorted(maps.Keys(got)), ""); w == 0 && s != tc.want || w == 1 && s != "abcd" {
					t.Errorf("workload %d goes to %s", w, s)
				}
			}
		})
	}
}

// What cannot be so is answered safely: nothing goes to a machine of unknown kind or of no capacity, and a
// container of an unknown workload is given up at once.
func TestOddInput(t *testing.T) {
	tm := testConfig(Idempotent)
	tm.SchedulerCount, tm.SlowStartBudget, tm.MachineTypes = 0, 0, append(tm.MachineTypes, MachineType{})
	p := testScheduler(tm)
	p.Handle(1, []Event{MachineListUpdate{Mode: FullSnapshot, Entries: []MachineEntry{{Machine: "a", MachineType: 9}, {Machine: "b", MachineType: 2},
		{Machine: "c", StartedAt: 1}}}, ContainerAdopted{PlacementRequest{ID: "r", Service: "s", WorkloadClass: 7}, "c"}})
	for _, tc := range []struct {
		ask  PlacementRequest
		want Action // of this type
	}{
		{PlacementRequest{ID: "x", Service: "s", Deadline: 2 * Second}, Reject{}},
		{PlacementRequest{ID: "y", Service: "s", WorkloadClass: 7, Deadline: 2 * Second}, Fail{}},
		{PlacementRequest{ID: "z", Service: "s", Tenant: 7, Deadline: 30 * Second}, StartAttempt{}},
	} {
		if got := lastAction(p.Handle(tc.ask.Deadline-1000, []Event{RequestReceived{tc.ask}})); !sameType(got, tc.want) {
			t.Errorf("%s: %T, want %T", tc.ask.ID, got, tc.want)
		}
	}
}

// The read-only question counts each machine under what keeps a container from it, and changes no decision.
func TestExplain(t *testing.T) {
	for _, tc := range []struct {
		name  string
		setup func(p *Scheduler)
		want  func(x Explanation) int
		n     int
	}{
		{"free", func(*Scheduler) {}, func(x Explanation) int { return x.Eligible }, 4},
		{"draining", func(p *Scheduler) { p.machines["a"].state = MachineDraining }, func(x Explanation) int { return x.Draining }, 1},
		{"gone", func(p *Scheduler) { p.machines["a"].state = MachineGone }, func(x Explanation) int { return x.Gone }, 1},
		{"kind", func(p *Scheduler) { p.config.WorkloadClasses[0].MachineType = 1 }, func(x Explanation) int { return x.WrongMachineType }, 3},
		{"sick", func(p *Scheduler) { p.machines["a"].ejectedUntil = 1 }, func(x Explanation) int { return x.Ejected }, 1},
		{"closing", func(p *Scheduler) { p.machines["a"].selfDrainingUntil = p.now + 1 }, func(x Explanation) int { return x.SelfDraining }, 1},
		{"cold", func(p *Scheduler) { p.machines["a"].startedAt, p.sendsKnownSince = p.now+1, p.now }, func(x Explanation) int { return x.SlowStartExhausted }, 1},
		{"no cores", func(p *Scheduler) { p.config.ListTracksRequests = true; p.machines["a"].listRequested.cores = 1e6 },
			func(x Explanation) int { return x.InsufficientCores }, 1},
		{"no memory", func(p *Scheduler) { p.config.ListTracksRequests = true; p.machines["a"].listRequested.memory = 1e6 },
			func(x Explanation) int { return x.InsufficientMemory }, 1},
		{"spread", func(p *Scheduler) {
			p.config.WorkloadClasses[0].SpreadScope, p.config.WorkloadClasses[0].MaxPerScope = ScopeMachine, 1
			adopt(p, "o", "s", "a")
		}, func(x Explanation) int { return x.SpreadExhausted }, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p, q := testScheduler(testConfig(Idempotent)), testScheduler(testConfig(Idempotent))
			for _, x := range []*Scheduler{p, q} {
				x.now, x.sendsKnownSince = 100*Second, 0
				for _, m := range x.machineOrder {
					m.listRequested = resources{}
				}
				tc.setup(x)
			}
			x := p.Explain(PlacementRequest{Service: "s", Cores: 1, Memory: 1})
			if got := tc.want(x); got != tc.n {
				t.Errorf("%d, want %d: %+v", got, tc.n, x)
			}
			for i := range 20 {
				id := ContainerID(fmt.Sprint(i))
				p.Explain(PlacementRequest{Service: "s", Cores: 1, Memory: 1})
				if a, b := submit(p, 100*Second, id, "s"), submit(q, 100*Second, id, "s"); a != b {
					t.Fatalf("decided otherwise after the question: %s, %s", a, b)
				}
			}
		})
	}
}

// A placer that is given what an earlier life of it knew goes on as that would have: the sick machine rests, and no
// window of a cold machine's start has more than one life's part, though the lives follow on each other within it.
func TestRecall(t *testing.T) {
	tm := testConfig(Idempotent)
	tm.SchedulerCount, tm.MaxAttempts = 1, 1
	cold := MachineListUpdate{Mode: RestoredSnapshot, Entries: []MachineEntry{{Machine: "a", StartedAt: 10}}}
	var before *Scheduler
	var sent []Time
	for life := range 20 {
		p := New(tm)
		now := Time(life)*Second/2 + 10
		p.Handle(now, []Event{cold})
		if before != nil {
			p.Restore(before.Snapshot())
		}
		for range 40 {
			if now += 100; submit(p, now, ContainerID(fmt.Sprint(now)), fmt.Sprint("s", now)) == "a" {
				sent = append(sent, now)
				p.Handle(now, []Event{AttemptEnded{ID: ContainerID(fmt.Sprint(now)), Final: true, Machine: "a", Elapsed: 1}})
			}
		}
		before = p
	}
	for i := range sent {
		if n := i + tm.SlowStartBudget; n < len(sent) && sent[n]-sent[i] < tm.SlowStartWindow {
			t.Fatalf("%d bids from %d to %d", tm.SlowStartBudget+1, sent[i], sent[n])
		}
	}
	if len(sent) < 3*tm.SlowStartBudget {
		t.Errorf("%d bids in 20 lives: the part is left unused", len(sent))
	}

	sick := New(tm)
	warm := MachineListUpdate{Mode: RestoredSnapshot, Entries: []MachineEntry{{Machine: "a"}, {Machine: "b"}}}
	sick.Handle(0, []Event{warm})
	k := sick.Snapshot()
	k.Machines[0].OutlierLogOdds, k.Machines[0].EjectedUntil = 5, 4*Second
	k.Machines = append(k.Machines, MachineSnapshot{Machine: "b", StartedAt: 99, OutlierLogOdds: 5, EjectedUntil: 4 * Second}) // of another start
	sick.Restore(k)
	if x := sick.Explain(PlacementRequest{Service: "s", Cores: 1, Memory: 1}); x.Ejected != 1 || x.Eligible != 1 {
		t.Errorf("%+v", x)
	}
}

// What becomes of bids and probes that went to an earlier start tells nothing of the one that the list names now.
func TestNewStart(t *testing.T) {
	for _, tc := range []struct {
		name   string
		events []Event
	}{
		{"containers lost with it", []Event{AttemptAccepted{ID: "x"}, AttemptAccepted{ID: "y"}, AttemptEnded{ID: "x", Final: true, Outcome: OutcomeLost},
			AttemptEnded{ID: "y", Final: true, Outcome: OutcomeLost}}},
		{"bids cut short", []Event{AttemptEnded{ID: "x", Outcome: OutcomeLost}, AttemptEnded{ID: "y", Outcome: OutcomeLost}}},
		{"a probe that stays unanswered", []Event{ProbeCompleted{Machine: "a", Outcome: OutcomeTimedOut}, ProbeCompleted{Machine: "a", Outcome: OutcomeTimedOut}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tm := testConfig(Idempotent)
			tm.SlowStartPeriod = 0
			p := testScheduler(tm)
			for _, id := range []ContainerID{"x", "y"} {
				submit(p, Second, id, "s")
				p.moveAttempt(id, "a")
			}
			p.machines["a"].probeSentAt = Second
			p.Handle(3*Second, []Event{MachineListUpdate{Mode: DeltaUpdate, Entries: []MachineEntry{{Machine: "a", StartedAt: 2 * Second}}}})
			for _, e := range tc.events {
				p.Handle(3*Second, []Event{e})
			}
			if m := p.machines["a"]; m.outlierLogOdds > 0 || m.ejectedUntil > 0 {
				t.Errorf("log odds %.1f, out until %d", m.outlierLogOdds, m.ejectedUntil)
			}
		})
	}
	t.Run("a probe that could not be sent", func(t *testing.T) {
		p := testScheduler(testConfig(Idempotent))
		for range 3 {
			p.machines["a"].probeSentAt = Second
			p.Handle(3*Second, []Event{ProbeCompleted{Machine: "a", Outcome: OutcomeNotSent}})
		}
		if m := p.machines["a"]; m.outlierLogOdds > 0 || m.probeSentAt > 0 {
			t.Errorf("log odds %.1f, probing %v", m.outlierLogOdds, m.probeSentAt)
		}
	})
}
