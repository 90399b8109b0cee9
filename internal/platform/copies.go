package platform

import (
	"errors"

	"glenport/internal/eventloop"
	"glenport/internal/platform/connmanager"
	"glenport/internal/platform/jsonlines"
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

// cancelFor returns the cancel of a copy that may be running at the machine.
func (m *machine) cancelFor(id scheduler.ContainerID) connmanager.Cancel {
	return connmanager.Cancel{Machine: string(m.id), RequestID: string(id)}
}

// sendDueCancels sends the cancels that are due, each on a connection to its machine. A cancel without a connection is
// scheduled again.
func (r *machineRegistry) sendDueCancels() {
	for _, cancel := range r.env.cancels.Due(connmanager.Time(r.env.loop.Now())) {
		var mc *machineConn
		if m := r.machines[scheduler.MachineID(cancel.Machine)]; m != nil && m.hasAddr() && !m.isGone() {
			mc = m.conns.acquire()
		}
		if mc == nil {
			r.env.cancels.RecordTry(connmanager.Time(r.env.loop.Now()), cancel, 0)
			continue
		}
		mc.sendCancel(cancel)
	}
}

// sendCancel sends a cancel once the connection is established, unless the container has an attempt or a claim at the
// machine by then.
func (mc *machineConn) sendCancel(cancel connmanager.Cancel) {
	mc.env.cancels.RecordTry(connmanager.Time(mc.env.loop.Now()), cancel, mc.id)
	mc.whenEstablished(func() {
		id := scheduler.ContainerID(cancel.RequestID)
		if mc.machine.hasAttemptOrClaim(id) {
			mc.env.cancels.Discard(cancel)
		}
		if mc.env.cancels.IsPending(cancel) && !mc.send(cancelMessage(id)) {
			mc.env.cancels.ConnFailed(mc.id)
		}
	})
}

// hasAttemptOrClaim reports whether a container is offered to the machine again, or a client has claimed that it is
// running there. A claim that was not adopted counts too.
func (m *machine) hasAttemptOrClaim(id scheduler.ContainerID) bool {
	return m.attempt(id) != nil || m.env.claims.WasRejected(string(id), string(m.id))
}

// finishCancels handles the cancels that were sent on the connection, which has ended. If this process closed it and it
// was not reset, the cancels are certain to have been read. Otherwise they are sent again.
func (mc *machineConn) finishCancels(lastState machineConnState, err error) {
	if lastState == machineClosing && !errors.Is(err, eventloop.ErrReset) {
		mc.env.cancels.ConnClosedLocally(mc.id)
	} else {
		mc.env.cancels.ConnFailed(mc.id)
	}
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

// recordLostWhileSilent records an idempotent container that was reported as terminated because its machine was silent.
// If the machine was only unreachable, the container is still running. A container that the machine never accepted from
// this process is not recorded, because clients can make up any number of claims.
func (m *machine) recordLostWhileSilent(a *attempt) {
	if a.wasAcceptedByMachine() && a.container.isIdempotent() {
		m.lostWhileSilent = append(m.lostWhileSilent, a.id())
	}
}

// cancelLostWhileSilent cancels the containers that were declared lost while the machine was silent. It is called when
// the machine shows activity on a connection.
func (m *machine) cancelLostWhileSilent(mc *machineConn) {
	if !mc.isEstablished() {
		return // nothing may be written
	}
	for _, id := range m.lostWhileSilent {
		m.env.cancels.Add(connmanager.Time(m.env.loop.Now()), m.cancelFor(id))
		mc.sendCancel(m.cancelFor(id))
	}
	m.lostWhileSilent = nil
}

// discardCopyRecords discards the records of copies at a machine that is gone or has restarted: no copy is running
// there.
func (m *machine) discardCopyRecords() {
	m.lostWhileSilent = nil
	m.env.cancels.MachineGone(string(m.id))
}
