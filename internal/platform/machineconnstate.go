package platform

import "glenport/internal/statemachine"

// machineConnState is the state of a connection to a machine.
type machineConnState uint8

const (
	machineConnecting  machineConnState = iota + 1
	machineEstablished                  // open for offers and probes
	machineAbandoned                    // closed by this process before it was established
	machineClosing                      // closed by this process, read until the machine has closed it too
	machineClosed                       // ended
)

func (s machineConnState) String() string {
	return [...]string{"none", "connecting", "established", "abandoned", "closing", "closed"}[s]
}

// machineConnEvent is an event that changes the state of a connection to a machine.
type machineConnEvent uint8

const (
	machineConnOpened machineConnEvent = iota + 1
	machineCloseRequested
	machineConnEnded
)

func (e machineConnEvent) String() string {
	return [...]string{"none", "opened", "close requested", "ended"}[e]
}

// A closing connection may be evicted, which requests its close again.
var machineConnTransitions = statemachine.Table[machineConnState, machineConnEvent]{
	machineConnecting: {
		machineConnOpened:     machineEstablished,
		machineCloseRequested: machineAbandoned,
		machineConnEnded:      machineClosed,
	},
	machineEstablished: {machineCloseRequested: machineClosing, machineConnEnded: machineClosed},
	machineAbandoned: {
		machineConnOpened:     machineClosing,
		machineCloseRequested: machineAbandoned,
		machineConnEnded:      machineClosed,
	},
	machineClosing: {machineCloseRequested: machineClosing, machineConnEnded: machineClosed},
}

// transition applies an event. It is the only place where the state of a connection to a machine changes.
func (mc *machineConn) transition(event machineConnEvent) error {
	err := machineConnTransitions.Apply(statemachine.Unnamed, &mc.state, event)
	if err != nil {
		mc.env.logIllegalTransition(err, "machine", mc.machine.id)
	}
	return err
}

// isActive reports whether the connection is established or being established, and not closing.
func (mc *machineConn) isActive() bool {
	return mc.state == machineConnecting || mc.state == machineEstablished
}

func (mc *machineConn) isEstablished() bool { return mc.state == machineEstablished }
