package platform

import (
	"slices"

	"glenport/internal/eventloop"
	"glenport/internal/platform/connmanager"
)

// machineConnSet holds the connections to one machine. An offer has a connection of its own as long as there are
// enough, so that an answer that cannot be read harms no other.
type machineConnSet struct {
	env              *environment
	pool             *machineConnPool
	machine          *machine
	conns            []*machineConn
	needsReplacement bool // one broke while containers run: the machine repeats its reports on the next
}

// connEnded removes a connection that has ended.
func (s *machineConnSet) remove(mc *machineConn) {
	s.conns = slices.DeleteFunc(s.conns, func(other *machineConn) bool { return other == mc })
	s.pool.release()
}

// recordLoss has a new connection opened while containers run.
func (s *machineConnSet) recordLoss() { s.needsReplacement = true }

// isBusy reports whether something waits for one of the connections or for an answer on it.
func (s *machineConnSet) isBusy() bool { return slices.ContainsFunc(s.conns, (*machineConn).isBusy) }

// active returns the connections that are not closing, the primary one first.
func (s *machineConnSet) active() []*machineConn {
	return slices.DeleteFunc(slices.Clone(s.conns), func(mc *machineConn) bool { return !mc.isActive() })
}

// acquire returns a connection that carries no offer, a new one, or the one that carries the fewest. It returns nil
// where there is none and none may be opened.
func (s *machineConnSet) acquire() *machineConn {
	conns := s.active()
	best := leastLoaded(conns, s.env.loop.Now())
	if best != nil && (best.offerCount() == 0 || s.atLimit(len(conns)) || !s.pool.makeRoom()) {
		return best
	}
	return s.connect()
}

// leastLoaded returns the usable connection that carries the fewest offers. Not usable is one that its machine may be
// closing as idle, and one that is still being established for another offer.
func leastLoaded(conns []*machineConn, now eventloop.Tick) *machineConn {
	var best *machineConn
	for _, mc := range conns {
		if !mc.isEstablished() && mc.offerCount() > 0 ||
			!mc.isBusy() && !mc.poolState(now, false).CanCarryAttempt() {
			continue
		}
		if best == nil || mc.offerCount() < best.offerCount() {
			best = mc
		}
	}
	return best
}

// atLimit reports whether a machine with so many connections may have no more.
func (s *machineConnSet) atLimit(conns int) bool {
	return conns >= connmanager.MaxConnsPerMachine(s.env.config.MaxDescriptors, s.machine.registry.count())
}

// connect opens a connection; nil where there may be no more.
func (s *machineConnSet) connect() *machineConn {
	if !s.pool.acquire() {
		return nil
	}
	mc := dialMachine(s.machine, s.pool.nextID())
	s.conns = append(s.conns, mc)
	return mc
}

// firstToEvict returns the connection of the machine that is evicted first, if any may be.
func (s *machineConnSet) firstToEvict(now eventloop.Tick) evictionCandidate {
	var first evictionCandidate
	for i, mc := range s.conns {
		first = first.earlier(mc.evictionCandidate(now, i == 0))
	}
	return first
}

// closeIdle closes the connections on which nothing is awaited.
func (s *machineConnSet) closeIdle() {
	for _, mc := range s.active() {
		if !mc.isBusy() {
			mc.closeGracefully()
		}
	}
}

// maintain closes idle connections before the machine does, except one while containers run there: their ends are
// reported on it. After a broken connection a new one is opened: the machine repeats on it any report that was lost.
func (s *machineConnSet) maintain(now eventloop.Tick) {
	for i, mc := range s.active() {
		if !mc.isBusy() && !mc.poolState(now, i == 0).ShouldKeep() {
			mc.closeGracefully()
		}
	}
	if !s.machine.hasRunning() || !s.machine.hasAddr() || s.machine.isGone() {
		s.needsReplacement = false
	} else if s.needsReplacement || len(s.active()) == 0 && !s.pool.isFull() {
		s.needsReplacement = s.connect() == nil
	}
}
