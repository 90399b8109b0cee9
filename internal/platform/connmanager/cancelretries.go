package connmanager

// This file decides when a pending cancel is tried again.

func (c *Cancels) insert(p *pendingCancel) {
	if c.pending == nil {
		c.pending = map[Cancel]*pendingCancel{}
	}
	c.pending[p.Cancel] = p
	if !p.owned {
		c.countBounded()
	}
	c.queue = append(c.queue, p)
}

// Repeat makes a termination due that its client has ordered again, unless it was tried within minTerminationInterval:
// then it becomes due after that time.
func (c *Cancels) Repeat(now Time, cancel Cancel) {
	if p := c.pending[cancel]; p != nil && p.termination {
		p.nextTryAt = min(p.nextTryAt, max(now, p.triedAt+minTerminationInterval))
	}
}

// RecordTry records a try of a cancel. conn carries the cancel, or will once established; 0 means that no connection
// was available.
func (c *Cancels) RecordTry(now Time, cancel Cancel, conn MachineConnID) {
	p := c.pending[cancel]
	if p == nil {
		return
	}
	interval := backoff(firstCancelInterval, lastCancelInterval, p.tries)
	if p.termination && conn != 0 {
		if p.conn != 0 {
			p.expired++ // the earlier connection is still open
		}
		interval = backoff(firstReportTimeout, lastReportTimeout, p.expired)
	}
	p.nextTryAt = now + interval
	p.tries++
	p.triedAt, p.conn = now, conn
}

// RecordSent records that the message of a pending termination was written. The machine is reachable, so earlier tries
// without a send do not delay the next one.
func (c *Cancels) RecordSent(cancel Cancel) {
	if p := c.pending[cancel]; p != nil && p.termination {
		p.sends++
		p.tries = p.sends
	}
}

// ConnFailed schedules another try of each cancel that the failed connection was to carry. It reports whether there was
// a termination among them: its first repeat is due at once.
func (c *Cancels) ConnFailed(conn MachineConnID) (terminations bool) {
	for _, p := range c.queue {
		if p.removed || p.conn != conn {
			continue
		}
		p.conn = 0
		if p.termination {
			terminations = true
			p.nextTryAt = p.triedAt + p.terminationRetryInterval()
		}
	}
	return terminations
}

// MachineReachable makes the terminations due that wait for a connection to a machine, which has just accepted one. It
// reports whether there are any.
func (c *Cancels) MachineReachable(now Time, machine string) (due bool) {
	for _, p := range c.queue {
		if !p.removed && p.termination && p.conn == 0 && p.Machine == machine {
			p.nextTryAt = min(p.nextTryAt, max(now, p.triedAt+minTerminationInterval))
			due = due || now >= p.nextTryAt
		}
	}
	return due
}

// ConnClosedLocally removes the cancels of copies carried by a connection that this side has closed and that was not
// reset. They are certain to have been read. A termination waits for the report of its machine.
func (c *Cancels) ConnClosedLocally(conn MachineConnID) {
	for _, p := range c.queue {
		switch {
		case p.conn != conn:
		case p.termination:
			p.conn = 0
			p.expired++
		default:
			c.remove(p)
		}
	}
}

func (c *Cancels) remove(p *pendingCancel) {
	if p.removed {
		return
	}
	p.removed = true
	delete(c.pending, p.Cancel)
	if !p.owned {
		c.bounded--
	}
}

func (p *pendingCancel) due() DueCancel {
	if !p.termination {
		return DueCancel{Cancel: p.Cancel}
	}
	return DueCancel{Cancel: p.Cancel, TriedAt: p.triedAt}
}

func (p *pendingCancel) isCertain(now Time) bool {
	return !p.termination && p.conn != 0 && now-p.triedAt >= cancelCertainAfter
}

func (p *pendingCancel) isGivenUp(now Time) bool {
	if p.owned || now < p.nextTryAt {
		return false
	}
	if p.termination {
		return p.isUnreported(now)
	}
	return p.conn == 0 && p.tries >= maxCancelTries
}

func (p *pendingCancel) isUnreported(now Time) bool {
	return p.termination && p.expired >= maxExpiredReports && now >= p.nextTryAt
}

// terminationRetryInterval returns the time from the latest try of a termination to the next one after its connection
// has failed. The first repeat follows at once, because a client may request the container again half a second after it
// has ordered the end.
func (p *pendingCancel) terminationRetryInterval() Time {
	if p.tries <= 1 {
		return 0
	}
	return backoff(firstCancelInterval, lastCancelInterval, p.tries-2)
}

// backoff returns first doubled the given number of times, and at most last.
func backoff(first, last Time, doublings int) Time {
	interval := first
	for range doublings {
		if interval >= last {
			break
		}
		interval *= 2
	}
	return min(interval, last)
}
