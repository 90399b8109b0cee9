package controller

import "glenport/scheduler"

// The types below are stored under the names in their tags and by the order of the states: a change there makes stored
// state unreadable.

// Spec is what one container of a job is.
type Spec struct {
	Service       string         `cbor:"Service"`
	WorkloadClass int            `cbor:"Workload"` // by position in Config
	Tenant        int            `cbor:"Customer"` // by position in the scheduler's settings; one beyond them: none
	Cores         float64        `cbor:"Cores"`
	Memory        float64        `cbor:"Memory"` // GiB
	RunFor        scheduler.Time `cbor:"RunFor"` // 0: until it is stopped
	RunOnce       bool           `cbor:"Once"`   // it is not started again once it has finished
}

// ContainerState is the state of a container that a job wants.
type ContainerState uint8

// States of a container.
const (
	StatePending    ContainerState = iota // its placement is requested when its time comes
	StatePlacing                          // a scheduler has a placement, lookup or cancel request
	StateRunning                          // a machine runs it
	StateFencing                          // it may run: nothing is requested until the fencing delay is over
	StateUnobserved                       // it ran, or may have, when its scheduler was lost
	StateCompleted                        // it is not started again
)

// String is the name of the state in the API.
func (s ContainerState) String() string {
	return [...]string{"waiting", "asking", "running", "guarded", "unwatched", "done"}[s]
}

// Container is the stored record of a replica, and what the API shows of it. Its times are those given to Handle. The
// booleans are the form in which the record was always stored: decisions use the typed state and the facts of replica,
// which record and newRestoredReplica convert.
type Container struct {
	Job         string         `cbor:"Job"`
	Index       int            `cbor:"Index"`
	State       ContainerState `cbor:"State"`
	Terminating bool           `cbor:"Leaving"` // it is no longer wanted
	Machine     string         `cbor:"Machine"`
	Scheduler   int            `cbor:"Door"`   // the last that was sent a request for it; -1: none
	Sticky      bool           `cbor:"Pinned"` // it may run, and only Scheduler can know
	Since       scheduler.Time `cbor:"Since"`  // when State began
	Until       scheduler.Time `cbor:"Until"`  // when the next step is due; 0: none is scheduled
	Attempts    int            `cbor:"Tries"`  // placement requests since it last ran
	Starts      int            `cbor:"Starts"`
	LastStatus  string         `cbor:"Last"` // the last answer or outcome, for people
	Refused     bool           `cbor:"Held"` // the last answer was a VerdictRefused

	// What the next incarnation of the controller needs beside.
	IdempotencyKey string `cbor:"Key"`
	RequestID      string `cbor:"Ask"`      // of the last request
	Submitted      bool   `cbor:"Again"`    // its placement was requested under IdempotencyKey
	Replacing      bool   `cbor:"Replaced"` // it was cancelled in favor of a newer spec
	SubmittedSpec  Spec   `cbor:"With"`     // the spec of the last placement request
}
