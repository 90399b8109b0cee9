package platformcheck

import "time"

// terminationLimit is the time within which a container has to end once the process has read the order of a client. An
// owner requests a container again up to 3 s after it has ended it.
const terminationLimit = 3 * time.Second

// terminationCheckInterval is the time between two checks of a container whose machine could not be reached.
const terminationCheckInterval = time.Second / 2

// recordTerminationRead records that the process has read a client's order to end the container.
func (p *placement) recordTerminationRead() {
	w := p.machine.w
	if p.terminationIncarnation == w.incarnations || !p.mustTerminate() {
		return
	}
	p.terminationIncarnation = w.incarnations
	readAt, incarnation := w.now(), w.incarnations
	w.network.After(terminationLimit+wireSlack, func() { w.checkTerminated(p, incarnation, readAt) })
}

// mustTerminate reports whether the process has to pass on an order to end the container. It need not if it may have
// dropped the claim of the container. An offer that was written before the process had read of the machine went to
// another machine, which had the same address.
func (p *placement) mustTerminate() bool {
	firstReadAt := p.machine.firstReadAt
	knowsMachine := firstReadAt != 0 && p.offer.writtenAt >= firstReadAt
	return knowsMachine && p.isKnown() && !p.claimMayBeDropped()
}

// checkTerminated checks that a container has ended. Time in which the process could not reach the machine does not
// count. No order is owed for a container that the process has reported to have ended. A process that was told to end,
// or was killed, cannot repeat the order.
func (w *World) checkTerminated(p *placement, incarnation int, readAt time.Duration) {
	if !p.runs() || p.endReported || w.incarnations != incarnation || w.termAt != 0 || w.processKilled {
		return
	}
	if since := max(readAt, w.reachableSince(p.machine)); w.now()-since < terminationLimit {
		w.network.After(terminationCheckInterval, func() { w.checkTerminated(p, incarnation, readAt) })
		return
	}
	w.checker.report(ruleDuplicate, "container %s runs on %s %v after the process has read the order to end it",
		p.request.id, p.machine.id, w.now()-readAt)
}

// reachableSince returns the time since which the process can connect to a machine. It is now if it cannot.
func (w *World) reachableSince(m *machine) time.Duration {
	if m.partitioned || m.endpoint.Refuse || m.endpoint.Delay > 0 || w.kernel.Limit < w.params.descriptors {
		return w.now()
	}
	return max(m.reachableAgainAt, w.descriptorsFreeAt, w.stallEnd)
}
