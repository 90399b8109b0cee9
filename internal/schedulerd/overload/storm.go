// Package overload decides what a door takes while more comes than can be served, and when those whom it turns away
// should come back. In calm it takes all and costs a few additions. It is pure.
//
// What it guards against is load that keeps itself alive: work waits behind other work until its hard stop, is done all
// the same, and is asked for again. So what cannot be started in time is turned away at once, at the door; what came
// before gets a share of what comes anew and no more; and whoever is turned away gets an appointment, one after
// another at the pace at which work is really done, so that those who obey return in a line and not in a heap.
package overload

import (
	"fmt"
	"math"

	"glenport/scheduler"
)

// Tuned values.
const (
	slowAt     = 0.5                         // of the agreed time: a mean start so slow narrows the door,
	slowTimes  = 1.5                         // if it is so many times slower than in calm, too
	keepsPace  = 1.0                         // times the agreed time of work at the present pace is always let in
	narrows    = 0.85                        // the limit falls by it
	widens     = 1.05                        // and grows by it, each once in a step
	step       = 200 * scheduler.Millisecond // between two changes of the limit
	leastOpen  = 8                           // containers that are always let in
	againShare = 0.2                         // repeats, of the first tries
	againMost  = 50                          // repeats saved up
	calmAfter  = 5 * scheduler.Second        // without anything turned away
	leastHold  = 200 * scheduler.Millisecond // of an appointment
	mostHold   = 20 * scheduler.Second       // later ones are told this, by chance
	forgets    = 2 * scheduler.Second        // a moving mean falls to 1/e in that time
	heavyTimes = 10                          // as often as the mean client: a heavy one
	heavyFrom  = 20                          // asks remembered, below which nobody is heavy
	spread     = 0.25                        // of an appointment, by chance
	reserve    = 0.9                         // of the pace that is given away in appointments
)

// Workload is what the door needs of one.
type Workload struct {
	Agreed scheduler.Time
	Gain   float64
}

// Terms are what a door is told.
type Terms struct {
	Seed      uint64
	Workloads []Workload
	Most      int // open containers, in any case
}

// Why something is turned away.
type Why uint8

const (
	TooSlow   Why = iota + 1 // what is open already is more than starts in time
	CameAgain                // repeats are more than their share
	Heavy                    // its client asks far more than others
)

func (w Why) String() string {
	return [...]string{"", "more is open than starts in time", "too many came again", "its client asks far more than others"}[w]
}

// Event is something that happened.
type Event interface{ event() }

type (
	// Asked is a submission, which one of Take and Shed answers at once.
	Asked struct {
		Client   string
		Workload int
		Again    bool
	}
	// Started is a container that was taken and runs; Failed one whose answer is another.
	Started struct {
		Workload int
		Took     scheduler.Time // since it was taken
	}
	Failed struct{ Workload int }
)

func (Asked) event()   {}
func (Started) event() {}
func (Failed) event()  {}

// Action is something to be done.
type Action interface{ action() }

type (
	Take struct{}
	Shed struct {
		Why     Why
		HoldOff scheduler.Time
	}
	Mode struct{ Text string }
)

func (Take) action() {}
func (Shed) action() {}
func (Mode) action() {}

// Door is one. Its tables are as many as there are workloads, and a fixed number of clients.
type Door struct {
	terms   Terms
	rng     uint64
	now     scheduler.Time
	out     []Action
	open    int
	limit   float64 // of open containers
	moved   scheduler.Time
	slow    []mean  // by workload: starts, as parts of the agreed time
	pace    float64 // containers done a second, a moving mean
	paced   scheduler.Time
	tokens  float64
	line    scheduler.Time // the next appointment
	turned  int            // away, since the storm began
	shedAt  scheduler.Time
	storm   bool
	gains   []float64 // by workload: the part of the limit up to which it is let in
	clients *Heavies
}

// mean is how slow starts are, lately and in calm.
type mean struct {
	value, calm float64
	seen        bool
}

// New makes a door that is wide open.
func New(t Terms) *Door {
	d := &Door{terms: t, rng: t.Seed*2862933555777941757 + 3037000493, limit: float64(t.Most), slow: make([]mean, len(t.Workloads)),
		gains: make([]float64, len(t.Workloads)), tokens: againMost, clients: NewHeavies(256)}
	most := 0.0
	for _, w := range t.Workloads {
		most = max(most, w.Gain)
	}
	for i, w := range t.Workloads { // the least gain has half of the room that the most has
		d.gains[i] = 0.5 + 0.5*w.Gain/most
	}
	return d
}

// Handle takes what happened and returns what is to be done, in that order.
func (d *Door) Handle(now scheduler.Time, events ...Event) []Action {
	d.now, d.out = now, d.out[:0]
	for _, e := range events {
		switch e := e.(type) {
		case Asked:
			d.asked(e)
		case Started:
			d.ended()
			if e.Workload < len(d.slow) {
				d.started(e)
			}
		case Failed:
			d.ended()
		}
	}
	return d.out
}

func (d *Door) do(a Action) { d.out = append(d.out, a) }

func (d *Door) chance() float64 {
	d.rng ^= d.rng << 13
	d.rng ^= d.rng >> 7
	d.rng ^= d.rng << 17
	return float64(d.rng>>11) / (1 << 53)
}

// asked lets in or turns away. First tries earn repeats; those of a heavy client, and repeats without an earned place,
// are turned away only while the door is narrow, so that calm is not disturbed.
func (d *Door) asked(e Asked) {
	heavy := d.clients.Count(d.now, e.Client)
	if !e.Again {
		d.tokens = min(againMost, d.tokens+againShare)
	}
	room := d.limit
	if e.Workload < len(d.gains) && d.narrow() {
		room *= d.gains[e.Workload]
	}
	switch {
	case float64(d.open) >= room:
		d.shed(TooSlow)
	case d.narrow() && heavy > heavyTimes:
		d.shed(Heavy)
	case d.narrow() && e.Again && d.tokens < 1:
		d.shed(CameAgain)
	default:
		if e.Again {
			d.tokens = max(0, d.tokens-1)
		}
		d.open++
		d.do(Take{})
	}
	if d.storm && d.now-d.shedAt > calmAfter {
		d.storm = false
		d.do(Mode{fmt.Sprintf("storm over: %d were turned away, up to %.0f are let in at once", d.turned, d.limit)})
	}
}

// narrow tells whether what is open is near what may be.
func (d *Door) narrow() bool { return d.limit < float64(d.terms.Most) && float64(d.open) >= d.limit/2 }

// shed turns away, with the next appointment of a line that moves at the pace at which work is done.
func (d *Door) shed(why Why) {
	if !d.storm {
		d.storm, d.turned = true, 0
		d.do(Mode{fmt.Sprintf("storm: %s; %d open, limit %.0f, %.0f done a second", why, d.open, d.limit, d.pace)})
	}
	d.turned++
	d.shedAt = d.now
	pace := max(1, d.pace*reserve)
	d.line = max(d.line, d.now+leastHold) + scheduler.Time(float64(scheduler.Second)/pace)
	hold := d.line - d.now
	if hold > mostHold { // the line is longer than anybody plans: come back by chance, and be told anew
		d.line = d.now + mostHold
		hold = mostHold/2 + scheduler.Time(d.chance()*float64(mostHold)/2)
	}
	d.do(Shed{why, hold + scheduler.Time(d.chance()*spread*float64(hold))})
}

// ended counts the pace at which work is done, whatever its end.
func (d *Door) ended() {
	d.open = max(0, d.open-1)
}

// started follows how slow starts are, and narrows or widens the door.
func (d *Door) started(e Started) {
	span := float64(max(1, d.now-d.paced)) // the pace of a process with these gaps, as a moving mean
	d.paced = d.now
	w := math.Exp(-span / float64(forgets))
	d.pace = d.pace*w + (1-w)*float64(scheduler.Second)/span
	m := &d.slow[e.Workload]
	part := float64(e.Took) / float64(max(1, d.terms.Workloads[e.Workload].Agreed))
	if !m.seen {
		m.value, m.calm, m.seen = part, part, true
	}
	m.value += (part - m.value) / 16
	if !d.storm {
		m.calm += (part - m.calm) / 256
	}
	if d.now < d.moved+step {
		return
	}
	d.moved = d.now
	slow := false
	for _, m := range d.slow {
		slow = slow || m.value > max(slowAt, slowTimes*m.calm)
	}
	switch {
	case slow: // never below what keeps the present pace with starts at their agreed time
		keeps := keepsPace * d.pace * float64(d.terms.Workloads[e.Workload].Agreed) / float64(scheduler.Second)
		d.limit = max(leastOpen, keeps, min(d.limit, 2*float64(d.open)+leastOpen)*narrows)
	case float64(d.open) > d.limit/2:
		d.limit = min(float64(d.terms.Most), d.limit*widens+1)
	}
}

// Known is what a door has learned, to be kept for another life of it.
type Known struct {
	Limit float64 `cbor:"Limit" json:"Limit"`
	Pace  float64 `cbor:"Pace" json:"Pace"`
	// By workload, as parts of the agreed time; nothing is known of those below 0.
	Slow []float64 `cbor:"Slow" json:"Slow"`
	Calm []float64 `cbor:"Calm" json:"Calm"`
}

// Knows gives it.
func (d *Door) Knows() Known {
	k := Known{Limit: d.limit, Pace: d.pace}
	for _, m := range d.slow {
		if !m.seen {
			m.value, m.calm = -1, -1
		}
		k.Slow, k.Calm = append(k.Slow, m.value), append(k.Calm, m.calm)
	}
	return k
}

// Recall takes what an earlier life knew, before anything else: a door that opens wide in the middle of a storm would let
// in all that was turned away before. Weight, from 1 to 0, is what the limit still counts for; what calm is like is
// believed as it was.
func (d *Door) Recall(k Known, weight float64) {
	if len(k.Calm) != len(d.slow) || len(k.Slow) != len(d.slow) {
		return
	}
	for i := range d.slow {
		if k.Calm[i] >= 0 {
			d.slow[i] = mean{k.Calm[i] + weight*(k.Slow[i]-k.Calm[i]), k.Calm[i], true}
		}
	}
	if weight > 0 && k.Limit > 0 {
		d.limit = min(float64(d.terms.Most), max(leastOpen, k.Limit/weight))
		d.pace = k.Pace * weight
	}
}

// Open and Limit are for figures.
func (d *Door) Open() int      { return d.open }
func (d *Door) Limit() float64 { return d.limit }
