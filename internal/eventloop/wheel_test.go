package eventloop

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"glenport/internal/testutil"
)

// wheelModel is a wheel and a list of timers that serves as its reference model.
type wheelModel struct {
	t     *rapid.T
	wheel *TimerWheel
	now   Tick
	last  Tick // expiry of the last timer that ran in this Advance
	items []*wheelItem
}

type wheelItem struct {
	expiry Tick
	timer  *Timer // nil: the timer has run or was cancelled
}

func (m *wheelModel) schedule() {
	delay := rapid.Int64Range(-5, 1<<rapid.IntRange(3, 38).Draw(m.t, "size")).Draw(m.t, "delay")
	item := &wheelItem{}
	item.timer = m.wheel.Schedule(m.now+Tick(delay), func() { m.run(item) })
	item.expiry = item.timer.expiry
	m.items = append(m.items, item)
}

func (m *wheelModel) run(item *wheelItem) {
	testutil.Require(m.t, m.now >= item.expiry, "ran at %d, expires at %d", m.now, item.expiry)
	testutil.Require(m.t, item.expiry >= m.last, "a timer of %d ran after one of %d", item.expiry, m.last)
	testutil.Require(m.t, item.timer != nil, "ran twice or after it was cancelled")
	m.last, item.timer = item.expiry, nil
}

func (m *wheelModel) cancel() {
	if len(m.items) == 0 {
		return
	}
	item := m.items[rapid.IntRange(0, len(m.items)-1).Draw(m.t, "which")]
	testutil.Require(m.t, item.timer == nil || m.wheel.Cancel(item.timer), "a scheduled timer could not be cancelled")
	item.timer = nil
}

func (m *wheelModel) advance() {
	m.now += Tick(rapid.Int64Range(0, 1<<rapid.IntRange(1, 38).Draw(m.t, "size")).Draw(m.t, "by"))
	m.last = 0
	m.wheel.Advance(m.now)
}

// verify compares the wheel with the list.
func (m *wheelModel) verify() {
	left, first := 0, Tick(1)<<62
	for _, item := range m.items {
		if item.timer == nil {
			continue
		}
		left++
		first = min(first, item.expiry)
		testutil.Require(m.t, item.expiry > m.now, "expires at %d, not run by %d", item.expiry, m.now)
	}
	if next, scheduled := m.wheel.NextExpiry(); scheduled != (left > 0) || scheduled && next > first ||
		m.wheel.Len() != left {
		m.t.Fatalf("next expiry %d (%t); %d timers left, the first expires at %d; Len is %d",
			next, scheduled, left, first, m.wheel.Len())
	}
}

// Every timer runs exactly once, in the first Advance to its expiry or later, in order of expiry. NextExpiry is never
// later than the first expiry.
func TestWheelRunsTimersAsItsModelDoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := Tick(rapid.Int64Range(0, 1<<40).Draw(t, "start"))
		m := &wheelModel{t: t, wheel: NewTimerWheel(start), now: start}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				m.schedule()
			case 2:
				m.cancel()
			case 3:
				m.advance()
			}
			m.verify()
		}
	})
}

func TestWheelCallbacksMayCancelAndSchedule(t *testing.T) {
	w, ran := NewTimerWheel(0), ""
	var b *Timer
	w.Schedule(5, func() {
		ran += "a"
		testutil.Expect(t, w.Cancel(b), "timer b could not be cancelled")
		w.Schedule(5, func() { ran += "c" })
	})
	b = w.Schedule(5, func() { ran += "b" })
	w.Advance(5)
	testutil.Expect(t, ran == "a", "ran %q by 5", ran)
	if w.Advance(6); ran != "ac" || w.Len() != 0 {
		t.Errorf("ran %q by 6, %d left", ran, w.Len())
	}
}

// heapTimer is a timer of timerHeap, the binary heap with which the benchmark compares the wheel.
type heapTimer struct {
	at    Tick
	index int
}

type timerHeap []*heapTimer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *timerHeap) Push(x any) {
	x.(*heapTimer).index = len(*h)
	*h = append(*h, x.(*heapTimer))
}

func (h *timerHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// Each step schedules a timer with a delay of up to 6 s and cancels an earlier one. This is the load of placement
// attempts, most of which are answered before their timeout.
func BenchmarkTimers(b *testing.B) {
	for _, n := range []int{1e3, 1e4, 1e5, 1e6} {
		b.Run(fmt.Sprintf("wheel/%d", n), func(b *testing.B) { benchmarkWheel(b, n) })
		b.Run(fmt.Sprintf("heap/%d", n), func(b *testing.B) { benchmarkHeap(b, n) })
	}
}

func benchmarkWheel(b *testing.B, n int) {
	b.Helper()
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
}

func benchmarkHeap(b *testing.B, n int) {
	b.Helper()
	rng, now := rand.New(rand.NewPCG(1, 2)), Tick(0)
	var h timerHeap
	timers := make([]*heapTimer, n)
	for i := range timers {
		timers[i] = &heapTimer{at: Tick(rng.IntN(60000))}
		heap.Push(&h, timers[i])
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if t := timers[i%n]; t.index >= 0 {
			heap.Remove(&h, t.index)
		}
		timers[i%n] = &heapTimer{at: now + Tick(rng.IntN(60000))}
		heap.Push(&h, timers[i%n])
		if i%64 == 0 {
			for now++; len(h) > 0 && h[0].at <= now; {
				heap.Pop(&h).(*heapTimer).index = -1
			}
		}
	}
}
