package server

import (
	"glenport/internal/eventloop"
	"glenport/internal/protocol"
)

// machineListRetryDelay passes before the machine list is dialed, or asked, again.
const machineListRetryDelay = 500 * eventloop.Millisecond

// machineListConn is the connection to the machine list, whose machines the API shows. It is dialed again whenever it
// is lost.
type machineListConn struct {
	server  *Server
	conn    *eventloop.Conn // nil between a loss and the next dial
	reader  protocol.Reader
	version int64 // of the last update that was applied
}

func (c *machineListConn) dial() {
	c.reader = protocol.Reader{}
	c.conn = c.server.loop.Dial(c.server.config.MachineList, c, maxOutput, dialTimeout)
}

func (c *machineListConn) write(f protocol.Frame) {
	encoded, err := protocol.Append(nil, f)
	if err == nil {
		err = c.conn.Write(encoded)
	}
	if err != nil { // nothing to repeat: the list is watched anew on the next connection
		c.server.log.Warn("frame not sent", "peer", "machine list", "error", err)
	}
}

func (c *machineListConn) watch() {
	c.write(&protocol.WatchMachineList{Enabled: true, SinceVersion: c.version})
}

// Opened implements eventloop.Handler.
func (c *machineListConn) Opened(*eventloop.Conn) {
	c.write(protocol.NewHello(protocol.RoleScheduler, c.server.config.Name, uint64(c.server.loop.Now())))
	c.watch()
}

// Read implements eventloop.Handler.
func (c *machineListConn) Read(conn *eventloop.Conn, data []byte) {
	if err := c.reader.Feed(data, c.handleFrame); err != nil {
		c.server.log.Warn("connection closed", "peer", "machine list", "error", err)
		conn.Reset()
	}
}

// Closed implements eventloop.Handler.
func (c *machineListConn) Closed(*eventloop.Conn, error) {
	c.conn = nil
	c.server.loop.After(machineListRetryDelay, c.dial)
}

func (c *machineListConn) handleFrame(f protocol.Frame) error {
	switch f := f.(type) {
	case *protocol.MachineListUpdate:
		c.version = f.Version
		c.server.machines.apply(f)
	case *protocol.MachineListError:
		c.server.loop.After(machineListRetryDelay, func() {
			if c.conn != nil {
				c.watch()
			}
		})
	}
	return nil
}
