package scheduler

import (
	"math"
	"slices"
)

const (
	// virtualBuckets is how many draws the containers of a service share. Few keep programs warm on few
	// machines, many spread the load.
	virtualBuckets = 3
	minWeightShare = 0.02 // of its capacity: the least weight of a machine
)

// Suspicion levels: a container is placed among the machines with the lowest level there is.
const (
	notSuspected = iota
	suspectedOfClass
	ejected
)

// draw picks an eligible machine at random, in proportion to its honored capacity (Max-Cap). The draw is
// indexed: the generator picks one of the service's virtual buckets, and each bucket, hashed with service and
// machine, is given to one with odds proportional to its weight. So the containers of a service meet again
// on few machines, the same for all schedulers, and no weight follows placement.
func (s *Scheduler) draw(c *container) *machine {
	bucket := c.service.hash + s.random.next()%virtualBuckets
	var best *machine
	lowest, least := ejected+1, math.Inf(1)
	for _, m := range s.machineOrder {
		level := s.suspicionLevel(c, m)
		if level > lowest || !s.eligible(c, m) {
			continue
		}
		variate := s.variate(c, m, bucket)
		if level < lowest || variate < least {
			best, lowest, least = m, level, variate
		}
	}
	return best
}

// variate is hashed, exponential, with the machine's weight as its rate: the least of several belongs to each
// machine with odds proportional to its weight.
func (s *Scheduler) variate(c *container, m *machine, bucket uint64) float64 {
	weight := s.honoredCapacity(m)
	if share := s.slowStartShare(m); share < 1 {
		bucket = c.service.hash // a single bucket: few services, which stay warm
		weight /= share
	}
	generator := pcg{mix(bucket) ^ m.hash}
	return -math.Log(1-generator.uniform()) / weight
}

// suspicionLevel keeps suspected machines as a fallback: with all of them suspected, the fault is likely this
// scheduler's own link or list.
func (s *Scheduler) suspicionLevel(c *container, m *machine) int {
	switch {
	case m.isEjected():
		return ejected
	case s.suspectedForClass(c, m):
		return suspectedOfClass
	}
	return notSuspected
}

// honoredCapacity is the capacity less extraneous load: what own containers use beyond all requests.
func (s *Scheduler) honoredCapacity(m *machine) float64 {
	load := 0.0
	if config := &s.config; config.UsageReports && config.ListTracksRequests {
		known := m.knownRequested()
		cores := (m.used.cores - known.cores) / config.MeanCores
		memory := (m.used.memory - known.memory) / config.MeanMemory
		load = max(0, cores, memory)
	}
	return max(m.capacity-load, minWeightShare*m.capacity)
}

// knownRequested covers a machine list that is late.
func (m *machine) knownRequested() resources {
	return m.listRequested.atLeast(m.requested)
}

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

func (s *Scheduler) eligible(c *container, m *machine) bool {
	return !slices.Contains(c.excluded, m) && s.mayRunOn(c, m) && s.obstacle(c, m) == noObstacle
}

// obstacle returns the first that does not depend on the container's earlier attempts.
func (s *Scheduler) obstacle(c *container, m *machine) obstacle {
	switch {
	case c.class.MachineType >= 0 && c.class.MachineType != m.machineType:
		return wrongMachineType
	case m.state != MachineServing:
		return notServing
	case m.capacity <= 0 || !c.requested().within(s.acceptLimit(m)):
		return tooSmall
	case s.now < m.selfDrainingUntil:
		return selfDraining
	case !s.spreadAllows(c, m):
		return spreadExhausted
	case !s.slowStartAllows(m):
		return slowStartExhausted
	}
	return noObstacle
}

func (s *Scheduler) acceptLimit(m *machine) resources {
	total := s.config.MachineTypes[m.machineType]
	return resources{total.Cores * s.config.CoresOvercommit, total.Memory * s.config.MemoryOvercommit}
}

func (s *Scheduler) listHasRoom(c *container, m *machine) bool {
	requested := m.listRequested
	requested.add(c.requested())
	return s.config.ListTracksRequests && requested.within(s.acceptLimit(m))
}

// sharesScope tells whether two machines lie in one place; one that no list has named lies in no known place.
func (m *machine) sharesScope(o *machine, scope Scope) bool {
	switch scope {
	case ScopeFleet:
		return true
	case ScopeZone:
		return m.listed && o.listed && m.zone == o.zone
	case ScopeRackGroup:
		return m.listed && o.listed && m.rackGroup == o.rackGroup
	}
	return m == o
}

// spreadAllows counts the service's containers in the machine's place. Those in no known place count in each.
func (s *Scheduler) spreadAllows(c *container, m *machine) bool {
	scope := c.class.SpreadScope
	if scope == ScopeNone {
		return true
	}
	count := 1
	for o, reservations := range c.service.reservations {
		unknownPlace := !o.listed && scope != ScopeMachine
		if unknownPlace || m.sharesScope(o, scope) {
			count += reservations
		}
	}
	return count <= c.class.MaxPerScope
}
