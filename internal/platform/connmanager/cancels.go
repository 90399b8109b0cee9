package connmanager

import "slices"

// Limits of pending cancels. If no connection can be established, all tries of the cancel of a copy are exhausted
// within about ten seconds. If the cancel was sent, it becomes certain or its connection fails within
// cancelCertainAfter.
const (
	maxCancels          = 1024       // of copies
	maxCancelTries      = 8          // of the cancel of a copy
	firstCancelInterval = Second / 4 // between the first two tries; doubles with each further try
	lastCancelInterval  = 2 * Second // upper limit of the doubling
	// the silence after which the failure detector declares a machine lost; a shorter silence may be a network
	// partition
	cancelCertainAfter = 6*Second + Second/2

	// time within which a machine reports the end of a container that it was ordered to end; doubles with each try
	firstReportTimeout = Second
	lastReportTimeout  = 8 * Second // upper limit of the doubling
	// a client that repeats its order is not passed on to the machine more often
	minTerminationInterval = Second / 4
)

// Cancel identifies an order to a machine to end a container.
type Cancel struct{ Machine, RequestID string }

// MachineConnID identifies a connection to a machine; 0 means no connection.
type MachineConnID uint64

// DueCancel is a cancel that has to be tried now.
type DueCancel struct {
	Cancel
	// The connection on which it was sent last without effect, if that is still open; 0: none. Another connection is to
	// carry the next try.
	Avoid MachineConnID
}

// Cancels holds the orders to end a container that their machine may not have read yet. There are two kinds: the cancel
// of a copy that may be running and is not wanted, and the termination of a running container whose client has ordered
// its end.
//
// The protocol has no acknowledgement of such an order: a machine reports the end of a container that was cancelled,
// but not that it had no such container. Therefore the cancel of a copy is certain to have been read once
//
//   - its machine reports the end of the container,
//   - its connection was closed by this side and not reset, or
//   - its connection has been up for cancelCertainAfter.
//
// TCP retransmits written data in order until the peer has acknowledged it, even after a close. A message is lost only
// if the connection fails before that. If the connection fails earlier, the cancel is resent.
//
// The container of a termination is known to run, so its machine reports the end. Nothing else confirms a termination:
// it is resent when its connection fails, and when the report does not arrive in time, because the machine may have
// forgotten the connection. The owner of the container discards the termination when the container is lost.
//
// A machine that has already read the order ignores the repeat, because it no longer has the container. A repeat cannot
// end another container, because it names the same request. If the container is wanted at the machine again, the
// process calls Discard.
type Cancels struct {
	pending map[Cancel]*pendingCancel
	queue   []*pendingCancel // oldest first; removed ones stay until the next call of Due
	copies  int              // number of pending cancels of copies, at most maxCancels
}

// pendingCancel is a cancel that is not yet certain to have been read.
type pendingCancel struct {
	Cancel
	termination bool // the container is known to run
	cause       int  // of a termination, as its message states it
	removed     bool
	tries       int
	triedAt     Time
	nextTryAt   Time
	conn        MachineConnID // carries the cancel, or will once established; 0: the cancel has to be tried
}

// Add adds the cancel of a copy, which is due immediately. If there are maxCancels already, the oldest is dropped.
func (c *Cancels) Add(now Time, cancel Cancel) {
	c.Discard(cancel)
	if c.copies >= maxCancels {
		c.dropOldestCopy()
	}
	c.insert(&pendingCancel{Cancel: cancel, nextTryAt: now})
}

// AddTermination adds the termination of a running container with the cause that its message states. It is due
// immediately. The process discards it when the container has ended, so there are at most as many as running
// containers.
func (c *Cancels) AddTermination(now Time, cancel Cancel, cause int) {
	c.Discard(cancel)
	c.insert(&pendingCancel{Cancel: cancel, nextTryAt: now, termination: true, cause: cause})
}

func (c *Cancels) insert(p *pendingCancel) {
	if c.pending == nil {
		c.pending = map[Cancel]*pendingCancel{}
	}
	c.pending[p.Cancel] = p
	c.queue = append(c.queue, p)
	if !p.termination {
		c.copies++
	}
}

func (c *Cancels) dropOldestCopy() {
	for _, p := range c.queue {
		if !p.removed && !p.termination {
			c.remove(p)
			return
		}
	}
}

// IsPending reports whether a cancel was added and has not been removed since.
func (c *Cancels) IsPending(cancel Cancel) bool { return c.pending[cancel] != nil }

// Termination returns the cause of a pending termination. It returns false if the cancel is of a copy, or not pending.
func (c *Cancels) Termination(cancel Cancel) (cause int, ok bool) {
	p := c.pending[cancel]
	if p == nil || !p.termination {
		return 0, false
	}
	return p.cause, true
}

// Repeat makes a termination due that its client has ordered again, unless it was tried within minTerminationInterval:
// then it becomes due after that time.
func (c *Cancels) Repeat(now Time, cancel Cancel) {
	if p := c.pending[cancel]; p != nil && p.termination {
		p.nextTryAt = min(p.nextTryAt, max(now, p.triedAt+minTerminationInterval))
	}
}

// Due returns the cancels that have to be tried now, the oldest first. It removes those of copies that are certain to
// have been read and those that have no tries left.
func (c *Cancels) Due(now Time) []DueCancel {
	var due []DueCancel
	for _, p := range c.queue {
		switch {
		case p.removed:
		case p.isCertain(now) || p.isGivenUp(now):
			c.remove(p)
		case now >= p.nextTryAt && (p.conn == 0 || p.termination):
			due = append(due, DueCancel{Cancel: p.Cancel, Avoid: p.conn})
		}
	}
	c.queue = slices.DeleteFunc(c.queue, func(p *pendingCancel) bool { return p.removed })
	return due
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
		interval = backoff(firstReportTimeout, lastReportTimeout, p.tries)
	}
	p.nextTryAt = now + interval
	p.tries++
	p.triedAt, p.conn = now, conn
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
			p.nextTryAt = min(p.nextTryAt, p.triedAt+p.terminationRetryInterval())
		}
	}
	return terminations
}

// ConnClosedLocally removes the cancels of copies carried by a connection that this side has closed and that was not
// reset. They are certain to have been read. A termination waits for the report of its machine.
func (c *Cancels) ConnClosedLocally(conn MachineConnID) {
	for _, p := range c.queue {
		switch {
		case p.conn != conn:
		case p.termination:
			p.conn = 0
		default:
			c.remove(p)
		}
	}
}

// Discard removes a cancel, if it is pending. The process calls it when the container has ended at the machine or is
// wanted there again.
func (c *Cancels) Discard(cancel Cancel) {
	if p := c.pending[cancel]; p != nil {
		c.remove(p)
	}
}

// MachineGone removes the cancels for a machine that has left or restarted: its containers have ended.
func (c *Cancels) MachineGone(machine string) {
	for _, p := range c.queue {
		if p.Machine == machine {
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
	if !p.termination {
		c.copies--
	}
}

func (p *pendingCancel) isCertain(now Time) bool {
	return !p.termination && p.conn != 0 && now-p.triedAt >= cancelCertainAfter
}

func (p *pendingCancel) isGivenUp(now Time) bool {
	return !p.termination && p.conn == 0 && p.tries >= maxCancelTries && now >= p.nextTryAt
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
