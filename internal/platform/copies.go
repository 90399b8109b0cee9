package platform

import (
	"slices"

	"glenport/internal/eventloop"
	"glenport/internal/platform/connmanager"
	"glenport/scheduler"
)

// This file cancels copies of containers. A copy is a container that still runs on a machine although its client counts
// it as ended, or although it runs on another machine too.

// isIdempotent reports whether the container may be started again at any time. The client of such a container does not
// check for a copy that is still running, so the copy is of no use. A copy of any other container may be reclaimed by
// its client.
func (c *container) isIdempotent() bool {
	return c.env.config.Scheduler.WorkloadClasses[c.request.WorkloadClass].Idempotency == scheduler.Idempotent
}

// recordLostOffer records that an offer to a machine was lost with its connection. The container may be running there.
func (c *container) recordLostOffer(m *machine) {
	if c.isIdempotent() && !c.answered {
		c.lostOffers = append(c.lostOffers, m)
	}
}

// cancelLostOffers cancels the copies that may be running on other machines, after a machine has accepted the
// container.
func (c *container) cancelLostOffers(acceptedBy *machine) {
	if len(c.lostOffers) == 0 {
		return
	}
	for _, m := range c.lostOffers {
		if m != acceptedBy && !m.isGone() {
			c.env.cancels.Add(connmanager.Time(c.env.loop.Now()), m.cancelFor(c.request.ID))
		}
	}
	c.lostOffers = nil
	acceptedBy.registry.sendDueCancels()
}

// recordLostWhileSilent records an idempotent container that was reported as terminated because its machine was silent.
// If the machine was only unreachable, the container is still running. A container that the machine never accepted from
// this process is not recorded, because clients can make up any number of claims. Nor is one whose client has ordered
// its end: its termination is still pending.
func (m *machine) recordLostWhileSilent(a *attempt) {
	if a.wasAcceptedByMachine() && a.container.isIdempotent() && a.state != attemptTerminating {
		m.lostWhileSilent = append(m.lostWhileSilent, lostContainer{a.id(), a.createdAt})
	}
}

// lostContainer is a container that was declared lost, although it may be running.
type lostContainer struct {
	id        scheduler.ContainerID
	createdAt eventloop.Tick
}

// cancelLostWhileSilent cancels the containers that were declared lost while the machine was silent. It is called when
// the machine shows activity on a connection.
func (m *machine) cancelLostWhileSilent(mc *machineConn) {
	if !mc.isEstablished() {
		return // nothing may be written
	}
	for _, lost := range m.lostWhileSilent {
		m.env.cancels.Add(connmanager.Time(m.env.loop.Now()), m.cancelFor(lost.id))
		mc.sendCancel(m.cancelFor(lost.id))
	}
	m.lostWhileSilent = nil
}

// discardCopies discards the records of copies at a machine that is gone: none is running there.
func (m *machine) discardCopies() {
	m.lostWhileSilent = nil
	m.env.cancels.MachineGone(string(m.id))
}

// discardCopiesBefore discards the records of copies from before the machine has restarted: none of them is running.
func (m *machine) discardCopiesBefore(restart eventloop.Tick) {
	m.lostWhileSilent = slices.DeleteFunc(m.lostWhileSilent, func(lost lostContainer) bool {
		return lost.createdAt <= restart
	})
	m.env.cancels.MachineRestarted(string(m.id), connmanager.Time(restart))
}
