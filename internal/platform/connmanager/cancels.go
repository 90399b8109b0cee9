package connmanager

import "slices"

// Limits of the cancels that are held until they are certain. Where no connection comes up all tries are over within
// some ten seconds; one that is sent is certain, or its connection has failed, within cancelCertainAfter.
const (
	maxCancels          = 1024
	maxCancelTries      = 8
	firstCancelInterval = Second / 4 // between the first two tries; it doubles up to
	lastCancelInterval  = 2 * Second
	// as long as the failure detector waits for a machine that is silent, and may only be cut off
	cancelCertainAfter = 6*Second + Second/2
)

// Cancel orders the end of a copy of a container that may be running at a machine, and that nobody wants.
type Cancel struct{ Machine, RequestID string }

// MachineConnID identifies a connection to a machine; 0 is none.
type MachineConnID uint64

// Cancels holds the cancels that a machine may not have read yet. The protocol has no acknowledgement of a cancel:
// machines report the end of a container that one has cut, but not that there was none. So a cancel is certain once
//
//   - its machine reports the end of the container,
//   - its connection was closed by this side and not reset, or
//   - its connection has been up for cancelCertainAfter.
//
// TCP repeats what was written until the peer has it, in order, and goes on with it after a close: a message is lost
// only where the connection fails first.
//
// Where the connection fails earlier the cancel is sent again. A machine that has read it already ignores it: the
// container is not there. Nothing that runs is harmed by a repeat either, as it belongs to the same copy; the process
// settles a cancel whose container is wanted at the machine again.
type Cancels struct {
	pending []*pendingCancel // the earliest first, at most maxCancels
}

// pendingCancel is a cancel that is not certain.
type pendingCancel struct {
	Cancel
	tries     int
	triedAt   Time
	nextTryAt Time
	conn      MachineConnID // that carries it, or will once it is established; 0: it is to be tried
}

// Add takes in a cancel, which is due at once. At the bound the earliest is dropped for it.
func (c *Cancels) Add(now Time, cancel Cancel) {
	c.Settle(cancel)
	excess := max(0, len(c.pending)+1-maxCancels)
	c.pending = append(slices.Delete(c.pending, 0, excess), &pendingCancel{Cancel: cancel, nextTryAt: now})
}

// Holds reports whether a cancel is held: it is not certain yet, and not settled.
func (c *Cancels) Holds(cancel Cancel) bool {
	return slices.ContainsFunc(c.pending, func(p *pendingCancel) bool { return p.Cancel == cancel })
}

// Due returns the cancels that are to be tried now. It drops those that are certain or were tried too often.
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

// Tried takes in a try of a cancel: conn carries it, or will once it is established; 0 says that there was none.
func (c *Cancels) Tried(now Time, cancel Cancel, conn MachineConnID) {
	for _, p := range c.pending {
		if p.Cancel == cancel {
			p.nextTryAt = now + p.nextInterval()
			p.tries++
			p.triedAt, p.conn = now, conn
		}
	}
}

// ConnFailed has the cancels tried again that a connection was to carry.
func (c *Cancels) ConnFailed(conn MachineConnID) {
	for _, p := range c.pending {
		if p.conn == conn {
			p.conn = 0
		}
	}
}

// ConnClosedHere settles the cancels that a connection has carried: this side has closed it, and it was not reset.
func (c *Cancels) ConnClosedHere(conn MachineConnID) {
	c.remove(func(p *pendingCancel) bool { return p.conn == conn })
}

// Settle ends a cancel, if it is held: the container is not at the machine, or is wanted there.
func (c *Cancels) Settle(cancel Cancel) {
	c.remove(func(p *pendingCancel) bool { return p.Cancel == cancel })
}

// MachineGone ends the cancels for a machine that is gone or has started anew: what it ran has ended.
func (c *Cancels) MachineGone(machine string) {
	c.remove(func(p *pendingCancel) bool { return p.Machine == machine })
}

func (c *Cancels) remove(over func(*pendingCancel) bool) {
	c.pending = slices.DeleteFunc(c.pending, over)
}

func (p *pendingCancel) isCertain(now Time) bool {
	return p.conn != 0 && now-p.triedAt >= cancelCertainAfter
}

func (p *pendingCancel) isGivenUp(now Time) bool {
	return p.conn == 0 && p.tries >= maxCancelTries && now >= p.nextTryAt
}

// nextInterval is the time from a try to the one after it.
func (p *pendingCancel) nextInterval() Time {
	return min(firstCancelInterval<<p.tries, lastCancelInterval)
}
