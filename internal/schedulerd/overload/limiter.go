package overload

import (
	"math"

	"glenport/scheduler"
)

// Parameters of the limiter. A class is slow if its mean start latency exceeds both slowThreshold times its objective
// and slowBaselineFactor times its baseline.
const (
	slowThreshold      = 0.5
	slowBaselineFactor = 1.5
	// the limit does not fall below throughput times objective times this factor
	minThroughputFactor      = 1.0
	limitDecrease            = 0.85                        // factor on the limit while a class is slow
	limitIncrease            = 1.05                        // factor on the limit while no class is slow
	limitUpdateInterval      = 200 * scheduler.Millisecond // minimum time between changes of the limit
	minLimit                 = 8                           // lower bound of the limit, in open requests
	minLimitShare            = 0.5                         // fraction of the limit open to a class of priority weight 0
	retryBudgetRatio         = 0.2                         // retry tokens earned by each first-time request
	maxRetryTokens           = 50                          // retry tokens that can accumulate
	overloadEndsAfter        = 5 * scheduler.Second        // time without a shed request
	minRetryAfter            = 200 * scheduler.Millisecond
	maxRetryAfter            = 20 * scheduler.Second // longer retry-afters are drawn from its upper half
	throughputDecayTime      = 2 * scheduler.Second  // time in which the moving mean falls to 1/e
	heavyHitterFactor        = 10                    // ratio to the mean of the other clients
	heavyHitterMinRequests   = 20                    // counted requests below which no client is a heavy hitter
	heavyHitterCounters      = 256
	retryAfterJitter         = 0.25 // largest fraction of a retry-after that is added at random
	scheduledThroughputShare = 0.9  // fraction of the throughput that is assigned to scheduled retries
	recentLatencyWeight      = 16   // samples spanned by the recent mean
	baselineLatencyWeight    = 256  // samples spanned by the baseline
)

// One step of a linear congruential generator spreads the seed over the state of the random number generator.
const (
	seedMultiplier = 2862933555777941757
	seedIncrement  = 3037000493
)

// unknownLatency marks a class in a Snapshot for which no start was observed.
const unknownLatency = -1

// WorkloadClass holds the settings of a workload class that the limiter needs.
type WorkloadClass struct {
	LatencyObjective scheduler.Time
	PriorityWeight   float64
}

// Config configures a Limiter.
type Config struct {
	Seed            uint64
	WorkloadClasses []WorkloadClass
	MaxOpen         int // upper bound of the limit, in open requests
}

// Limiter combines an adaptive concurrency limit with a retry budget. It owns the number of open requests, the observed
// latency and throughput, and the queue of scheduled retries. Its memory does not grow with the number of clients.
type Limiter struct {
	config         Config
	rngState       uint64
	now            scheduler.Time
	actions        []Action
	open           int     // admitted requests without an answer
	limit          float64 // maximum number of open requests
	limitChangedAt scheduler.Time
	latency        []latencyMean // by class
	throughput     float64       // containers started per second, a moving mean
	lastStartAt    scheduler.Time
	retryTokens    float64
	nextRetryAt    scheduler.Time // end of the queue of scheduled retries
	shedCount      int            // requests shed since the overload started
	shedAt         scheduler.Time // time of the last shed request
	overloaded     bool
	limitShares    []float64 // by class: fraction of the limit open to it
	clients        *HeavyHitters
}

// latencyMean holds moving means of the start latency of a class, as fractions of its objective.
type latencyMean struct {
	recent   float64
	baseline float64 // frozen during an overload
	observed bool
}

// New returns a limiter whose initial limit is config.MaxOpen.
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

// limitShares returns the fraction of the limit that is open to each class: all of it for the highest priority weight,
// and less for lower ones, linearly down to minLimitShare for weight 0.
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

// Handle applies events that happened at the time now and returns the resulting actions, in order. The slice is valid
// until the next call.
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

// Open returns the number of admitted requests without an answer.
func (l *Limiter) Open() int { return l.open }

// Limit returns the maximum number of open requests.
func (l *Limiter) Limit() float64 { return l.limit }

func (l *Limiter) emit(a Action) { l.actions = append(l.actions, a) }

// random returns a random number from [0, 1), drawn with a xorshift generator.
func (l *Limiter) random() float64 {
	l.rngState ^= l.rngState << 13
	l.rngState ^= l.rngState >> 7
	l.rngState ^= l.rngState << 17
	return float64(l.rngState>>11) / (1 << 53)
}

// requestReceived admits or sheds a request. Requests of heavy hitters and retries beyond the budget are shed only
// while the limiter is limiting, so that these two rules have no effect without overload.
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

// limitOf returns the limit for a class. The share of the class applies only while the limiter is limiting.
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

// scheduleRetry takes the next slot in the queue of retries, which advances at a fraction of the throughput, and
// returns the time until that slot. If this time exceeds maxRetryAfter, the client instead retries at a random time in
// the upper half of maxRetryAfter and is then assigned a new slot or admitted.
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

// observeThroughput updates the moving mean of starts per second with the time since the last start.
func (l *Limiter) observeThroughput() {
	gap := float64(max(1, l.now-l.lastStartAt))
	l.lastStartAt = l.now
	decay := math.Exp(-gap / float64(throughputDecayTime))
	l.throughput = l.throughput*decay + (1-decay)*float64(scheduler.Second)/gap
}

// observeLatency updates the latency means of a class. The baseline is frozen during an overload.
func (l *Limiter) observeLatency(e RequestStarted) {
	mean := &l.latency[e.WorkloadClass]
	sample := float64(e.Elapsed) / float64(max(1, l.config.WorkloadClasses[e.WorkloadClass].LatencyObjective))
	if !mean.observed {
		mean.recent, mean.baseline, mean.observed = sample, sample, true
	}
	mean.recent += (sample - mean.recent) / recentLatencyWeight
	if !l.overloaded {
		mean.baseline += (sample - mean.baseline) / baselineLatencyWeight
	}
}

// adjustLimit decreases the limit while any class is slow, and increases it while more than half of it is used. By
// Little's law, a limit of throughput times objective sustains the present throughput with starts on time. The limit
// never falls below this product.
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
