package reconcile

import (
	"slices"

	"glenport/scheduler"
)

// Tuned values: a dead machine is known about a second after its death.
const (
	maxReconnectAttempts    = 3
	initialReconnectBackoff = 200 * scheduler.Millisecond
	reconnectBackoffFactor  = 4
)

// reconnect is a broken connection to a machine on which containers run.
type reconnect struct {
	attempts int
	waiting  bool           // no attempt is under way
	nextAt   scheduler.Time // of the next attempt
	backoff  scheduler.Time
}

func (c *reconnect) waitUntil(t scheduler.Time) { c.waiting, c.nextAt = true, t }

// reconnects holds the broken connections by machine.
type reconnects map[scheduler.MachineID]*reconnect

// begin has a machine connected at once, unless it is being reconnected already.
func (r reconnects) begin(machine scheduler.MachineID, now scheduler.Time) {
	if r[machine] == nil {
		r[machine] = &reconnect{backoff: initialReconnectBackoff, waiting: true, nextAt: now}
	}
}

// end forgets a machine that is connected, given up, or without containers.
func (r reconnects) end(machine scheduler.MachineID) { delete(r, machine) }

// shortage repeats an attempt that was not made for want of descriptors here. It does not count.
func (r reconnects) shortage(machine scheduler.MachineID, now scheduler.Time) {
	if pending := r[machine]; pending != nil {
		pending.attempts--
		pending.waitUntil(now + initialReconnectBackoff)
	}
}

// failed repeats an attempt after a backoff. Exhausted says that the attempts so far were the last.
func (r reconnects) failed(machine scheduler.MachineID, now scheduler.Time) (attempts int, exhausted bool) {
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

// next is when the next attempt is due that is not due yet, or 0.
func (r reconnects) next(now scheduler.Time) scheduler.Time {
	next := scheduler.Time(0)
	for _, pending := range r {
		if pending.waiting && pending.nextAt > now {
			next = earliest(next, pending.nextAt)
		}
	}
	return next
}

// takeDue counts the attempts that are due and returns their machines, in order.
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
