package controller

import "glenport/scheduler"

// Event is a change that concerns a job, a scheduler or a container.
type Event interface{ event() }

// JobSet creates or changes a job.
type JobSet struct {
	Job   string
	Count int // number of containers wanted
	Spec  Spec
}

// JobDeleted deletes a job and ends all its containers.
type JobDeleted struct{ Job string }

// StateRestored carries the state that an earlier incarnation of the controller stored: the jobs as clients set them,
// and the last recorded state of the containers. It precedes all other events.
type StateRestored struct {
	Jobs       []JobSet
	Containers []Container
	Orphans    []Orphan
}

// SchedulerConnection reports that the connection to a scheduler is ready or lost.
type SchedulerConnection struct {
	Scheduler int
	Connected bool
}

// PlacementAnswered is a scheduler's answer to a placement, lookup or cancel request.
type PlacementAnswered struct {
	RequestID  string
	Verdict    Verdict
	Machine    string         // set with VerdictAccepted
	RetryAfter scheduler.Time // minimum delay before the next request; 0: none
	Message    string         // for display, and to distinguish a cancellation from other failures
}

// ContainerEnded reports the end of a container that a scheduler had accepted.
type ContainerEnded struct {
	RequestID string
	Outcome   scheduler.Outcome
	Reason    scheduler.Reason
}

// TimerFired reports that the delay of a SetTimer has passed.
type TimerFired struct{}

func (JobSet) event()              {}
func (JobDeleted) event()          {}
func (StateRestored) event()       {}
func (SchedulerConnection) event() {}
func (PlacementAnswered) event()   {}
func (ContainerEnded) event()      {}
func (TimerFired) event()          {}

// Verdict is a scheduler's decision on a request.
type Verdict uint8

// Verdicts of a scheduler.
const (
	VerdictAccepted Verdict = iota // a machine runs the container
	VerdictRejected                // the container does not run and may be requested again
	VerdictFailed                  // no machine accepted in time; a container that is not idempotent may be running
	VerdictRefused                 // the request was not admitted, or it is unknown whether the container runs
)

// messageCancelled is the message of a VerdictFailed after which the container certainly does not run.
const messageCancelled = "cancelled"
