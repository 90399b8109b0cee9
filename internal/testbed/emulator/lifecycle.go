package emulator

import (
	"time"

	"glenport/internal/statemachine"
)

// machineState is a state of a machine.
type machineState string

const (
	machineStopped     machineState = "stopped"
	machineServing     machineState = "serving"
	machineDraining    machineState = "draining"    // refuses offers
	machineEvacuating  machineState = "evacuating"  // refuses offers, and ends its containers one by one
	machineOverwhelmed machineState = "overwhelmed" // has crashed, for good, from too many offers in slow start
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

// A machine that is down forgets that it drains: it serves once it has started.
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

// lifecycle is whether a machine is up and takes offers, and since when.
type lifecycle struct {
	stateful[machineState, machineEvent]
	incarnation uint64
	startedAt   time.Time
}

func newLifecycle(name string) lifecycle {
	return lifecycle{
		stateful: stateful[machineState, machineEvent]{"machine " + name, machineTransitions, machineStopped},
	}
}

// start begins the next incarnation. Its number is the time of the start, so that it is higher than that of each
// earlier one, also of one that an earlier test bed emulated and a scheduler's state folder remembers.
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

// refusesOffers reports whether the machine is up and takes no container.
func (l *lifecycle) refusesOffers() bool {
	return l.state == machineDraining || l.state == machineEvacuating
}
