package emulator

import (
	"fmt"
	"net"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testbed/loopback"
)

const (
	reconnectDelay        = 20 * time.Millisecond
	failedDialDelay       = 100 * time.Millisecond
	dialTimeout           = time.Second
	maxServerHelloSize    = 4096 // bytes
	maxQueuedClientFrames = 10_000
	writeBatchSize        = 32 << 10 // bytes
)

// clientConn is the connection of the clients to one scheduler.
type clientConn struct {
	net.Conn
	frames chan protocol.Frame
}

// send queues a frame; it returns false if the queue is full.
func (c *clientConn) send(frame protocol.Frame) bool {
	select {
	case c.frames <- frame:
		return true
	default:
		return false
	}
}

// writeAll writes queued frames in batches.
func (c *clientConn) writeAll(stop chan struct{}) {
	var data []byte
	for {
		select {
		case frame := <-c.frames:
			data = mustEncode(data[:0], frame)
			for len(c.frames) > 0 && len(data) < writeBatchSize {
				data = mustEncode(data, <-c.frames)
			}
			if _, err := c.Write(data); err != nil {
				loopback.CloseQuietly(c)
				return
			}
		case <-stop:
			return
		}
	}
}

// maintainConn keeps a connection to one scheduler and reads from it until the clients are closed.
func (c *Clients) maintainConn(scheduler int) {
	for c.sleep(reconnectDelay) {
		conn, err := loopback.Dial(c.SchedulerAddrs[scheduler], dialTimeout)
		if err != nil {
			c.sleep(failedDialDelay)
			continue
		}
		if err := greet(conn, scheduler); err != nil {
			loopback.CloseQuietly(conn)
			continue
		}
		c.useConn(conn, scheduler)
	}
}

// greet exchanges the hello frames.
func greet(conn net.Conn, scheduler int) error {
	name := fmt.Sprint("clients-", scheduler)
	hello := protocol.NewHello(protocol.RoleClient, name, uint64(time.Now().UnixMicro()))
	if _, err := conn.Write(mustEncode(nil, hello)); err != nil {
		return err
	}
	reply, err := protocol.ReadFrame(conn, maxServerHelloSize)
	if err != nil {
		return err
	}
	if _, ok := reply.(*protocol.Hello); !ok {
		return fmt.Errorf("first frame from a scheduler is %s, want a hello", protocol.Name(reply))
	}
	return nil
}

// useConn writes queued frames to a connection and reads from it until it ends.
func (c *Clients) useConn(netConn net.Conn, scheduler int) {
	conn := &clientConn{Conn: netConn, frames: make(chan protocol.Frame, maxQueuedClientFrames)}
	c.mu.Lock()
	c.conns[scheduler] = conn
	c.mu.Unlock()
	stop := make(chan struct{})
	c.background.Go(func() { conn.writeAll(stop) })
	for {
		frame, err := protocol.ReadFrame(conn, protocol.MaxFrame)
		if err != nil {
			break
		}
		c.handleFrame(scheduler, frame)
	}
	close(stop)
	loopback.CloseQuietly(conn)
	c.connectionLost(scheduler)
}
