package platform

import (
	"slices"

	"glenport/internal/eventloop"
	"glenport/internal/platform/jsonlines"
	"glenport/scheduler"
)

// recordLostOffer records that an offer to a machine was lost with its connection: the container may be running there.
// Only a copy of an idempotent container is of no use to anybody once another is accepted. One with a key or an
// at-most-once container may be what its client reclaims.
func (c *container) recordLostOffer(m *machine) {
	class := c.env.config.Scheduler.WorkloadClasses[c.request.WorkloadClass]
	if class.Idempotency == scheduler.Idempotent && !c.answered {
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
