package platform

import (
	"slices"

	"glenport/internal/eventloop"
	"glenport/internal/platform/connmanager"
)

// This file has the methods by which a machine owns its connections.

// connEnded removes a connection that has ended.
func (m *machine) connEnded(mc *machineConn) {
	m.conns = slices.DeleteFunc(m.conns, func(other *machineConn) bool { return other == mc })
	m.pool.released()
}

// connBroke has a new connection opened while containers run.
func (m *machine) connBroke() { m.connLost = true }

// activeConns returns the connections that are not closing, the primary one first.
func (m *machine) activeConns() []*machineConn {
	return slices.DeleteFunc(slices.Clone(m.conns), func(mc *machineConn) bool { return !mc.isActive() })
}

// acquireConn returns a connection that carries no offer, a new one, or the one that carries the fewest. It returns nil
// where there is none and none may be opened.
func (m *machine) acquireConn() *machineConn {
	conns := m.activeConns()
	best := leastLoaded(conns, m.env.loop.Now())
	if best != nil && (best.offerCount() == 0 || m.atConnLimit(len(conns)) || !m.pool.makeRoom()) {
		return best
	}
	return m.connect()
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

// atConnLimit reports whether a machine with so many connections may have no more.
func (m *machine) atConnLimit(conns int) bool {
	return conns >= connmanager.MaxConnsPerMachine(m.env.config.MaxDescriptors, m.registry.count())
}

// connect opens a connection; nil where there may be no more.
func (m *machine) connect() *machineConn {
	if !m.pool.acquire() {
		return nil
	}
	mc := dialMachine(m)
	m.conns = append(m.conns, mc)
	return mc
}

// firstToEvict returns the connection of the machine that is evicted first, if any may be.
func (m *machine) firstToEvict(now eventloop.Tick) evictionCandidate {
	var first evictionCandidate
	for i, mc := range m.conns {
		first = first.earlier(mc.evictionCandidate(now, i == 0))
	}
	return first
}

// closeIdleConns closes the connections on which nothing is awaited.
func (m *machine) closeIdleConns() {
	for _, mc := range m.activeConns() {
		if !mc.isBusy() {
			mc.closeGracefully()
		}
	}
}

// maintainConns closes idle connections before the machine does, except one while containers run there: their ends are
// reported on it. After a broken connection a new one is opened: the machine repeats on it any report that was lost.
func (m *machine) maintainConns(now eventloop.Tick) {
	for i, mc := range m.activeConns() {
		if !mc.isBusy() && !mc.poolState(now, i == 0).ShouldKeep() {
			mc.closeGracefully()
		}
	}
	if !m.hasRunning() || !m.hasAddr() || m.isGone() {
		m.connLost = false
	} else if m.connLost || len(m.activeConns()) == 0 && !m.pool.isFull() {
		m.connLost = m.connect() == nil
	}
}
