package overload

import (
	"math"

	"glenport/scheduler"
)

// Tuned values.
const (
	// mean start latency, as a part of the objective, of a slow class,
	slowThreshold      = 0.5
	slowBaselineFactor = 1.5 // provided that it also exceeds its baseline by this factor
	// the limit stays above throughput times objective times this
	minThroughputFactor      = 1.0
	limitDecrease            = 0.85                        // multiplies the limit while a class is slow
	limitIncrease            = 1.05                        // multiplies it while none is
	limitUpdateInterval      = 200 * scheduler.Millisecond // between two changes of the limit
	minLimit                 = 8                           // open requests that are always admitted
	minLimitShare            = 0.5                         // part of the limit open to a class of no priority weight
	retryBudgetRatio         = 0.2                         // client retries earned by each first try
	maxRetryTokens           = 50                          // retries that can be saved up
	overloadEndsAfter        = 5 * scheduler.Second        // without a request shed
	minRetryAfter            = 200 * scheduler.Millisecond
	maxRetryAfter            = 20 * scheduler.Second // longer ones are drawn from the upper half of it
	throughputDecayTime      = 2 * scheduler.Second  // the moving mean falls to 1/e in that time
	heavyHitterFactor        = 10                    // times the mean client's requests
	heavyHitterMinRequests   = 20                    // requests remembered, below which no client is a heavy hitter
	heavyHitterCounters      = 256
	retryAfterJitter         = 0.25 // of a retry-after, added by chance
	scheduledThroughputShare = 0.9  // of the throughput that is given away as scheduled retries
	recentLatencyWeight      = 16   // samples that the recent mean spans
	baselineLatencyWeight    = 256  // samples that the baseline spans
)

// The seed is spread over the state of the generator by one step of a linear congruential generator.
const (
	seedMultiplier = 2862933555777941757
	seedIncrement  = 3037000493
)

// unknownLatency marks a class in a Snapshot of which no start was seen.
const unknownLatency = -1

// WorkloadClass is what the limiter needs to know of a class.
type WorkloadClass struct {
	LatencyObjective scheduler.Time
	PriorityWeight   float64
}

// Config is fixed for the life of a Limiter.
type Config struct {
	Seed            uint64
	WorkloadClasses []WorkloadClass
	MaxOpen         int // upper bound of the limit, in open requests
}

// Limiter is an adaptive concurrency limit with a retry budget. It owns the count of open requests, the latency and
// throughput observed, and the queue of scheduled retries; its memory does not grow with the number of clients.
type Limiter struct {
	config         Config
	rngState       uint64
	now            scheduler.Time
	actions        []Action
	open           int
	limit          float64 // of open requests
	limitChangedAt scheduler.Time
	latency        []latencyMean // by class
	throughput     float64       // containers started per second, a moving mean
	lastStartAt    scheduler.Time
	retryTokens    float64
	nextRetryAt    scheduler.Time // end of the queue of scheduled retries
	shedCount      int            // since the overload started
	shedAt         scheduler.Time
	overloaded     bool
	limitShares    []float64 // by class: the part of the limit that is open to it
	clients        *HeavyHitters
}

// latencyMean is the mean start latency of a class as a part of its objective.
type latencyMean struct {
	recent   float64
	baseline float64 // without overload
	seen     bool
}

// New returns a limiter whose limit is config.MaxOpen.
func New(config Config) *Limiter {
	return &Limiter{
		config:      config,
		rngState:    config.Seed*seedMultiplier + seedIncrement,
		limit:       float64(config.MaxOpen),
		latency:     make([]latencyMean, len(config.WorkloadClasses)),
		limitShares: limitShares(config.WorkloadClasses),
		retryTokens: maxRetryTokens,
		clients:     NewHeavyHitters(heavyHitterCounters),
	}
}

// limitShares gives the whole limit to the class of the highest priority weight, and less in proportion to others.
func limitShares(classes []WorkloadClass) []float64 {
	highest := 0.0
	for _, class := range classes {
		highest = max(highest, class.PriorityWeight)
	}
	shares := make([]float64, len(classes))
	for i, class := range classes {
		shares[i] = minLimitShare + (1-minLimitShare)*class.PriorityWeight/highest
	}
	return shares
}

// Handle applies events at a time and returns the actions that follow, in order. The slice is valid until the next
// call.
func (l *Limiter) Handle(now scheduler.Time, events ...Event) []Action {
	l.now, l.actions = now, l.actions[:0]
	for _, e := range events {
		switch e := e.(type) {
		case RequestReceived:
			l.requestReceived(e)
		case RequestStarted:
			l.requestStarted(e)
		case RequestFailed:
			l.requestEnded()
		}
	}
	return l.actions
}

// Open is the number of admitted requests without an answer.
func (l *Limiter) Open() int { return l.open }

// Limit is how many requests may be open.
func (l *Limiter) Limit() float64 { return l.limit }

func (l *Limiter) emit(a Action) { l.actions = append(l.actions, a) }

// random draws from [0, 1) with a xorshift generator.
func (l *Limiter) random() float64 {
	l.rngState ^= l.rngState << 13
	l.rngState ^= l.rngState >> 7
	l.rngState ^= l.rngState << 17
	return float64(l.rngState>>11) / (1 << 53)
}

// requestReceived admits or sheds. Heavy hitters and retries beyond the budget are shed only while the limit is nearly
// reached, so that they cost nothing otherwise.
func (l *Limiter) requestReceived(e RequestReceived) {
	timesMean := l.clients.Record(l.now, e.Client)
	if !e.ClientRetry {
		l.retryTokens = min(maxRetryTokens, l.retryTokens+retryBudgetRatio)
	}
	switch {
	case float64(l.open) >= l.limitOf(e.WorkloadClass):
		l.shed(ReasonLimitReached)
	case l.limiting() && timesMean > heavyHitterFactor:
		l.shed(ReasonHeavyHitter)
	case l.limiting() && e.ClientRetry && l.retryTokens < 1:
		l.shed(ReasonRetryBudgetSpent)
	default:
		l.admit(e)
	}
	if l.overloaded && l.now-l.shedAt > overloadEndsAfter {
		l.overloaded = false
		l.emit(SheddingEnded{Shed: l.shedCount, Limit: l.limit})
	}
}

// limitOf is the limit for a class; its share counts only while the limit is nearly reached.
func (l *Limiter) limitOf(class int) float64 {
	if class < len(l.limitShares) && l.limiting() {
		return l.limit * l.limitShares[class]
	}
	return l.limit
}

// limiting reports whether the limit is below its upper bound and at least half used.
func (l *Limiter) limiting() bool {
	return l.limit < float64(l.config.MaxOpen) && float64(l.open) >= l.limit/2
}

func (l *Limiter) admit(e RequestReceived) {
	if e.ClientRetry {
		l.retryTokens = max(0, l.retryTokens-1)
	}
	l.open++
	l.emit(Admit{})
}

func (l *Limiter) shed(reason Reason) {
	if !l.overloaded {
		l.overloaded, l.shedCount = true, 0
		l.emit(SheddingStarted{Reason: reason, Open: l.open, Limit: l.limit, Throughput: l.throughput})
	}
	l.shedCount++
	l.shedAt = l.now
	l.emit(Shed{Reason: reason, RetryAfter: l.scheduleRetry()})
}

// scheduleRetry takes the next place in the queue of retries, which moves at a share of the throughput. A queue longer
// than clients wait for is not followed further: they come back at a random time of the upper half and queue again.
func (l *Limiter) scheduleRetry() scheduler.Time {
	perSecond := max(1, l.throughput*scheduledThroughputShare)
	l.nextRetryAt = max(l.nextRetryAt, l.now+minRetryAfter) + scheduler.Time(float64(scheduler.Second)/perSecond)
	wait := l.nextRetryAt - l.now
	if wait > maxRetryAfter {
		l.nextRetryAt = l.now + maxRetryAfter
		wait = maxRetryAfter/2 + scheduler.Time(l.random()*float64(maxRetryAfter)/2)
	}
	return wait + scheduler.Time(l.random()*retryAfterJitter*float64(wait))
}

func (l *Limiter) requestEnded() { l.open = max(0, l.open-1) }

func (l *Limiter) requestStarted(e RequestStarted) {
	l.requestEnded()
	if e.WorkloadClass >= len(l.latency) {
		return
	}
	l.observeThroughput()
	l.observeLatency(e)
	if l.now < l.limitChangedAt+limitUpdateInterval {
		return
	}
	l.limitChangedAt = l.now
	l.adjustLimit(l.config.WorkloadClasses[e.WorkloadClass].LatencyObjective)
}

// observeThroughput updates the moving mean of starts per second by the gap since the last one.
func (l *Limiter) observeThroughput() {
	gap := float64(max(1, l.now-l.lastStartAt))
	l.lastStartAt = l.now
	keep := math.Exp(-gap / float64(throughputDecayTime))
	l.throughput = l.throughput*keep + (1-keep)*float64(scheduler.Second)/gap
}

// observeLatency updates the means of a class. The baseline is frozen during an overload.
func (l *Limiter) observeLatency(e RequestStarted) {
	mean := &l.latency[e.WorkloadClass]
	sample := float64(e.Elapsed) / float64(max(1, l.config.WorkloadClasses[e.WorkloadClass].LatencyObjective))
	if !mean.seen {
		mean.recent, mean.baseline, mean.seen = sample, sample, true
	}
	mean.recent += (sample - mean.recent) / recentLatencyWeight
	if !l.overloaded {
		mean.baseline += (sample - mean.baseline) / baselineLatencyWeight
	}
}

// adjustLimit decreases the limit while any class is slow and increases it while it is used. By Little's law a limit of
// throughput times objective keeps the present throughput with starts on time; it never falls below that.
func (l *Limiter) adjustLimit(objective scheduler.Time) {
	switch {
	case l.slow():
		floor := minThroughputFactor * l.throughput * float64(objective) / float64(scheduler.Second)
		l.limit = max(minLimit, floor, min(l.limit, 2*float64(l.open)+minLimit)*limitDecrease)
	case float64(l.open) > l.limit/2:
		l.limit = min(float64(l.config.MaxOpen), l.limit*limitIncrease+1)
	}
}

func (l *Limiter) slow() bool {
	for _, mean := range l.latency {
		if mean.recent > max(slowThreshold, slowBaselineFactor*mean.baseline) {
			return true
		}
	}
	return false
}
