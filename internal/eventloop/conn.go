package eventloop

import (
	"io"
	"net/netip"
)

// closeFlushTimeout bounds how long Close waits for the peer to accept pending output.
const closeFlushTimeout = 2 * Second

// Handler receives the events of a connection, on the loop's goroutine.
type Handler interface {
	// Opened is called once, when the connection is established.
	Opened(c *Conn)
	// Read is called with the received bytes, in order. The slice is valid only until Read returns.
	Read(c *Conn, p []byte)
	// Closed is called exactly once, as the last call. The reason is io.EOF if the peer closed its side; otherwise it
	// wraps one of the errors of this package. A peer that closed only its side may still receive pending output.
	Closed(c *Conn, reason error)
}

// Conn is one TCP connection, accepted or dialed.
//
// The package documentation lists its states and transitions. Every connection ends in the same way: fail closes it,
// notifies the handler and queues the connection, and the flush of the same iteration releases the descriptor.
type Conn struct {
	loop         *Loop
	fd           int // -1: not connected yet, or released
	handler      Handler
	state        connState
	output       output
	readPaused   bool
	flushQueued  bool   // the connection is in the loop's flushQueue
	connectTimer *Timer // scheduled while dialing
	closeTimer   *Timer // scheduled while half-closed or closing
	bytesRead    int
}

// Write queues all of p to be written at the end of the iteration, or none of it. It returns ErrOutputFull if p would
// exceed the limit of pending output, and ErrClosed after Close, Reset, CloseWrite or the end of the connection. It
// copies p.
func (c *Conn) Write(p []byte) error {
	if c.state == connClosed || c.isFinishing() || c.output.shutdownAfterFlush {
		return ErrClosed
	}
	if !c.output.add(p) {
		return ErrOutputFull
	}
	c.queueFlush()
	return nil
}

// CloseWrite shuts down the write side once the pending output is written. The peer may continue to send.
func (c *Conn) CloseWrite() {
	c.output.shutdownAfterFlush = true
	c.queueFlush()
}

// PauseReading stops reading until ResumeReading. If the peer hangs up meanwhile, its input is still read to the end.
func (c *Conn) PauseReading() {
	if !c.readPaused {
		c.readPaused = true
		c.updateEventsIfEstablished()
	}
}

// ResumeReading undoes PauseReading. Input that arrived meanwhile is read too.
func (c *Conn) ResumeReading() {
	if c.readPaused {
		c.readPaused = false
		c.updateEventsIfEstablished()
	}
}

// Close ends the connection with ErrClosed once its pending output is written, or after two seconds. If there is no
// pending output or the connection is not established yet, the connection ends at once and the handler is notified
// before Close returns.
func (c *Conn) Close() {
	switch c.state {
	case connDialing:
		c.fail(ErrClosed)
	case connOpen:
		c.closeAfterFlush(connClosing)
	case connEnding:
		c.closeAfterFlush(connHalfClosed)
	case connHalfClosed, connClosing, connClosed: // already closing
	}
}

// Reset ends the connection with ErrClosed, drops its pending output and sends the peer a TCP reset. The handler is
// notified before Reset returns.
func (c *Conn) Reset() {
	if c.fd >= 0 && c.state != connClosed {
		c.loop.kernel.ResetOnClose(c.fd)
	}
	c.fail(ErrClosed)
}

// Peer is the address of the peer, or the zero value if the connection is not established.
func (c *Conn) Peer() netip.AddrPort { return c.loop.kernel.PeerAddr(c.fd) }

// PendingOutput is the number of bytes that Write accepted and that are not written yet.
func (c *Conn) PendingOutput() int { return len(c.output.pending) }

// BytesTransferred is the number of bytes read and written so far.
func (c *Conn) BytesTransferred() (read, written int) { return c.bytesRead, c.output.written }

// WriteBlocked reports whether the socket did not accept all pending output at the last flush.
func (c *Conn) WriteBlocked() bool { return c.output.blocked }

// IsOpen reports whether the connection is established and has not ended.
func (c *Conn) IsOpen() bool { return c.isEstablished() }

// queueFlush queues the connection for the flush of this iteration, which writes the output or releases a closed
// connection.
func (c *Conn) queueFlush() {
	if !c.flushQueued {
		c.flushQueued = true
		c.loop.flushQueue = append(c.loop.flushQueue, c)
	}
}

// closeAfterFlush ends an established connection once its output is written or closeFlushTimeout has passed. Until
// then the connection is in the state pendingClose: half-closed or closing.
func (c *Conn) closeAfterFlush(pendingClose connState) {
	if len(c.output.pending) == 0 {
		c.fail(ErrClosed)
		return
	}
	c.transition(pendingClose)
	c.closeTimer = c.loop.After(closeFlushTimeout, func() { c.fail(ErrClosed) })
	c.updateEvents()
	c.queueFlush()
}

// handlePeerClose notifies the handler at once, as the peer sends no more input. The peer may still read the pending
// output.
func (c *Conn) handlePeerClose() {
	c.transition(connEnding)
	c.handler.Closed(c, io.EOF)
	if c.state == connEnding { // the handler has not closed the connection
		c.closeAfterFlush(connHalfClosed)
	}
}

// fail ends the connection at once and drops pending output. It notifies the handler, unless handlePeerClose has
// notified it already.
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

// shutdown writes as much output as the socket accepts at once, and ends the connection without a TCP reset.
func (c *Conn) shutdown() {
	c.flush()
	c.drainInput()
	c.fail(ErrClosed)
}
