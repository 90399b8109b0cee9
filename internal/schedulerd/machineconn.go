package schedulerd

import (
	"errors"

	"glenport/internal/eventloop"
	"glenport/internal/protocol"
)

// inventoryTimeouts is the time within which the inventory has to arrive, in connect timeouts.
const inventoryTimeouts = 3

// machineConn is the connection to a machine. All attempts on the machine share it.
type machineConn struct {
	machine    *machine
	state      machineConnState
	conn       *eventloop.Conn // nil while disconnected
	reader     protocol.Reader
	lastReadAt eventloop.Tick
	lastSentAt eventloop.Tick
	partial    partialFrame
}

// ready reports whether the inventory of the machine was received.
func (c *machineConn) ready() bool { return c.state == machineReady }

// connect opens the connection if there is none. The connection is reset if the inventory does not arrive in time.
func (c *machineConn) connect(address string) {
	if c.conn != nil {
		return
	}
	loop, settings := c.machine.registry.loop, c.machine.registry.config
	c.transition(machineDialed)
	c.reader = protocol.Reader{}
	c.lastReadAt, c.lastSentAt = loop.Now(), loop.Now()
	c.conn = loop.Dial(address, c, settings.MaxOutput, settings.ConnectTimeout)
	conn := c.conn
	loop.After(inventoryTimeouts*settings.ConnectTimeout, func() {
		if c.conn == conn && !c.ready() {
			conn.Reset()
		}
	})
}

// Opened implements eventloop.Handler.
func (c *machineConn) Opened(*eventloop.Conn) {
	c.transition(machineOpened)
	c.send(c.machine.registry.hello())
}

// markReady makes the connection ready, and reports whether the inventory was expected.
func (c *machineConn) markReady() bool { return c.transition(machineInventoryReceived) }

// Read implements eventloop.Handler.
func (c *machineConn) Read(conn *eventloop.Conn, p []byte) {
	c.lastReadAt = c.machine.registry.loop.Now()
	if err := c.reader.Feed(p, c.machine.handleFrame); err != nil && conn == c.conn {
		c.machine.registry.logConnectionClosed(string(c.machine.id), err)
		c.send(&protocol.Goodbye{Message: err.Error()})
		conn.Close()
	}
	c.partial.update(c.reader.Buffered(), c.lastReadAt)
}

// Closed implements eventloop.Handler.
func (c *machineConn) Closed(conn *eventloop.Conn, cause error) {
	if conn != c.conn {
		return
	}
	loss := lossConnectFailed
	switch {
	case c.ready():
		loss = lossAfterInventory
	case errors.Is(cause, eventloop.ErrLocalResources):
		loss = lossLocalShortage
	}
	c.transition(machineConnClosed)
	c.conn = nil
	c.machine.handleConnectionLoss(loss)
}

// send sends a frame, and reports whether the connection accepted it.
func (c *machineConn) send(f protocol.Frame) bool {
	if c.conn == nil {
		return false
	}
	encoded, err := c.machine.registry.encode(f)
	if err != nil {
		c.machine.registry.log.Error("frame not sent", "machine", c.machine.id, "error", err)
		return false
	}
	c.lastSentAt = c.machine.registry.loop.Now()
	return c.conn.Write(encoded) == nil
}

// trySend sends a frame unless earlier output is blocked because the machine reads too slowly.
func (c *machineConn) trySend(f protocol.Frame) bool {
	return !c.conn.WriteBlocked() && c.send(f)
}

func (c *machineConn) close() {
	if c.conn != nil {
		c.conn.Close()
	}
}

func (c *machineConn) reset() {
	if c.conn != nil {
		c.conn.Reset()
	}
}

// checkTimeouts closes an idle connection, and resets one on which the machine is silent or a frame stays incomplete.
func (c *machineConn) checkTimeouts(now eventloop.Tick) {
	if c.conn == nil {
		return
	}
	limits := c.machine.registry.config
	switch {
	case c.machine.idle() && now-c.lastSentAt > limits.IdleTimeout:
		c.conn.Close()
	case now-c.lastReadAt > limits.SilenceTimeout, c.partial.overdue(now, limits.SilenceTimeout):
		c.machine.registry.logConnectionClosed(string(c.machine.id), withDuration(errSilent, now-c.lastReadAt))
		c.conn.Reset()
	}
}
