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

func bid(key string, workload int, m scheduler.MachineID, n uint64) Held {
	return Held{Ask: scheduler.PlacementRequest{ID: scheduler.ContainerID(key), IdempotencyKey: key, WorkloadClass: workload}, Machine: m, Life: 4, Bid: n}
}

func machines(all ...scheduler.MachineID) Named { return Named{Machines: all} }

func show(actions []Action) string {
	var all []string
	for _, a := range actions {
		switch a := a.(type) {
		case Reach:
			all = append(all, "reach "+string(a.Machine))
		case Settled:
			all = append(all, fmt.Sprint("settled ", a.Held.Bid))
		case Sure:
			all = append(all, "sure")
		}
	}
	return strings.Join(all, ", ")
}

// Each case is a history; then an ask that came before, of key k, waits or goes.
func TestRound(t *testing.T) {
	for _, tc := range []struct {
		name     string
		log      Log
		steps    []any // an event or a moment
		workload int
		wait     bool
		last     string // what the last step led to
	}{
		{"no log, nobody told", NoLog, nil, 2, true, ""},
		{"no log, all told", NoLog, []any{machines("m"), Spoke{"m"}}, 2, false, "sure"},
		{"no log, time is up", NoLog, []any{machines("m"), 3 * sec, Passed{}}, 2, false, "sure"},
		{"no log, reissuable", NoLog, nil, 0, false, ""},
		// Crash between a bid sent and its end written: it may have run.
		{"logged", Written, []any{Logged{bid("k", 2, "m", 9)}}, 2, true, ""},
		{"logged, long ago", Written, []any{Logged{bid("k", 2, "m", 9)}, 500 * sec, Passed{}}, 2, true, "sure"},
		{"logged, its machine told", Written, []any{Logged{bid("k", 2, "m", 9)}, machines("m"), Spoke{"m"}}, 2, false, "settled 9, sure"},
		{"logged, another told", Written, []any{Logged{bid("k", 2, "m", 9)}, machines("m", "n"), Spoke{"n"}}, 2, true, ""},
		{"logged, its machine is gone", Written, []any{Logged{bid("k", 2, "m", 9)}, Unnamed{"m"}}, 2, false, "settled 9"},
		{"logged, a fresh list has it no more", Written, []any{Logged{bid("k", 2, "m", 9)}, Named{[]scheduler.MachineID{"n"}, true}}, 2, false,
			"settled 9, reach n"},
		{"logged, the list of old has it no more", Written, []any{Logged{bid("k", 2, "m", 9)}, machines("n")}, 2, true, "reach n"},
		{"logged, numbered", Written, []any{Logged{bid("k", 1, "m", 9)}}, 1, true, ""},
		{"logged, two bids, one told", Written, []any{Logged{bid("k", 2, "m", 9)}, Logged{bid("k", 2, "n", 10)}, machines("m", "n"),
			Spoke{"m"}}, 2, true, "settled 9"},
		{"those that may run are asked first", Written, []any{Logged{bid("k", 2, "n", 9)}, machines("m", "n")}, 2, true, "reach n, reach m"},
		{"all is written, another key", Written, []any{Logged{bid("x", 2, "m", 9)}}, 2, false, ""},
		{"all is written, numbered", Written, []any{machines("m")}, 1, false, "reach m"},
		// A system that stopped has lost what was written and not synced: that is numbered work only.
		{"synced, at-most-once", Synced, []any{machines("m")}, 2, false, "reach m"},
		{"synced, numbered", Synced, []any{machines("m"), 9 * sec, Passed{}}, 1, true, "sure"},
		{"synced, numbered, all told", Synced, []any{machines("m"), Spoke{"m"}}, 1, false, "sure"},
		{"of this life, at-most-once", Written, []any{1 * sec, Unheard{bid("k", 2, "m", 9)}}, 2, true, "reach m"},
		{"of this life, numbered: its group and window hold", Written, []any{1 * sec, Unheard{bid("k", 1, "m", 9)}}, 1, false, "reach m"},
		// Without this the inquiry after a bid of this life stood until the link broke, and numbered work waited with it.
		{"a bid's end over a standing link ends its inquiry", Synced, []any{machines("m", "n"), Spoke{"m"}, Unheard{bid("x", 2, "m", 9)},
			Told{bid("x", 2, "m", 9)}, Spoke{"n"}}, 1, false, "sure"},
		{"one that cannot be asked is asked later", Written, []any{machines("m"), NoLink{"m"}, 2 * sec, Passed{}}, 2, false, "reach m"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r, now, got := NewRound(tc.log, effects), scheduler.Time(0), ""
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
			if why := r.Wait(scheduler.PlacementRequest{ID: "b", IdempotencyKey: "k", WorkloadClass: tc.workload, ClientRetry: true}); (why != "") != tc.wait {
				t.Errorf("waits: %q", why)
			}
		})
	}
}

// However many machines there are, few are asked in one step.
func TestPace(t *testing.T) {
	r := NewRound(NoLog, effects)
	var all []scheduler.MachineID
	for i := range 1000 {
		all = append(all, scheduler.MachineID(fmt.Sprintf("m%04d", i)))
	}
	now, asked := scheduler.Time(0), 0
	for out := r.Handle(0, Named{Machines: all}); asked < 1000; out = r.Handle(now, Passed{}) {
		n := 0
		for _, a := range out {
			if _, ok := a.(Reach); ok {
				n++
			}
		}
		if n > reachAtOnce {
			t.Fatalf("%d asked in one step", n)
		}
		asked += n
		if next := r.Next(); next > now {
			now = next
		} else if asked < 1000 {
			t.Fatalf("%d asked, and no time is set", asked)
		}
	}
	if now > 1000/reachAtOnce*reachEvery {
		t.Errorf("asked until %d", now)
	}
}

// Drawn histories: a key with a bid that may run is never let out before that bid's machine told or is gone, and
// the tables empty.
func TestDrawn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := Log(rapid.IntRange(0, 2).Draw(t, "log"))
		r := NewRound(log, effects)
		names := []scheduler.MachineID{"m", "n", "o"}
		now, n := scheduler.Time(0), uint64(0)
		open := map[uint64]Held{}
		r.Handle(0)
		for range 40 {
			m := rapid.SampledFrom(names).Draw(t, "machine")
			key := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "key")
			var e Event = Passed{}
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				if n++; now == 0 {
					e = Logged{bid(key, 2, m, n)}
				} else {
					e = Unheard{bid(key, 2, m, n)}
				}
				open[n] = bid(key, 2, m, n)
			case 1:
				e = Spoke{m}
				for b, h := range open {
					if h.Machine == m {
						delete(open, b)
					}
				}
			case 2:
				e = NoLink{m}
			case 3:
				e = Broke{m}
			case 4:
				e = Named{Machines: names}
			case 5:
				for b, h := range open {
					if h.Machine == m && h.Ask.IdempotencyKey == key {
						e = Told{h}
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
					may = may || h.Ask.IdempotencyKey == key
				}
				if may && r.Wait(scheduler.PlacementRequest{IdempotencyKey: key, WorkloadClass: 2, ClientRetry: true}) == "" {
					t.Fatalf("key %s is let out, and a bid of it may run", key)
				}
			}
		}
		for _, m := range names {
			r.Handle(now, Unnamed{m})
		}
		if r.Doubts()+len(r.asking) != 0 {
			t.Fatalf("%d doubts, %d inquiries left", r.Doubts(), len(r.asking))
		}
	})
}

func TestResume(t *testing.T) {
	for _, tc := range []struct {
		phase Phase
		n     int
		want  Step
		after scheduler.Time
	}{
		{Wanted, 0, Ask, 0}, {Wanted, 4000, Ask, 2 * sec}, {Sent, 0, Look, 0}, {Ran, 2000, Look, sec},
		{Kept, 0, Guard, 0}, {Over, 9, Leave, 0},
	} {
		if got, after := Resume(tc.phase, tc.n); got != tc.want || after != tc.after {
			t.Errorf("%d, %d: %d after %d", tc.phase, tc.n, got, after)
		}
	}
}
