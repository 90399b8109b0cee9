package recovery

import (
	"fmt"
	"strings"
	"testing"

	"glenport/scheduler"

	"pgregory.net/rapid"
)

const sec = scheduler.Second

var effects = []scheduler.Idempotency{scheduler.Idempotent, scheduler.IdempotentWithKey, scheduler.AtMostOnce}

func bid(key string, workload int, m scheduler.MachineID, n uint64) Attempt {
	return Attempt{Request: scheduler.PlacementRequest{ID: scheduler.ContainerID(key), IdempotencyKey: key, WorkloadClass: workload}, Machine: m, Incarnation: 4, Number: n}
}

func machines(all ...scheduler.MachineID) MachinesListed { return MachinesListed{Machines: all} }

func show(actions []Action) string {
	var all []string
	for _, a := range actions {
		switch a := a.(type) {
		case ConnectMachine:
			all = append(all, "reach "+string(a.Machine))
		case AttemptResolved:
			all = append(all, fmt.Sprint("settled ", a.Attempt.Number))
		case RecoveryComplete:
			all = append(all, "sure")
		}
	}
	return strings.Join(all, ", ")
}

// Each case is a history; then an ask that came before, of key k, waits or goes.
func TestRound(t *testing.T) {
	for _, tc := range []struct {
		name     string
		log      LogCoverage
		steps    []any // an event or a moment
		workload int
		wait     bool
		last     string // what the last step led to
	}{
		{"no log, nobody told", LogNone, nil, 2, true, ""},
		{"no log, all told", LogNone, []any{machines("m"), MachineReported{"m"}}, 2, false, "sure"},
		{"no log, time is up", LogNone, []any{machines("m"), 3 * sec, Tick{}}, 2, false, "sure"},
		{"no log, reissuable", LogNone, nil, 0, false, ""},
		// Crash between a bid sent and its end written: it may have run.
		{"logged", LogComplete, []any{AttemptRestored{bid("k", 2, "m", 9)}}, 2, true, ""},
		{"logged, long ago", LogComplete, []any{AttemptRestored{bid("k", 2, "m", 9)}, 500 * sec, Tick{}}, 2, true, "sure"},
		{"logged, its machine told", LogComplete, []any{AttemptRestored{bid("k", 2, "m", 9)}, machines("m"), MachineReported{"m"}}, 2, false, "settled 9, sure"},
		{"logged, another told", LogComplete, []any{AttemptRestored{bid("k", 2, "m", 9)}, machines("m", "n"), MachineReported{"n"}}, 2, true, ""},
		{"logged, its machine is gone", LogComplete, []any{AttemptRestored{bid("k", 2, "m", 9)}, MachineRemoved{"m"}}, 2, false, "settled 9"},
		{"logged, a fresh list has it no more", LogComplete, []any{AttemptRestored{bid("k", 2, "m", 9)}, MachinesListed{[]scheduler.MachineID{"n"}, true}}, 2, false,
			"settled 9, reach n"},
		{"logged, the list of old has it no more", LogComplete, []any{AttemptRestored{bid("k", 2, "m", 9)}, machines("n")}, 2, true, "reach n"},
		{"logged, numbered", LogComplete, []any{AttemptRestored{bid("k", 1, "m", 9)}}, 1, true, ""},
		{"logged, two bids, one told", LogComplete, []any{AttemptRestored{bid("k", 2, "m", 9)}, AttemptRestored{bid("k", 2, "n", 10)}, machines("m", "n"),
			MachineReported{"m"}}, 2, true, "settled 9"},
		{"those that may run are asked first", LogComplete, []any{AttemptRestored{bid("k", 2, "n", 9)}, machines("m", "n")}, 2, true, "reach n, reach m"},
		{"all is written, another key", LogComplete, []any{AttemptRestored{bid("x", 2, "m", 9)}}, 2, false, ""},
		{"all is written, numbered", LogComplete, []any{machines("m")}, 1, false, "reach m"},
		// A system that stopped has lost what was written and not synced: that is numbered work only.
		{"synced, at-most-once", LogSynced, []any{machines("m")}, 2, false, "reach m"},
		{"synced, numbered", LogSynced, []any{machines("m"), 9 * sec, Tick{}}, 1, true, "sure"},
		{"synced, numbered, all told", LogSynced, []any{machines("m"), MachineReported{"m"}}, 1, false, "sure"},
		{"of this life, at-most-once", LogComplete, []any{1 * sec, AttemptOutcomeUnknown{bid("k", 2, "m", 9)}}, 2, true, "reach m"},
		{"of this life, numbered: its group and window hold", LogComplete, []any{1 * sec, AttemptOutcomeUnknown{bid("k", 1, "m", 9)}}, 1, false, "reach m"},
		// Without this the inquiry after a bid of this life stood until the link broke, and numbered work waited with it.
		{"a bid's end over a standing link ends its inquiry", LogSynced, []any{machines("m", "n"), MachineReported{"m"}, AttemptOutcomeUnknown{bid("x", 2, "m", 9)},
			AttemptNotRunning{bid("x", 2, "m", 9)}, MachineReported{"n"}}, 1, false, "sure"},
		{"one that cannot be asked is asked later", LogComplete, []any{machines("m"), ConnectFailed{"m"}, 2 * sec, Tick{}}, 2, false, "reach m"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r, now, got := NewTracker(tc.log, effects), scheduler.Time(0), ""
			r.Handle(0)
			for _, s := range tc.steps {
				switch s := s.(type) {
				case scheduler.Time:
					now = s
				case Event:
					got = show(r.Handle(now, s))
				}
			}
			if got != tc.last {
				t.Errorf("%q, want %q", got, tc.last)
			}
			if why := r.WaitReason(scheduler.PlacementRequest{ID: "b", IdempotencyKey: "k", WorkloadClass: tc.workload, ClientRetry: true}); (why != "") != tc.wait {
				t.Errorf("waits: %q", why)
			}
		})
	}
}

// However many machines there are, few are asked in one step.
func TestPace(t *testing.T) {
	r := NewTracker(LogNone, effects)
	var all []scheduler.MachineID
	for i := range 1000 {
		all = append(all, scheduler.MachineID(fmt.Sprintf("m%04d", i)))
	}
	now, asked := scheduler.Time(0), 0
	for out := r.Handle(0, MachinesListed{Machines: all}); asked < 1000; out = r.Handle(now, Tick{}) {
		n := 0
		for _, a := range out {
			if _, ok := a.(ConnectMachine); ok {
				n++
			}
		}
		if n > queryBatch {
			t.Fatalf("%d asked in one step", n)
		}
		asked += n
		if next := r.NextTimer(); next > now {
			now = next
		} else if asked < 1000 {
			t.Fatalf("%d asked, and no time is set", asked)
		}
	}
	if now > 1000/queryBatch*queryInterval {
		t.Errorf("asked until %d", now)
	}
}

// Drawn histories: a key with a bid that may run is never let out before that bid's machine told or is gone, and
// the tables empty.
func TestDrawn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := LogCoverage(rapid.IntRange(0, 2).Draw(t, "log"))
		r := NewTracker(log, effects)
		names := []scheduler.MachineID{"m", "n", "o"}
		now, n := scheduler.Time(0), uint64(0)
		open := map[uint64]Attempt{}
		r.Handle(0)
		for range 40 {
			m := rapid.SampledFrom(names).Draw(t, "machine")
			key := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "key")
			var e Event = Tick{}
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				if n++; now == 0 {
					e = AttemptRestored{bid(key, 2, m, n)}
				} else {
					e = AttemptOutcomeUnknown{bid(key, 2, m, n)}
				}
				open[n] = bid(key, 2, m, n)
			case 1:
				e = MachineReported{m}
				for b, h := range open {
					if h.Machine == m {
						delete(open, b)
					}
				}
			case 2:
				e = ConnectFailed{m}
			case 3:
				e = MachineDisconnected{m}
			case 4:
				e = MachinesListed{Machines: names}
			case 5:
				for b, h := range open {
					if h.Machine == m && h.Request.IdempotencyKey == key {
						e = AttemptNotRunning{h}
						delete(open, b)
						break
					}
				}
			case 6:
				now += scheduler.Time(rapid.IntRange(1, 40_000).Draw(t, "on"))
			}
			r.Handle(now, e)
			for _, key := range []string{"x", "y"} {
				may := false
				for _, h := range open {
					may = may || h.Request.IdempotencyKey == key
				}
				if may && r.WaitReason(scheduler.PlacementRequest{IdempotencyKey: key, WorkloadClass: 2, ClientRetry: true}) == "" {
					t.Fatalf("key %s is let out, and a bid of it may run", key)
				}
			}
		}
		for _, m := range names {
			r.Handle(now, MachineRemoved{m})
		}
		if r.UnresolvedKeys()+len(r.queries) != 0 {
			t.Fatalf("%d doubts, %d inquiries left", r.UnresolvedKeys(), len(r.queries))
		}
	})
}

func TestResume(t *testing.T) {
	for _, tc := range []struct {
		phase ContainerPhase
		n     int
		want  ResumeStep
		after scheduler.Time
	}{
		{PhasePending, 0, StepRequest, 0}, {PhasePending, 4000, StepRequest, 2 * sec}, {PhaseRequested, 0, StepLookup, 0}, {PhaseRunning, 2000, StepLookup, sec},
		{PhaseFencing, 0, StepFence, 0}, {PhaseFinished, 9, StepNone, 0},
	} {
		if got, after := Resume(tc.phase, tc.n); got != tc.want || after != tc.after {
			t.Errorf("%d, %d: %d after %d", tc.phase, tc.n, got, after)
		}
	}
}
