package overload

import (
	"math"

	"glenport/scheduler"
)

const (
	countDecayTime = 10 * scheduler.Second // time in which counts fall to 1/e
	maxCountAge    = 20 * countDecayTime   // time after which counts are rescaled, so that their unit cannot overflow
)

// HeavyHitters counts requests by client in a fixed number of counters (the space-saving algorithm). A client without a
// counter takes over the counter with the smallest count and keeps that count, so counts are never too low and no heavy
// hitter is missed. Counts decay exponentially.
type HeavyHitters struct {
	maxCounters int
	index       map[string]int // position in the heap
	heap        []counter      // a binary heap, the smallest count first
	total       float64
	baseTime    scheduler.Time // a request counts 1 at this time and more later, so old counts decay at no cost
}

type counter struct {
	client string
	count  float64
}

// NewHeavyHitters returns a table with at most maxCounters counters.
func NewHeavyHitters(maxCounters int) *HeavyHitters {
	return &HeavyHitters{maxCounters: maxCounters, index: map[string]int{}}
}

// Record counts a request, and returns the ratio of the count of its client to the mean count of the other clients. It
// returns 0 while too few requests or clients have been counted.
func (h *HeavyHitters) Record(now scheduler.Time, client string) float64 {
	h.rescale(now)
	unit := math.Exp(float64(now-h.baseTime) / float64(countDecayTime))
	h.total += unit
	i := h.add(client, unit)
	count := h.heap[i].count
	h.siftDown(i)
	if h.total < heavyHitterMinRequests*unit || len(h.heap) < 2 {
		return 0
	}
	meanOfOthers := (h.total - count) / float64(len(h.heap)-1)
	if meanOfOthers <= 0 {
		return 0
	}
	return count / meanOfOthers
}

// Len returns the number of counters in use.
func (h *HeavyHitters) Len() int { return len(h.heap) }

// rescale converts old counts to the unit of now.
func (h *HeavyHitters) rescale(now scheduler.Time) {
	if now-h.baseTime <= maxCountAge {
		return
	}
	factor := math.Exp(-float64(now-h.baseTime) / float64(countDecayTime))
	for i := range h.heap {
		h.heap[i].count *= factor
	}
	h.total, h.baseTime = h.total*factor, now
}

// add adds a unit to the count of a client and returns the position of its counter, which may have to be sifted down.
func (h *HeavyHitters) add(client string, unit float64) int {
	if i, known := h.index[client]; known {
		h.heap[i].count += unit
		return i
	}
	if len(h.heap) < h.maxCounters {
		h.heap = append(h.heap, counter{client, unit})
		h.index[client] = len(h.heap) - 1
		h.siftUp(len(h.heap) - 1)
		return h.index[client]
	}
	delete(h.index, h.heap[0].client)
	h.heap[0] = counter{client, h.heap[0].count + unit}
	h.index[client] = 0
	return 0
}

func (h *HeavyHitters) swap(i, j int) {
	h.heap[i], h.heap[j] = h.heap[j], h.heap[i]
	h.index[h.heap[i].client], h.index[h.heap[j].client] = i, j
}

func (h *HeavyHitters) siftUp(i int) {
	for i > 0 && h.heap[i].count < h.heap[(i-1)/2].count {
		h.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (h *HeavyHitters) siftDown(i int) {
	for {
		smallest := i
		for _, child := range []int{2*i + 1, 2*i + 2} {
			if child < len(h.heap) && h.heap[child].count < h.heap[smallest].count {
				smallest = child
			}
		}
		if smallest == i {
			return
		}
		h.swap(i, smallest)
		i = smallest
	}
}
