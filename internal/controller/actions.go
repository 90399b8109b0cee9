package controller

import "glenport/scheduler"

// Action is something that the caller has to do.
type Action interface{ action() }

// SubmitRequest requests the placement of a container.
type SubmitRequest struct {
	Scheduler      int
	RequestID      string
	IdempotencyKey string
	Spec           Spec
	Timeout        scheduler.Time // within which a machine has to accept
	Retry          bool           // the key was requested before
}

// LookupRequest asks a scheduler what runs under an idempotency key. Nothing is started by it.
type LookupRequest struct {
	Scheduler      int
	RequestID      string
	IdempotencyKey string
}

// CancelRequest ends a request, or what an earlier request has started under its idempotency key.
type CancelRequest struct {
	Scheduler      int
	RequestID      string
	IdempotencyKey string
}

// ContainerChanged is the new state of a container, to be stored and shown.
type ContainerChanged struct{ Container Container }

// ContainerRemoved is the end of a container that is no longer wanted: its record is deleted.
type ContainerRemoved struct {
	Job   string
	Index int
}

// OrphanRecorded is a new orphan, to be stored before any request of the same call is sent.
type OrphanRecorded struct{ Orphan Orphan }

// OrphanResolved says that nothing of an orphan runs any more: its record is deleted.
type OrphanResolved struct{ Orphan Orphan }

// SetTimer requests a TimerFired after a delay. A later one does not replace it.
type SetTimer struct{ After scheduler.Time }

// TransitionRejected reports a change of a container's state that must not happen: a fault of the controller. The
// container keeps its state.
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
