package eventloop

import (
	"fmt"
	"io"

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
// unless the connection is closing, room for output while writing is blocked.
func (c *Conn) updateEvents() {
	events := uint32(unix.EPOLLIN | unix.EPOLLRDHUP)
	if c.closeReason != nil {
		events = 0
	} else if c.readPaused {
		events = unix.EPOLLRDHUP
	}
	if c.writeBlocked {
		events |= unix.EPOLLOUT
	}
	c.loop.setEvents(c.fd, events)
}

func (c *Conn) handleEvents(events uint32) {
	if c.closed {
		return
	}
	if !c.open && c.connectTimer != nil {
		c.finishConnect()
		return
	}
	if events&unix.EPOLLOUT != 0 {
		c.resumeWriting()
	}
	hungUp := events&hangUpEvents != 0
	readable := events&unix.EPOLLIN != 0 && !c.readPaused
	switch {
	case !hungUp && !readable:
		return
	case c.closeReason != nil: // input is ignored; a peer that has ended both sides takes no more output
		if events&failEvents != 0 {
			c.fail(c.closeReason)
		}
	case hungUp:
		c.readToEnd()
	default:
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
	n, err := unix.Read(c.fd, c.loop.buffer)
	switch {
	case err != nil && isTransient(err):
		return false
	case err != nil:
		c.fail(fmt.Errorf("%w: %w", ErrReset, err))
	case n == 0:
		// The handler is notified at once, as the peer sends no more; the peer may still take the pending output.
		c.reportClosed(io.EOF)
		c.closeAfterFlush(io.EOF)
	default:
		c.bytesRead += n
		c.handler.Read(c, c.loop.buffer[:n])
	}
	return !c.closed && c.closeReason == nil
}

// resumeWriting follows an event that the peer takes output again.
func (c *Conn) resumeWriting() {
	c.writeBlocked = false
	c.updateEvents()
	c.queueFlush()
}

// flush writes the pending output with one write, and then closes what was to be closed after it.
func (c *Conn) flush() {
	if c.closed || c.writeBlocked || c.connectTimer != nil {
		return
	}
	if len(c.output) > 0 && !c.writeOutput() {
		return
	}
	if c.closeReason != nil {
		c.fail(c.closeReason)
	} else if c.writeClosed {
		c.shutdownWrite()
	}
}

// writeOutput writes once and reports whether nothing is left; what is left waits for resumeWriting.
func (c *Conn) writeOutput() bool {
	n, err := unix.Write(c.fd, c.output)
	if err != nil {
		if !isTransient(err) {
			c.fail(fmt.Errorf("%w: %w", ErrReset, err))
			return false
		}
		n = 0
	}
	c.bytesWritten += n
	if n < len(c.output) {
		c.output = append(c.output[:0], c.output[n:]...)
		c.writeBlocked = true
		c.updateEvents()
		return false
	}
	c.output = c.output[:0]
	if cap(c.output) > readBufferSize {
		c.output = nil // the memory of a burst is not kept
	}
	return true
}

// shutdownWrite ends the write side. It fails only where the peer has reset the connection, which the next event
// reports.
func (c *Conn) shutdownWrite() { _ = unix.Shutdown(c.fd, unix.SHUT_WR) }

// drainInput ends the write side and drops unread input: closing a socket with unread input sends a reset, by which the
// peer may lose what it has not read yet.
func (c *Conn) drainInput() {
	if c.closed || !c.open {
		return
	}
	c.shutdownWrite()
	for range maxDrainReads {
		if n, err := unix.Read(c.fd, c.loop.buffer); n <= 0 || err != nil {
			return
		}
	}
}
