package protocol

import "glenport/scheduler"

// Outcome is how an attempt or a container ended.
type Outcome uint8

// The outcomes.
const (
	OutcomeFinished Outcome = iota
	OutcomeErrored
	OutcomeFull // the machine had no capacity; the container never ran
	OutcomeStopped
	OutcomeLost // with its machine or the connection to it
	outcomeCount
)

var outcomeNames = []string{"finished", "erred", "full", "stopped", "lost"}

// String is the name of the outcome in docs/protocol.md.
func (o Outcome) String() string { return enumName(outcomeNames, int(o)) }

var schedulerOutcomes = [...]scheduler.Outcome{
	OutcomeFinished: scheduler.OutcomeFinished,
	OutcomeErrored:  scheduler.OutcomeErrored,
	OutcomeFull:     scheduler.OutcomeFull,
	OutcomeStopped:  scheduler.OutcomeStopped,
	OutcomeLost:     scheduler.OutcomeLost,
}

// SchedulerOutcome converts the outcome to the type of package scheduler.
func (o Outcome) SchedulerOutcome() scheduler.Outcome { return schedulerOutcomes[o] }

// OutcomeFromScheduler converts an outcome of package scheduler for a client. An outcome without a protocol value
// becomes OutcomeLost.
func OutcomeFromScheduler(outcome scheduler.Outcome) Outcome {
	for o, known := range schedulerOutcomes {
		if known == outcome {
			return Outcome(o)
		}
	}
	return OutcomeLost
}

// Reason explains an Outcome. The values are those of scheduler.Reason.
type Reason uint8

// The reasons.
const (
	ReasonNone Reason = iota
	ReasonNoCores
	ReasonNoMemory
	ReasonQueueTooLong
	ReasonWrongMachine
	ReasonOutOfMemory
	ReasonPreempted
	ReasonDrained
	reasonCount
)

var reasonNames = []string{"-", "no cores", "no memory", "long queue", "not here", "evicted", "pushed out", "sent away"}

// String is the name of the reason in docs/protocol.md.
func (r Reason) String() string { return enumName(reasonNames, int(r)) }

// ContainerSpec describes a container to be run.
type ContainerSpec struct {
	_               struct{} `cbor:",toarray"`
	ContainerID     string   `cbor:"Container"`
	IdempotencyKey  string   `cbor:"Key"`
	Service         string   `cbor:"Service"`
	WorkloadClass   int      `cbor:"Workload"`
	Tenant          int      `cbor:"Customer"`
	Cores           float64  `cbor:"Cores"`
	Memory          float64  `cbor:"Memory"` // GiB
	DedupWindow     Duration `cbor:"Window"` // repeats of the key within this time are dropped; 0: none are dropped
	ExpectedRuntime Duration `cbor:"RunFor"` // 0: unknown
	ClientRetry     bool     `cbor:"Again"`  // the client has submitted the container before
}

func (s *ContainerSpec) validate(v *validator) {
	v.name("container", s.ContainerID)
	v.name("key", s.IdempotencyKey)
	v.name("service", s.Service)
	v.count("workload", s.WorkloadClass)
	v.count("customer", s.Tenant)
	v.size("cores", s.Cores)
	v.size("memory", s.Memory)
	v.duration("window", s.DedupWindow)
	v.duration("run for", s.ExpectedRuntime)
}

// validateOutcome checks the outcome and the reason of the end of an attempt or a container.
func validateOutcome(v *validator, outcome Outcome, reason Reason) {
	v.enum("outcome", int(outcome), 0, int(outcomeCount))
	v.enum("reason", int(reason), 0, int(reasonCount))
}
