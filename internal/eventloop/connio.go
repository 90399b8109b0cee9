package eventloop

import (
	"fmt"

	"golang.org/x/sys/unix"
)

const (
	// maxDrainReads bounds the reads in a row from a peer that has hung up; with readBufferSize it is more than the
	// kernel holds of what the peer sent before.
	maxDrainReads = 128

	hangUpEvents = unix.EPOLLRDHUP | unix.EPOLLHUP | unix.EPOLLERR
	failEvents   = unix.EPOLLHUP | unix.EPOLLERR
)

// updateEvents has epoll watch for what the state of the connection allows: input unless paused, the peer's hang-up
// unless the connection is finishing, room for output while writing is blocked.
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

// updateEventsIfEstablished is updateEvents for a connection that may be in any state: while it is being dialed it is
// watched for the end of the handshake, and finishConnect updates the events then.
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
		c.resumeWritingOn(events)
		c.handleInput(events)
	case connHalfClosed, connClosing:
		c.resumeWritingOn(events)
		if events&failEvents != 0 { // a peer that has ended both sides takes no more output
			c.fail(ErrClosed)
		}
	case connEnding, connClosed: // nothing follows
	}
}

func (c *Conn) handleInput(events uint32) {
	if events&hangUpEvents != 0 {
		c.readToEnd()
	} else if events&unix.EPOLLIN != 0 && !c.readPaused {
		c.readOnce()
	}
}

// readToEnd reads all that a peer sent before it hung up, so that its end is handled in the same iteration.
func (c *Conn) readToEnd() {
	for range maxDrainReads {
		if !c.readOnce() {
			return
		}
	}
}

// readOnce reads once and reports whether there may be more to read.
func (c *Conn) readOnce() bool {
	n, err := c.loop.kernel.Read(c.fd, c.loop.buffer)
	switch {
	case err != nil && isTransient(err):
		return false
	case err != nil:
		c.fail(fmt.Errorf("%w: %w", ErrReset, err))
	case n == 0:
		c.endByPeer()
	default:
		c.bytesRead += n
		c.handler.Read(c, c.loop.buffer[:n])
	}
	return c.state == connOpen
}

// resumeWritingOn resumes writing if the events say that the peer takes output again.
func (c *Conn) resumeWritingOn(events uint32) {
	if events&unix.EPOLLOUT != 0 {
		c.output.blocked = false
		c.updateEvents()
		c.queueFlush()
	}
}

// flush writes the pending output with one write, and then closes what was to be closed after it.
func (c *Conn) flush() {
	if !c.isEstablished() || c.output.blocked {
		return
	}
	if !c.writeOutput() {
		return
	}
	if c.isFinishing() {
		c.fail(ErrClosed)
	} else if c.output.ended {
		c.loop.kernel.ShutdownWrite(c.fd)
	}
}

// writeOutput writes the pending output once and reports whether nothing is left; what is left waits until the peer
// takes output again.
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

// drainInput ends the write side and drops unread input: closing a socket with unread input sends a reset, by which the
// peer may lose what it has not read yet.
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
