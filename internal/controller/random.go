package controller

import "glenport/scheduler"

const (
	// backoffInitial is the backoff after the first request that was not accepted. Each further such request doubles
	// it.
	backoffInitial      = scheduler.Second
	backoffMax          = 16 * scheduler.Second
	backoffMaxDoublings = 5
	// restartDelay is the base of the delays that do not follow a rejected request.
	restartDelay = 100 * scheduler.Millisecond
)

// randomSource is a seeded xorshift generator.
type randomSource struct{ state uint64 }

func newRandomSource(seed uint64) *randomSource {
	// A linear congruential step separates the sequences of adjacent seeds.
	return &randomSource{state: seed*2862933555777941757 + 3037000493}
}

// float64 returns the next number, from 0 to below 1.
func (s *randomSource) float64() float64 {
	s.state ^= s.state << 13
	s.state ^= s.state >> 7
	s.state ^= s.state << 17
	return float64(s.state>>11) / (1 << 53)
}

// jitter returns a random delay below span. It spreads out the requests that follow an event of many containers.
func (s *randomSource) jitter(span scheduler.Time) scheduler.Time {
	return scheduler.Time(s.float64() * float64(span))
}

// backoff returns the delay before the next request after a number of attempts. The delay is at least minimum. It is
// drawn between half and the whole of a span that doubles with each attempt, so that requests that were rejected
// together are not repeated together.
func (s *randomSource) backoff(attempts int, minimum scheduler.Time) scheduler.Time {
	doublings := min(max(0, attempts-1), backoffMaxDoublings)
	span := min(backoffMax, backoffInitial<<doublings)
	return max(minimum, span/2) + s.jitter(span/2)
}
