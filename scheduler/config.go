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

// Idempotency says whether a container may safely run a second time.
type Idempotency uint8

// The values are stored on disk and must not change.
const (
	Idempotent        Idempotency = iota // may run again
	IdempotentWithKey                    // machines in DedupScope drop repeats for DedupWindow
	AtMostOnce                           // must never run twice
)

// Scope is a part of the fleet in which repeats are dropped, or in which a spread limit counts containers.
type Scope uint8

// The values are stored on disk and must not change.
const (
	ScopeNone Scope = iota
	ScopeMachine
	ScopeRackGroup
	ScopeZone
	ScopeFleet
)

// WorkloadClass holds the properties that all containers of a class share. The tags are the field names in recordings.
type WorkloadClass struct {
	Idempotency      Idempotency `cbor:"Effect"`
	DedupScope       Scope       `cbor:"Repeats"`  // for IdempotentWithKey
	DedupWindow      Time        `cbor:"Window"`   // for IdempotentWithKey
	LatencyObjective Time        `cbor:"Agreed"`   // a start within it has full value
	PlacementTimeout Time        `cbor:"HardStop"` // time from the request to its deadline
	MachineType      int         `cbor:"Kind"`     // index into Config.MachineTypes of the required type; -1: any
	SpreadScope      Scope       `cbor:"Spread"`
	MaxPerScope      int         `cbor:"Most"` // maximum of a service's containers in one SpreadScope
	PriorityWeight   float64     `cbor:"Gain"` // value of a start within LatencyObjective
}

// MachineType is the size of the machines of a type. The tags are the field names in recordings.
type MachineType struct {
	Cores  float64 `cbor:"Cores"`
	Memory float64 `cbor:"Memory"`
}

// Tenant is a tenant with its quota. The tag is the field name in recordings.
type Tenant struct {
	QuotaCores float64 `cbor:"Cores"` // quota of the cores requested from all schedulers together
}

// Config is the configuration of a scheduler. The tags are the field names in recordings.
type Config struct {
	Seed               uint64          `cbor:"Seed"`
	SchedulerIndex     int             `cbor:"Me"` // index of this scheduler, from 0
	SchedulerCount     int             `cbor:"Placers"`
	WorkloadClasses    []WorkloadClass `cbor:"Workloads"`
	MachineTypes       []MachineType   `cbor:"Kinds"`
	Tenants            []Tenant        `cbor:"Customers"`
	OverQuotaWeight    float64         `cbor:"OverShare"`   // factor on the priority weight of use over quota
	CoresOvercommit    float64         `cbor:"AcceptCores"` // a machine accepts requests for this multiple of its cores
	MemoryOvercommit   float64         `cbor:"AcceptMemory"`
	MeanCores          float64         `cbor:"MeanCores"`  // mean cores of a container
	MeanMemory         float64         `cbor:"MeanMemory"` // mean memory of a container
	AcceptMeansRunning bool            `cbor:"YesRuns"`    // a machine accepts only once the container runs
	UsageReports       bool            `cbor:"UseNotes"`   // the resource use of own containers is reported
	ListTracksRequests bool            `cbor:"ListedAsks"` // free amounts in the machine list are total minus requested
	ProbesAllowed      bool            `cbor:"MayProbe"`
	MaxAttempts        int             `cbor:"MostBids"`
	AnswerGrace        Time            `cbor:"AnswerGrace"` // time after the deadline in which an answer counts
	ListOnRequest      bool            `cbor:"ListOnAsk"`   // the machine list is sent only after WatchMachineList
	ResyncInterval     Time            `cbor:"AskWithin"`   // longest time until the list has to be polled
	SlowStartPeriod    Time            `cbor:"ColdFor"`     // length of slow start after the start of a machine
	SlowStartWindow    Time            `cbor:"ColdWindow"`  // window to which SlowStartBudget applies
	SlowStartBudget    int             `cbor:"ColdBids"`    // sends to a machine in each window, by all schedulers
}
