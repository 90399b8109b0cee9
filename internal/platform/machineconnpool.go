package platform

import (
	"glenport/internal/eventloop"
	"glenport/internal/platform/connmanager"
)

// machineConnPool bounds the connections to all machines. Each holds a descriptor; clients and the discovery watch need
// theirs.
type machineConnPool struct {
	env      *environment
	machines *machineRegistry
	open     int // connections, those that are closing included
	lastID   connmanager.MachineConnID
}

// acquire counts a connection that is to be opened; false where there may be no more.
func (p *machineConnPool) acquire() bool {
	if !p.makeRoom() {
		return false
	}
	p.open++
	return true
}

// nextID returns the identifier of a new connection.
func (p *machineConnPool) nextID() connmanager.MachineConnID {
	p.lastID++
	return p.lastID
}

// release counts a connection that has ended.
func (p *machineConnPool) release() { p.open-- }

// isFull reports whether there may be no more connections to machines.
func (p *machineConnPool) isFull() bool {
	return p.open >= connmanager.MaxMachineConns(p.env.config.MaxDescriptors)
}

// makeRoom reports whether a connection to a machine may be opened. At the limit an idle one is closed for it.
func (p *machineConnPool) makeRoom() bool {
	if !p.isFull() {
		return true
	}
	if !connmanager.CanOpenBeforeClose(p.env.config.MaxDescriptors, p.env.loop.ConnCount()) {
		return false
	}
	if mc := p.firstToEvict(p.env.loop.Now()); mc != nil {
		mc.evict()
	}
	return !p.isFull()
}

// firstToEvict returns the idle connection with the lowest eviction rank, the least recently used of several; nil where
// none may be evicted.
func (p *machineConnPool) firstToEvict(now eventloop.Tick) *machineConn {
	var first evictionCandidate
	for m := range p.machines.sorted() {
		first = first.earlier(m.conns.firstToEvict(now))
	}
	return first.conn
}

// evictionCandidate is an idle connection that may be evicted.
type evictionCandidate struct {
	conn       *machineConn // nil: there is none
	rank       int
	lastUsedAt eventloop.Tick
}

// earlier returns the one of two candidates that is evicted first; of equal ones that is c.
func (c evictionCandidate) earlier(other evictionCandidate) evictionCandidate {
	switch {
	case other.conn == nil:
		return c
	case c.conn == nil || other.rank < c.rank:
		return other
	case other.rank == c.rank && other.lastUsedAt < c.lastUsedAt:
		return other
	}
	return c
}
