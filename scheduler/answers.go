package scheduler

// Explanation says why no machine is found for a container: how many machines each filter excludes. A machine counts
// once, under the first filter that excludes it.
type Explanation struct {
	Machines           int // sum of the counts below, without Gone
	Gone               int // known, but not in the machine list
	WrongMachineType   int
	Draining           int
	TooSmall           int
	SelfDraining       int // the machine sends containers away, but the machine list does not show a drain yet
	SpreadExhausted    int
	SlowStartExhausted int
	Ejected            int
	Suspected          int // suspected of failing the request's workload class or tenant
	InsufficientCores  int // according to the requests in the machine list
	InsufficientMemory int
	Eligible           int
	SheddingLoad       bool    // whether requests of low priority are rejected
	FullRatio          float64 // moving share of attempts that found their machine full
}

// Snapshot is the state that a scheduler has learned and cannot get from the machine list. Times are by the scheduler's
// clock. The tags of this type and of those below are the field names on disk.
type Snapshot struct {
	Machines        []MachineSnapshot `cbor:"Machines"`
	TrafficClasses  []TrafficClass    `cbor:"Traits"`    // workload classes, then tenants, then "no tenant"
	FullRatio       float64           `cbor:"Full"`      // moving share of attempts that found their machine full
	RejectedWeight  float64           `cbor:"Missed"`    // moving average: priority weight if full, 0 if accepted
	SendsKnownSince Time              `cbor:"SentSince"` // since then all sends to machines in slow start are known
}

// MachineSnapshot is the learned state of one incarnation of a machine.
type MachineSnapshot struct {
	Machine           MachineID         `cbor:"Machine"`
	StartedAt         Time              `cbor:"Started"` // identifies the incarnation
	OutlierLogOdds    float64           `cbor:"Sick"`
	EjectedUntil      Time              `cbor:"RestUntil"` // 0: not ejected
	EjectionTime      Time              `cbor:"Rest"`      // length of the next ejection
	SelfDrainingUntil Time              `cbor:"ShutUntil"`
	FailureEvidence   []FailureEvidence `cbor:"Doubts"` // by traffic class
	RecentSends       []Time            `cbor:"Cold"`   // sends in the last slow-start window, earliest first
}

// TrafficClass holds the statistics of a workload class or a tenant. A machine may fail one class and serve the others.
type TrafficClass struct {
	LossRatio          float64 `cbor:"Lost"` // moving share of lost attempts
	SuspicionThreshold float64 `cbor:"Bar"`  // log odds from which a machine is suspected of failing the class
}

// FailureEvidence is the log odds that a machine fails a traffic class. They decay from AsOf on.
type FailureEvidence struct {
	LogOdds float64 `cbor:"Odds"`
	AsOf    Time    `cbor:"At"`
}
