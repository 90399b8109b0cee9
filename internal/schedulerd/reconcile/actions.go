package reconcile

import (
	"log/slog"

	"glenport/scheduler"
)

// Action is something to be done.
type Action interface{ action() }

// CloseClient ends the connection of a client.
type CloseClient struct {
	Client ClientID
	Reason error // its text is given to the client
}

// Admit hands a request to the scheduler.
type Admit struct {
	Client  ClientID
	Request scheduler.PlacementRequest
}

// Reject turns a request away.
type Reject struct {
	Client     ClientID
	ID         scheduler.ContainerID
	Reason     error          // its text is given to the client
	RetryAfter scheduler.Time // 0: a retry is of no use
}

// AlreadyRunning answers a request by a container that runs.
type AlreadyRunning struct {
	Client    ClientID
	ID        scheduler.ContainerID // of the request
	RunningID scheduler.ContainerID // of the container
	Machine   scheduler.MachineID
}

// TerminateContainer ends a container for a client.
type TerminateContainer struct {
	Client      ClientID
	ID          scheduler.ContainerID
	RequestedID scheduler.ContainerID // by which the client named it
}

// AlreadyTerminated answers a cancellation where nothing is there to be ended.
type AlreadyTerminated struct {
	Client ClientID
	ID     scheduler.ContainerID
}

// NotRunning answers a lookup where nothing runs under the key.
type NotRunning struct {
	Client ClientID
	ID     scheduler.ContainerID
}

// CancelAttempt ends an attempt at its machine, whether it runs or waits there.
type CancelAttempt struct {
	Machine     scheduler.MachineID
	Incarnation uint64 // of the scheduler
	Attempt     uint64
}

// Adopt adds a container that was found running.
type Adopt struct{ Attempt Attempt }

// ContainerLost says that a placed container no longer runs, or may no longer run.
type ContainerLost struct {
	ID        scheduler.ContainerID
	Confirmed bool // by its machine; else that is only unreachable
}

// ConnectMachine requests a connection to a machine.
type ConnectMachine struct{ Machine scheduler.MachineID }

// RecoveryComplete says, once, that all that runs from earlier incarnations is known, as far as it can be.
type RecoveryComplete struct{}

// AllMachinesReported says, once, that every listed machine has reported or is gone.
type AllMachinesReported struct{}

// AttemptResolved says that the outcome of an attempt is known, or no longer matters: its record can be dropped.
type AttemptResolved struct{ Attempt Attempt }

// SetTimer requests a TimerFired.
type SetTimer struct{ After scheduler.Time }

// Log is a line for the log: constant text and its attributes.
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
