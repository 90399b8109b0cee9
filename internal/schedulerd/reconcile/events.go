package reconcile

import (
	"glenport/internal/schedulerd/admission"
	"glenport/internal/schedulerd/recovery"
	"glenport/scheduler"
)

// ClientID identifies a client connection.
type ClientID = admission.ClientID

// Attempt is the placement of a container on a machine by one incarnation of the scheduler.
type Attempt = recovery.Attempt

// Event is an input of a Reconciler. It reports a change of a client, a request, an attempt or a machine.
type Event interface{ event() }

// ClientConnected reports a new client connection.
type ClientConnected struct{ Client ClientID }

// ClientDisconnected reports the end of a client connection.
type ClientDisconnected struct{ Client ClientID }

// PlacementRequested is a client's request to run a container.
type PlacementRequested struct {
	Client  ClientID
	Request scheduler.PlacementRequest
}

// CancelRequested is a client's request to terminate a container, identified by its id or its idempotency key.
type CancelRequested struct {
	Client         ClientID
	ID             scheduler.ContainerID
	IdempotencyKey string
}

// LookupRequested is a client's query for the container that runs under an idempotency key. It starts nothing.
type LookupRequested struct {
	Client         ClientID
	ID             scheduler.ContainerID
	IdempotencyKey string
}

// RequestFailed reports the final answer to a client that its container was not placed.
type RequestFailed struct{ ID scheduler.ContainerID }

// AttemptAccepted reports that a machine has accepted an attempt in time.
type AttemptAccepted struct {
	ID      scheduler.ContainerID
	Machine scheduler.MachineID
	Attempt uint64
}

// ContainerRemoved reports that the scheduler no longer tracks a container.
type ContainerRemoved struct{ ID scheduler.ContainerID }

// AttemptRestored reports an attempt of an earlier incarnation whose outcome is not in the log.
type AttemptRestored struct{ Attempt Attempt }

// AttemptOutcomeUnknown reports an attempt that was given up although it may run.
type AttemptOutcomeUnknown struct{ Attempt Attempt }

// AttemptNotRunning reports that a machine has later confirmed that an attempt does not run.
type AttemptNotRunning struct{ Attempt Attempt }

// LateAccept reports that a machine has accepted an attempt that was given up.
type LateAccept struct{ Attempt Attempt }

// MachineReported is a machine's report of all attempts that it holds for this scheduler.
type MachineReported struct {
	Machine  scheduler.MachineID
	Attempts []Attempt
}

// MachineDisconnected reports the end of the connection to a machine.
type MachineDisconnected struct{ Machine scheduler.MachineID }

// ConnectFailed reports that a connection to a machine could not be established.
type ConnectFailed struct {
	Machine       scheduler.MachineID
	LocalShortage bool // this process has no file descriptors left; the machine has not failed
}

// MachinesListed reports machines of the machine list.
type MachinesListed struct {
	Machines     []scheduler.MachineID
	FullSnapshot bool // the list is current and complete
}

// MachineRemoved reports that a machine has left the machine list.
type MachineRemoved struct{ Machine scheduler.MachineID }

// TimerFired reports that the delay of a SetTimer action has passed.
type TimerFired struct{}

func (ClientConnected) event()       {}
func (ClientDisconnected) event()    {}
func (PlacementRequested) event()    {}
func (CancelRequested) event()       {}
func (LookupRequested) event()       {}
func (RequestFailed) event()         {}
func (AttemptAccepted) event()       {}
func (ContainerRemoved) event()      {}
func (AttemptRestored) event()       {}
func (AttemptOutcomeUnknown) event() {}
func (AttemptNotRunning) event()     {}
func (LateAccept) event()            {}
func (MachineReported) event()       {}
func (MachineDisconnected) event()   {}
func (ConnectFailed) event()         {}
func (MachinesListed) event()        {}
func (MachineRemoved) event()        {}
func (TimerFired) event()            {}
