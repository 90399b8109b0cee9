package platform

import (
	"slices"

	"glenport/internal/eventloop"
	"glenport/internal/platform/connmanager"
)

// machineConnSet holds the connections to one machine. Each offer has a connection of its own while there are enough
// connections, so that an invalid answer does not affect other offers.
type machineConnSet struct {
	env              *environment
	pool             *machineConnPool
	machine          *machine
	conns            []*machineConn
	needsReplacement bool // a connection broke: the machine repeats lost reports on a new one
}

// remove removes a connection that has ended.
func (s *machineConnSet) remove(mc *machineConn) {
	s.conns = slices.DeleteFunc(s.conns, func(other *machineConn) bool { return other == mc })
	s.pool.release()
}

// recordLoss records that a connection broke. maintain replaces it while containers run.
func (s *machineConnSet) recordLoss() { s.needsReplacement = true }

// isBusy reports whether an attempt or a probe waits for one of the connections or for an answer on it.
func (s *machineConnSet) isBusy() bool { return slices.ContainsFunc(s.conns, (*machineConn).isBusy) }

// active returns the connections that are not closing, the primary one first.
func (s *machineConnSet) active() []*machineConn {
	return slices.DeleteFunc(slices.Clone(s.conns), func(mc *machineConn) bool { return !mc.isActive() })
}

// acquire returns a connection that carries no offer, otherwise a new one, otherwise the connection with the fewest
// offers. It returns nil if no connection is usable and none may be opened.
func (s *machineConnSet) acquire() *machineConn {
	conns := s.active()
	best := leastLoaded(conns, s.env.loop.Now())
	if best != nil && (best.offerCount() == 0 || s.atLimit(len(conns)) || !s.pool.makeRoom()) {
		return best
	}
	return s.connect()
}

// acquireDialedAfter returns a connection that was dialed after a moment, if possible, and otherwise any connection.
// The moment 0 makes no difference between connections.
func (s *machineConnSet) acquireDialedAfter(moment eventloop.Tick) *machineConn {
	if moment == 0 {
		return s.acquire()
	}
	later := slices.DeleteFunc(s.active(), func(mc *machineConn) bool { return mc.dialedAt <= moment })
	if best := leastLoaded(later, s.env.loop.Now()); best != nil {
		return best
	}
	if mc := s.connect(); mc != nil {
		return mc
	}
	return s.acquire()
}

// leastLoaded returns the usable connection that carries the fewest offers, or nil if there is none. A connection is
// not usable if its machine may be closing it as idle, or if it is still being established for another offer.
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

// atLimit reports whether a machine that has conns connections may have no more.
func (s *machineConnSet) atLimit(conns int) bool {
	return conns >= connmanager.MaxConnsPerMachine(s.env.config.MaxDescriptors, s.machine.registry.count())
}

// connect opens a connection. It returns nil at the limit of the pool.
func (s *machineConnSet) connect() *machineConn {
	if !s.pool.acquire() {
		return nil
	}
	mc := dialMachine(s.machine, s.pool.nextID())
	s.conns = append(s.conns, mc)
	return mc
}

// firstToEvict returns the connection of the machine that is evicted first, and an empty candidate if none may be
// evicted.
func (s *machineConnSet) firstToEvict(now eventloop.Tick) evictionCandidate {
	var first evictionCandidate
	for i, mc := range s.conns {
		first = first.earlier(mc.evictionCandidate(now, i == 0))
	}
	return first
}

// closeIdle closes the connections that are not busy.
func (s *machineConnSet) closeIdle() {
	for _, mc := range s.active() {
		if !mc.isBusy() {
			mc.closeGracefully()
		}
	}
}

// maintain closes idle connections before the machine does. While containers run on the machine, it keeps one
// connection open, on which the machine reports their ends. It replaces a broken connection, because the machine
// repeats lost reports on a new one.
func (s *machineConnSet) maintain(now eventloop.Tick) {
	for i, mc := range s.active() {
		if !mc.isBusy() && !mc.poolState(now, i == 0).ShouldKeep() {
			mc.closeGracefully()
		}
	}
	if !s.machine.hasRunningContainers() || !s.machine.hasAddr() || s.machine.isGone() {
		s.needsReplacement = false
	} else if s.needsReplacement || len(s.active()) == 0 && !s.pool.isFull() {
		s.needsReplacement = s.connect() == nil
	}
}
