package overload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"glenport/scheduler"

	"pgregory.net/rapid"
)

const (
	ms  = scheduler.Millisecond
	sec = scheduler.Second
)

func terms() Config {
	return Config{Seed: 1, MaxOpen: 100_000, WorkloadClasses: []WorkloadClass{{300 * ms, 1}, {300 * ms, 2}, {500 * ms, 4}}}
}

func take(t testing.TB, d *Limiter, now scheduler.Time, e RequestReceived) (bool, Shed) {
	for _, a := range d.Handle(now, e) {
		switch a := a.(type) {
		case Admit:
			return true, Shed{}
		case Shed:
			return false, a
		}
	}
	t.Fatal("no answer")
	return false, Shed{}
}

// narrowed is a door behind which starts have become slow: each asks is open for two seconds.
func narrowed(t testing.TB) (*Limiter, scheduler.Time) {
	d, now := New(terms()), scheduler.Time(0)
	for range 200 { // calm
		now += 10 * ms
		take(t, d, now, RequestReceived{Client: "a"})
		d.Handle(now, RequestStarted{0, 60 * ms})
	}
	for i := range 3000 {
		now += 2 * ms
		take(t, d, now, RequestReceived{Client: fmt.Sprint(i % 50)})
		if i%4 == 0 {
			d.Handle(now, RequestStarted{0, 2 * sec})
		}
	}
	return d, now
}

func TestDoor(t *testing.T) {
	t.Run("calm takes all", func(t *testing.T) {
		d, now := New(terms()), scheduler.Time(0)
		for i := range 20_000 {
			now += ms
			if ok, s := take(t, d, now, RequestReceived{Client: fmt.Sprint(i % 7), WorkloadClass: i % 3, ClientRetry: i%2 == 0}); !ok {
				t.Fatalf("turned away: %+v", s)
			}
			d.Handle(now, RequestStarted{i % 3, 60 * ms})
		}
	})
	t.Run("slow starts narrow it", func(t *testing.T) {
		d, now := narrowed(t)
		ok, s := take(t, d, now, RequestReceived{Client: "a"})
		if ok || s.Reason != ReasonLimitReached || d.Limit() > 500 {
			t.Errorf("%v %+v, limit %.0f, open %d", ok, s, d.Limit(), d.Open())
		}
	})
	t.Run("and gain passes longer", func(t *testing.T) {
		d, now := narrowed(t)
		for range 2000 {
			if low, _ := take(t, d, now, RequestReceived{Client: "a"}); low {
				continue
			}
			high, _ := take(t, d, now, RequestReceived{Client: "a", WorkloadClass: 2})
			if !high && float64(d.Open()) < d.Limit() {
				t.Errorf("high gain is turned away with %d open of %.0f", d.Open(), d.Limit())
			}
			if high {
				return
			}
			d.Handle(now, RequestFailed{0})
		}
		t.Error("high gain never passed where low did not")
	})
	t.Run("fast starts widen it again", func(t *testing.T) {
		d, now := narrowed(t)
		for range 4000 {
			now += 5 * ms
			take(t, d, now, RequestReceived{Client: "a"})
			d.Handle(now, RequestStarted{0, 40 * ms})
		}
		if ok, s := take(t, d, now, RequestReceived{Client: "a"}); !ok {
			t.Errorf("still turned away: %+v, limit %.0f, open %d", s, d.Limit(), d.Open())
		}
	})
	// Those who obey come back one after another at the pace of the work, not together.
	t.Run("appointments are a line", func(t *testing.T) {
		d, now := narrowed(t)
		var all []float64
		for range 300 {
			if ok, s := take(t, d, now, RequestReceived{Client: "a"}); !ok {
				all = append(all, float64(s.RetryAfter)/float64(sec))
				if s.RetryAfter < minRetryAfter || s.RetryAfter > maxRetryAfter+maxRetryAfter/2 {
					t.Fatalf("hold off %d", s.RetryAfter)
				}
			}
		}
		most := 0
		for i := range all {
			n := 0
			for _, x := range all {
				if x >= all[i] && x < all[i]+0.5 {
					n++
				}
			}
			most = max(most, n)
		}
		if most > len(all)/3 {
			t.Errorf("%d of %d return in one half second", most, len(all))
		}
	})
}

// Without a budget repeats crowd out first tries.
func TestRepeatsHaveABudget(t *testing.T) {
	d, now := narrowed(t)
	for ok := true; ok; { // until it is full
		ok, _ = take(t, d, now, RequestReceived{Client: "a"})
	}
	took := 0
	for i := range 1000 {
		d.Handle(now, RequestFailed{0}) // room for one
		if ok, _ := take(t, d, now, RequestReceived{Client: fmt.Sprint(took), ClientRetry: true}); ok {
			took++
		} else if ok, s := take(t, d, now, RequestReceived{Client: fmt.Sprint("f", i%50)}); !ok {
			t.Fatalf("a first try is turned away where a repeat's room was: %+v", s)
		}
	}
	if most := maxRetryTokens + 1000*retryBudgetRatio; float64(took) > most {
		t.Errorf("%d repeats were let in, beside 1000 first tries; open %d, limit %.0f, tokens %.1f", took, d.Open(), d.Limit(), d.retryTokens)
	}
}

// One client that sends a hundred times its usual is found whatever the others do, in a fixed room.
func TestHeavies(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	h, exact, now := NewHeavyHitters(256), map[string]int{}, scheduler.Time(0)
	worst := 0.0
	for range 200_000 {
		c := fmt.Sprint("c", r.IntN(100_000))
		if r.IntN(10) == 0 {
			c = "heavy"
		}
		exact[c]++
		if x := h.Record(now, c); c == "heavy" {
			worst = x
		}
	}
	if h.Len() != 256 || worst < heavyHitterFactor {
		t.Errorf("%d counters, the heavy one is %.1f times the others", h.Len(), worst)
	}
	if now += 100 * countDecayTime; h.Record(now, "heavy") > heavyHitterFactor {
		t.Error("old counts do not fade")
	}
}

// A hundred thousand clients cost as much as ten: compared with a plain table.
func BenchmarkClients(b *testing.B) {
	names := make([]string, 100_000)
	for i := range names {
		names[i] = fmt.Sprint("client-", i)
	}
	b.Run("space-saving, 256 counters", func(b *testing.B) {
		b.ReportAllocs()
		h := NewHeavyHitters(256)
		for i := range b.N {
			h.Record(scheduler.Time(i), names[i*7919%len(names)])
		}
	})
	b.Run("a map of all", func(b *testing.B) {
		b.ReportAllocs()
		m := map[string]float64{}
		for i := range b.N {
			m[names[i*7919%len(names)]] += math.Exp(float64(i) / 1e9)
		}
	})
}

// Each ask gets one answer, equal histories equal ones, and what is open never outgrows the limit that there was.
func TestDrawn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, now, open := New(terms()), New(terms()), scheduler.Time(0), 0
		for range 200 {
			now += scheduler.Time(rapid.IntRange(0, 2000).Draw(t, "on"))
			var e Event = RequestReceived{Client: fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "client")), WorkloadClass: rapid.IntRange(0, 2).Draw(t, "workload"),
				ClientRetry: rapid.Bool().Draw(t, "again")}
			if open > 0 && rapid.Bool().Draw(t, "ends") {
				e = RequestStarted{rapid.IntRange(0, 2).Draw(t, "workload"), scheduler.Time(rapid.IntRange(1, 60_000).Draw(t, "took"))}
				open--
			}
			limit := a.Limit()
			got, other := fmt.Sprint(a.Handle(now, e)), fmt.Sprint(b.Handle(now, e))
			if got != other {
				t.Fatalf("%s and %s", got, other)
			}
			if _, is := e.(RequestReceived); is {
				if a.Open() > open {
					open++
					if float64(open) > limit+1 {
						t.Fatalf("%d open, the limit was %.0f", open, limit)
					}
				} else if len(got) < 3 {
					t.Fatalf("no answer: %s", got)
				}
			}
		}
	})
}

// A storm at the moment a placer restarts: the door of its next life is as narrow as the last one's, the less so the
// older that is, and knows what calm was like.
func TestRecalled(t *testing.T) {
	before, now := narrowed(t)
	for _, tc := range []struct {
		weight float64
		least  float64 // times the limit before
		most   float64
	}{{1, 1, 1}, {0.5, 2, 2}, {0, 100, math.Inf(1)}} {
		after := New(terms())
		after.Restore(before.Snapshot(), tc.weight)
		if x := after.Limit() / before.Limit(); x < tc.least-0.01 || x > tc.most+0.01 {
			t.Errorf("weight %.1f: the limit is %.2f times as wide", tc.weight, x)
		}
		if got, want := after.Snapshot().BaselineLatency[0], before.Snapshot().BaselineLatency[0]; got != want {
			t.Errorf("weight %.1f: calm is %.2f, was %.2f", tc.weight, got, want)
		}
		if tc.weight < 1 {
			continue
		}
		shed := 0
		for i := range 500 {
			if ok, _ := take(t, after, now, RequestReceived{Client: fmt.Sprint(i % 50)}); !ok {
				shed++
			}
		}
		if shed == 0 {
			t.Error("a new life takes in all that the last one turned away")
		}
	}
	other := New(Config{MaxOpen: 10, WorkloadClasses: []WorkloadClass{{sec, 1}}})
	if other.Restore(before.Snapshot(), 1); other.Limit() != 10 {
		t.Error("what was learned of other workloads is believed")
	}
}
