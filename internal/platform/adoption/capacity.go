package adoption

// containersPerMean says how many times as many containers a machine may run as it could run of mean size.
const containersPerMean = 4

// Load is what containers ask for.
type Load struct {
	Cores, Memory float64
	Containers    int
}

// Add returns the sum of two loads.
func (l Load) Add(other Load) Load {
	return Load{l.Cores + other.Cores, l.Memory + other.Memory, l.Containers + other.Containers}
}

// Sub returns a load without a part of it.
func (l Load) Sub(part Load) Load {
	return Load{l.Cores - part.Cores, l.Memory - part.Memory, l.Containers - part.Containers}
}

// Capacity is what the containers of a machine may ask for.
type Capacity Load

// NewCapacity is the capacity of a machine that honors requests for so many cores and so much memory, where a container
// asks for mean in the mean.
func NewCapacity(honored, mean Load) Capacity {
	ofMeanSize := max(honored.Cores/mean.Cores, honored.Memory/mean.Memory)
	honored.Containers = int(containersPerMean * max(1, ofMeanSize))
	return Capacity(honored)
}

// Max returns what the larger of two capacities has of each kind.
func (c Capacity) Max(other Capacity) Capacity {
	return Capacity{
		max(c.Cores, other.Cores), max(c.Memory, other.Memory), max(c.Containers, other.Containers),
	}
}

// hasRoom reports whether a machine with a load may have accepted a container. Machines accept one while what they have
// accepted does not exceed their capacity, so that the last may exceed it.
func (c Capacity) hasRoom(load Load) bool {
	return load.Cores <= c.Cores && load.Memory <= c.Memory && load.Containers < c.Containers
}

// mayHold reports whether a container alone fits.
func (c Capacity) mayHold(container Load) bool {
	return container.Cores <= c.Cores && container.Memory <= c.Memory
}
