package emulator

import (
	"time"

	"glenport/internal/protocol"
)

const (
	defaultRetryDelay   = time.Second
	unansweredDelay     = 200 * time.Millisecond
	maxRetries          = 6  // with the default backoff
	maxRetriesOfBackoff = 12 // with a Backoff of the trial
	maxBackoffDoublings = 5
)

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

// retryDelay is the delay before a rejected submission is retried.
func (c *Clients) retryDelay(s *submission, retryAfter time.Duration) time.Duration {
	if c.Backoff != nil {
		return c.Backoff(s.retries, retryAfter)
	}
	return max(defaultRetryDelay, retryAfter)
}

// retryLater submits again after a delay, to which the default backoff adds by chance up to a span that doubles with
// each retry.
func (c *Clients) retryLater(s *submission, delay time.Duration) {
	limit := maxRetries
	if c.Backoff != nil {
		limit = maxRetriesOfBackoff
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
	if reply.Verdict == protocol.VerdictPlaced {
		c.markPlaced(s)
		return
	}
	c.tally.countRefused(reply.Verdict)
	delete(c.outstanding, reply.ContainerID)
	if reply.Verdict == protocol.VerdictFailed || !c.Workloads[s.workload].RetryRejected {
		return
	}
	c.retryLater(s, c.retryDelay(s, fromProtocol(reply.RetryAfter)))
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
