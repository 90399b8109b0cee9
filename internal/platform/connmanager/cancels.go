package connmanager

import "slices"

// Limits of pending cancels. If no connection can be established, all tries are exhausted within about ten seconds. If
// the cancel was sent, it becomes certain or its connection fails within cancelCertainAfter.
const (
	maxCancels          = 1024
	maxCancelTries      = 8
	firstCancelInterval = Second / 4 // between the first two tries; doubles with each further try
	lastCancelInterval  = 2 * Second // upper limit of the doubling
	// the silence after which the failure detector declares a machine lost; a shorter silence may be a network
	// partition
	cancelCertainAfter = 6*Second + Second/2
)

// Cancel orders a machine to end a copy of a container that may be running there and is not wanted.
type Cancel struct{ Machine, RequestID string }

// MachineConnID identifies a connection to a machine; 0 means no connection.
type MachineConnID uint64

// Cancels holds the cancels that their machine may not have read yet. The protocol has no acknowledgement of a cancel:
// a machine reports the end of a container that was cancelled, but not that it had no such container. Therefore a
// cancel is certain to have been read once
//
//   - its machine reports the end of the container,
//   - its connection was closed by this side and not reset, or
//   - its connection has been up for cancelCertainAfter.
//
// TCP retransmits written data in order until the peer has acknowledged it, even after a close. A message is lost only
// if the connection fails before that.
//
// If the connection fails earlier, the cancel is resent. A machine that has already read it ignores the repeat, because
// it no longer has the container. A repeat cannot end another container, because it names the same request. If the
// container is wanted at the machine again, the process calls Discard.
type Cancels struct {
	pending []*pendingCancel // oldest first, at most maxCancels
}

// pendingCancel is a cancel that is not yet certain to have been read.
type pendingCancel struct {
	Cancel
	tries     int
	triedAt   Time
	nextTryAt Time
	conn      MachineConnID // carries the cancel, or will once established; 0: the cancel has to be tried
}

// Add adds a cancel, which is due immediately. If there are maxCancels already, the oldest is dropped.
func (c *Cancels) Add(now Time, cancel Cancel) {
	c.Discard(cancel)
	excess := max(0, len(c.pending)+1-maxCancels)
	c.pending = append(slices.Delete(c.pending, 0, excess), &pendingCancel{Cancel: cancel, nextTryAt: now})
}

// IsPending reports whether a cancel was added and has not been removed since.
func (c *Cancels) IsPending(cancel Cancel) bool {
	return slices.ContainsFunc(c.pending, func(p *pendingCancel) bool { return p.Cancel == cancel })
}

// Due returns the cancels that have to be tried now. It removes those that are certain to have been read and those that
// have no tries left.
func (c *Cancels) Due(now Time) []Cancel {
	c.remove(func(p *pendingCancel) bool { return p.isCertain(now) || p.isGivenUp(now) })
	var due []Cancel
	for _, p := range c.pending {
		if p.conn == 0 && now >= p.nextTryAt {
			due = append(due, p.Cancel)
		}
	}
	return due
}

// RecordTry records a try of a cancel. conn carries the cancel, or will once established; 0 means that no connection
// was available.
func (c *Cancels) RecordTry(now Time, cancel Cancel, conn MachineConnID) {
	for _, p := range c.pending {
		if p.Cancel == cancel {
			p.nextTryAt = now + p.nextInterval()
			p.tries++
			p.triedAt, p.conn = now, conn
		}
	}
}

// ConnFailed schedules another try of each cancel that the failed connection was to carry.
func (c *Cancels) ConnFailed(conn MachineConnID) {
	for _, p := range c.pending {
		if p.conn == conn {
			p.conn = 0
		}
	}
}

// ConnClosedLocally removes the cancels carried by a connection that this side has closed and that was not reset. They
// are certain to have been read.
func (c *Cancels) ConnClosedLocally(conn MachineConnID) {
	c.remove(func(p *pendingCancel) bool { return p.conn == conn })
}

// Discard removes a cancel, if it is pending. The process calls it when the container has ended at the machine or is
// wanted there again.
func (c *Cancels) Discard(cancel Cancel) {
	c.remove(func(p *pendingCancel) bool { return p.Cancel == cancel })
}

// MachineGone removes the cancels for a machine that has left or restarted: its containers have ended.
func (c *Cancels) MachineGone(machine string) {
	c.remove(func(p *pendingCancel) bool { return p.Machine == machine })
}

func (c *Cancels) remove(matches func(*pendingCancel) bool) {
	c.pending = slices.DeleteFunc(c.pending, matches)
}

func (p *pendingCancel) isCertain(now Time) bool {
	return p.conn != 0 && now-p.triedAt >= cancelCertainAfter
}

func (p *pendingCancel) isGivenUp(now Time) bool {
	return p.conn == 0 && p.tries >= maxCancelTries && now >= p.nextTryAt
}

// nextInterval returns the time between the try that is being recorded and the next one.
func (p *pendingCancel) nextInterval() Time {
	return min(firstCancelInterval<<p.tries, lastCancelInterval)
}
