package cluster

import (
	"fmt"
	"time"

	"glenport/internal/config"
	"glenport/internal/testbed/emulator"
	"glenport/internal/testbed/process"
	"glenport/scheduler"
)

// Spec describes a cluster.
type Spec struct {
	Seed          uint64
	Schedulers    int
	Template      string // path of the settings file on which the settings of all schedulers are based
	Zones         []string
	MachineCounts []MachineCount
	Machine       emulator.MachineSpec // settings common to all machines
	List          ListTiming
	Workloads     []emulator.WorkloadProfile // by workload class
	DrainGrace    scheduler.Time
	Slack         scheduler.Time
	BGP           *config.BGP // nil: the BGP settings of the template apply
}

// MachineCount is the number of machines of a type in each zone.
type MachineCount struct {
	MachineType string
	PerZone     int
}

// ListTiming sets how far the machine list lags behind the machines and how often it may be called.
type ListTiming struct {
	Lag, FailureDetection, PollInterval time.Duration
	CallsPerSecond                      int
}

// rackGroupsPerZone is an upper bound that keeps the rack group indexes of zones apart.
const (
	machinesPerRackGroup = 4 // of one machine type
	rackGroupsPerZone    = 1000
)

// machineSpecs returns the specs of all machines, zone by zone.
func (s *Spec) machineSpecs(settings *config.Scheduler) []emulator.MachineSpec {
	base := s.machineDefaults(settings)
	typeIndex := map[string]int{}
	for i, name := range settings.MachineTypes {
		typeIndex[name] = i
	}
	var specs []emulator.MachineSpec
	for zone, zoneName := range s.Zones {
		for _, count := range s.MachineCounts {
			index := typeIndex[count.MachineType]
			machineType := settings.Policy.MachineTypes[index]
			for i := range count.PerZone {
				spec := base
				spec.Name = fmt.Sprintf("%s-%s-%d", zoneName, count.MachineType, i)
				spec.Zone, spec.ZoneIndex = zoneName, zone
				spec.MachineTypeIndex = index
				spec.RackGroupIndex = zone*rackGroupsPerZone + i/machinesPerRackGroup
				spec.Cores, spec.Memory = machineType.Cores, machineType.Memory
				specs = append(specs, spec)
			}
		}
	}
	return specs
}

// machineDefaults completes the common machine settings with those that follow from the scheduler's settings.
func (s *Spec) machineDefaults(settings *config.Scheduler) emulator.MachineSpec {
	policy := settings.Policy
	spec := s.Machine
	spec.AcceptCores, spec.AcceptMemory = policy.CoresOvercommit, policy.MemoryOvercommit
	spec.SlowStartPeriod = time.Duration(policy.SlowStartPeriod) * process.Tick
	spec.SlowStartWindow = time.Duration(policy.SlowStartWindow) * process.Tick
	spec.AcceptMeansRunning, spec.UsageReports = policy.AcceptMeansRunning, policy.UsageReports
	for _, class := range policy.WorkloadClasses {
		spec.RequiredMachineType = append(spec.RequiredMachineType, class.MachineType)
		spec.EvictionRank = append(spec.EvictionRank, int(class.PriorityWeight*100))
	}
	return spec
}
