package overload

import (
	"math"

	"glenport/scheduler"
)

// HeavyHitters finds clients that ask far more than others in a fixed number of counters (space-saving: a new client takes the
// place, and the count, of the one that asked least, so that no heavy one is missed and counts are never too low). Counts fade.
type HeavyHitters struct {
	maxCounters int
	index       map[string]int // place in the heap
	heap        []counter      // the least first
	total       float64
	baseTime    scheduler.Time // counts are kept as of then, in growing units, so that fading costs nothing
}

type counter struct {
	client string
	count  float64
}

const countDecayTime = 10 * scheduler.Second // counts fall to 1/e in that time

// NewHeavyHitters keeps so many counters.
func NewHeavyHitters(most int) *HeavyHitters {
	return &HeavyHitters{maxCounters: most, index: map[string]int{}}
}

// Record counts one ask and tells how many times the mean of the clients counted it is; 0 where too little is known.
func (h *HeavyHitters) Record(now scheduler.Time, client string) float64 {
	if now-h.baseTime > 20*countDecayTime { // units would outgrow a float
		f := math.Exp(-float64(now-h.baseTime) / float64(countDecayTime))
		for i := range h.heap {
			h.heap[i].count *= f
		}
		h.total, h.baseTime = h.total*f, now
	}
	unit := math.Exp(float64(now-h.baseTime) / float64(countDecayTime))
	h.total += unit
	i, known := h.index[client]
	switch {
	case known:
		h.heap[i].count += unit
	case len(h.heap) < h.maxCounters:
		i = len(h.heap)
		h.heap = append(h.heap, counter{client, unit})
		h.index[client] = i
		h.up(i)
		i = h.index[client]
	default:
		i = 0
		delete(h.index, h.heap[0].client)
		h.heap[0] = counter{client, h.heap[0].count + unit}
		h.index[client] = 0
	}
	n := h.heap[i].count
	h.down(i)
	if h.total < heavyHitterMinRequests*unit || len(h.heap) < 2 {
		return 0
	}
	others := (h.total - n) / float64(len(h.heap)-1)
	if others <= 0 {
		return 0
	}
	return n / others
}

// Len is the number of counters in use.
func (h *HeavyHitters) Len() int { return len(h.heap) }

func (h *HeavyHitters) swap(i, j int) {
	h.heap[i], h.heap[j] = h.heap[j], h.heap[i]
	h.index[h.heap[i].client], h.index[h.heap[j].client] = i, j
}

func (h *HeavyHitters) up(i int) {
	for i > 0 && h.heap[i].count < h.heap[(i-1)/2].count {
		h.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (h *HeavyHitters) down(i int) {
	for {
		least := i
		for _, c := range []int{2*i + 1, 2*i + 2} {
			if c < len(h.heap) && h.heap[c].count < h.heap[least].count {
				least = c
			}
		}
		if least == i {
			return
		}
		h.swap(i, least)
		i = least
	}
}
