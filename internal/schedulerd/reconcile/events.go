package reconcile

import (
	"glenport/internal/schedulerd/admission"
	"glenport/internal/schedulerd/recovery"
	"glenport/scheduler"
)

// ClientID names the connection of a client.
type ClientID = admission.ClientID

// Attempt is the placement of a container on a machine by one incarnation of the scheduler.
type Attempt = recovery.Attempt

// Event is something that happened to a client, a request, an attempt or a machine.
type Event interface{ event() }

// ClientConnected is a new connection of a client.
type ClientConnected struct{ Client ClientID }

// ClientDisconnected is the end of one.
type ClientDisconnected struct{ Client ClientID }

// PlacementRequested is a client's request to run a container.
type PlacementRequested struct {
	Client  ClientID
	Request scheduler.PlacementRequest
}

// CancelRequested is a client's request to end a container, named by its id or its idempotency key.
type CancelRequested struct {
	Client         ClientID
	ID             scheduler.ContainerID
	IdempotencyKey string
}

// LookupRequested is a client's question what runs under an idempotency key. Nothing is to be started.
type LookupRequested struct {
	Client         ClientID
	ID             scheduler.ContainerID
	IdempotencyKey string
}

// RequestFailed is a final answer to a client that its container was not placed.
type RequestFailed struct{ ID scheduler.ContainerID }

// AttemptAccepted is a machine's acceptance of an attempt in time.
type AttemptAccepted struct {
	ID      scheduler.ContainerID
	Machine scheduler.MachineID
	Attempt uint64
}

// ContainerRemoved says that nothing of a container is left at this scheduler.
type ContainerRemoved struct{ ID scheduler.ContainerID }

// AttemptRestored is an attempt of an earlier incarnation whose end is not in the log.
type AttemptRestored struct{ Attempt Attempt }

// AttemptOutcomeUnknown is an attempt that ended without news of whether it runs.
type AttemptOutcomeUnknown struct{ Attempt Attempt }

// AttemptNotRunning is a machine's later report that an attempt does not run.
type AttemptNotRunning struct{ Attempt Attempt }

// LateAccept is the acceptance of an attempt that was over.
type LateAccept struct{ Attempt Attempt }

// MachineReported is a machine's report of all that it holds for this scheduler.
type MachineReported struct {
	Machine  scheduler.MachineID
	Attempts []Attempt
}

// MachineDisconnected is the end of a machine's connection.
type MachineDisconnected struct{ Machine scheduler.MachineID }

// ConnectFailed is a connection to a machine that could not be made.
type ConnectFailed struct {
	Machine       scheduler.MachineID
	LocalShortage bool // no descriptors are left here, which is no failure of the machine
}

// MachinesListed names machines of the machine list.
type MachinesListed struct {
	Machines     []scheduler.MachineID
	FullSnapshot bool // these are all there are, by a list that is current
}

// MachineRemoved is a machine that has left the machine list.
type MachineRemoved struct{ Machine scheduler.MachineID }

// TimerFired lets time pass. It follows a SetTimer.
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
