package platform

import (
	"slices"

	"glenport/internal/eventloop"
	"glenport/internal/platform/jsonlines"
	"glenport/scheduler"
)

// This file ends copies of containers that run on although their clients count them as ended, or have another.

// isIdempotent reports whether the container may run again at any time. Its client then does not wait to see whether a
// copy is still running, and such a copy is of no use to anybody. One of another container may be what its client
// reclaims.
func (c *container) isIdempotent() bool {
	return c.env.config.Scheduler.WorkloadClasses[c.request.WorkloadClass].Idempotency == scheduler.Idempotent
}

// recordLostOffer records that an offer to a machine was lost with its connection: the container may be running there.
func (c *container) recordLostOffer(m *machine) {
	if c.isIdempotent() && !c.answered {
		c.lostOffers = append(c.lostOffers, m)
	}
}

// cancelLostOffers ends the copies that may be running elsewhere, as a machine has accepted the container.
func (c *container) cancelLostOffers(acceptedBy *machine) {
	for _, m := range slices.Compact(c.lostOffers) {
		if m != acceptedBy {
			m.cancelLostOffer(c.request.ID, eventloop.Tick(c.request.Deadline))
		}
	}
	c.lostOffers = nil
}

// cancelLostOffer cancels an offer on the next connection. Where there may be none, it is tried again every maintenance
// interval up to a deadline.
func (m *machine) cancelLostOffer(id scheduler.ContainerID, deadline eventloop.Tick) {
	if m.isGone() || m.send(cancelMessage(id)) || m.env.loop.Now() >= deadline {
		return
	}
	m.env.loop.After(maintenanceInterval, func() { m.cancelLostOffer(id, deadline) })
}

// send sends a message to the machine once there is an established connection. It reports whether there will be one.
func (m *machine) send(msg *jsonlines.Message) bool {
	if !m.hasAddr() {
		return false
	}
	mc := m.conns.acquire()
	if mc == nil {
		return false
	}
	mc.whenEstablished(func() { mc.send(msg) })
	return true
}

// recordSilentLoss records that an idempotent container was reported as terminated because its machine was silent: if
// that was only cut off, the container runs on. One that was never accepted here is not recorded, as clients can make
// up any number of claims.
func (m *machine) recordSilentLoss(a *attempt) {
	if a.wasAcceptedHere() && a.container.isIdempotent() {
		m.lostInSilence = append(m.lostInSilence, a.id())
	}
}

// cancelLostInSilence ends the containers that were lost, as the machine is heard again on a connection. Those that a
// client has reclaimed meanwhile are left.
func (m *machine) cancelLostInSilence(mc *machineConn) {
	if !mc.isEstablished() {
		return // nothing may be written
	}
	for _, id := range m.lostInSilence {
		if m.attempts[id] == nil {
			mc.send(cancelMessage(id))
		}
	}
	m.lostInSilence = nil
}
