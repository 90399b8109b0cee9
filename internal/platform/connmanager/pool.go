package connmanager

// Limits of connections to machines.
const (
	// machines share a third of all descriptors equally, with at least one connection each
	machineConnsDivisor = 3
	minMachineConns     = 8

	// a connection that is not the first to its machine is closed after this idle time
	extraConnIdleTimeout = 5 * Second
	// an idle connection is not evicted earlier, because its machine may still be sending
	minEvictionIdle = Second / 2
)

// Eviction ranks of idle connections to machines.
const (
	notEvictable = -1 + iota
	evictIdleMachine
	evictBusyMachine
	evictCarriesRunningContainer
)

// MaxConnsPerMachine returns the maximum number of connections to each machine, for a given number of machines.
func MaxConnsPerMachine(descriptors, machines int) int {
	return max(1, descriptors/machineConnsDivisor/max(1, machines))
}

// MaxMachineConns returns the maximum number of connections to all machines: the descriptors that are neither for
// clients nor reserved.
func MaxMachineConns(descriptors int) int {
	return max(minMachineConns, descriptors-maxClientConns(descriptors)-reservedDescriptors)
}

// CanOpenBeforeClose reports whether a connection may be opened before the evicted one is closed. The evicted
// connection releases its descriptor only at the end of the iteration of the event loop. Until then the new connection
// may use a quarter of the reserve. The rest covers the purposes of the reserve and the same number of new clients.
func CanOpenBeforeClose(descriptors, connections int) bool {
	return connections < descriptors-reservedDescriptors+reservedDescriptors/4
}

// MachineConn describes an idle connection to a machine: no answer is expected on it.
type MachineConn struct {
	Primary                 bool // the first connection to its machine
	MachineRunsContainers   bool // a container is running on the machine
	CarriesRunningContainer bool // it carried the request of a running container, whose end is reported on it
	IdleFor                 Time
	MachineIdleTimeout      Time // idle time after which the machine closes a connection
}

// ShouldKeep reports whether an idle connection stays open. A connection on which the end of a container may be
// reported must not be closed, because the report could cross the close. Other connections are closed well before the
// machine closes them: if an attempt crosses the machine's close, it is unknown whether the container ran.
func (c MachineConn) ShouldKeep() bool {
	switch {
	case c.CarriesRunningContainer || c.Primary && c.MachineRunsContainers:
		return true
	case c.Primary:
		return c.IdleFor < c.MachineIdleTimeout/2
	}
	return c.IdleFor < min(extraConnIdleTimeout, c.MachineIdleTimeout/2)
}

// EvictionRank orders idle connections for eviction when the limit is reached: the lowest rank is evicted first, and a
// negative rank never. Eviction loses no report of a container's end: the machine repeats it on the next connection,
// and the failure detector connects every few seconds to each machine that runs containers.
func (c MachineConn) EvictionRank() int {
	switch {
	case c.IdleFor < minEvictionIdle:
		return notEvictable
	case c.CarriesRunningContainer:
		return evictCarriesRunningContainer
	case c.MachineRunsContainers:
		return evictBusyMachine
	}
	return evictIdleMachine
}

// CanCarryAttempt reports whether an attempt may be sent on an idle connection. It may not if the machine could be
// about to close the connection.
func (c MachineConn) CanCarryAttempt() bool { return c.IdleFor < c.MachineIdleTimeout/2 }
