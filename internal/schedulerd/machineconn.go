package schedulerd

import (
	"errors"

	"glenport/internal/eventloop"
	"glenport/internal/protocol"
)

// inventoryTimeouts is how many connect timeouts a machine has for its inventory.
const inventoryTimeouts = 3

// machineConn is the one connection to a machine that all its attempts share.
type machineConn struct {
	machine    *machine
	state      machineConnState
	conn       *eventloop.Conn // nil while disconnected
	reader     protocol.Reader
	lastReadAt eventloop.Tick
	lastSentAt eventloop.Tick
	partial    partialFrame
}

// ready reports whether the machine has sent its inventory.
func (c *machineConn) ready() bool { return c.state == machineReady }

// connect opens the connection if there is none. A machine that accepts it and sends no inventory loses it again.
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

// markReady makes the connection ready, and reports whether it was awaited.
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

// send reports whether the connection took the frame.
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

// trySend sends a frame unless the machine reads too slowly.
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

// checkTimeouts closes a connection that nothing has used for long, that is silent, or on which the rest of a frame is
// missing.
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
