package scheduler

const minWeightShare = 0.02 // lower bound of a machine's weight, as a share of its capacity

// capacityModel measures capacities in containers of mean size.
type capacityModel struct {
	knowsLoad bool // whether the use by own containers is reported, and the list covers all requests
	mean      resources
}

func newCapacityModel(config *Config) capacityModel {
	return capacityModel{
		knowsLoad: config.UsageReports && config.ListTracksRequests,
		mean:      resources{cores: config.MeanCores, memory: config.MeanMemory},
	}
}

// honored returns the machine's capacity minus its extraneous load, which is what this scheduler's containers use
// beyond all known requests on the machine.
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
