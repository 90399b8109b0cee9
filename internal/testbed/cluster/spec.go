package cluster

import (
	"fmt"
	"time"

	"glenport/internal/config"
	"glenport/internal/testbed/emulator"
	"glenport/internal/testbed/process"
	"glenport/scheduler"
)

// Spec says what a cluster consists of.
type Spec struct {
	Seed          uint64
	Schedulers    int
	Template      string // path of the settings file that every scheduler's own is derived from
	Zones         []string
	MachineCounts []MachineCount
	Machine       emulator.MachineSpec // what all machines have in common
	List          ListTiming
	Workloads     []emulator.WorkloadProfile // by workload class
	DrainGrace    scheduler.Time
	Slack         scheduler.Time
	BGP           *config.BGP // what every scheduler announces; nil: as the template says
}

// MachineCount is how many machines of a type each zone has.
type MachineCount struct {
	MachineType string
	PerZone     int
}

// ListTiming is how the machine list lags behind the machines and how often it may be called.
type ListTiming struct {
	Lag, FailureDetection, PollInterval time.Duration
	CallsPerSecond                      int
}

// machinesPerRackGroup machines of one type share a rack group; rackGroupsPerZone bounds their numbers.
const (
	machinesPerRackGroup = 4
	rackGroupsPerZone    = 1000
)

// machineShapes returns the cluster's machines, zone by zone.
func (s *Spec) machineShapes(settings *config.Scheduler) []emulator.MachineSpec {
	base := s.machineDefaults(settings)
	typeIndex := map[string]int{}
	for i, name := range settings.MachineTypes {
		typeIndex[name] = i
	}
	var shapes []emulator.MachineSpec
	for zone, zoneName := range s.Zones {
		for _, count := range s.MachineCounts {
			index := typeIndex[count.MachineType]
			machineType := settings.Policy.MachineTypes[index]
			for i := range count.PerZone {
				shape := base
				shape.Name = fmt.Sprintf("%s-%s-%d", zoneName, count.MachineType, i)
				shape.Zone, shape.ZoneIndex = zoneName, zone
				shape.MachineTypeIndex = index
				shape.RackGroupIndex = zone*rackGroupsPerZone + i/machinesPerRackGroup
				shape.Cores, shape.Memory = machineType.Cores, machineType.Memory
				shapes = append(shapes, shape)
			}
		}
	}
	return shapes
}

// machineDefaults adds to the cluster's machine what the scheduler's settings promise of all machines.
func (s *Spec) machineDefaults(settings *config.Scheduler) emulator.MachineSpec {
	policy := settings.Policy
	shape := s.Machine
	shape.AcceptCores, shape.AcceptMemory = policy.CoresOvercommit, policy.MemoryOvercommit
	shape.SlowStartPeriod = time.Duration(policy.SlowStartPeriod) * process.Tick
	shape.SlowStartWindow = time.Duration(policy.SlowStartWindow) * process.Tick
	shape.AcceptMeansRunning, shape.UsageReports = policy.AcceptMeansRunning, policy.UsageReports
	for _, class := range policy.WorkloadClasses {
		shape.RequiredMachineType = append(shape.RequiredMachineType, class.MachineType)
		shape.EvictionRank = append(shape.EvictionRank, int(class.PriorityWeight*100))
	}
	return shape
}
