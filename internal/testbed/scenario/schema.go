package scenario

import "glenport/internal/config/strictyaml"

// This file is the schema of scenario files. Keys that are not marked optional are required.

// scenarioFile is a scenario file, such as scenarios/short.yaml.
type scenarioFile struct {
	Name       strictyaml.String     `yaml:"name"`
	Seed       strictyaml.Count      `yaml:"seed"`
	Length     strictyaml.Duration   `yaml:"length"`                 // until the last submission
	Settle     strictyaml.Duration   `yaml:"settle"`                 // wait for replies after the last submission
	Schedulers strictyaml.Count      `yaml:"scheduler_count"`        // at least one
	Template   strictyaml.String     `yaml:"scheduler_config"`       // relative to the folder of this file
	Rate       strictyaml.Float      `yaml:"submissions_per_second"` // of all clients
	DrainGrace strictyaml.Duration   `yaml:"drain_grace"`            // grace period for offers after a drain
	Slack      strictyaml.Duration   `yaml:"slack"`                  // tolerance of the audit for recorded times
	Zones      []strictyaml.String   `yaml:"zones"`                  // at least one
	Machines   []machineGroupSection `yaml:"machines"`               // at least one
	Machine    machineSection        `yaml:"machine"`
	List       listSection           `yaml:"machine_list"`
	Workloads  []workloadSection     `yaml:"workloads"` // at least one
	Faults     []faultSection        `yaml:"faults"`
}

// machineGroupSection sets the number of machines of a type.
type machineGroupSection struct {
	MachineType strictyaml.String `yaml:"machine_type"`
	PerZone     strictyaml.Count  `yaml:"per_zone"`
}

// machineSection sets the behavior of machines.
type machineSection struct {
	AdmissionTime    strictyaml.Duration `yaml:"admission_time"`
	MaxQueuedOffers  strictyaml.Count    `yaml:"max_queued_offers"`
	ConcurrentStarts strictyaml.Count    `yaml:"concurrent_starts"`
	StartTime        strictyaml.Duration `yaml:"start_time"`
	ImageMissFactor  strictyaml.Float    `yaml:"image_miss_factor"` // factor for starts without a cached image
	CachedImages     strictyaml.Count    `yaml:"cached_images"`
	SlowStart        slowStartSection    `yaml:"slow_start"`
	MemoryDrift      strictyaml.Float    `yaml:"memory_drift"` // drift of the memory that a container uses
}

// slowStartSection sets the behavior of machines in slow start.
type slowStartSection struct {
	Pace     strictyaml.Float `yaml:"pace"`     // pace at the beginning of slow start
	Capacity strictyaml.Count `yaml:"capacity"` // offers in a window above which a machine fails; 0: no limit
}

// listSection sets the timing of the machine list.
type listSection struct {
	Lag              strictyaml.Duration `yaml:"lag"`
	FailureDetection strictyaml.Duration `yaml:"failure_detection"`
	PollInterval     strictyaml.Duration `yaml:"poll_interval"`
	CallsPerSecond   strictyaml.Count    `yaml:"calls_per_second"`
}

// workloadSection is the load of one workload class.
type workloadSection struct {
	Class           strictyaml.String   `yaml:"workload_class"`
	Share           strictyaml.Float    `yaml:"share"` // share of the submissions
	Services        strictyaml.Count    `yaml:"services"`
	Cores           []strictyaml.Float  `yaml:"cores"`
	Memory          []strictyaml.Memory `yaml:"memory"` // as many values as cores
	MeanRuntime     strictyaml.Duration `yaml:"mean_runtime"`
	RetryRejected   strictyaml.Bool     `yaml:"retry_rejected"`
	RetryUnanswered strictyaml.Bool     `yaml:"retry_unanswered" settings:"optional"` // default false
}

// faultSection is one fault. The meaning of fraction and size depends on the kind.
type faultSection struct {
	Kind     strictyaml.String   `yaml:"kind"`
	At       strictyaml.Duration `yaml:"at"`
	Duration strictyaml.Duration `yaml:"duration"`
	Fraction strictyaml.Float    `yaml:"fraction" settings:"optional"`
	Size     strictyaml.Float    `yaml:"size" settings:"optional"`
	Zone     strictyaml.String   `yaml:"zone" settings:"optional"`
}
