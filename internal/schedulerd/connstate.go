package schedulerd

import "glenport/internal/statemachine"

// machineConnState is the state of the connection to a machine.
type machineConnState string

// States of the connection to a machine. The zero value is not used.
const (
	machineDisconnected machineConnState = "disconnected"
	machineConnecting   machineConnState = "connecting"
	machineConnected    machineConnState = "connected" // the inventory is awaited
	machineReady        machineConnState = "ready"
)

// machineConnEvent is what happens to the connection to a machine.
type machineConnEvent string

// Events of the connection to a machine.
const (
	machineDialed            machineConnEvent = "dialed"
	machineOpened            machineConnEvent = "opened"
	machineInventoryReceived machineConnEvent = "inventory received"
	machineConnClosed        machineConnEvent = "closed"
)

// machineConnTransitions is the table of the package comment.
var machineConnTransitions = statemachine.Table[machineConnState, machineConnEvent]{
	machineDisconnected: {
		machineDialed: machineConnecting,
	},
	machineConnecting: {
		machineOpened:     machineConnected,
		machineConnClosed: machineDisconnected,
	},
	machineConnected: {
		machineInventoryReceived: machineReady,
		machineConnClosed:        machineDisconnected,
	},
	machineReady: {
		machineConnClosed: machineDisconnected,
	},
}

// transition is the one place where the state of the connection to a machine changes.
func (c *machineConn) transition(event machineConnEvent) bool {
	return c.machine.registry.checkTransition(machineConnTransitions.Apply("machine connection", &c.state, event))
}
