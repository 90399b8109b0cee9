package controller

import (
	"container/heap"

	"glenport/scheduler"
)

// noTimer, given as a delay, means that a state has no timer and lasts until another event.
const noTimer scheduler.Time = -1

// timerQueue holds the time at which the next step of each replica is due, and the time of the wakeup requested from
// the caller.
type timerQueue struct {
	clock       *clock
	sequence    *sequence
	heap        timerHeap           // cancelled and replaced timers stay in it until they are due
	validTimers map[*replica]uint64 // sequence number of the valid timer of a replica
	wakeupAt    scheduler.Time      // the time that the last SetTimer requested
}

func newTimerQueue(c *clock, s *sequence) *timerQueue {
	return &timerQueue{clock: c, sequence: s, validTimers: map[*replica]uint64{}}
}

// set makes the next step of a replica due after a delay, but at least one unit of time from now. It replaces an
// earlier timer of the replica. It returns the time at which the step is due, or 0 for noTimer.
func (q *timerQueue) set(r *replica, delay scheduler.Time) scheduler.Time {
	q.cancel(r)
	if delay == noTimer {
		return 0
	}
	t := timer{at: q.clock.now() + max(1, delay), sequence: q.sequence.next(), replica: r}
	q.validTimers[r] = t.sequence
	heap.Push(&q.heap, t)
	return t.at
}

func (q *timerQueue) cancel(r *replica) { delete(q.validTimers, r) }

// nextDue returns the next replica whose step is due, or nil if there is none.
func (q *timerQueue) nextDue() *replica {
	for len(q.heap) > 0 && q.heap[0].at <= q.clock.now() {
		t := q.heap[0]
		heap.Pop(&q.heap)
		if q.validTimers[t.replica] == t.sequence {
			q.cancel(t.replica)
			return t.replica
		}
	}
	return nil
}

// nextWakeup returns the delay after which the caller must call Handle for the next step of a replica, or for the work
// of other components that is due at otherDue (0: none). ok is false if a wakeup that was requested earlier suffices,
// or if nothing is due.
func (q *timerQueue) nextWakeup(otherDue scheduler.Time) (after scheduler.Time, ok bool) {
	next := otherDue
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

// timer is the due time of the next step of a replica.
type timer struct {
	at       scheduler.Time
	sequence uint64 // timers of the same time fire in the order in which they were set
	replica  *replica
}

// timerHeap is a heap for container/heap with the earliest timer first.
type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	if t, ok := x.(timer); ok {
		*h = append(*h, t)
	}
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
