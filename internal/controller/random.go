package controller

import "glenport/scheduler"

const (
	// after the first request that was not accepted; doubled with each further one
	backoffInitial      = scheduler.Second
	backoffMax          = 16 * scheduler.Second
	backoffMaxDoublings = 5
	restartDelay        = 100 * scheduler.Millisecond // the scale of delays where nothing was rejected
)

// randomSource is a seeded xorshift generator.
type randomSource struct{ state uint64 }

func newRandomSource(seed uint64) *randomSource {
	// a linear congruential step, so that near seeds part
	return &randomSource{state: seed*2862933555777941757 + 3037000493}
}

// float64 is the next number, from 0 to below 1.
func (s *randomSource) float64() float64 {
	s.state ^= s.state << 13
	s.state ^= s.state >> 7
	s.state ^= s.state << 17
	return float64(s.state>>11) / (1 << 53)
}

// jitter is a random delay below span: what happens to many containers at once is not followed by requests for all at
// once.
func (s *randomSource) jitter(span scheduler.Time) scheduler.Time {
	return scheduler.Time(s.float64() * float64(span))
}

// backoff is the delay before the request that follows a number of attempts, at least least: between half and the whole
// of a span that doubles with each attempt, at random, so that requests that were rejected together do not come again
// together.
func (s *randomSource) backoff(attempts int, least scheduler.Time) scheduler.Time {
	doublings := min(max(0, attempts-1), backoffMaxDoublings)
	span := min(backoffMax, backoffInitial<<doublings)
	return max(least, span/2) + s.jitter(span/2)
}
