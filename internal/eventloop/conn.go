package eventloop

import (
	"io"
	"net/netip"
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
// Its state and the transitions stand in the package's doc. It ends by one path: fail closes it, notifies the handler
// and queues it, and the flush of the same iteration releases its descriptor.
type Conn struct {
	loop         *Loop
	fd           int // -1: not connected, or released
	handler      Handler
	state        connState
	output       output
	readPaused   bool
	flushQueued  bool   // it is in the loop's flushQueue
	connectTimer *Timer // runs while dialing
	closeTimer   *Timer // runs while half-closed and closing
	bytesRead    int
}

// Write queues all of p to be written at the end of the iteration, or nothing: it returns ErrOutputFull where the limit
// of pending output would be exceeded, ErrClosed after Close, Reset or CloseWrite and once the connection has ended. p
// is copied.
func (c *Conn) Write(p []byte) error {
	if c.state == connClosed || c.isFinishing() || c.output.ended {
		return ErrClosed
	}
	if !c.output.add(p) {
		return ErrOutputFull
	}
	c.queueFlush()
	return nil
}

// CloseWrite shuts the write side down after the pending output; the peer may go on sending.
func (c *Conn) CloseWrite() {
	c.output.ended = true
	c.queueFlush()
}

// PauseReading leaves input unread until ResumeReading. A peer that hangs up meanwhile is still read to its end.
func (c *Conn) PauseReading() {
	if !c.readPaused {
		c.readPaused = true
		c.updateEventsIfEstablished()
	}
}

// ResumeReading reads input again after PauseReading, also what arrived meanwhile.
func (c *Conn) ResumeReading() {
	if c.readPaused {
		c.readPaused = false
		c.updateEventsIfEstablished()
	}
}

// Close ends the connection with ErrClosed once its pending output is written, at the latest after two seconds. Without
// pending output, and before the connection is established, it ends at once and the handler is notified before Close
// returns.
func (c *Conn) Close() {
	switch c.state {
	case connDialing:
		c.fail(ErrClosed)
	case connOpen:
		c.closeAfterFlush(connClosing)
	case connEnding:
		c.closeAfterFlush(connHalfClosed)
	case connHalfClosed, connClosing, connClosed: // it closes already
	}
}

// Reset ends the connection with ErrClosed and drops its pending output; the peer receives a reset. The handler is
// notified before Reset returns.
func (c *Conn) Reset() {
	if c.fd >= 0 && c.state != connClosed {
		c.loop.kernel.ResetOnClose(c.fd)
	}
	c.fail(ErrClosed)
}

// Peer is the address of the other end, or the zero value where the connection is not established.
func (c *Conn) Peer() netip.AddrPort { return c.loop.kernel.PeerAddr(c.fd) }

// PendingOutput is the number of bytes accepted by Write and not yet written.
func (c *Conn) PendingOutput() int { return len(c.output.pending) }

// BytesTransferred is the number of bytes read and written so far.
func (c *Conn) BytesTransferred() (read, written int) { return c.bytesRead, c.output.written }

// WriteBlocked reports whether the peer has not taken all that was to be written by the last flush.
func (c *Conn) WriteBlocked() bool { return c.output.blocked }

// IsOpen reports whether the connection is established and has not ended.
func (c *Conn) IsOpen() bool { return c.isEstablished() }

// queueFlush has the flush of this iteration write the output, or release a closed connection.
func (c *Conn) queueFlush() {
	if !c.flushQueued {
		c.flushQueued = true
		c.loop.flushQueue = append(c.loop.flushQueue, c)
	}
}

// closeAfterFlush ends an established connection once its output is written or closeFlushTimeout has passed. It is
// finishing meanwhile, in the state given.
func (c *Conn) closeAfterFlush(finishing connState) {
	if len(c.output.pending) == 0 {
		c.fail(ErrClosed)
		return
	}
	c.transition(finishing)
	c.closeTimer = c.loop.After(closeFlushTimeout, func() { c.fail(ErrClosed) })
	c.updateEvents()
	c.queueFlush()
}

// endByPeer notifies the handler at once, as the peer sends no more; the peer may still take the pending output.
func (c *Conn) endByPeer() {
	c.transition(connEnding)
	c.handler.Closed(c, io.EOF)
	if c.state == connEnding { // the handler has not closed it
		c.closeAfterFlush(connHalfClosed)
	}
}

// fail ends the connection at once, whatever is pending, and notifies the handler unless the peer's end has.
func (c *Conn) fail(reason error) {
	if c.state == connClosed {
		return
	}
	notified := c.state == connEnding || c.state == connHalfClosed
	c.transition(connClosed)
	c.queueFlush()
	if !notified {
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
	c.fd, c.output.pending = -1, nil
	c.loop.connCount--
}

// shutdown writes what the peer takes at once, avoids a reset, and ends the connection.
func (c *Conn) shutdown() {
	c.flush()
	c.drainInput()
	c.fail(ErrClosed)
}
