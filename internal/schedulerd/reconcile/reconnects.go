package reconcile

import (
	"slices"

	"glenport/scheduler"
)

// Limits of a reconnection. With these limits a dead machine is detected about a second after its death.
const (
	maxReconnectAttempts    = 3
	initialReconnectBackoff = 200 * scheduler.Millisecond
	reconnectBackoffFactor  = 4
)

// reconnect is a broken connection to a machine on which containers run.
type reconnect struct {
	attempts int
	waiting  bool           // the next attempt waits for nextAt; false while an attempt is under way
	nextAt   scheduler.Time // time of the next attempt
	backoff  scheduler.Time
}

func (c *reconnect) waitUntil(t scheduler.Time) { c.waiting, c.nextAt = true, t }

// reconnects holds the broken connections by machine.
type reconnects map[scheduler.MachineID]*reconnect

// begin schedules an immediate attempt to connect a machine, unless the machine is being reconnected already.
func (r reconnects) begin(machine scheduler.MachineID, now scheduler.Time) {
	if r[machine] == nil {
		r[machine] = &reconnect{backoff: initialReconnectBackoff, waiting: true, nextAt: now}
	}
}

// end drops a machine that was reconnected or given up, or on which no containers run any longer.
func (r reconnects) end(machine scheduler.MachineID) { delete(r, machine) }

// retryWithoutCounting schedules a new attempt after an attempt for which this process had no file descriptors left.
// The failed attempt does not count.
func (r reconnects) retryWithoutCounting(machine scheduler.MachineID, now scheduler.Time) {
	if pending := r[machine]; pending != nil {
		pending.attempts--
		pending.waitUntil(now + initialReconnectBackoff)
	}
}

// attemptFailed schedules a new attempt after a backoff. It returns exhausted if the machine has used up its attempts.
func (r reconnects) attemptFailed(machine scheduler.MachineID, now scheduler.Time) (attempts int, exhausted bool) {
	pending := r[machine]
	if pending == nil {
		return 0, false
	}
	if pending.attempts >= maxReconnectAttempts {
		return pending.attempts, true
	}
	pending.waitUntil(now + pending.backoff)
	pending.backoff *= reconnectBackoffFactor
	return pending.attempts, false
}

// next returns the time of the first attempt that is due after now, or 0 if there is none.
func (r reconnects) next(now scheduler.Time) scheduler.Time {
	next := scheduler.Time(0)
	for _, pending := range r {
		if pending.waiting && pending.nextAt > now {
			next = earliest(next, pending.nextAt)
		}
	}
	return next
}

// takeDue starts and counts the attempts that are due, and returns their machines, sorted.
func (r reconnects) takeDue(now scheduler.Time) (due []scheduler.MachineID) {
	for machine, pending := range r {
		if pending.waiting && pending.nextAt <= now {
			pending.waiting = false
			pending.attempts++
			due = append(due, machine)
		}
	}
	slices.Sort(due)
	return due
}
