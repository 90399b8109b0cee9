package eventloop

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// The wheel against a plain list: every timer runs once, in the first Advance to its moment or later, never
// before, in order of time; Next is never late.
func TestWheelAgainstList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := Tick(rapid.Int64Range(0, 1<<40).Draw(t, "start"))
		w := NewTimerWheel(now)
		type item struct {
			at    Tick
			timer *Timer
		}
		var set []*item
		last := Tick(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				i := &item{at: now + Tick(rapid.Int64Range(-5, 1<<rapid.IntRange(3, 38).Draw(t, "size")).Draw(t, "span"))}
				i.timer = w.Schedule(i.at, func() {
					if now < i.at {
						t.Fatalf("ran at %d, due at %d", now, i.at)
					}
					if i.at < last {
						t.Fatalf("%d ran after %d", i.at, last)
					}
					if i.at = max(i.at, 0); i.timer == nil {
						t.Fatal("ran twice")
					}
					last, i.timer = i.at, nil
				})
				i.at = i.timer.expiry
				set = append(set, i)
			case 2:
				if len(set) > 0 {
					i := set[rapid.IntRange(0, len(set)-1).Draw(t, "which")]
					if i.timer != nil && !w.Cancel(i.timer) {
						t.Fatal("a set timer could not be cancelled")
					}
					i.timer = nil
				}
			case 3:
				now += Tick(rapid.Int64Range(0, 1<<rapid.IntRange(1, 38).Draw(t, "size")).Draw(t, "on"))
				last = 0
				w.Advance(now)
			}
			left, first := 0, Tick(1)<<62
			for _, i := range set {
				if i.timer != nil {
					left++
					first = min(first, i.at)
					if i.at <= now {
						t.Fatalf("due at %d, not run by %d", i.at, now)
					}
				}
			}
			if next, ok := w.NextExpiry(); ok != (left > 0) || ok && next > first || w.Len() != left {
				t.Fatalf("next %d %t with %d left, the first at %d; %d counted", next, ok, left, first, w.Len())
			}
		}
	})
}

func TestWheelFromWithin(t *testing.T) {
	w, ran := NewTimerWheel(0), ""
	var b *Timer
	w.Schedule(5, func() {
		ran += "a"
		if !w.Cancel(b) {
			t.Error("b was not to be cancelled")
		}
		w.Schedule(5, func() { ran += "c" })
	})
	b = w.Schedule(5, func() { ran += "b" })
	w.Advance(5)
	if ran != "a" {
		t.Errorf("ran %q by 5", ran)
	}
	if w.Advance(6); ran != "ac" || w.Len() != 0 {
		t.Errorf("ran %q by 6, %d left", ran, w.Len())
	}
}

type heaped struct {
	at    Tick
	index int
}
type timerHeap []*heaped

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *timerHeap) Push(x any) {
	x.(*heaped).index = len(*h)
	*h = append(*h, x.(*heaped))
}
func (h *timerHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// One step is what a bid does: a timer is set, and one of those set before is cancelled, as most bids are
// answered before their time is up. The span is up to 6 s.
func BenchmarkTimers(b *testing.B) {
	for _, n := range []int{1e3, 1e4, 1e5, 1e6} {
		b.Run(fmt.Sprintf("wheel/%d", n), func(b *testing.B) {
			rng, w, now := rand.New(rand.NewPCG(1, 2)), NewTimerWheel(0), Tick(0)
			timers := make([]*Timer, n)
			for i := range timers {
				timers[i] = w.Schedule(Tick(rng.IntN(60000)), func() {})
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				w.Cancel(timers[i%n])
				timers[i%n] = w.Schedule(now+Tick(rng.IntN(60000)), func() {})
				if i%64 == 0 {
					now++
					w.Advance(now)
				}
			}
		})
		b.Run(fmt.Sprintf("heap/%d", n), func(b *testing.B) {
			rng, now := rand.New(rand.NewPCG(1, 2)), Tick(0)
			var h timerHeap
			timers := make([]*heaped, n)
			for i := range timers {
				timers[i] = &heaped{at: Tick(rng.IntN(60000))}
				heap.Push(&h, timers[i])
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if t := timers[i%n]; t.index >= 0 {
					heap.Remove(&h, t.index)
				}
				timers[i%n] = &heaped{at: now + Tick(rng.IntN(60000))}
				heap.Push(&h, timers[i%n])
				if i%64 == 0 {
					for now++; len(h) > 0 && h[0].at <= now; {
						heap.Pop(&h).(*heaped).index = -1
					}
				}
			}
		})
	}
}
