package schedulerd

import "glenport/internal/statemachine"

// machineConnState is the state of the connection to a machine.
type machineConnState string

// States of the connection to a machine. The zero value is not used.
const (
	machineDisconnected machineConnState = "disconnected"
	machineConnecting   machineConnState = "connecting"
	machineConnected    machineConnState = "connected" // waiting for the inventory
	machineReady        machineConnState = "ready"
)

// machineConnEvent is an event of the connection to a machine.
type machineConnEvent string

// Events of the connection to a machine.
const (
	machineDialed            machineConnEvent = "dialed"
	machineOpened            machineConnEvent = "opened"
	machineInventoryReceived machineConnEvent = "inventory received"
	machineConnClosed        machineConnEvent = "closed"
)

// machineConnTransitions is the table in the package comment.
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

// transition applies an event. It is the only function that changes the state of the connection to a machine.
func (c *machineConn) transition(event machineConnEvent) bool {
	return c.machine.registry.checkTransition(machineConnTransitions.Apply("machine connection", &c.state, event))
}
