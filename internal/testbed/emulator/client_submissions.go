package emulator

import (
	"fmt"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testbed/loopback"
)

const (
	idlePause     = 10 * time.Millisecond // between two looks at a rate of zero
	minRuntime    = 0.3                   // part of the mean, with the spread
	runtimeSpread = 1.4
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

// submission is a container as a client submits it.
type submission struct {
	spec           protocol.ContainerSpec
	workload       int
	timeToDeadline time.Duration
	sentAt         time.Time
	scheduler      int // index of its address
	placed         bool
	retries        int
}

// submitAll submits by chance at the rate until the clients close.
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
