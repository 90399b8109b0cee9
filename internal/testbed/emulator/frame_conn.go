package emulator

import (
	"net"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testbed/loopback"
)

const (
	heartbeatInterval = time.Second
	maxHelloSize      = 1024 // bytes
)

// frameConn is a connection to a scheduler. A separate goroutine writes the queued frames and sends heartbeats.
type frameConn struct {
	net.Conn
	frames       chan protocol.Frame
	writeTimeout time.Duration
}

func newFrameConn(conn net.Conn, maxQueued int, writeTimeout time.Duration) *frameConn {
	return &frameConn{Conn: conn, frames: make(chan protocol.Frame, maxQueued), writeTimeout: writeTimeout}
}

// send queues a frame; it closes the connection if the queue is full.
func (c *frameConn) send(frame protocol.Frame) {
	select {
	case c.frames <- frame:
	default:
		loopback.CloseQuietly(c)
	}
}

// writeAll writes queued frames and heartbeats until stop; it closes the connection if a write fails or times out.
func (c *frameConn) writeAll(stop chan struct{}) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	greeted := false // no heartbeat before the hello
	for {
		var frame protocol.Frame
		select {
		case frame = <-c.frames:
			greeted = true
		case <-ticker.C:
			if !greeted {
				continue
			}
			frame = &protocol.Heartbeat{}
		case <-stop:
			return
		}
		if err := writeWithTimeout(c, mustEncode(nil, frame), c.writeTimeout); err != nil {
			loopback.CloseQuietly(c)
			return
		}
	}
}

// readSchedulerHello reads the first frame of a connection; it returns false unless that is the hello of a scheduler.
func readSchedulerHello(conn net.Conn) (*protocol.Hello, bool) {
	first, err := protocol.ReadFrame(conn, maxHelloSize)
	if err != nil {
		return nil, false
	}
	hello, ok := first.(*protocol.Hello)
	return hello, ok && hello.Role == protocol.RoleScheduler
}

// writeWithTimeout writes data with a time limit.
func writeWithTimeout(conn net.Conn, data []byte, limit time.Duration) error {
	if err := conn.SetWriteDeadline(time.Now().Add(limit)); err != nil {
		return err
	}
	_, err := conn.Write(data)
	return err
}
