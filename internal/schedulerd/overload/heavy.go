package overload

import (
	"math"

	"glenport/scheduler"
)

// Heavies finds clients that ask far more than others in a fixed number of counters (space-saving: a new client takes the
// place, and the count, of the one that asked least, so that no heavy one is missed and counts are never too low). Counts fade.
type Heavies struct {
	most int
	at   map[string]int // place in the heap
	heap []counter      // the least first
	all  float64
	base scheduler.Time // counts are kept as of then, in growing units, so that fading costs nothing
}

type counter struct {
	client string
	n      float64
}

const fades = 10 * scheduler.Second // counts fall to 1/e in that time

// NewHeavies keeps so many counters.
func NewHeavies(most int) *Heavies { return &Heavies{most: most, at: map[string]int{}} }

// Count counts one ask and tells how many times the mean of the clients counted it is; 0 where too little is known.
func (h *Heavies) Count(now scheduler.Time, client string) float64 {
	if now-h.base > 20*fades { // units would outgrow a float
		f := math.Exp(-float64(now-h.base) / float64(fades))
		for i := range h.heap {
			h.heap[i].n *= f
		}
		h.all, h.base = h.all*f, now
	}
	unit := math.Exp(float64(now-h.base) / float64(fades))
	h.all += unit
	i, known := h.at[client]
	switch {
	case known:
		h.heap[i].n += unit
	case len(h.heap) < h.most:
		i = len(h.heap)
		h.heap = append(h.heap, counter{client, unit})
		h.at[client] = i
		h.up(i)
		i = h.at[client]
	default:
		i = 0
		delete(h.at, h.heap[0].client)
		h.heap[0] = counter{client, h.heap[0].n + unit}
		h.at[client] = 0
	}
	n := h.heap[i].n
	h.down(i)
	if h.all < heavyFrom*unit || len(h.heap) < 2 {
		return 0
	}
	others := (h.all - n) / float64(len(h.heap)-1)
	if others <= 0 {
		return 0
	}
	return n / others
}

// Len is the number of counters in use.
func (h *Heavies) Len() int { return len(h.heap) }

func (h *Heavies) swap(i, j int) {
	h.heap[i], h.heap[j] = h.heap[j], h.heap[i]
	h.at[h.heap[i].client], h.at[h.heap[j].client] = i, j
}

func (h *Heavies) up(i int) {
	for i > 0 && h.heap[i].n < h.heap[(i-1)/2].n {
		h.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (h *Heavies) down(i int) {
	for {
		least := i
		for _, c := range []int{2*i + 1, 2*i + 2} {
			if c < len(h.heap) && h.heap[c].n < h.heap[least].n {
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
