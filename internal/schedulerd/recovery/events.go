package recovery

import "glenport/scheduler"

// Event is something that bears on what may run.
type Event interface{ event() }

// AttemptRestored is an attempt of an earlier incarnation whose end is not in the log.
type AttemptRestored struct{ Attempt Attempt }

// AttemptOutcomeUnknown is an attempt of this incarnation that ended without news of whether it runs.
type AttemptOutcomeUnknown struct{ Attempt Attempt }

// AttemptNotRunning is a machine's later report that an attempt does not run.
type AttemptNotRunning struct{ Attempt Attempt }

// MachinesListed names machines of the machine list.
type MachinesListed struct {
	Machines     []scheduler.MachineID
	FullSnapshot bool // these are all there are, by a list that is current
}

// MachineRemoved is a machine that has left the machine list.
type MachineRemoved struct{ Machine scheduler.MachineID }

// MachineReported is a machine's report of all that it holds for this scheduler.
type MachineReported struct{ Machine scheduler.MachineID }

// MachineDisconnected is the end of a connection by which a machine had reported.
type MachineDisconnected struct{ Machine scheduler.MachineID }

// ConnectFailed is a connection that could not be made.
type ConnectFailed struct{ Machine scheduler.MachineID }

// MachineUnreachable is a machine to which all attempts to reconnect have failed.
type MachineUnreachable struct{ Machine scheduler.MachineID }

// Tick lets time pass. It is due at NextTimer.
type Tick struct{}

func (AttemptRestored) event()       {}
func (AttemptOutcomeUnknown) event() {}
func (AttemptNotRunning) event()     {}
func (MachinesListed) event()        {}
func (MachineRemoved) event()        {}
func (MachineReported) event()       {}
func (MachineDisconnected) event()   {}
func (ConnectFailed) event()         {}
func (MachineUnreachable) event()    {}
func (Tick) event()                  {}

// Action is something to be done.
type Action interface{ action() }

// ConnectMachine requests a connection to a machine, by which it reports what it holds.
type ConnectMachine struct{ Machine scheduler.MachineID }

// AttemptResolved says that the outcome of an attempt is known, or no longer matters.
type AttemptResolved struct{ Attempt Attempt }

// Completed says, once, that all that runs from earlier incarnations is known, as far as it can be.
type Completed struct{}

// AllMachinesReported says, once, that every listed machine has reported or is gone.
type AllMachinesReported struct{}

func (ConnectMachine) action()      {}
func (AttemptResolved) action()     {}
func (Completed) action()           {}
func (AllMachinesReported) action() {}
