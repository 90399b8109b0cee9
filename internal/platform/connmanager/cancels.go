package connmanager

import "slices"

// Limits of pending cancels. If no connection can be established, all tries of the cancel of a copy are exhausted
// within about ten seconds. If the cancel was sent, it becomes certain or its connection fails within
// cancelCertainAfter.
const (
	maxCancels          = 1024       // of copies, and of containers that count as lost
	maxCancelTries      = 8          // of the cancel of a copy
	firstCancelInterval = Second / 4 // between the first two tries; doubles with each further try
	lastCancelInterval  = 2 * Second // upper limit of the doubling
	// the silence after which the failure detector declares a machine lost; a shorter silence may be a network
	// partition
	cancelCertainAfter = 6*Second + Second/2

	// time within which a machine reports the end of a container that it was ordered to end; doubles with each expiry
	firstReportTimeout = Second
	lastReportTimeout  = 8 * Second // upper limit of the doubling
	// neither a client that repeats its order nor further connections make the tries more frequent
	minTerminationInterval = Second / 4
	// a machine that has let so many of these times expire does not have the container
	maxExpiredReports = 8
)

// Cancel identifies an order to a machine to end a container.
type Cancel struct{ Machine, RequestID string }

// MachineConnID identifies a connection to a machine; 0 means no connection.
type MachineConnID uint64

// DueCancel is a cancel that has to be tried now.
type DueCancel struct {
	Cancel
	// The time of the latest try of a termination; 0: it was not tried. A connection that was opened later is to carry
	// the next try, because the machine may have forgotten all earlier ones.
	TriedAt Time
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
// forgotten the connection. After maxExpiredReports it is given up. If the container counts as lost meanwhile, it may
// still be running: the process calls Release, and the termination is tried on until the machine reports the end,
// leaves or restarts.
//
// A machine that has already read the order ignores the repeat, because it no longer has the container. A repeat cannot
// end another container, because it names the same request. If the container is wanted at the machine again, the
// process calls Discard.
type Cancels struct {
	pending map[Cancel]*pendingCancel
	queue   []*pendingCancel // oldest first; removed ones stay until the next call of Due
	bounded int              // number of pending cancels without an owner, at most maxCancels
}

// pendingCancel is a cancel that is not yet certain to have been read.
type pendingCancel struct {
	Cancel
	termination bool // the container is known to run
	cause       int  // of a termination, as its message states it
	owned       bool // a running container of the process owns the termination
	sends       int  // how often a termination was sent
	expired     int  // how often no report came in time, although the connection did not fail
	removed     bool
	addedAt     Time
	tries       int
	triedAt     Time
	nextTryAt   Time
	conn        MachineConnID // carries the cancel, or will once established; 0: the cancel has to be tried
}

// Add adds the cancel of a copy, which is due immediately. If there are maxCancels already, the oldest is dropped.
func (c *Cancels) Add(now Time, cancel Cancel) {
	c.Discard(cancel)
	c.insert(&pendingCancel{Cancel: cancel, addedAt: now, nextTryAt: now})
}

// AddTermination adds the termination of a running container with the cause that its message states. It is due
// immediately. The process discards it when the container has ended, so there are at most as many as running
// containers.
func (c *Cancels) AddTermination(now Time, cancel Cancel, cause int) {
	c.Discard(cancel)
	c.insert(&pendingCancel{
		Cancel: cancel, addedAt: now, nextTryAt: now, termination: true, cause: cause, owned: true,
	})
}

// countBounded counts one more cancel without an owner. If there are maxCancels already, the oldest is dropped.
func (c *Cancels) countBounded() {
	if c.bounded >= maxCancels {
		i := slices.IndexFunc(c.queue, func(p *pendingCancel) bool { return !p.removed && !p.owned })
		c.remove(c.queue[i])
	}
	c.bounded++
}

// Release records that the container of a pending termination counts as lost, although it may still be running.
func (c *Cancels) Release(cancel Cancel) {
	p := c.pending[cancel]
	if p == nil || !p.owned {
		return
	}
	c.countBounded()
	p.owned = false
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

// Unconfirmed removes the terminations of running containers that let maxExpiredReports times expire without a report,
// and returns them. Their machine does not have the container.
func (c *Cancels) Unconfirmed(now Time) []Cancel {
	var unconfirmed []Cancel
	for _, p := range c.queue {
		if !p.removed && p.owned && p.isUnreported(now) {
			unconfirmed = append(unconfirmed, p.Cancel)
			c.remove(p)
		}
	}
	return unconfirmed
}

// Due returns the cancels that have to be tried now, the oldest first. It removes those of copies that are certain to
// have been read and those without an owner that have no tries left.
func (c *Cancels) Due(now Time) []DueCancel {
	var due []DueCancel
	for _, p := range c.queue {
		switch {
		case p.removed:
		case p.isCertain(now) || p.isGivenUp(now):
			c.remove(p)
		case now >= p.nextTryAt && (p.conn == 0 || p.termination):
			due = append(due, p.due())
		}
	}
	c.queue = slices.DeleteFunc(c.queue, func(p *pendingCancel) bool { return p.removed })
	return due
}

// Unsent returns the number of cancels that no connection carries, and of terminations without a report.
func (c *Cancels) Unsent() int {
	unsent := 0
	for _, p := range c.queue {
		if !p.removed && (p.conn == 0 || p.termination) {
			unsent++
		}
	}
	return unsent
}

// Discard removes a cancel, if it is pending. The process calls it when the container has ended at the machine or is
// wanted there again.
func (c *Cancels) Discard(cancel Cancel) {
	if p := c.pending[cancel]; p != nil {
		c.remove(p)
	}
}

// MachineGone removes the cancels for a machine that has left: its containers have ended. The terminations of
// containers that the process still counts as running stay.
func (c *Cancels) MachineGone(machine string) {
	c.removeFor(machine, func(*pendingCancel) bool { return true })
}

// MachineRestarted removes the cancels for a machine that were added before it restarted: the containers of that time
// have ended. Containers that the machine has accepted since may be running, although the process learns of the restart
// only now.
func (c *Cancels) MachineRestarted(machine string, restartedAt Time) {
	c.removeFor(machine, func(p *pendingCancel) bool { return p.addedAt <= restartedAt })
}

func (c *Cancels) removeFor(machine string, matches func(*pendingCancel) bool) {
	for _, p := range c.queue {
		if p.Machine == machine && !p.owned && matches(p) {
			c.remove(p)
		}
	}
}
