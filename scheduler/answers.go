package scheduler

// Explanation says why a container finds no machine: how many machines each filter leaves out. A machine counts
// once, under the first filter that does.
type Explanation struct {
	Machines           int // the sum of those below but Gone
	Gone               int
	WrongMachineType   int
	Draining           int
	TooSmall           int
	SelfDraining       int // they send containers away; the machine list has no drain yet
	SpreadExhausted    int
	SlowStartExhausted int
	Ejected            int
	Suspected          int // of failing the request's workload class or tenant
	InsufficientCores  int // by the requests that the machine list has
	InsufficientMemory int
	Eligible           int
	SheddingLoad       bool // requests of low priority are rejected
	FullRatio          float64
}

// Snapshot is what a scheduler has learned and no list tells. Times are by its clock. The tags of this and the
// following types are their names on disk.
type Snapshot struct {
	Machines        []MachineSnapshot `cbor:"Machines"`
	TrafficClasses  []TrafficClass    `cbor:"Traits"`    // workload classes, then tenants, then "no tenant"
	FullRatio       float64           `cbor:"Full"`      // moving share of attempts that found no room
	RejectedWeight  float64           `cbor:"Missed"`    // the same of attempts by priority weight
	SendsKnownSince Time              `cbor:"SentSince"` // from then on all sends to machines in slow start are known
}

// MachineSnapshot is what a scheduler has learned of one incarnation of a machine.
type MachineSnapshot struct {
	Machine           MachineID         `cbor:"Machine"`
	StartedAt         Time              `cbor:"Started"` // identifies the incarnation
	OutlierLogOdds    float64           `cbor:"Sick"`
	EjectedUntil      Time              `cbor:"RestUntil"` // 0: not ejected
	EjectionTime      Time              `cbor:"Rest"`      // of the next ejection
	SelfDrainingUntil Time              `cbor:"ShutUntil"`
	FailureEvidence   []FailureEvidence `cbor:"Doubts"` // by traffic class
	RecentSends       []Time            `cbor:"Cold"`   // attempts and probes of the last window, the earliest first
}

// TrafficClass is a workload class or a tenant: what some machines may treat unlike the rest.
type TrafficClass struct {
	LossRatio          float64 `cbor:"Lost"` // moving share of attempts lost
	SuspicionThreshold float64 `cbor:"Bar"`  // log odds from which a machine is taken to fail the class
}

// FailureEvidence is the log odds that a machine fails a traffic class, as of a time from which they decay.
type FailureEvidence struct {
	LogOdds float64 `cbor:"Odds"`
	AsOf    Time    `cbor:"At"`
}
