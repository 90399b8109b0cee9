package emulator

import (
	"time"

	"glenport/internal/statemachine"
)

// machineState is the state of a machine.
type machineState string

const (
	machineStopped     machineState = "stopped"
	machineServing     machineState = "serving"
	machineDraining    machineState = "draining"    // rejects offers
	machineEvacuating  machineState = "evacuating"  // rejects offers and ends its containers one by one
	machineOverwhelmed machineState = "overwhelmed" // crashed permanently from too many offers during slow start
)

// machineEvent is an event of a machine.
type machineEvent string

const (
	machineStarted      machineEvent = "started"
	drainRequested      machineEvent = "drain requested"
	evacuationRequested machineEvent = "evacuation requested"
	drainRevoked        machineEvent = "drain revoked"
	machineCrashed      machineEvent = "crashed"
	capacityExceeded    machineEvent = "capacity exceeded"
)

// A stop ends the drain of a machine: after the next start the machine serves.
var machineTransitions = statemachine.Table[machineState, machineEvent]{
	machineStopped: {
		machineStarted:      machineServing,
		drainRequested:      machineStopped,
		evacuationRequested: machineStopped,
		drainRevoked:        machineStopped,
	},
	machineServing:    upTransitions,
	machineDraining:   upTransitions,
	machineEvacuating: upTransitions,
	machineOverwhelmed: {
		drainRequested:      machineOverwhelmed,
		evacuationRequested: machineOverwhelmed,
		drainRevoked:        machineOverwhelmed,
	},
}

var upTransitions = map[machineEvent]machineState{
	drainRequested:      machineDraining,
	evacuationRequested: machineEvacuating,
	drainRevoked:        machineServing,
	machineCrashed:      machineStopped,
	capacityExceeded:    machineOverwhelmed,
}

// lifecycle is the state of a machine with its incarnation and start time.
type lifecycle struct {
	stateMachine[machineState, machineEvent]
	incarnation uint64
	startedAt   time.Time
}

func newLifecycle(name string) lifecycle {
	return lifecycle{
		stateMachine: stateMachine[machineState, machineEvent]{"machine " + name, machineTransitions, machineStopped},
	}
}

// start begins the next incarnation. Its number is derived from the start time, so that it is higher than every earlier
// one, including those of earlier test beds that are stored in the state folder of a scheduler.
func (l *lifecycle) start(at time.Time) error {
	if err := l.apply(machineStarted); err != nil {
		return err
	}
	l.incarnation = max(l.incarnation+1, uint64(at.UnixMicro()))
	l.startedAt = at
	return nil
}

func (l *lifecycle) isUp() bool {
	switch l.state {
	case machineServing, machineDraining, machineEvacuating:
		return true
	case machineStopped, machineOverwhelmed:
		return false
	}
	return false
}

// rejectsOffers reports whether the machine is up and rejects all offers.
func (l *lifecycle) rejectsOffers() bool {
	return l.state == machineDraining || l.state == machineEvacuating
}
