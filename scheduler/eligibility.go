package scheduler

// obstacle is a reason why a request cannot be placed on a machine.
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

// isPermanent reports whether the obstacle is a property of the machine, and goes away neither with time nor when other
// containers end.
func (o obstacle) isPermanent() bool {
	return o == wrongMachineType || o == notServing || o == tooSmall
}

// eligibility holds the filters that precede the draw. A filter excludes a machine or has no effect: it never changes
// the odds of a machine that passes.
type eligibility struct {
	acceptLimits       []resources // by machine type: sum of requests up to which a machine accepts containers
	listTracksRequests bool        // the machine list covers the requests of all containers
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

// firstObstacle returns the first obstacle to a placement, regardless of the container's earlier attempts.
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

// hasMachineType reports whether the machine has the type that the container's class requires.
func hasMachineType(c *container, m *machine) bool {
	return c.class.MachineType < 0 || c.class.MachineType == m.listing.machineType
}

func isServing(m *machine) bool { return m.listing.state == MachineServing }

// isLargeEnough reports whether the machine would accept the container if nothing else ran on it.
func (e *eligibility) isLargeEnough(c *container, m *machine) bool {
	return m.listing.capacity > 0 && c.requested().within(e.acceptLimit(m))
}

func (e *eligibility) acceptLimit(m *machine) resources { return e.acceptLimits[m.listing.machineType] }

// spreadAllows reports whether the class's spread limit allows one more container of the service in the machine's
// scope.
func spreadAllows(c *container, m *machine) bool {
	scope := c.class.SpreadScope
	return scope == ScopeNone || c.service.reservationsSharing(m, scope)+1 <= c.class.MaxPerScope
}

// listHasRoom reports whether the machine has room for the container according to the machine list.
func (e *eligibility) listHasRoom(c *container, m *machine) bool {
	requested := m.listing.requested
	requested.add(c.requested())
	return e.listTracksRequests && requested.within(e.acceptLimit(m))
}

// shortage is the resource that a machine lacks for a container according to the known requests. It does not exclude
// the machine from the draw, because the machine list may be out of date.
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
