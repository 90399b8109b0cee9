package reconcile

import (
	"log/slog"

	"glenport/scheduler"
)

// Action is an instruction to the caller of Reconciler.Handle.
type Action interface{ action() }

// CloseClient closes the connection of a client.
type CloseClient struct {
	Client ClientID
	Reason error // its text is sent to the client
}

// Admit passes a request to the scheduler.
type Admit struct {
	Client  ClientID
	Request scheduler.PlacementRequest
}

// Reject rejects a placement, cancel or lookup request.
type Reject struct {
	Client     ClientID
	ID         scheduler.ContainerID
	Reason     error          // its text is sent to the client
	RetryAfter scheduler.Time // 0: the client should not retry
}

// AlreadyRunning answers a placement or lookup request with the container that runs under its idempotency key.
type AlreadyRunning struct {
	Client    ClientID
	ID        scheduler.ContainerID // container ID in the request
	RunningID scheduler.ContainerID // container ID of the running container
	Machine   scheduler.MachineID
}

// TerminateContainer terminates a container at the request of a client.
type TerminateContainer struct {
	Client      ClientID
	ID          scheduler.ContainerID
	RequestedID scheduler.ContainerID // the id in the client's request
}

// AlreadyTerminated answers a cancel request if no container runs under its idempotency key.
type AlreadyTerminated struct {
	Client ClientID
	ID     scheduler.ContainerID
}

// NotRunning answers a lookup request if no container runs under its idempotency key.
type NotRunning struct {
	Client ClientID
	ID     scheduler.ContainerID
}

// CancelAttempt cancels an attempt on its machine, whether it runs or still waits there.
type CancelAttempt struct {
	Machine     scheduler.MachineID
	Incarnation uint64 // incarnation of the scheduler that sent the attempt
	Attempt     uint64
}

// Adopt adds a container that was found on a machine.
type Adopt struct{ Attempt Attempt }

// ContainerLost reports that a placed container no longer runs, or may no longer run.
type ContainerLost struct {
	ID        scheduler.ContainerID
	Confirmed bool // a report of the machine confirms the loss; otherwise the machine is only unreachable
}

// ConnectMachine requests a connection to a machine.
type ConnectMachine struct{ Machine scheduler.MachineID }

// RecoveryComplete is emitted once: when all machines have reported, or when the time for their reports is over.
type RecoveryComplete struct{}

// AllMachinesReported is emitted once: when every listed machine has reported or has left the machine list.
type AllMachinesReported struct{}

// AttemptResolved reports that the outcome of an attempt is known or no longer matters. The log record of the attempt
// can be dropped.
type AttemptResolved struct{ Attempt Attempt }

// SetTimer requests a TimerFired event after a delay.
type SetTimer struct{ After scheduler.Time }

// Log is a log line: a constant message and its attributes.
type Log struct {
	Message    string
	Attributes []slog.Attr
}

func (CloseClient) action()         {}
func (Admit) action()               {}
func (Reject) action()              {}
func (AlreadyRunning) action()      {}
func (TerminateContainer) action()  {}
func (AlreadyTerminated) action()   {}
func (NotRunning) action()          {}
func (CancelAttempt) action()       {}
func (Adopt) action()               {}
func (ContainerLost) action()       {}
func (ConnectMachine) action()      {}
func (RecoveryComplete) action()    {}
func (AllMachinesReported) action() {}
func (AttemptResolved) action()     {}
func (SetTimer) action()            {}
func (Log) action()                 {}
