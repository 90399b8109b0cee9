package eventloop

import (
	"errors"
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// Dial starts to connect to addr, an IP address and port. After Dial has returned, the handler's Opened is called, or
// its Closed with ErrConnectFailed or ErrLocalResources. maxOutput limits the pending output in bytes. The connection
// fails unless it is established within timeout ticks.
func (l *Loop) Dial(addr string, handler Handler, maxOutput int, timeout Tick) *Conn {
	return l.DialWithControl(addr, handler, maxOutput, timeout, nil)
}

// DialWithControl is like Dial and calls control to prepare the socket before it connects. If control returns an error,
// the connection fails.
func (l *Loop) DialWithControl(
	addr string, handler Handler, maxOutput int, timeout Tick, control func(fd int) error,
) *Conn {
	conn := &Conn{loop: l, fd: -1, handler: handler, output: output{limit: maxOutput}}
	l.countConn()
	if err := conn.connect(addr, timeout, control); err != nil {
		l.connCount--
		conn.transition(connClosed)
		kind := ErrConnectFailed
		if isLocalResourceError(err) {
			kind = ErrLocalResources
		}
		l.wheel.Schedule(l.now, func() { handler.Closed(conn, fmt.Errorf("%w: %s: %w", kind, addr, err)) })
	}
	return conn
}

// connect starts the connection. On an error it leaves no socket and no timer behind.
func (c *Conn) connect(addr string, timeout Tick, control func(fd int) error) error {
	address, err := netip.ParseAddrPort(addr)
	if err != nil {
		return err
	}
	fd, err := c.loop.kernel.Socket(address)
	if err != nil {
		return err
	}
	if err := c.startConnect(fd, address, control); err != nil {
		c.loop.kernel.Close(fd)
		return err
	}
	c.fd = fd
	c.connectTimer = c.loop.After(timeout, func() {
		c.fail(fmt.Errorf("%w: %s: no answer within %d ms", ErrConnectFailed, addr, timeout/Millisecond))
	})
	return nil
}

// startConnect prepares the socket, starts the handshake, and watches the socket for the end of the handshake.
func (c *Conn) startConnect(fd int, address netip.AddrPort, control func(fd int) error) error {
	c.loop.kernel.SetNoDelay(fd)
	if control != nil {
		if err := control(fd); err != nil {
			return err
		}
	}
	if err := c.loop.kernel.Connect(fd, address); err != nil && !errors.Is(err, unix.EINPROGRESS) {
		return err
	}
	return c.loop.register(fd, unix.EPOLLOUT, c)
}

// finishConnect reads the result of the handshake and notifies the handler. The flush of this iteration writes output
// that was queued during the handshake.
func (c *Conn) finishConnect() {
	c.loop.Cancel(c.connectTimer)
	c.connectTimer = nil
	if err := c.loop.kernel.SocketError(c.fd); err != nil {
		c.fail(fmt.Errorf("%w: %w", ErrConnectFailed, err))
		return
	}
	c.transition(connOpen)
	c.updateEvents()
	c.handler.Opened(c)
	if len(c.output.pending) > 0 {
		c.queueFlush()
	}
}
