package emulator

import (
	"math/rand/v2"
	"sync"
	"time"

	"glenport/internal/testbed/loopback"
)

// Clients submit containers to schedulers in an open loop: the next submission never waits for an answer. The exported
// fields are set before Start.
type Clients struct {
	SchedulerAddrs []string
	Workloads      []WorkloadProfile
	Tenants        int
	// Backoff is the delay before a retry, given how many came before and the scheduler's retry-after; nil: the
	// retry-after, at least a second, spread by chance. It is called with the clients' lock held.
	Backoff func(retries int, retryAfter time.Duration) time.Duration
	// OnPlaced is called for each placement, with the lock held; may be nil.
	OnPlaced func(workload int, latency time.Duration)

	mu          sync.Mutex
	rate        float64 // submissions a second
	conns       []*clientConn
	outstanding map[string]*submission // by container, until its end is known
	tally       Tally
	rng         *rand.Rand
	lastID      int
	stop        chan struct{}
	background  sync.WaitGroup
}

// Start begins to submit at a rate in submissions a second.
func (c *Clients) Start(rate float64, seed uint64) {
	c.rate = rate
	c.rng = rand.New(rand.NewPCG(seed, 5))
	c.stop = make(chan struct{})
	c.outstanding = map[string]*submission{}
	c.tally.PlacementLatency = newLatencyHistogram()
	c.conns = make([]*clientConn, len(c.SchedulerAddrs))
	for i := range c.SchedulerAddrs {
		c.background.Go(func() { c.maintainConn(i) })
	}
	c.background.Go(c.submitAll)
}

// SetRate changes the rate; at 0 nothing new is submitted.
func (c *Clients) SetRate(perSecond float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rate = perSecond
}

// Pending is the number of containers without an answer.
func (c *Clients) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.countUnanswered()
}

// countUnanswered counts the submissions without an answer.
func (c *Clients) countUnanswered() int {
	count := 0
	for _, s := range c.outstanding {
		if !s.placed {
			count++
		}
	}
	return count
}

// Snapshot is the tally so far, without latencies.
func (c *Clients) Snapshot() Tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	tally := c.tally
	tally.PlacementLatency = nil
	return tally
}

// Retried is the number of retries so far.
func (c *Clients) Retried() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tally.Retried
}

// Close ends the clients and returns what they saw.
func (c *Clients) Close() Tally {
	close(c.stop)
	c.mu.Lock()
	for _, conn := range c.conns {
		if conn != nil {
			loopback.CloseQuietly(conn)
		}
	}
	c.mu.Unlock()
	c.background.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally.Pending += c.countUnanswered()
	return c.tally
}

// pause waits and reports whether the clients go on.
func (c *Clients) pause(d time.Duration) bool {
	select {
	case <-c.stop:
		return false
	case <-time.After(d):
		return true
	}
}
