package emulator

import "time"

// MachineSpec says what a machine is and how it behaves. Slices are indexed by workload class.
type MachineSpec struct {
	Name, Zone, RackGroup, MachineType          string
	ZoneIndex, RackGroupIndex, MachineTypeIndex int
	Cores, Memory                               float64
	AcceptCores, AcceptMemory                   float64       // multiples of its size up to which it accepts
	AdmissionTime                               time.Duration // to examine one offer
	MaxQueuedOffers                             int           // offers that may wait for that
	ConcurrentStarts                            int
	StartTime                                   time.Duration // of a container whose image is cached
	ImageMissFactor                             float64       // by which a start takes longer without a cached image
	CachedImages                                int           // images kept after their last container
	SlowStartPeriod                             time.Duration // after a start
	SlowStartInitialPace                        float64       // part of the full pace just after a start
	SlowStartWindow                             time.Duration
	// offers in a window beyond which it crashes in slow start; 0: no limit
	SlowStartCapacity   int
	AcceptMeansRunning  bool  // it accepts once the container runs, not before
	UsageReports        bool  // it reports the memory in use
	RequiredMachineType []int // -1: any
	EvictionRank        []int // the lowest is evicted first
	MemoryDrift         float64
}
