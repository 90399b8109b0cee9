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
	slowThreshold            = 0.5                         // of the agreed time: a mean start so slow narrows the door,
	slowBaselineFactor       = 1.5                         // if it is so many times slower than in calm, too
	minThroughputFactor      = 1.0                         // times the agreed time of work at the present pace is always let in
	limitDecrease            = 0.85                        // the limit falls by it
	limitIncrease            = 1.05                        // and grows by it, each once in a step
	limitUpdateInterval      = 200 * scheduler.Millisecond // between two changes of the limit
	minLimit                 = 8                           // containers that are always let in
	retryBudgetRatio         = 0.2                         // repeats, of the first tries
	maxRetryTokens           = 50                          // repeats saved up
	overloadEndsAfter        = 5 * scheduler.Second        // without anything turned away
	minRetryAfter            = 200 * scheduler.Millisecond // of an appointment
	maxRetryAfter            = 20 * scheduler.Second       // later ones are told this, by chance
	throughputDecayTime      = 2 * scheduler.Second        // a moving mean falls to 1/e in that time
	heavyHitterFactor        = 10                          // as often as the mean client: a heavy one
	heavyHitterMinRequests   = 20                          // asks remembered, below which nobody is heavy
	retryAfterJitter         = 0.25                        // of an appointment, by chance
	scheduledThroughputShare = 0.9                         // of the pace that is given away in appointments
)

// WorkloadClass is what the door needs of one.
type WorkloadClass struct {
	LatencyObjective scheduler.Time
	PriorityWeight   float64
}

// Config are what a door is told.
type Config struct {
	Seed            uint64
	WorkloadClasses []WorkloadClass
	MaxOpen         int // open containers, in any case
}

// Reason something is turned away.
type Reason uint8

const (
	ReasonLimitReached     Reason = iota + 1 // what is open already is more than starts in time
	ReasonRetryBudgetSpent                   // repeats are more than their share
	ReasonHeavyHitter                        // its client asks far more than others
)

func (w Reason) String() string {
	return [...]string{"", "more is open than starts in time", "too many came again", "its client asks far more than others"}[w]
}

// Event is something that happened.
type Event interface{ event() }

type (
	// RequestReceived is a submission, which one of Take and Shed answers at once.
	RequestReceived struct {
		Client        string
		WorkloadClass int
		ClientRetry   bool
	}
	// RequestStarted is a container that was taken and runs; Failed one whose answer is another.
	RequestStarted struct {
		WorkloadClass int
		Elapsed       scheduler.Time // since it was taken
	}
	RequestFailed struct{ WorkloadClass int }
)

func (RequestReceived) event() {}
func (RequestStarted) event()  {}
func (RequestFailed) event()   {}

// Action is something to be done.
type Action interface{ action() }

type (
	Admit struct{}
	Shed  struct {
		Reason     Reason
		RetryAfter scheduler.Time
	}
	ModeChanged struct{ Message string }
)

func (Admit) action()       {}
func (Shed) action()        {}
func (ModeChanged) action() {}

// Limiter is one. Its tables are as many as there are workloads, and a fixed number of clients.
type Limiter struct {
	config         Config
	rngState       uint64
	now            scheduler.Time
	actions        []Action
	open           int
	limit          float64 // of open containers
	limitChangedAt scheduler.Time
	latency        []latencyMean // by workload: starts, as parts of the agreed time
	throughput     float64       // containers done a second, a moving mean
	lastStartAt    scheduler.Time
	retryTokens    float64
	nextRetryAt    scheduler.Time // the next appointment
	shedCount      int            // away, since the storm began
	shedAt         scheduler.Time
	overloaded     bool
	limitShares    []float64 // by workload: the part of the limit up to which it is let in
	clients        *HeavyHitters
}

// latencyMean is how slow starts are, lately and in calm.
type latencyMean struct {
	recent, baseline float64
	seen             bool
}

// New makes a door that is wide open.
func New(t Config) *Limiter {
	d := &Limiter{config: t, rngState: t.Seed*2862933555777941757 + 3037000493, limit: float64(t.MaxOpen), latency: make([]latencyMean, len(t.WorkloadClasses)),
		limitShares: make([]float64, len(t.WorkloadClasses)), retryTokens: maxRetryTokens, clients: NewHeavyHitters(256)}
	most := 0.0
	for _, w := range t.WorkloadClasses {
		most = max(most, w.PriorityWeight)
	}
	for i, w := range t.WorkloadClasses { // the least gain has half of the room that the most has
		d.limitShares[i] = 0.5 + 0.5*w.PriorityWeight/most
	}
	return d
}

// Handle takes what happened and returns what is to be done, in that order.
func (d *Limiter) Handle(now scheduler.Time, events ...Event) []Action {
	d.now, d.actions = now, d.actions[:0]
	for _, e := range events {
		switch e := e.(type) {
		case RequestReceived:
			d.requestReceived(e)
		case RequestStarted:
			d.requestEnded()
			if e.WorkloadClass < len(d.latency) {
				d.requestStarted(e)
			}
		case RequestFailed:
			d.requestEnded()
		}
	}
	return d.actions
}

func (d *Limiter) emit(a Action) { d.actions = append(d.actions, a) }

func (d *Limiter) random() float64 {
	d.rngState ^= d.rngState << 13
	d.rngState ^= d.rngState >> 7
	d.rngState ^= d.rngState << 17
	return float64(d.rngState>>11) / (1 << 53)
}

// requestReceived lets in or turns away. First tries earn repeats; those of a heavy client, and repeats without an earned place,
// are turned away only while the door is narrow, so that calm is not disturbed.
func (d *Limiter) requestReceived(e RequestReceived) {
	heavy := d.clients.Record(d.now, e.Client)
	if !e.ClientRetry {
		d.retryTokens = min(maxRetryTokens, d.retryTokens+retryBudgetRatio)
	}
	room := d.limit
	if e.WorkloadClass < len(d.limitShares) && d.limiting() {
		room *= d.limitShares[e.WorkloadClass]
	}
	switch {
	case float64(d.open) >= room:
		d.shed(ReasonLimitReached)
	case d.limiting() && heavy > heavyHitterFactor:
		d.shed(ReasonHeavyHitter)
	case d.limiting() && e.ClientRetry && d.retryTokens < 1:
		d.shed(ReasonRetryBudgetSpent)
	default:
		if e.ClientRetry {
			d.retryTokens = max(0, d.retryTokens-1)
		}
		d.open++
		d.emit(Admit{})
	}
	if d.overloaded && d.now-d.shedAt > overloadEndsAfter {
		d.overloaded = false
		d.emit(ModeChanged{fmt.Sprintf("storm over: %d were turned away, up to %.0f are let in at once", d.shedCount, d.limit)})
	}
}

// limiting tells whether what is open is near what may be.
func (d *Limiter) limiting() bool {
	return d.limit < float64(d.config.MaxOpen) && float64(d.open) >= d.limit/2
}

// shed turns away, with the next appointment of a line that moves at the pace at which work is done.
func (d *Limiter) shed(why Reason) {
	if !d.overloaded {
		d.overloaded, d.shedCount = true, 0
		d.emit(ModeChanged{fmt.Sprintf("storm: %s; %d open, limit %.0f, %.0f done a second", why, d.open, d.limit, d.throughput)})
	}
	d.shedCount++
	d.shedAt = d.now
	pace := max(1, d.throughput*scheduledThroughputShare)
	d.nextRetryAt = max(d.nextRetryAt, d.now+minRetryAfter) + scheduler.Time(float64(scheduler.Second)/pace)
	hold := d.nextRetryAt - d.now
	if hold > maxRetryAfter { // the line is longer than anybody plans: come back by chance, and be told anew
		d.nextRetryAt = d.now + maxRetryAfter
		hold = maxRetryAfter/2 + scheduler.Time(d.random()*float64(maxRetryAfter)/2)
	}
	d.emit(Shed{why, hold + scheduler.Time(d.random()*retryAfterJitter*float64(hold))})
}

// requestEnded counts the pace at which work is done, whatever its end.
func (d *Limiter) requestEnded() {
	d.open = max(0, d.open-1)
}

// requestStarted follows how slow starts are, and narrows or widens the door.
func (d *Limiter) requestStarted(e RequestStarted) {
	span := float64(max(1, d.now-d.lastStartAt)) // the pace of a process with these gaps, as a moving mean
	d.lastStartAt = d.now
	w := math.Exp(-span / float64(throughputDecayTime))
	d.throughput = d.throughput*w + (1-w)*float64(scheduler.Second)/span
	m := &d.latency[e.WorkloadClass]
	part := float64(e.Elapsed) / float64(max(1, d.config.WorkloadClasses[e.WorkloadClass].LatencyObjective))
	if !m.seen {
		m.recent, m.baseline, m.seen = part, part, true
	}
	m.recent += (part - m.recent) / 16
	if !d.overloaded {
		m.baseline += (part - m.baseline) / 256
	}
	if d.now < d.limitChangedAt+limitUpdateInterval {
		return
	}
	d.limitChangedAt = d.now
	slow := false
	for _, m := range d.latency {
		slow = slow || m.recent > max(slowThreshold, slowBaselineFactor*m.baseline)
	}
	switch {
	case slow: // never below what keeps the present pace with starts at their agreed time
		keeps := minThroughputFactor * d.throughput * float64(d.config.WorkloadClasses[e.WorkloadClass].LatencyObjective) / float64(scheduler.Second)
		d.limit = max(minLimit, keeps, min(d.limit, 2*float64(d.open)+minLimit)*limitDecrease)
	case float64(d.open) > d.limit/2:
		d.limit = min(float64(d.config.MaxOpen), d.limit*limitIncrease+1)
	}
}

// Snapshot is what a door has learned, to be kept for another life of it.
type Snapshot struct {
	Limit      float64 `cbor:"Limit" json:"Limit"`
	Throughput float64 `cbor:"Pace" json:"Pace"`
	// By workload, as parts of the agreed time; nothing is known of those below 0.
	Latency         []float64 `cbor:"Slow" json:"Slow"`
	BaselineLatency []float64 `cbor:"Calm" json:"Calm"`
}

// Snapshot gives it.
func (d *Limiter) Snapshot() Snapshot {
	k := Snapshot{Limit: d.limit, Throughput: d.throughput}
	for _, m := range d.latency {
		if !m.seen {
			m.recent, m.baseline = -1, -1
		}
		k.Latency, k.BaselineLatency = append(k.Latency, m.recent), append(k.BaselineLatency, m.baseline)
	}
	return k
}

// Restore takes what an earlier life knew, before anything else: a door that opens wide in the middle of a storm would let
// in all that was turned away before. Weight, from 1 to 0, is what the limit still counts for; what calm is like is
// believed as it was.
func (d *Limiter) Restore(k Snapshot, weight float64) {
	if len(k.BaselineLatency) != len(d.latency) || len(k.Latency) != len(d.latency) {
		return
	}
	for i := range d.latency {
		if k.BaselineLatency[i] >= 0 {
			d.latency[i] = latencyMean{k.BaselineLatency[i] + weight*(k.Latency[i]-k.BaselineLatency[i]), k.BaselineLatency[i], true}
		}
	}
	if weight > 0 && k.Limit > 0 {
		d.limit = min(float64(d.config.MaxOpen), max(minLimit, k.Limit/weight))
		d.throughput = k.Throughput * weight
	}
}

// Open and Limit are for figures.
func (d *Limiter) Open() int      { return d.open }
func (d *Limiter) Limit() float64 { return d.limit }
