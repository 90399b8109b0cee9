package scheduler

// Event is an input of the scheduler: a change of a container, a machine or the machine list, or a timer.
type Event interface{ event() }

// MachineListUpdate is an update of the machine list: a watch event, the result of a poll, a list from before a restart
// of the scheduler, or a start that a machine reports itself.
type MachineListUpdate struct {
	Mode    UpdateMode
	Version int64
	Entries []MachineEntry
}

// UpdateMode says how the entries of an update apply.
type UpdateMode uint8

// Modes of an update.
const (
	DeltaUpdate      UpdateMode = iota // machines without an entry are unchanged
	FullSnapshot                       // machines without an entry are gone
	RestoredSnapshot                   // a FullSnapshot saved before the scheduler restarted
	UpdateFailed                       // the poll failed
	SelfReported                       // a start reported by the machine itself, not by the list service
)

// MachineEntry is the entry of a machine in the machine list.
type MachineEntry struct {
	Machine     MachineID
	Zone        int
	MachineType int // index into Config.MachineTypes
	RackGroup   int
	State       MachineState
	FreeCores   float64
	FreeMemory  float64
	PowerHint   float64
	StartedAt   Time // 0: too long ago for slow start
}

// MachineState says whether a machine accepts containers.
type MachineState uint8

// States of a machine.
const (
	MachineServing MachineState = iota
	MachineDraining
	MachineGone
)

// PlacementRequest describes a container to be placed. The tags are the field names in the log of a scheduler's state.
type PlacementRequest struct {
	ID              ContainerID `cbor:"ID"`
	IdempotencyKey  string      `cbor:"Key"` // the same for each retry by the client
	Service         string      `cbor:"Service"`
	WorkloadClass   int         `cbor:"Workload"` // index into Config.WorkloadClasses
	Tenant          int         `cbor:"Customer"` // index into Config.Tenants; an index out of range means no tenant
	Cores           float64     `cbor:"Cores"`
	Memory          float64     `cbor:"Memory"`
	Deadline        Time        `cbor:"Due"`
	ExpectedRuntime Time        `cbor:"Life"` // expected runtime from now on; 0: unknown
	ClientRetry     bool        `cbor:"Again"`
}

// RequestReceived asks for a container to be placed.
type RequestReceived struct{ PlacementRequest }

// ContainerAdopted reports a container that already runs.
type ContainerAdopted struct {
	PlacementRequest
	Machine MachineID
}

// ContainerRemoved reports that a container was cancelled or removed. Its client needs no further answer.
type ContainerRemoved struct{ ID ContainerID }

// AttemptAccepted reports that the machine accepted the container.
type AttemptAccepted struct {
	ID      ContainerID
	Attempt int // from 1
	Machine MachineID
	Elapsed Time // time since the attempt was sent
}

// AttemptEnded is the outcome of an attempt, before or after its acceptance. Each attempt has exactly one.
type AttemptEnded struct {
	ID      ContainerID
	Final   bool // the client needs no further answer
	Attempt int
	Outcome Outcome
	Machine MachineID
	Reason  Reason
	Elapsed Time
	Report  LoadReport
}

// Outcome is the outcome of an attempt or a probe.
type Outcome uint8

// The comments say whether the container may have run.
const (
	OutcomeFinished      Outcome = iota // ran
	OutcomeErrored                      // may have run
	OutcomeFull                         // never ran
	OutcomeTimedOut                     // may have run, or may still start
	OutcomeConnectFailed                // never ran
	OutcomeLost                         // may have run: the connection or the container was lost
	OutcomeStopped                      // may have run: the container was cancelled or moved
	OutcomeNotSent                      // never ran
)

// Reason is the reason that a machine gives for an outcome.
type Reason uint8

// Reasons for a refusal or a loss.
const (
	ReasonNone Reason = iota
	ReasonNoCores
	ReasonNoMemory
	ReasonQueueTooLong
	ReasonWrongMachine // the machine does not know the container
	ReasonOutOfMemory  // the machine ran out of memory
	ReasonPreempted
	ReasonDrained // the machine drains and sent the container away
)

// LoadReport is the load of a machine, by names that the machine chooses.
type LoadReport map[string]float64

// UsageReported reports a measurement of a container whose attempt has no outcome yet.
type UsageReported struct {
	ID      ContainerID
	Machine MachineID
	Attempt int
	Metric  UsageMetric
	Value   float64
}

// UsageMetric is the metric of a measurement.
type UsageMetric uint8

// Metrics of a container and of its machine.
const (
	MetricRunning UsageMetric = 1 + iota
	MetricCoresUsed
	MetricMemoryUsed
	MetricServedShare   // fraction of full service
	MetricMachineMemory // fraction of the machine's memory in use
)

// ProbeCompleted is the result of a Probe.
type ProbeCompleted struct {
	Machine MachineID
	Outcome Outcome // OutcomeFinished: the machine answered
	Elapsed Time
	Report  LoadReport
}

// TimerFired reports that the time of a SetTimer has passed.
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
