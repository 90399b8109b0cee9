package scenario

import (
	"fmt"
	"time"

	"glenport/internal/config"
	"glenport/internal/testbed/emulator"
	"glenport/scheduler"
)

// Scenario is a cluster, its load and the faults that are injected.
type Scenario struct {
	Name          string
	Seed          uint64
	Length        time.Duration
	Settle        time.Duration // after the last submission
	Schedulers    int
	Template      string  // path of the settings file that every scheduler's own is derived from
	Rate          float64 // submissions a second
	Zones         []string
	MachineCounts []machineCount
	Machine       emulator.MachineSpec // what all machines have in common
	List          listTiming
	Workloads     []emulator.WorkloadProfile // by workload class
	DrainGrace    scheduler.Time
	Slack         scheduler.Time
	Faults        []Fault
	ExtraConfig   map[string]any // sections that every scheduler's settings file gets
}

// machineCount is how many machines of a type each zone has.
type machineCount struct {
	machineType string
	perZone     int
}

// listTiming is how the machine list lags behind the machines and how often it may be called.
type listTiming struct {
	Lag, FailureDetection, PollInterval time.Duration
	CallsPerSecond                      int
}

// machinesPerRackGroup machines of one type share a rack group; rackGroupsPerZone bounds their numbers.
const (
	machinesPerRackGroup = 4
	rackGroupsPerZone    = 1000
)

// machineShapes returns the scenario's machines, zone by zone.
func (s *Scenario) machineShapes(settings *config.Scheduler) []emulator.MachineSpec {
	base := s.machineDefaults(settings)
	typeIndex := map[string]int{}
	for i, name := range settings.MachineTypes {
		typeIndex[name] = i
	}
	var shapes []emulator.MachineSpec
	for zone, zoneName := range s.Zones {
		for _, count := range s.MachineCounts {
			index := typeIndex[count.machineType]
			machineType := settings.Policy.MachineTypes[index]
			for i := range count.perZone {
				shape := base
				shape.Name = fmt.Sprintf("%s-%s-%d", zoneName, count.machineType, i)
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

// machineDefaults adds to the scenario's machine what the scheduler's settings promise of all machines.
func (s *Scenario) machineDefaults(settings *config.Scheduler) emulator.MachineSpec {
	terms := settings.Policy
	shape := s.Machine
	shape.AcceptCores, shape.AcceptMemory = terms.CoresOvercommit, terms.MemoryOvercommit
	shape.SlowStartPeriod = time.Duration(terms.SlowStartPeriod) * tick
	shape.SlowStartWindow = time.Duration(terms.SlowStartWindow) * tick
	shape.AcceptMeansRunning, shape.UsageReports = terms.AcceptMeansRunning, terms.UsageReports
	for _, class := range terms.WorkloadClasses {
		shape.RequiredMachineType = append(shape.RequiredMachineType, class.MachineType)
		shape.EvictionRank = append(shape.EvictionRank, int(class.PriorityWeight*100))
	}
	return shape
}
