package scheduler

// obstacle is what keeps a request from a machine.
type obstacle uint8

const (
	noObstacle obstacle = iota
	wrongMachineType
	notServing
	tooSmall
	selfDraining
	spreadExhausted
	slowStartExhausted
)

// isPermanent reports whether the obstacle is in the machine itself, and does not pass with time or other containers.
func (o obstacle) isPermanent() bool {
	return o == wrongMachineType || o == notServing || o == tooSmall
}

// eligibility holds the filters that come before the draw. A filter excludes a machine or has no effect: it never
// changes the odds of a machine that passes.
type eligibility struct {
	acceptLimits       []resources // by machine type: up to which a machine accepts requests
	listTracksRequests bool        // the requests in the machine list are all there are
	slowStart          *slowStartLimiter
}

func newEligibility(config *Config, slowStart *slowStartLimiter) *eligibility {
	limits := make([]resources, len(config.MachineTypes))
	for i, total := range config.MachineTypes {
		limits[i] = resources{
			cores:  total.Cores * config.CoresOvercommit,
			memory: total.Memory * config.MemoryOvercommit,
		}
	}
	return &eligibility{
		acceptLimits:       limits,
		listTracksRequests: config.ListTracksRequests,
		slowStart:          slowStart,
	}
}

// allows reports whether a container may be placed on a machine now.
func (e *eligibility) allows(c *container, m *machine, now Time) bool {
	return !c.excludes(m) && c.mayRunAgainOn(m, now) && e.firstObstacle(c, m, now) == noObstacle
}

// firstObstacle does not depend on the container's earlier attempts.
func (e *eligibility) firstObstacle(c *container, m *machine, now Time) obstacle {
	switch {
	case !hasMachineType(c, m):
		return wrongMachineType
	case !isServing(m):
		return notServing
	case !e.isLargeEnough(c, m):
		return tooSmall
	case m.selfDrain.isDraining(now):
		return selfDraining
	case !spreadAllows(c, m):
		return spreadExhausted
	case !e.slowStart.allows(m, now):
		return slowStartExhausted
	}
	return noObstacle
}

// hasMachineType reports whether the machine is of the type that the container's class needs.
func hasMachineType(c *container, m *machine) bool {
	return c.class.MachineType < 0 || c.class.MachineType == m.listing.machineType
}

func isServing(m *machine) bool { return m.listing.state == MachineServing }

// isLargeEnough reports whether the machine would accept the container if it were empty.
func (e *eligibility) isLargeEnough(c *container, m *machine) bool {
	return m.listing.capacity > 0 && c.requested().within(e.acceptLimit(m))
}

func (e *eligibility) acceptLimit(m *machine) resources { return e.acceptLimits[m.listing.machineType] }

// spreadAllows keeps the containers of a service in one place, with this one, to the class's maximum.
func spreadAllows(c *container, m *machine) bool {
	scope := c.class.SpreadScope
	return scope == ScopeNone || c.service.reservationsSharing(m, scope)+1 <= c.class.MaxPerScope
}

// listHasRoom reports whether the machine list shows room for the container.
func (e *eligibility) listHasRoom(c *container, m *machine) bool {
	requested := m.listing.requested
	requested.add(c.requested())
	return e.listTracksRequests && requested.within(e.acceptLimit(m))
}

// shortage says which resource a machine lacks for a container by the known requests. It is no obstacle to a draw, as
// the list may be late.
type shortage uint8

const (
	noShortage shortage = iota
	shortOfCores
	shortOfMemory
)

func (e *eligibility) shortageFor(c *container, m *machine) shortage {
	requested, limit := m.knownRequested(), e.acceptLimit(m)
	requested.add(c.requested())
	switch {
	case !e.listTracksRequests:
		return noShortage
	case requested.cores > limit.cores:
		return shortOfCores
	case requested.memory > limit.memory:
		return shortOfMemory
	}
	return noShortage
}
