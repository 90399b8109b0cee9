package connmanager

// Limits of the connections to machines.
const (
	// the fraction (1/3) of all descriptors that the machines share equally, one connection each at least
	machineConnsDivisor = 3
	minMachineConns     = 8

	// a connection that is not the first of its machine is closed once idle for so long
	extraConnIdleTimeout = 5 * Second
	// an idle connection may be evicted after so long: until then its machine may still send
	minEvictionIdle = Second / 2
)

// Eviction ranks of idle connections to machines.
const (
	notEvictable = -1 + iota
	evictIdleMachine
	evictBusyMachine
	evictCarriesRunning
)

// MaxConnsPerMachine is the number of connections that each of so many machines may have.
func MaxConnsPerMachine(descriptors, machines int) int {
	return max(1, descriptors/machineConnsDivisor/max(1, machines))
}

// MaxMachineConns is the number of connections to machines that may be open in all: what clients and the reserve leave.
func MaxMachineConns(descriptors int) int {
	return max(minMachineConns, descriptors-maxClientConns(descriptors)-reservedDescriptors)
}

// CanOpenBeforeClose reports whether a connection may be opened before the evicted one is closed. The descriptor of
// that is free only after the iteration of the event loop; until then a quarter of the reserve holds the new one, and
// the rest what the reserve is for and as many new clients.
func CanOpenBeforeClose(descriptors, connections int) bool {
	return connections < descriptors-reservedDescriptors+reservedDescriptors/4
}

// MachineConn describes a connection to a machine that is idle: nothing is awaited on it.
type MachineConn struct {
	Primary            bool // the first of its machine
	MachineHasRunning  bool // a container runs on the machine
	CarriesRunning     bool // the request of a running container went over this connection, and its end will come here
	IdleFor            Time
	MachineIdleTimeout Time // the machine closes a connection that is idle for so long
}

// ShouldKeep reports whether an idle connection stays open. One on which an end may come must not be closed, as the two
// could cross. Others are closed well before the machine would: an attempt that crosses that close may have run.
func (c MachineConn) ShouldKeep() bool {
	switch {
	case c.CarriesRunning || c.Primary && c.MachineHasRunning:
		return true
	case c.Primary:
		return c.IdleFor < c.MachineIdleTimeout/2
	}
	return c.IdleFor < min(extraConnIdleTimeout, c.MachineIdleTimeout/2)
}

// EvictionRank orders idle connections for eviction where no more may be open: the lowest first, and never one below 0.
// Eviction loses no end: the machine repeats it on the next connection, and the failure detector connects every few
// seconds to each machine on which something runs.
func (c MachineConn) EvictionRank() int {
	switch {
	case c.IdleFor < minEvictionIdle:
		return notEvictable
	case c.CarriesRunning:
		return evictCarriesRunning
	case c.MachineHasRunning:
		return evictBusyMachine
	}
	return evictIdleMachine
}

// CanCarryAttempt reports whether an idle connection may carry an attempt: not if the machine may be closing it.
func (c MachineConn) CanCarryAttempt() bool { return c.IdleFor < c.MachineIdleTimeout/2 }
