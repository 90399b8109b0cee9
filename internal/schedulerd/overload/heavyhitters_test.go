package overload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"glenport/scheduler"
)

// One client that sends as much as a tenth of all is found among a hundred thousand others.
func TestHeavyHitterIsFoundInFixedMemory(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	h, now := NewHeavyHitters(256), scheduler.Time(0)
	worst := 0.0
	for range 200_000 {
		c := fmt.Sprint("c", r.IntN(100_000))
		if r.IntN(10) == 0 {
			c = "heavy"
		}
		if x := h.Record(now, c); c == "heavy" {
			worst = x
		}
	}
	if h.Len() != 256 || worst < heavyHitterFactor {
		t.Errorf("%d counters, the heavy hitter is %.1f times the others", h.Len(), worst)
	}
	if now += 100 * countDecayTime; h.Record(now, "heavy") > heavyHitterFactor {
		t.Error("old counts do not decay")
	}
}

// A hundred thousand clients cost as much as ten: compared with a map of all.
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
