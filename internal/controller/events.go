package controller

import "glenport/scheduler"

// Event is something that happened to a job, a scheduler or a container.
type Event interface{ event() }

// JobSet makes or changes a job.
type JobSet struct {
	Job   string
	Count int // of containers that are wanted
	Spec  Spec
}

// JobDeleted ends a job and all its containers.
type JobDeleted struct{ Job string }

// StateRestored is what an earlier incarnation of the controller has stored: the jobs as they are wanted, the
// containers as they were. It comes before all other events.
type StateRestored struct {
	Jobs       []JobSet
	Containers []Container
	Orphans    []Orphan
}

// SchedulerConnection says that the connection to a scheduler is ready or lost.
type SchedulerConnection struct {
	Scheduler int
	Connected bool
}

// PlacementAnswered is a scheduler's answer to a placement, lookup or cancel request.
type PlacementAnswered struct {
	RequestID  string
	Verdict    Verdict
	Machine    string         // with VerdictAccepted
	RetryAfter scheduler.Time // the least delay before the next request; 0: none is demanded
	Message    string         // for people, and to tell a cancellation from other failures
}

// ContainerEnded is the end of a container that a scheduler has accepted.
type ContainerEnded struct {
	RequestID string
	Outcome   scheduler.Outcome
	Reason    scheduler.Reason
}

// TimerFired lets time pass. It follows a SetTimer.
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

// Verdicts.
const (
	VerdictAccepted Verdict = iota // a machine runs it
	VerdictRejected                // nothing of it runs, and it may be requested again
	VerdictFailed                  // no machine accepted in time; unless it is idempotent it may run
	VerdictRefused                 // the scheduler did not admit the request, or cannot be sure whether it runs
)

// messageCancelled is the message of a VerdictFailed by which nothing runs any more.
const messageCancelled = "cancelled"
