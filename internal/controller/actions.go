package controller

import "glenport/scheduler"

// Action is an instruction to the caller.
type Action interface{ action() }

// SubmitRequest requests the placement of a container.
type SubmitRequest struct {
	Scheduler      int
	RequestID      string
	IdempotencyKey string
	Spec           Spec
	Timeout        scheduler.Time // time within which a machine must accept
	Retry          bool           // a placement was requested under the key before
}

// LookupRequest asks a scheduler whether a container runs under an idempotency key. It starts nothing.
type LookupRequest struct {
	Scheduler      int
	RequestID      string
	IdempotencyKey string
}

// CancelRequest cancels a request, or stops the container that an earlier request started under the idempotency key.
type CancelRequest struct {
	Scheduler      int
	RequestID      string
	IdempotencyKey string
}

// ContainerChanged carries the new state of a container, to be stored and published.
type ContainerChanged struct{ Container Container }

// ContainerRemoved reports that a container that is no longer wanted has ended. The caller deletes its record.
type ContainerRemoved struct {
	Job   string
	Index int
}

// OrphanRecorded carries a new orphan, to be stored before any request of the same call of Handle is sent.
type OrphanRecorded struct{ Orphan Orphan }

// OrphanResolved reports that an orphan no longer runs. The caller deletes its record.
type OrphanResolved struct{ Orphan Orphan }

// SetTimer requests a TimerFired after a delay. A later SetTimer does not replace an earlier one.
type SetTimer struct{ After scheduler.Time }

// TransitionRejected reports a transition that the state machine of a replica does not allow, which is a bug in the
// controller. The container keeps its state.
type TransitionRejected struct{ Err error }

func (SubmitRequest) action()      {}
func (LookupRequest) action()      {}
func (CancelRequest) action()      {}
func (ContainerChanged) action()   {}
func (ContainerRemoved) action()   {}
func (OrphanRecorded) action()     {}
func (OrphanResolved) action()     {}
func (SetTimer) action()           {}
func (TransitionRejected) action() {}
