// Package scheduler decides on which machine each container of a service is started.
package scheduler

// Time is a clock reading or a span, in tenths of a millisecond.
type Time int64

const (
	Millisecond Time = 10
	Second      Time = 10_000
)

// Idempotency says what a second run of a container would do.
type Idempotency uint8

const (
	Idempotent        Idempotency = iota // may run again
	IdempotentWithKey                    // repeats are dropped inside a group of machines, for a while
	AtMostOnce                           // must never run twice
)

// Scope is an extent of the fleet: where repeats are dropped, or what a spread counts.
type Scope uint8

const (
	ScopeNone Scope = iota
	ScopeMachine
	ScopeRackGroup
	ScopeZone
	ScopeFleet
)

// WorkloadClass holds the terms of one sort of container.
type WorkloadClass struct {
	Idempotency      Idempotency `cbor:"Effect"`
	DedupScope       Scope       `cbor:"Repeats"` // numbered: the group that drops repeats
	DedupWindow      Time        `cbor:"Window"`  // numbered: for how long it does
	LatencyObjective Time        `cbor:"Agreed"`  // a start within it earns in full
	PlacementTimeout Time        `cbor:"HardStop"`
	MachineType      int         `cbor:"Kind"` // the machine kind it needs, -1 for any
	SpreadScope      Scope       `cbor:"Spread"`
	MaxPerScope      int         `cbor:"Most"` // containers of a service in one such place
	PriorityWeight   float64     `cbor:"Gain"`
}

// MachineType is a sort of machine.
type MachineType struct {
	Cores  float64 `cbor:"Cores"`
	Memory float64 `cbor:"Memory"`
}

// Tenant has a share of the fleet, in cores asked of all placers.
type Tenant struct {
	QuotaCores float64 `cbor:"Cores"`
}

// Config are what a placer is told when it starts.
type Config struct {
	Seed               uint64          `cbor:"Seed"`
	SchedulerIndex     int             `cbor:"Me"` // this placer among them, from 0
	SchedulerCount     int             `cbor:"Placers"`
	WorkloadClasses    []WorkloadClass `cbor:"Workloads"`
	MachineTypes       []MachineType   `cbor:"Kinds"`
	Tenants            []Tenant        `cbor:"Customers"`
	OverQuotaWeight    float64         `cbor:"OverShare"`   // worth of what a customer asks beyond its share
	CoresOvercommit    float64         `cbor:"AcceptCores"` // a machine accepts asks up to this multiple of its cores
	MemoryOvercommit   float64         `cbor:"AcceptMemory"`
	MeanCores          float64         `cbor:"MeanCores"`
	MeanMemory         float64         `cbor:"MeanMemory"`
	AcceptMeansRunning bool            `cbor:"YesRuns"`    // a machine says yes only once the container runs
	UsageReports       bool            `cbor:"UseNotes"`   // use of own containers is told
	ListTracksRequests bool            `cbor:"ListedAsks"` // list entries tell the room that nobody has asked for
	ProbesAllowed      bool            `cbor:"MayProbe"`
	MaxAttempts        int             `cbor:"MostBids"`
	AnswerGrace        Time            `cbor:"AnswerGrace"` // after the hard stop, in which an answer is still in time
	ListOnRequest      bool            `cbor:"ListOnAsk"`   // the list must be watched
	ResyncInterval     Time            `cbor:"AskWithin"`
	SlowStartPeriod    Time            `cbor:"ColdFor"` // a machine that came up is warm after this
	SlowStartWindow    Time            `cbor:"ColdWindow"`
	SlowStartBudget    int             `cbor:"ColdBids"` // bids in a window that a cold machine always bears, from all placers
}

// MachineID and ContainerID name things at the door only.
type (
	MachineID   string
	ContainerID string
)

// MachineEntry is what the list says of one machine.
type MachineEntry struct {
	Machine     MachineID
	Zone        int
	MachineType int
	RackGroup   int
	State       MachineState
	FreeCores   float64
	FreeMemory  float64
	PowerHint   float64
	StartedAt   Time // 0: long ago
}

type MachineState uint8

const (
	MachineServing MachineState = iota
	MachineDraining
	MachineGone
)

type UpdateMode uint8

const (
	DeltaUpdate UpdateMode = iota
	FullSnapshot
	RestoredSnapshot // the list as last held before a restart
	UpdateFailed
	SelfReported // a new start by the machine's own hello: the list itself was not heard
)

// Event is something that happened to a placer.
type Event interface{ event() }

// MachineListUpdate is news of the machines.
type MachineListUpdate struct {
	Mode    UpdateMode
	Version int64
	Entries []MachineEntry
}

// PlacementRequest describes a container.
type PlacementRequest struct {
	ID              ContainerID `cbor:"ID"`
	IdempotencyKey  string      `cbor:"Key"` // the same each time the container comes
	Service         string      `cbor:"Service"`
	WorkloadClass   int         `cbor:"Workload"`
	Tenant          int         `cbor:"Customer"`
	Cores           float64     `cbor:"Cores"`
	Memory          float64     `cbor:"Memory"`
	Deadline        Time        `cbor:"Due"`   // its hard stop on the clock
	ExpectedRuntime Time        `cbor:"Life"`  // what it will still run, 0: not told
	ClientRetry     bool        `cbor:"Again"` // it came before
}

// RequestReceived is a container to be placed; ContainerAdopted is one that runs already.
type (
	RequestReceived  struct{ PlacementRequest }
	ContainerAdopted struct {
		PlacementRequest
		Machine MachineID
	}
)

// AttemptAccepted is a machine's yes.
type AttemptAccepted struct {
	ID      ContainerID
	Attempt int
	Machine MachineID
	Elapsed Time
}

type UsageMetric uint8

const (
	MetricRunning UsageMetric = 1 + iota
	MetricCoresUsed
	MetricMemoryUsed
	MetricServedShare
	MetricMachineMemory
)

// UsageReported is news of a container that has no outcome yet.
type UsageReported struct {
	ID      ContainerID
	Machine MachineID
	Attempt int
	Metric  UsageMetric
	Value   float64
}

type Outcome uint8

const (
	OutcomeFinished      Outcome = iota
	OutcomeErrored               // may have started
	OutcomeFull                  // never ran
	OutcomeTimedOut              // may have started, or may yet
	OutcomeConnectFailed         // never ran
	OutcomeLost                  // lost, or cut short
	OutcomeStopped               // withdrawn or moved
	OutcomeNotSent               // never ran
)

type Reason uint8

const (
	ReasonNone Reason = iota
	ReasonNoCores
	ReasonNoMemory
	ReasonQueueTooLong
	ReasonWrongMachine
	ReasonOutOfMemory
	ReasonPreempted
	ReasonDrained
)

// LoadReport is a machine's word on its load, by the names it uses.
type LoadReport map[string]float64

// AttemptEnded is the one outcome of a bid.
type AttemptEnded struct {
	ID      ContainerID
	Final   bool // nothing more is owed
	Attempt int
	Outcome Outcome
	Machine MachineID
	Reason  Reason
	Elapsed Time
	Report  LoadReport
}

// ProbeCompleted answers a Probe.
type ProbeCompleted struct {
	Machine MachineID
	Outcome Outcome // Finished when all is well
	Elapsed Time
	Report  LoadReport
}

// TimerFired is a timer; Vanished ends a container from outside.
type (
	TimerFired       struct{ Name string }
	ContainerRemoved struct{ ID ContainerID }
)

func (MachineListUpdate) event() {}
func (RequestReceived) event()   {}
func (ContainerAdopted) event()  {}
func (AttemptAccepted) event()   {}
func (UsageReported) event()     {}
func (AttemptEnded) event()      {}
func (ProbeCompleted) event()    {}
func (TimerFired) event()        {}
func (ContainerRemoved) event()  {}

// Action is something a placer wants done.
type Action interface{ action() }

type (
	// StartAttempt offers a container to a machine; Timeout 0 waits until the hard stop.
	StartAttempt struct {
		ID      ContainerID
		Machine MachineID
		Timeout Time
	}
	// Reject tells the owner that asking again does no harm; Fail promises nothing.
	Reject struct {
		ID         ContainerID
		RetryAfter Time
	}
	Fail struct{ ID ContainerID }
	// CancelAttempt stops waiting on a bid.
	CancelAttempt struct {
		ID      ContainerID
		Attempt int
	}
	Probe struct{ Machine MachineID }
	// Disconnect closes idle connections.
	Disconnect struct{ Machine MachineID }
	SetTimer   struct {
		After Time
		Name  string
	}
	WatchMachineList struct{ Enabled bool }
	FetchMachineList struct{}
	Log              struct{ Message string }
)

func (StartAttempt) action()     {}
func (Reject) action()           {}
func (Fail) action()             {}
func (CancelAttempt) action()    {}
func (Probe) action()            {}
func (Disconnect) action()       {}
func (SetTimer) action()         {}
func (WatchMachineList) action() {}
func (FetchMachineList) action() {}
func (Log) action()              {}

// Explanation answers why a container may find no machine: how many machines each filter leaves out.
type Explanation struct {
	Machines           int // listed and not gone; the sum of those below but Gone
	Gone               int
	WrongMachineType   int
	Draining           int
	TooSmall           int
	SelfDraining       int // on their own word: sending containers away
	SpreadExhausted    int
	SlowStartExhausted int
	Ejected            int // look sick
	Suspected          int
	InsufficientCores  int // by the asks that the list tells
	InsufficientMemory int
	Eligible           int
	SheddingLoad       bool // low gain is pushed back
	FullRatio          float64
}

// Snapshot is what a placer has learned and no list tells. The times are by its clock.
type Snapshot struct {
	Machines        []MachineSnapshot `cbor:"Machines"`
	TrafficClasses  []TrafficClass    `cbor:"Traits"` // the workloads, then the customers, then no customer
	FullRatio       float64           `cbor:"Full"`   // moving share of bids that found no room, and what they would have gained
	RejectedWeight  float64           `cbor:"Missed"`
	SendsKnownSince Time              `cbor:"SentSince"` // from then on all that was sent to cold machines is known
}

// MachineSnapshot is what a placer knows of one start of a machine.
type MachineSnapshot struct {
	Machine           MachineID         `cbor:"Machine"`
	StartedAt         Time              `cbor:"Started"`
	OutlierLogOdds    float64           `cbor:"Sick"`      // log odds
	EjectedUntil      Time              `cbor:"RestUntil"` // a last resort until then; 0: it is not
	EjectionTime      Time              `cbor:"Rest"`      // how long it is one
	SelfDrainingUntil Time              `cbor:"ShutUntil"` // out of every draw on its own word
	FailureEvidence   []FailureEvidence `cbor:"Doubts"`    // by trait
	RecentSends       []Time            `cbor:"Cold"`      // when bids and probes went to it in the last window, the earliest first
}

// TrafficClass is a workload or a customer: what some machines may treat unlike the rest.
type TrafficClass struct {
	LossRatio          float64 `cbor:"Lost"` // moving share of bids lost
	SuspicionThreshold float64 `cbor:"Bar"`  // log odds from which a machine is taken to shun it
}

// FailureEvidence is log odds that a machine shuns a trait, as of a time; they fade.
type FailureEvidence struct {
	LogOdds float64 `cbor:"Odds"`
	AsOf    Time    `cbor:"At"`
}
