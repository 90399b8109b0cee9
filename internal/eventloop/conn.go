package eventloop

import (
	"net/netip"

	"golang.org/x/sys/unix"
)

// closeFlushTimeout bounds how long Close waits for the peer to take pending output.
const closeFlushTimeout = 2 * Second

// Handler is notified of what happens on a connection, on the loop's goroutine.
type Handler interface {
	// Opened is called once, when the connection is established.
	Opened(c *Conn)
	// Read is called with bytes received, in order. They are valid only until it returns.
	Read(c *Conn, p []byte)
	// Closed is called exactly once, and nothing is called after it. The reason is io.EOF where the peer closed its
	// side, else it wraps one of the errors of this package. Output may still be flushed to a peer that closed its side
	// only.
	Closed(c *Conn, reason error)
}

// Conn is one TCP connection, accepted or dialed.
//
// It ends by one path: fail marks it closed, notifies the handler and queues it, and the flush of the same iteration
// releases its descriptor.
type Conn struct {
	loop          *Loop
	fd            int // -1: not connected, or released
	handler       Handler
	output        []byte // pending, maxOutput bytes at most
	maxOutput     int
	connectTimer  *Timer // not nil while the handshake lasts
	open          bool   // the handshake has succeeded
	writeBlocked  bool   // the peer must take output before more is written
	flushQueued   bool   // it is in the loop's flushQueue
	closed        bool
	closeReported bool  // the handler's Closed was called
	closeReason   error // not nil: the connection closes for it once its output is written
	readPaused    bool
	writeClosed   bool // the write side is shut down once its output is written
	closeTimer    *Timer
	bytesRead     int
	bytesWritten  int
}

// Write queues all of p to be written at the end of the iteration, or nothing: it returns ErrOutputFull where the limit
// of pending output would be exceeded, ErrClosed after Close, Reset or CloseWrite and once the connection has ended. p
// is copied.
func (c *Conn) Write(p []byte) error {
	if c.closed || c.closeReason != nil || c.writeClosed {
		return ErrClosed
	}
	if len(c.output)+len(p) > c.maxOutput {
		return ErrOutputFull
	}
	c.output = append(c.output, p...)
	c.queueFlush()
	return nil
}

// CloseWrite shuts the write side down after the pending output; the peer may go on sending.
func (c *Conn) CloseWrite() {
	c.writeClosed = true
	c.queueFlush()
}

// SetReadPaused stops reading, or resumes it. While it is paused, a peer that hangs up is still read to its end.
func (c *Conn) SetReadPaused(paused bool) {
	if c.closed || c.readPaused == paused {
		return
	}
	c.readPaused = paused
	if c.fd >= 0 && c.connectTimer == nil {
		c.updateEvents()
	}
}

// Close ends the connection with ErrClosed once its pending output is written, at the latest after two seconds. Without
// pending output, and before the connection is established, it ends at once and the handler is notified before Close
// returns.
func (c *Conn) Close() { c.closeAfterFlush(ErrClosed) }

// Reset ends the connection with ErrClosed and drops its pending output; the peer receives a reset. The handler is
// notified before Reset returns.
func (c *Conn) Reset() {
	if c.fd >= 0 && !c.closed {
		// Where the option is refused, the peer receives an orderly end in place of a reset.
		_ = unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
	c.fail(ErrClosed)
}

// Peer is the address of the other end, or the zero value where the connection is not established.
func (c *Conn) Peer() netip.AddrPort {
	address, err := unix.Getpeername(c.fd)
	if err != nil {
		return netip.AddrPort{}
	}
	return addrPort(address)
}

// PendingOutput is the number of bytes accepted by Write and not yet written.
func (c *Conn) PendingOutput() int { return len(c.output) }

// BytesTransferred is the number of bytes read and written so far.
func (c *Conn) BytesTransferred() (read, written int) { return c.bytesRead, c.bytesWritten }

// WriteBlocked reports whether the peer has not taken all that was to be written by the last flush.
func (c *Conn) WriteBlocked() bool { return c.writeBlocked }

// IsOpen reports whether the connection is established and has not ended.
func (c *Conn) IsOpen() bool { return c.open && !c.closed }

// queueFlush has the flush of this iteration write the output, or release a closed connection.
func (c *Conn) queueFlush() {
	if !c.flushQueued {
		c.flushQueued = true
		c.loop.flushQueue = append(c.loop.flushQueue, c)
	}
}

// closeAfterFlush ends the connection once its output is written or closeFlushTimeout has passed.
func (c *Conn) closeAfterFlush(reason error) {
	if c.closed || c.closeReason != nil {
		return
	}
	if len(c.output) == 0 || !c.open {
		c.fail(reason)
		return
	}
	c.closeReason = reason
	c.closeTimer = c.loop.After(closeFlushTimeout, func() { c.fail(reason) })
	c.updateEvents()
	c.queueFlush()
}

// fail ends the connection at once, whatever is pending.
func (c *Conn) fail(reason error) {
	if c.closed {
		return
	}
	c.closed = true
	c.queueFlush()
	c.reportClosed(reason)
}

// reportClosed notifies the handler, once.
func (c *Conn) reportClosed(reason error) {
	if !c.closeReported {
		c.closeReported = true
		c.handler.Closed(c, reason)
	}
}

// release frees the descriptor and the timers of a closed connection.
func (c *Conn) release() {
	if c.fd < 0 {
		return
	}
	c.loop.Cancel(c.connectTimer)
	c.loop.Cancel(c.closeTimer)
	c.loop.unregister(c.fd)
	c.fd, c.output = -1, nil
	c.loop.connCount--
}

// shutdown writes what the peer takes at once, avoids a reset, and ends the connection.
func (c *Conn) shutdown() {
	c.flush()
	c.drainInput()
	c.fail(ErrClosed)
}
