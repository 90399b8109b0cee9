package emulator

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testbed/loopback"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatencyMicros    = 60_000_000
	lateAfter           = time.Second // a placement that took longer counts as late
	defaultRetryDelay   = time.Second
	unansweredDelay     = 200 * time.Millisecond
	maxRetries          = 6  // with the default backoff
	maxRetriesOfBackoff = 12 // with a Backoff of the trial
	idlePause           = 10 * time.Millisecond
)

// WorkloadProfile is one sort of containers that clients submit.
type WorkloadProfile struct {
	Share            float64 // of all submissions
	Services         int
	Cores            []float64 // one of them by chance, with the memory at the same index
	Memory           []float64
	MeanRuntime      time.Duration
	PlacementTimeout time.Duration
	RetryRejected    bool // retried after a retryable rejection
	RetryUnanswered  bool // retried when the connection ended without an answer
}

// Tally counts what clients saw. Every submission ends in one of Placed, Rejected, Failed, NotAdmitted, Unanswered,
// Unsent and Pending.
type Tally struct {
	Submitted        int
	Placed           int
	Rejected         int
	Failed           int
	NotAdmitted      int
	Unanswered       int                     // the connection to the scheduler ended first
	DuplicateReplies int                     // replies beyond the first
	Retried          int                     // submissions that repeat an earlier one
	Ended            int                     // placed containers whose end a client was told of
	Evicted          int                     // of the ended, for memory
	Lost             int                     // of the ended, with their machine
	Unsent           int                     // no scheduler could be reached
	Pending          int                     // without an answer when the clients closed
	PlacedLate       int                     // of the placed, those that took more than a second
	PlacementLatency *hdrhistogram.Histogram // in microseconds
}

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

type submission struct {
	spec           protocol.ContainerSpec
	workload       int
	timeToDeadline time.Duration
	sentAt         time.Time
	scheduler      int // index of its address
	placed         bool
	retries        int
}

// Start begins to submit at a rate in submissions a second.
func (c *Clients) Start(rate float64, seed uint64) {
	c.rate = rate
	c.rng = rand.New(rand.NewPCG(seed, 5))
	c.stop = make(chan struct{})
	c.outstanding = map[string]*submission{}
	c.tally.PlacementLatency = hdrhistogram.New(1, maxLatencyMicros, 3)
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
	return c.pending()
}

func (c *Clients) pending() int {
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
	c.tally.Pending += c.pending()
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

func (c *Clients) submitAll() {
	next := time.Now()
	for {
		c.mu.Lock()
		rate := c.rate
		c.mu.Unlock()
		if rate <= 0 {
			if !c.pause(idlePause) {
				return
			}
			next = time.Now()
			continue
		}
		if wait := time.Until(next); wait > 0 && !c.pause(wait) {
			return
		}
		select {
		case <-c.stop:
			return
		default:
		}
		c.mu.Lock()
		next = next.Add(time.Duration(c.rng.ExpFloat64() / rate * float64(time.Second)))
		c.submit(c.drawSubmission())
		c.mu.Unlock()
	}
}

func (c *Clients) drawSubmission() *submission {
	workload := c.drawWorkload()
	profile := &c.Workloads[workload]
	service := c.rng.IntN(profile.Services)
	size := c.rng.IntN(len(profile.Cores))
	runtime := time.Duration(float64(profile.MeanRuntime) * (0.3 + 1.4*c.rng.Float64()))
	return &submission{
		workload:       workload,
		timeToDeadline: profile.PlacementTimeout,
		spec: protocol.ContainerSpec{
			Service:         fmt.Sprintf("service-%d-%d", workload, service),
			WorkloadClass:   workload,
			Tenant:          c.rng.IntN(max(1, c.Tenants)),
			Cores:           profile.Cores[size],
			Memory:          profile.Memory[size],
			ExpectedRuntime: toProtocol(runtime),
		},
	}
}

func (c *Clients) drawWorkload() int {
	x, workload := c.rng.Float64(), 0
	for i, profile := range c.Workloads {
		workload = i
		if x < profile.Share {
			break
		}
		x -= profile.Share
	}
	return workload
}

// submit sends a submission, under a new container id, to a scheduler by chance, or to the next one that is connected.
func (c *Clients) submit(s *submission) {
	c.lastID++
	s.spec.ContainerID = fmt.Sprint("c", c.lastID)
	if s.spec.IdempotencyKey == "" {
		s.spec.IdempotencyKey = fmt.Sprint("key", c.lastID)
	}
	c.tally.Submitted++
	first := c.rng.IntN(len(c.conns))
	for i := range c.conns {
		index := (first + i) % len(c.conns)
		conn := c.conns[index]
		if conn == nil {
			continue
		}
		s.scheduler, s.sentAt = index, time.Now()
		c.outstanding[s.spec.ContainerID] = s
		if !conn.send(&protocol.Submit{TimeToDeadline: toProtocol(s.timeToDeadline), Spec: s.spec}) {
			loopback.CloseQuietly(conn)
		}
		return
	}
	c.tally.Unsent++
}

// Redeploy cancels a part of the placed containers and submits all of that part again.
func (c *Clients) Redeploy(part float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, s := range c.outstanding {
		conn := c.conns[s.scheduler]
		if !s.placed || conn == nil || c.rng.Float64() >= part {
			continue
		}
		delete(c.outstanding, id)
		conn.send(&protocol.CancelContainer{ContainerID: id}) // a cancel that does not fit into the queue is dropped
		fresh := *s
		fresh.placed, fresh.spec.IdempotencyKey = false, ""
		c.submit(&fresh)
	}
}

// connectionLost ends what was outstanding at a scheduler. What may run and must not run twice is left alone; the rest
// is retried elsewhere.
func (c *Clients) connectionLost(scheduler int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[scheduler] = nil
	for id, s := range c.outstanding {
		if s.scheduler != scheduler {
			continue
		}
		delete(c.outstanding, id)
		if s.placed {
			continue
		}
		c.tally.Unanswered++
		if c.Workloads[s.workload].RetryUnanswered {
			c.retryLater(s, unansweredDelay)
		}
	}
}

// retryLater submits again after a delay, to which the default backoff adds a span by chance that doubles with each
// retry.
func (c *Clients) retryLater(s *submission, delay time.Duration) {
	limit := maxRetries
	if c.Backoff != nil {
		limit = maxRetriesOfBackoff
	}
	if s.retries >= limit {
		return
	}
	if c.Backoff == nil {
		delay += time.Duration(c.rng.Float64() * float64(delay) * float64(int(1)<<min(s.retries, 5)))
	}
	retry := &submission{spec: s.spec, workload: s.workload, timeToDeadline: s.timeToDeadline, retries: s.retries + 1}
	retry.spec.ClientRetry = true
	c.background.Go(func() {
		if !c.pause(delay) {
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.tally.Retried++
		c.submit(retry)
	})
}

func (c *Clients) handleFrame(scheduler int, frame protocol.Frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch frame := frame.(type) {
	case *protocol.PlacementReply:
		c.handleReply(scheduler, frame)
	case *protocol.Termination:
		c.handleTermination(frame)
	}
}

func (c *Clients) handleReply(scheduler int, reply *protocol.PlacementReply) {
	s := c.outstanding[reply.ContainerID]
	if s == nil || s.placed || s.scheduler != scheduler {
		c.tally.DuplicateReplies++
		return
	}
	switch reply.Verdict {
	case protocol.VerdictPlaced:
		c.markPlaced(s)
		return
	case protocol.VerdictRejected:
		c.tally.Rejected++
	case protocol.VerdictFailed:
		c.tally.Failed++
	case protocol.VerdictNotAdmitted:
		c.tally.NotAdmitted++
	}
	delete(c.outstanding, reply.ContainerID)
	if reply.Verdict == protocol.VerdictFailed || !c.Workloads[s.workload].RetryRejected {
		return
	}
	retryAfter := fromProtocol(reply.RetryAfter)
	delay := max(defaultRetryDelay, retryAfter)
	if c.Backoff != nil {
		delay = c.Backoff(s.retries, retryAfter)
	}
	c.retryLater(s, delay)
}

func (c *Clients) markPlaced(s *submission) {
	s.placed = true
	c.tally.Placed++
	latency := time.Since(s.sentAt)
	// A latency above the histogram's bound is not recorded, the error is ignored: the placement still counts as late.
	_ = c.tally.PlacementLatency.RecordValue(max(1, latency.Microseconds()))
	if latency > lateAfter {
		c.tally.PlacedLate++
	}
	if c.OnPlaced != nil {
		c.OnPlaced(s.workload, latency)
	}
}

func (c *Clients) handleTermination(termination *protocol.Termination) {
	s := c.outstanding[termination.ContainerID]
	if s == nil || !s.placed {
		return
	}
	delete(c.outstanding, termination.ContainerID)
	c.tally.Ended++
	switch {
	case termination.Reason == protocol.ReasonOutOfMemory:
		c.tally.Evicted++
	case termination.Outcome == protocol.OutcomeLost:
		c.tally.Lost++
	}
}
