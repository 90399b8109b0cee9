package controller

import "glenport/scheduler"

// The types below are stored under the names in their tags, and states are stored as numbers. A change of a tag or of
// the order of the states makes stored state unreadable.

// Spec describes one container of a job.
type Spec struct {
	Service       string         `cbor:"Service"`
	WorkloadClass int            `cbor:"Workload"` // index into Config.WorkloadClasses
	Tenant        int            `cbor:"Customer"` // index into the scheduler's tenants; one past the last: none
	Cores         float64        `cbor:"Cores"`
	Memory        float64        `cbor:"Memory"` // GiB
	RunFor        scheduler.Time `cbor:"RunFor"` // 0: runs until it is stopped
	RunOnce       bool           `cbor:"Once"`   // not started again once it has finished
}

// ContainerState is the state of a container that a job wants.
type ContainerState uint8

// States of a container.
const (
	StatePending    ContainerState = iota // its next placement request or lookup is scheduled
	StatePlacing                          // a scheduler has a placement, lookup or cancel request for it
	StateRunning                          // a machine runs it
	StateFencing                          // it may be running: nothing is requested until the fencing delay is over
	StateUnobserved                       // it ran, or may have been running, when its scheduler was lost
	StateCompleted                        // it is not started again
)

// String returns the name of the state in the API.
func (s ContainerState) String() string {
	return [...]string{"waiting", "asking", "running", "guarded", "unwatched", "done"}[s]
}

// Container is the stored record of a replica, and the form in which the API shows it. Its times are on the clock that
// Handle is given. Its booleans are part of the stored format. Decisions use the typed state and the fields of replica
// instead; record and newRestoredReplica convert between the two types.
type Container struct {
	Job            string         `cbor:"Job"`
	Index          int            `cbor:"Index"`
	State          ContainerState `cbor:"State"`
	Terminating    bool           `cbor:"Leaving"` // no longer wanted
	Machine        string         `cbor:"Machine"`
	Scheduler      int            `cbor:"Door"`   // index of the scheduler that received the last request; -1: none
	Sticky         bool           `cbor:"Pinned"` // it may be running, and only Scheduler can tell
	EnteredStateAt scheduler.Time `cbor:"Since"`  // when it entered State
	NextStepAt     scheduler.Time `cbor:"Until"`  // when the next step is due; 0: no step is scheduled
	Attempts       int            `cbor:"Tries"`  // number of placement requests since it last ran
	Starts         int            `cbor:"Starts"`
	LastStatus     string         `cbor:"Last"` // last answer or outcome, for display
	WasRefused     bool           `cbor:"Held"` // the last answer was a VerdictRefused

	// The fields below are needed only by the next incarnation of the controller.
	IdempotencyKey string `cbor:"Key"`
	RequestID      string `cbor:"Ask"`      // of the last request
	Submitted      bool   `cbor:"Again"`    // its placement was requested under IdempotencyKey
	BeingReplaced  bool   `cbor:"Replaced"` // cancelled in favor of a newer spec
	SubmittedSpec  Spec   `cbor:"With"`     // the spec of the last placement request
}
