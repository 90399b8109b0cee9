package platform

import (
	"slices"

	"glenport/internal/eventloop"
	"glenport/internal/platform/connmanager"
	"glenport/internal/platform/jsonlines"
	"glenport/scheduler"
)

// activeConns returns the connections that are not closing, the primary one first.
func (m *machine) activeConns() []*machineConn {
	return slices.DeleteFunc(slices.Clone(m.conns), func(mc *machineConn) bool { return mc.closing })
}

// acquireConn returns a connection that carries no offer, a new one, or the one that carries the fewest. It returns nil
// where there is none and none may be opened.
func (m *machine) acquireConn() *machineConn {
	conns := m.activeConns()
	best := leastLoaded(conns, m.server.loop.Now())
	if best != nil && (len(best.attempts) == 0 || m.atConnLimit(len(conns)) || !m.server.makeRoomForMachineConn()) {
		return best
	}
	return m.connect()
}

// leastLoaded returns the usable connection that carries the fewest offers. Not usable is one that its machine may be
// closing as idle, and one that is still being established for another offer.
func leastLoaded(conns []*machineConn, now eventloop.Tick) *machineConn {
	var best *machineConn
	for _, mc := range conns {
		if !mc.established && len(mc.attempts) > 0 || mc.idle() && !mc.poolState(now, false).CanCarryAttempt() {
			continue
		}
		if best == nil || len(mc.attempts) < len(best.attempts) {
			best = mc
		}
	}
	return best
}

// atConnLimit reports whether a machine with so many connections may have no more.
func (m *machine) atConnLimit(conns int) bool {
	return conns >= connmanager.MaxConnsPerMachine(m.server.config.MaxDescriptors, len(m.server.machines))
}

// connect opens a connection; nil where there may be no more.
func (m *machine) connect() *machineConn {
	s := m.server
	if !s.makeRoomForMachineConn() {
		return nil
	}
	s.machineConnCount++
	mc := &machineConn{
		machine:    m,
		lines:      jsonlines.LineSplitter{MaxBytes: jsonlines.MaxLineBytes},
		attempts:   map[scheduler.ContainerID]*attempt{},
		probes:     map[string]*probe{},
		lastUsedAt: s.loop.Now(),
	}
	mc.conn = s.loop.Dial(m.addr, mc, machineOutputLimit, s.config.ConnectTimeout)
	m.conns = append(m.conns, mc)
	return mc
}

func (m *machine) closeIdleConns() {
	for _, mc := range m.activeConns() {
		if mc.idle() {
			mc.closeGracefully()
		}
	}
}

// maintainConns closes idle connections before the machine does, except one while containers run there: their ends are
// reported on it. After a broken connection a new one is opened: the machine repeats on it any report that was lost.
func (m *machine) maintainConns(now eventloop.Tick) {
	for i, mc := range m.activeConns() {
		if mc.idle() && !mc.poolState(now, i == 0).ShouldKeep() {
			mc.closeGracefully()
		}
	}
	if m.running == 0 || m.addr == "" || m.state == scheduler.MachineGone {
		m.connLost = false
	} else if m.connLost || len(m.activeConns()) == 0 && !m.server.atMachineConnLimit() {
		m.connLost = m.connect() == nil
	}
}

// atMachineConnLimit reports whether there may be no more connections to machines. Each holds a descriptor; clients and
// the discovery watch need theirs.
func (s *Server) atMachineConnLimit() bool {
	return s.machineConnCount >= connmanager.MaxMachineConns(s.config.MaxDescriptors)
}

// makeRoomForMachineConn reports whether a connection to a machine may be opened. At the limit an idle one is closed
// for it.
func (s *Server) makeRoomForMachineConn() bool {
	if !s.atMachineConnLimit() {
		return true
	}
	if !connmanager.CanOpenBeforeClose(s.config.MaxDescriptors, s.loop.ConnCount()) {
		return false
	}
	if mc := s.firstToEvict(s.loop.Now()); mc != nil {
		mc.closing = true
		mc.conn.Close()
	}
	return !s.atMachineConnLimit()
}

// firstToEvict returns the idle connection with the lowest eviction rank, the least recently used of several; nil where
// none may be evicted.
func (s *Server) firstToEvict(now eventloop.Tick) *machineConn {
	var first *machineConn
	lowest := 0
	for _, id := range sortedKeys(s.machines) {
		for i, mc := range s.machines[id].conns {
			if !mc.idle() {
				continue
			}
			rank := mc.poolState(now, i == 0).EvictionRank()
			if rank < 0 {
				continue
			}
			if first == nil || rank < lowest || rank == lowest && mc.lastUsedAt < first.lastUsedAt {
				first, lowest = mc, rank
			}
		}
	}
	return first
}
