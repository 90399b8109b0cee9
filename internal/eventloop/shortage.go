package eventloop

import "golang.org/x/sys/unix"

const acceptRetryDelay = 100 * Millisecond // after accepting failed

// openSpare opens the descriptor that is held back for refuseOne; there is none where that fails.
func (l *Loop) openSpare() {
	fd, err := l.kernel.OpenSpare()
	if err != nil {
		fd = -1
	}
	l.spareFD = fd
}

// handleAcceptError reports that accepting failed. A connection left in the accept queue would have epoll report the
// listener again and again, so the loop would spin: for want of descriptors one connection is refused by means of the
// spare one, and where that cannot be done the listener is not watched for acceptRetryDelay.
func (ln *Listener) handleAcceptError(err error) {
	ln.reportAcceptState(err)
	if !isDescriptorShortage(err) {
		ln.pause()
		return
	}
	if ln.loop.spareFD >= 0 {
		ln.refuseOne()
		return
	}
	// Where a spare descriptor can be opened by now, there was one for the connection too: the next iteration accepts
	// it.
	if ln.loop.openSpare(); ln.loop.spareFD < 0 {
		ln.pause()
	}
}

// refuseOne closes one waiting connection, using the number of the spare descriptor.
func (ln *Listener) refuseOne() {
	ln.loop.kernel.Close(ln.loop.spareFD)
	if fd, _, err := ln.loop.kernel.Accept(ln.fd, unix.SOCK_CLOEXEC); err == nil {
		ln.loop.kernel.Close(fd)
	}
	ln.loop.openSpare()
}

// pause leaves the listener unwatched for acceptRetryDelay.
func (ln *Listener) pause() {
	ln.loop.setEvents(ln.fd, 0)
	ln.loop.After(acceptRetryDelay, func() {
		if !ln.closed {
			ln.loop.setEvents(ln.fd, unix.EPOLLIN)
		}
	})
}
