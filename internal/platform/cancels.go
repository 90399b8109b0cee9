package platform

import (
	"errors"

	"glenport/internal/eventloop"
	"glenport/internal/platform/connmanager"
	"glenport/internal/platform/jsonlines"
	"glenport/scheduler"
)

// This file sends the orders that end containers at machines: cancels of copies, and terminations of running
// containers. connmanager.Cancels decides when an order is sent again.

// cancelFor returns the order to end a container that is or may be running at the machine.
func (m *machine) cancelFor(id scheduler.ContainerID) connmanager.Cancel {
	return connmanager.Cancel{Machine: string(m.id), RequestID: string(id)}
}

// finishUnconfirmed ends the containers whose machine has got the termination often enough and reports no end.
func (r *machineRegistry) finishUnconfirmed() {
	for _, cancel := range r.env.cancels.Unconfirmed(connmanager.Time(r.env.loop.Now())) {
		r.env.log.Warn("termination not confirmed", "machine", cancel.Machine, "request_id", cancel.RequestID)
		m := r.machines[scheduler.MachineID(cancel.Machine)]
		if m == nil {
			continue
		}
		if a := m.attempt(scheduler.ContainerID(cancel.RequestID)); a != nil {
			a.finishRunning(causeCancelled, scheduler.AttemptEnded{Outcome: causeCancelled.outcomeAfterAccept()})
		}
	}
}

// sendDueCancels sends the cancels that are due, each on a connection to its machine. A cancel without a connection is
// scheduled again.
func (r *machineRegistry) sendDueCancels() {
	for _, due := range r.env.cancels.Due(connmanager.Time(r.env.loop.Now())) {
		if m := r.machines[scheduler.MachineID(due.Machine)]; m != nil {
			m.sendCancel(due)
		} else {
			r.env.cancels.RecordTry(connmanager.Time(r.env.loop.Now()), due.Cancel, 0)
		}
	}
}

// sendCancel sends a cancel on a connection to the machine. Without a connection it is scheduled again.
func (m *machine) sendCancel(due connmanager.DueCancel) {
	var mc *machineConn
	if m.hasAddr() && !m.isGone() {
		mc = m.conns.acquireDialedAfter(eventloop.Tick(due.TriedAt))
	}
	if mc == nil {
		m.env.cancels.RecordTry(connmanager.Time(m.env.loop.Now()), due.Cancel, 0)
		return
	}
	mc.sendCancel(due.Cancel)
}

// sendCancel sends a cancel once the connection is established, unless it is not pending any more.
func (mc *machineConn) sendCancel(cancel connmanager.Cancel) {
	mc.env.cancels.RecordTry(connmanager.Time(mc.env.loop.Now()), cancel, mc.id)
	mc.whenEstablished(func() {
		msg := mc.pendingCancelMessage(cancel)
		if msg == nil {
			return
		}
		if !mc.send(msg) {
			mc.cancelsFailed()
			return
		}
		mc.env.cancels.RecordSent(cancel)
	})
}

// pendingCancelMessage returns the message of a cancel, or nil if it is not pending. A cancel is discarded if the
// container is wanted at the machine by now.
func (mc *machineConn) pendingCancelMessage(cancel connmanager.Cancel) *jsonlines.Message {
	id := scheduler.ContainerID(cancel.RequestID)
	if mc.machine.wants(id) {
		mc.env.cancels.Discard(cancel)
	}
	if cause, ok := mc.env.cancels.Termination(cancel); ok {
		return machineTerminationMessage(id, terminationCause(cause))
	}
	if !mc.env.cancels.IsPending(cancel) {
		return nil
	}
	return cancelMessage(id)
}

// wants reports whether a container is offered to the machine again, or a client has claimed that it is running there
// and has not ordered its end. A claim that was not adopted counts too.
func (m *machine) wants(id scheduler.ContainerID) bool {
	if a := m.attempt(id); a != nil {
		return a.state != attemptTerminating
	}
	return m.env.claims.WasRejected(string(id), string(m.id))
}

// finishCancels handles the cancels that were sent on the connection, which has ended. If this process closed it and it
// was not reset, the cancels of copies are certain to have been read. Otherwise the cancels are sent again.
func (mc *machineConn) finishCancels(lastState machineConnState, err error) {
	if lastState == machineClosing && !errors.Is(err, eventloop.ErrReset) {
		mc.env.cancels.ConnClosedLocally(mc.id)
	} else {
		mc.cancelsFailed()
	}
}

// sendWaitingTerminations sends the terminations that waited for a connection to the machine.
func (m *machine) sendWaitingTerminations() {
	if m.env.cancels.MachineReachable(connmanager.Time(m.env.loop.Now()), string(m.id)) {
		m.env.loop.After(0, m.registry.sendDueCancels)
	}
}

// cancelsFailed schedules the cancels again that the connection could not carry. A termination is sent again at once:
// its client may soon request the container again.
func (mc *machineConn) cancelsFailed() {
	if mc.env.cancels.ConnFailed(mc.id) {
		mc.env.loop.After(0, mc.machine.registry.sendDueCancels)
	}
}
