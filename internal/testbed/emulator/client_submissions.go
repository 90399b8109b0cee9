package emulator

import (
	"fmt"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testbed/loopback"
)

const (
	idlePollInterval = 10 * time.Millisecond // between checks whether submissions may go on
	minRuntime       = 0.3                   // fraction of the mean
	runtimeSpread    = 1.4                   // added to the minimum at random
)

// WorkloadProfile describes the containers of one workload class that clients submit.
type WorkloadProfile struct {
	Share            float64 // fraction of all submissions
	Services         int
	Cores            []float64 // drawn at random, with Memory at the same index
	Memory           []float64
	MeanRuntime      time.Duration
	PlacementTimeout time.Duration
	RetryRejected    bool // retry after a retryable reject
	RetryUnanswered  bool // retry if the connection ended without a reply
}

// submission is one submitted container.
type submission struct {
	spec           protocol.ContainerSpec
	workload       int
	timeToDeadline time.Duration
	sentAt         time.Time
	scheduler      int // index into SchedulerAddrs
	placed         bool
	retries        int
}

// submitAll submits with exponentially distributed intervals, at the rate, until the clients are closed. It pauses
// while the rate is zero or too many submissions are without a reply.
func (c *Clients) submitAll() {
	next := time.Now()
	for {
		c.mu.Lock()
		rate := c.rate
		paused := rate <= 0 || c.MaxPending > 0 && c.countUnanswered() >= c.MaxPending
		c.mu.Unlock()
		if paused {
			if !c.sleep(idlePollInterval) {
				return
			}
			next = time.Now()
			continue
		}
		if wait := time.Until(next); wait > 0 && !c.sleep(wait) {
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
	runtime := time.Duration(float64(profile.MeanRuntime) * (minRuntime + runtimeSpread*c.rng.Float64()))
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

// submit sends a submission under a new container ID to a random scheduler, or to the next one that is connected.
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

// Redeploy cancels a random fraction of the placed containers and submits them again.
func (c *Clients) Redeploy(fraction float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, s := range c.outstanding {
		conn := c.conns[s.scheduler]
		if !s.placed || conn == nil || c.rng.Float64() >= fraction {
			continue
		}
		delete(c.outstanding, id)
		conn.send(&protocol.CancelContainer{ContainerID: id}) // dropped if the queue is full
		fresh := *s
		fresh.placed, fresh.spec.IdempotencyKey = false, ""
		c.submit(&fresh)
	}
}
