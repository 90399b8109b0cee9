package emulator

import (
	"math/rand/v2"
	"sync"
	"time"

	"glenport/internal/testbed/loopback"
)

// Clients submits containers to schedulers in an open loop: a submission does not wait for the reply to an earlier one,
// unless MaxPending is set. The exported fields are set before Start.
type Clients struct {
	SchedulerAddrs []string
	Workloads      []WorkloadProfile
	Tenants        int
	MaxPending     int // pause new submissions while this many are without a reply; 0: no limit
	// Backoff returns the delay before a retry from the number of earlier retries and the retry-after of the scheduler.
	// nil: the retry-after, at least a second, with random jitter. It is called with the lock of Clients held.
	Backoff func(retries int, retryAfter time.Duration) time.Duration
	// OnPlaced is called for each placement with the lock of Clients held; may be nil.
	OnPlaced func(workload int, latency time.Duration)

	mu          sync.Mutex
	rate        float64 // submissions per second
	conns       []*clientConn
	outstanding map[string]*submission // by container ID, until rejected, ended or disconnected
	tally       Tally
	rng         *rand.Rand
	lastID      int
	stop        chan struct{}
	background  sync.WaitGroup
}

// Start starts to submit at a rate in submissions per second.
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

// SetRate changes the rate. At 0 no new containers are submitted.
func (c *Clients) SetRate(perSecond float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rate = perSecond
}

// Pending returns the number of submissions without a reply.
func (c *Clients) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.countUnanswered()
}

// countUnanswered counts the submissions without a reply. The lock is held.
func (c *Clients) countUnanswered() int {
	count := 0
	for _, s := range c.outstanding {
		if !s.placed {
			count++
		}
	}
	return count
}

// Snapshot returns the current tally without the latencies.
func (c *Clients) Snapshot() Tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	tally := c.tally
	tally.PlacementLatency = nil
	return tally
}

// Retried returns the number of retries so far.
func (c *Clients) Retried() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tally.Retried
}

// Close stops the clients and returns the final tally.
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

// sleep waits for d; it returns false at once if the clients are closed.
func (c *Clients) sleep(d time.Duration) bool {
	select {
	case <-c.stop:
		return false
	case <-time.After(d):
		return true
	}
}
