package platform

import (
	"glenport/internal/eventloop"
	"glenport/internal/platform/connmanager"
)

// machineConnPool limits the number of connections to all machines. Each connection holds a descriptor, and clients and
// the discovery watch need descriptors too.
type machineConnPool struct {
	env       *environment
	machines  *machineRegistry
	openConns int // number of connections, including closing ones
	lastID    connmanager.MachineConnID
}

// acquire counts a connection that is to be opened. It returns false at the limit.
func (p *machineConnPool) acquire() bool {
	if !p.makeRoom() {
		return false
	}
	p.openConns++
	return true
}

// nextID returns the identifier of a new connection.
func (p *machineConnPool) nextID() connmanager.MachineConnID {
	p.lastID++
	return p.lastID
}

// release counts a connection that has ended.
func (p *machineConnPool) release() { p.openConns-- }

// isFull reports whether the limit of connections to machines is reached.
func (p *machineConnPool) isFull() bool {
	return p.openConns >= connmanager.MaxMachineConns(p.env.config.MaxDescriptors)
}

// makeRoom reports whether a connection to a machine may be opened. At the limit it evicts an idle connection.
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

// firstToEvict returns the idle connection with the lowest eviction rank. If several have that rank, it returns the one
// that was used least recently. It returns nil if none may be evicted.
func (p *machineConnPool) firstToEvict(now eventloop.Tick) *machineConn {
	var first evictionCandidate
	for m := range p.machines.sorted() {
		first = first.earlier(m.conns.firstToEvict(now))
	}
	return first.conn
}

// evictionCandidate is an idle connection that may be evicted.
type evictionCandidate struct {
	conn       *machineConn // nil if there is none
	rank       int
	lastUsedAt eventloop.Tick
}

// earlier returns the candidate that is evicted first. It returns c if neither precedes the other.
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
