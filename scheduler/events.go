package scheduler

// Event is something that happened.
type Event interface{ event() }

// MachineListUpdate is a watch event of the machine list, or the answer to a poll.
type MachineListUpdate struct {
	Mode    UpdateMode
	Version int64
	Entries []MachineEntry
}

// UpdateMode says how the entries of an update apply.
type UpdateMode uint8

// Modes of an update.
const (
	DeltaUpdate      UpdateMode = iota // of the machines named
	FullSnapshot                       // machines that are not named are gone
	RestoredSnapshot                   // as FullSnapshot, as of before a restart of the scheduler
	UpdateFailed                       // the poll failed
	SelfReported                       // a start that the machine reported itself: no answer of the list service
)

// MachineEntry is what the machine list says of a machine.
type MachineEntry struct {
	Machine     MachineID
	Zone        int
	MachineType int // index into Config.MachineTypes
	RackGroup   int
	State       MachineState
	FreeCores   float64
	FreeMemory  float64
	PowerHint   float64
	StartedAt   Time // 0: long ago
}

// MachineState is whether a machine takes containers.
type MachineState uint8

// States of a machine.
const (
	MachineServing MachineState = iota
	MachineDraining
	MachineGone
)

// PlacementRequest describes a container. The tags are its names in the log of a scheduler's state.
type PlacementRequest struct {
	ID              ContainerID `cbor:"ID"`
	IdempotencyKey  string      `cbor:"Key"` // the same for each retry by the client
	Service         string      `cbor:"Service"`
	WorkloadClass   int         `cbor:"Workload"` // index into Config.WorkloadClasses
	Tenant          int         `cbor:"Customer"` // index into Config.Tenants, or beyond: none
	Cores           float64     `cbor:"Cores"`
	Memory          float64     `cbor:"Memory"`
	Deadline        Time        `cbor:"Due"`
	ExpectedRuntime Time        `cbor:"Life"` // from now on, 0: not known
	ClientRetry     bool        `cbor:"Again"`
}

// RequestReceived asks for a container to be placed.
type RequestReceived struct{ PlacementRequest }

// ContainerAdopted is a container that runs already.
type ContainerAdopted struct {
	PlacementRequest
	Machine MachineID
}

// ContainerRemoved ends a container from outside; nothing more is owed to its client.
type ContainerRemoved struct{ ID ContainerID }

// AttemptAccepted says that the machine accepted the container.
type AttemptAccepted struct {
	ID      ContainerID
	Attempt int // from 1
	Machine MachineID
	Elapsed Time // since the attempt was sent
}

// AttemptEnded is the one outcome of an attempt, before or after its acceptance.
type AttemptEnded struct {
	ID      ContainerID
	Final   bool // nothing more is owed to the client
	Attempt int
	Outcome Outcome
	Machine MachineID
	Reason  Reason
	Elapsed Time
	Report  LoadReport
}

// Outcome of an attempt or a probe.
type Outcome uint8

// The comments say whether the container may have run.
const (
	OutcomeFinished      Outcome = iota // it did
	OutcomeErrored                      // it may have started
	OutcomeFull                         // never ran
	OutcomeTimedOut                     // it may have started, or may start yet
	OutcomeConnectFailed                // never ran
	OutcomeLost                         // it may have started; the connection or the container was cut short
	OutcomeStopped                      // it may have started; cancelled or moved
	OutcomeNotSent                      // never ran
)

// Reason is what the machine gives for an outcome.
type Reason uint8

// Reasons of a refusal, and of a loss.
const (
	ReasonNone Reason = iota
	ReasonNoCores
	ReasonNoMemory
	ReasonQueueTooLong
	ReasonWrongMachine // the machine does not know the container
	ReasonOutOfMemory  // its machine ran out of memory
	ReasonPreempted
	ReasonDrained // the machine sent it away
)

// LoadReport is the load of a machine, by the names that it uses.
type LoadReport map[string]float64

// UsageReported is a measurement of a container that has no outcome yet.
type UsageReported struct {
	ID      ContainerID
	Machine MachineID
	Attempt int
	Metric  UsageMetric
	Value   float64
}

// UsageMetric is what was measured.
type UsageMetric uint8

// Metrics of a container and of its machine.
const (
	MetricRunning UsageMetric = 1 + iota
	MetricCoresUsed
	MetricMemoryUsed
	MetricServedShare   // part of full service
	MetricMachineMemory // part of the machine's memory in use
)

// ProbeCompleted answers a Probe.
type ProbeCompleted struct {
	Machine MachineID
	Outcome Outcome // OutcomeFinished: the machine answered
	Elapsed Time
	Report  LoadReport
}

// TimerFired is the end of a SetTimer.
type TimerFired struct{ Name string }

func (MachineListUpdate) event() {}
func (RequestReceived) event()   {}
func (ContainerAdopted) event()  {}
func (ContainerRemoved) event()  {}
func (AttemptAccepted) event()   {}
func (AttemptEnded) event()      {}
func (UsageReported) event()     {}
func (ProbeCompleted) event()    {}
func (TimerFired) event()        {}
