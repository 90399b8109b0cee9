package recovery

import "glenport/scheduler"

// Event is an input of a Tracker. It may change which attempts may run or which machines have to report.
type Event interface{ event() }

// AttemptRestored reports an attempt of an earlier incarnation whose outcome is not in the log.
type AttemptRestored struct{ Attempt Attempt }

// AttemptOutcomeUnknown reports an attempt of this incarnation that was given up although it may run.
type AttemptOutcomeUnknown struct{ Attempt Attempt }

// AttemptNotRunning reports that a machine has later confirmed that an attempt does not run.
type AttemptNotRunning struct{ Attempt Attempt }

// MachinesListed reports machines of the machine list.
type MachinesListed struct {
	Machines     []scheduler.MachineID
	FullSnapshot bool // the list is current and complete
}

// MachineRemoved reports that a machine has left the machine list.
type MachineRemoved struct{ Machine scheduler.MachineID }

// MachineReported reports that a machine has named all attempts that it holds for this scheduler.
type MachineReported struct{ Machine scheduler.MachineID }

// MachineDisconnected reports the end of the connection to a machine.
type MachineDisconnected struct{ Machine scheduler.MachineID }

// ConnectFailed reports that a connection to a machine could not be established.
type ConnectFailed struct{ Machine scheduler.MachineID }

// MachineUnreachable reports that all attempts to reconnect to a machine have failed.
type MachineUnreachable struct{ Machine scheduler.MachineID }

// Tick reports that time has passed. It is due at Tracker.NextTimer.
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

// Action is an instruction to the caller of Tracker.Handle.
type Action interface{ action() }

// ConnectMachine requests a connection to a machine, over which the machine reports the attempts it holds.
type ConnectMachine struct{ Machine scheduler.MachineID }

// AttemptResolved reports that the outcome of an attempt is known or no longer matters.
type AttemptResolved struct{ Attempt Attempt }

// Completed is emitted once: when all machines have reported, or when the time for their reports is over.
type Completed struct{}

// AllMachinesReported is emitted once: when every listed machine has reported or has left the machine list.
type AllMachinesReported struct{}

func (ConnectMachine) action()      {}
func (AttemptResolved) action()     {}
func (Completed) action()           {}
func (AllMachinesReported) action() {}
