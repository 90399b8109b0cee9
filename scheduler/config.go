package scheduler

// Time is a clock reading or a span, in tenths of a millisecond.
type Time int64

// Units of Time.
const (
	Millisecond Time = 10
	Second      Time = 10_000
)

// MachineID is the name of a machine.
type MachineID string

// ContainerID is the name of a container, given by its client.
type ContainerID string

// Idempotency says what a second run of a container would do.
type Idempotency uint8

// The values are stored.
const (
	Idempotent        Idempotency = iota // it may run again
	IdempotentWithKey                    // machines in DedupScope drop repeats for DedupWindow
	AtMostOnce                           // it must never run twice
)

// Scope is an extent of the fleet: where repeats are dropped, or what a spread counts.
type Scope uint8

// The values are stored.
const (
	ScopeNone Scope = iota
	ScopeMachine
	ScopeRackGroup
	ScopeZone
	ScopeFleet
)

// WorkloadClass holds what containers of one class have in common. The tags are its names in recordings.
type WorkloadClass struct {
	Idempotency      Idempotency `cbor:"Effect"`
	DedupScope       Scope       `cbor:"Repeats"`  // for IdempotentWithKey
	DedupWindow      Time        `cbor:"Window"`   // for IdempotentWithKey
	LatencyObjective Time        `cbor:"Agreed"`   // a start within it has its full worth
	PlacementTimeout Time        `cbor:"HardStop"` // from the request to its deadline
	MachineType      int         `cbor:"Kind"`     // index of the type that it needs, -1 for any
	SpreadScope      Scope       `cbor:"Spread"`
	MaxPerScope      int         `cbor:"Most"` // containers of a service in one such place
	PriorityWeight   float64     `cbor:"Gain"` // worth of a start in time
}

// MachineType is the size of its machines. The tags are its names in recordings.
type MachineType struct {
	Cores  float64 `cbor:"Cores"`
	Memory float64 `cbor:"Memory"`
}

// Tenant has a quota. The tag is its name in recordings.
type Tenant struct {
	QuotaCores float64 `cbor:"Cores"` // requested of all schedulers
}

// Config is what a scheduler is given at its start. The tags are its names in recordings.
type Config struct {
	Seed               uint64          `cbor:"Seed"`
	SchedulerIndex     int             `cbor:"Me"` // of this instance, from 0
	SchedulerCount     int             `cbor:"Placers"`
	WorkloadClasses    []WorkloadClass `cbor:"Workloads"`
	MachineTypes       []MachineType   `cbor:"Kinds"`
	Tenants            []Tenant        `cbor:"Customers"`
	OverQuotaWeight    float64         `cbor:"OverShare"`   // part of its priority that a request over quota keeps
	CoresOvercommit    float64         `cbor:"AcceptCores"` // multiple of its cores that a machine accepts requests for
	MemoryOvercommit   float64         `cbor:"AcceptMemory"`
	MeanCores          float64         `cbor:"MeanCores"` // of a container
	MeanMemory         float64         `cbor:"MeanMemory"`
	AcceptMeansRunning bool            `cbor:"YesRuns"`    // a machine accepts only once the container runs
	UsageReports       bool            `cbor:"UseNotes"`   // the use by own containers is reported
	ListTracksRequests bool            `cbor:"ListedAsks"` // free amounts in the machine list are those not requested
	ProbesAllowed      bool            `cbor:"MayProbe"`
	MaxAttempts        int             `cbor:"MostBids"`
	AnswerGrace        Time            `cbor:"AnswerGrace"` // after the deadline, in which an answer is still in time
	ListOnRequest      bool            `cbor:"ListOnAsk"`   // the machine list comes only once it is watched
	ResyncInterval     Time            `cbor:"AskWithin"`   // within which the list has to be polled
	SlowStartPeriod    Time            `cbor:"ColdFor"`     // after the start of a machine
	SlowStartWindow    Time            `cbor:"ColdWindow"`
	SlowStartBudget    int             `cbor:"ColdBids"` // sends to a machine in each window, by all schedulers
}
