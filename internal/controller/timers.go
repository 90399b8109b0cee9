package controller

import (
	"container/heap"

	"glenport/scheduler"
)

// noTimer as a delay says that a state lasts until an event ends it.
const noTimer scheduler.Time = -1

// timerQueue holds when the next step of each replica is due, and when the caller was asked to call.
type timerQueue struct {
	clock    *clock
	sequence *sequence
	heap     timerHeap           // void timers stay in it until they are due
	current  map[*replica]uint64 // the sequence number of a replica's timer; all others of it are void
	wakeupAt scheduler.Time      // of the last SetTimer
}

func newTimerQueue(c *clock, s *sequence) *timerQueue {
	return &timerQueue{clock: c, sequence: s, current: map[*replica]uint64{}}
}

// set makes the next step of a replica due after a delay, at least one unit of time from now, and returns that time; 0
// for noTimer. Earlier timers of it are void.
func (q *timerQueue) set(r *replica, delay scheduler.Time) scheduler.Time {
	q.cancel(r)
	if delay == noTimer {
		return 0
	}
	t := timer{at: q.clock.now() + max(1, delay), sequence: q.sequence.next(), replica: r}
	q.current[r] = t.sequence
	heap.Push(&q.heap, t)
	return t.at
}

func (q *timerQueue) cancel(r *replica) { delete(q.current, r) }

// nextDue returns the next replica whose step is due, nil where there is none.
func (q *timerQueue) nextDue() *replica {
	for len(q.heap) > 0 && q.heap[0].at <= q.clock.now() {
		t := q.heap[0]
		heap.Pop(&q.heap)
		if q.current[t.replica] == t.sequence {
			q.cancel(t.replica)
			return t.replica
		}
	}
	return nil
}

// wakeup returns after which delay the caller has to call for the next step, or for what else is due at a time (0:
// nothing); ok is false where an earlier wakeup covers it.
func (q *timerQueue) wakeup(other scheduler.Time) (after scheduler.Time, ok bool) {
	next := other
	if len(q.heap) > 0 && (next == 0 || q.heap[0].at < next) {
		next = q.heap[0].at
	}
	now := q.clock.now()
	if next <= 0 || (q.wakeupAt > now && next >= q.wakeupAt) {
		return 0, false
	}
	q.wakeupAt = next
	return next - now, true
}

// timer is when the next step of a replica is due.
type timer struct {
	at       scheduler.Time
	sequence uint64 // timers of the same time fire in the order in which they were set
	replica  *replica
}

// timerHeap holds the earliest timer first, for container/heap.
type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is called by container/heap alone.
func (h *timerHeap) Push(x any) {
	if t, ok := x.(timer); ok {
		*h = append(*h, t)
	}
}

// Pop is called by container/heap alone.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
