package overload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"glenport/scheduler"
)

// A client that sends a tenth of all requests is found among 100,000 other clients.
func TestHeavyHitterIsFoundInFixedMemory(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	h, now := NewHeavyHitters(256), scheduler.Time(0)
	ratio := 0.0
	for range 200_000 {
		c := fmt.Sprint("c", r.IntN(100_000))
		if r.IntN(10) == 0 {
			c = "heavy"
		}
		if x := h.Record(now, c); c == "heavy" {
			ratio = x
		}
	}
	if h.Len() != 256 || ratio < heavyHitterFactor {
		t.Errorf("%d counters, the heavy hitter is %.1f times the others", h.Len(), ratio)
	}
	if now += 100 * countDecayTime; h.Record(now, "heavy") > heavyHitterFactor {
		t.Error("old counts do not decay")
	}
}

// BenchmarkHeavyHitters compares a fixed number of counters with a map of all 100,000 clients.
func BenchmarkHeavyHitters(b *testing.B) {
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
