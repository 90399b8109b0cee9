package controller

import (
	"container/heap"

	"glenport/scheduler"
)

// noTimer as a delay says that a state lasts until an event ends it.
const noTimer scheduler.Time = -1

// timer is when the next step of a replica is due. It is void once the replica has entered another state.
type timer struct {
	at         scheduler.Time
	sequence   uint64 // timers of the same time fire in the order in which they were set
	replica    *replica
	generation int
}

func (t *timer) valid() bool { return t.generation == t.replica.timerGeneration && !t.replica.removed }

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
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop is called by container/heap alone.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// setTimer makes the next step of a replica due after a delay, at least one unit of time from now. Earlier timers of it
// are void.
func (c *Controller) setTimer(r *replica, delay scheduler.Time) {
	r.Until = 0
	r.timerGeneration++
	if delay == noTimer {
		return
	}
	r.Until = c.now + max(1, delay)
	heap.Push(&c.timers, timer{at: r.Until, sequence: c.nextSequence(), replica: r, generation: r.timerGeneration})
}

func (c *Controller) fireTimers() {
	for len(c.timers) > 0 && c.timers[0].at <= c.now {
		t := heap.Pop(&c.timers).(timer)
		if t.valid() {
			c.timerFired(t.replica)
		}
	}
}

// requestTimer asks to be called when the next step is due, unless an earlier request covers it.
func (c *Controller) requestTimer(nextOrphan scheduler.Time) {
	next := nextOrphan
	if len(c.timers) > 0 && (next == 0 || c.timers[0].at < next) {
		next = c.timers[0].at
	}
	if next > 0 && (c.timerAt <= c.now || next < c.timerAt) {
		c.timerAt = next
		c.emit(SetTimer{c.timerAt - c.now})
	}
}
