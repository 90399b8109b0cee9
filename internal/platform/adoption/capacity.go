package adoption

// containerCountFactor is the ratio of the maximum number of containers on a machine to the number that would fit if
// all were of mean size.
const containerCountFactor = 4

// Load is the sum of the resources that containers request, and the number of containers.
type Load struct {
	Cores, Memory float64
	Containers    int
}

// Add returns the sum of two loads.
func (l Load) Add(other Load) Load {
	return Load{l.Cores + other.Cores, l.Memory + other.Memory, l.Containers + other.Containers}
}

// Sub returns the load that remains when part is removed.
func (l Load) Sub(part Load) Load {
	return Load{l.Cores - part.Cores, l.Memory - part.Memory, l.Containers - part.Containers}
}

// Capacity is the maximum load of a machine.
type Capacity Load

// NewCapacity returns the capacity of a machine with the given honored capacity of cores and memory, where mean is the
// average load of a container.
func NewCapacity(honored, mean Load) Capacity {
	meanSizedCount := max(honored.Cores/mean.Cores, honored.Memory/mean.Memory)
	honored.Containers = int(containerCountFactor * max(1, meanSizedCount))
	return Capacity(honored)
}

// Max returns the larger of two capacities in each dimension.
func (c Capacity) Max(other Capacity) Capacity {
	return Capacity{
		max(c.Cores, other.Cores), max(c.Memory, other.Memory), max(c.Containers, other.Containers),
	}
}

// hasRoom reports whether a machine with the given load would accept another container. A machine accepts a container
// if its load without that container is within the capacity. Its load with the container may exceed the capacity.
func (c Capacity) hasRoom(load Load) bool {
	return load.Cores <= c.Cores && load.Memory <= c.Memory && load.Containers < c.Containers
}

// canHold reports whether a single container fits into the capacity.
func (c Capacity) canHold(container Load) bool {
	return container.Cores <= c.Cores && container.Memory <= c.Memory
}
