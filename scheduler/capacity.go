package scheduler

const minWeightShare = 0.02 // of its capacity: the least weight of a machine

// capacityModel measures capacities in containers of mean size.
type capacityModel struct {
	knowsLoad bool // both the use by own containers and all requests are
	mean      resources
}

func newCapacityModel(config *Config) capacityModel {
	return capacityModel{
		knowsLoad: config.UsageReports && config.ListTracksRequests,
		mean:      resources{cores: config.MeanCores, memory: config.MeanMemory},
	}
}

// honored is the capacity less extraneous load: what own containers use beyond all requests.
func (c *capacityModel) honored(m *machine) float64 {
	capacity := m.listing.capacity
	return max(capacity-c.extraneousLoad(m), minWeightShare*capacity)
}

func (c *capacityModel) extraneousLoad(m *machine) float64 {
	if !c.knowsLoad {
		return 0
	}
	extraneous := m.useBeyondRequests()
	return max(0, extraneous.cores/c.mean.cores, extraneous.memory/c.mean.memory)
}
