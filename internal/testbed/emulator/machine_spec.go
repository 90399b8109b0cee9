package emulator

import "time"

// MachineSpec describes a machine and its behavior. Slices are indexed by workload class.
type MachineSpec struct {
	Name, Zone, RackGroup, MachineType          string
	ZoneIndex, RackGroupIndex, MachineTypeIndex int
	Cores, Memory                               float64
	AcceptCores, AcceptMemory                   float64       // multiples of Cores and Memory that the machine accepts
	AdmissionTime                               time.Duration // time to examine one offer
	MaxQueuedOffers                             int           // offers waiting to be examined
	ConcurrentStarts                            int
	StartTime                                   time.Duration // start time of a container whose image is cached
	ImageMissFactor                             float64       // factor on the start time if the image is not cached
	CachedImages                                int           // images of recently used services that stay cached
	SlowStartPeriod                             time.Duration // time after the start of the machine
	SlowStartInitialPace                        float64       // fraction of the full pace right after a start
	SlowStartWindow                             time.Duration
	// SlowStartCapacity is the number of offers and probes in a window that the machine handles during slow start; it
	// crashes on more. 0: no limit.
	SlowStartCapacity   int
	AcceptMeansRunning  bool    // an accept is sent once the container runs, not before
	UsageReports        bool    // the machine reports the memory that its containers use
	RequiredMachineType []int   // -1: any
	EvictionRank        []int   // the lowest is evicted first
	MemoryDrift         float64 // span of the random change of memory use, as a fraction of the requested memory
}
