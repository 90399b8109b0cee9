package eventloop

import (
	"fmt"

	"golang.org/x/sys/unix"
)

const (
	// maxDrainReads bounds the consecutive reads from a peer that has hung up. maxDrainReads*readBufferSize exceeds the
	// input that the kernel buffers for a socket.
	maxDrainReads = 128

	hangUpEvents = unix.EPOLLRDHUP | unix.EPOLLHUP | unix.EPOLLERR
	failEvents   = unix.EPOLLHUP | unix.EPOLLERR
)

// updateEvents sets the epoll events that the connection needs in its state: input unless reading is paused, hang-up of
// the peer unless the connection is finishing, and writability while output is blocked.
func (c *Conn) updateEvents() {
	events := uint32(unix.EPOLLIN | unix.EPOLLRDHUP)
	if c.isFinishing() {
		events = 0
	} else if c.readPaused {
		events = unix.EPOLLRDHUP
	}
	if c.output.blocked {
		events |= unix.EPOLLOUT
	}
	c.loop.setEvents(c.fd, events)
}

// updateEventsIfEstablished calls updateEvents on an established connection. A connection that is being dialed is
// watched for the end of the handshake instead, and finishConnect updates the events afterwards.
func (c *Conn) updateEventsIfEstablished() {
	if c.isEstablished() {
		c.updateEvents()
	}
}

func (c *Conn) handleEvents(events uint32) {
	switch c.state {
	case connDialing:
		c.finishConnect()
	case connOpen:
		c.handleWritable(events)
		c.handleInput(events)
	case connHalfClosed, connClosing:
		c.handleWritable(events)
		if events&failEvents != 0 { // a peer that closed both sides reads no more output
			c.fail(ErrClosed)
		}
	case connEnding, connClosed: // no event is handled
	}
}

func (c *Conn) handleInput(events uint32) {
	if events&hangUpEvents != 0 {
		c.readToEnd()
	} else if events&unix.EPOLLIN != 0 && !c.readPaused {
		c.readOnce()
	}
}

// readToEnd reads all input that the peer sent before it hung up, so that the hang-up is handled in the same iteration.
func (c *Conn) readToEnd() {
	for range maxDrainReads {
		if !c.readOnce() {
			return
		}
	}
}

// readOnce reads once and reports whether there may be more input.
func (c *Conn) readOnce() bool {
	n, err := c.loop.kernel.Read(c.fd, c.loop.buffer)
	switch {
	case err != nil && isTransient(err):
		return false
	case err != nil:
		c.fail(fmt.Errorf("%w: %w", ErrReset, err))
	case n == 0:
		c.handlePeerClose()
	default:
		c.bytesRead += n
		c.handler.Read(c, c.loop.buffer[:n])
	}
	return c.state == connOpen
}

// handleWritable resumes writing if the events report the socket as writable.
func (c *Conn) handleWritable(events uint32) {
	if events&unix.EPOLLOUT != 0 {
		c.output.blocked = false
		c.updateEvents()
		c.queueFlush()
	}
}

// flush writes the pending output with one system call. Once all is written it performs the close or shutdown that was
// requested.
func (c *Conn) flush() {
	if !c.isEstablished() || c.output.blocked {
		return
	}
	if !c.writeOutput() {
		return
	}
	if c.isFinishing() {
		c.fail(ErrClosed)
	} else if c.output.shutdownAfterFlush {
		c.loop.kernel.ShutdownWrite(c.fd)
	}
}

// writeOutput writes the pending output with one system call and reports whether nothing is left. The rest is written
// once the socket is writable again.
func (c *Conn) writeOutput() bool {
	if err := c.output.write(c.loop.kernel, c.fd); err != nil {
		c.fail(fmt.Errorf("%w: %w", ErrReset, err))
		return false
	}
	if c.output.blocked {
		c.updateEvents()
	}
	return !c.output.blocked
}

// drainInput shuts down the write side and drops unread input. Closing a socket with unread input would send a TCP
// reset, and the peer could lose output that it has not read yet.
func (c *Conn) drainInput() {
	if !c.isEstablished() {
		return
	}
	c.loop.kernel.ShutdownWrite(c.fd)
	for range maxDrainReads {
		if n, err := c.loop.kernel.Read(c.fd, c.loop.buffer); n <= 0 || err != nil {
			return
		}
	}
}
