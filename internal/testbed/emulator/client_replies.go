package emulator

import (
	"time"

	"glenport/internal/protocol"
)

const (
	defaultRetryDelay     = time.Second
	unansweredRetryDelay  = 200 * time.Millisecond
	maxRetries            = 6  // with the default backoff
	maxRetriesWithBackoff = 12 // if Clients.Backoff is set
	maxBackoffDoublings   = 5
)

// connectionLost drops the outstanding submissions of a scheduler. Unanswered ones are submitted again if their
// workload allows it: their container may be running already, and some workloads must not run twice.
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
			c.scheduleRetry(s, unansweredRetryDelay)
		}
	}
}

// retryDelay returns the delay before a rejected submission is retried.
func (c *Clients) retryDelay(s *submission, retryAfter time.Duration) time.Duration {
	if c.Backoff != nil {
		return c.Backoff(s.retries, retryAfter)
	}
	return max(defaultRetryDelay, retryAfter)
}

// scheduleRetry submits again after a delay. The default backoff adds random jitter with a bound that doubles with each
// retry.
func (c *Clients) scheduleRetry(s *submission, delay time.Duration) {
	limit := maxRetries
	if c.Backoff != nil {
		limit = maxRetriesWithBackoff
	}
	if s.retries >= limit {
		return
	}
	if c.Backoff == nil {
		doublings := min(s.retries, maxBackoffDoublings)
		delay += time.Duration(c.rng.Float64() * float64(delay) * float64(int(1)<<doublings))
	}
	retry := &submission{spec: s.spec, workload: s.workload, timeToDeadline: s.timeToDeadline, retries: s.retries + 1}
	retry.spec.ClientRetry = true
	c.background.Go(func() {
		if !c.sleep(delay) {
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
	if reply.Verdict == protocol.VerdictPlaced {
		c.markPlaced(s)
		return
	}
	c.tally.countNotPlaced(reply.Verdict)
	delete(c.outstanding, reply.ContainerID)
	if reply.Verdict == protocol.VerdictFailed || !c.Workloads[s.workload].RetryRejected {
		return
	}
	c.scheduleRetry(s, c.retryDelay(s, fromProtocol(reply.RetryAfter)))
}

func (c *Clients) markPlaced(s *submission) {
	s.placed = true
	latency := time.Since(s.sentAt)
	c.tally.countPlaced(latency)
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
	c.tally.countEnded(termination)
}
