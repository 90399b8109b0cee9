package eventloop

import "golang.org/x/sys/unix"

const acceptRetryDelay = 100 * Millisecond // after accepting failed

// openSpare opens the descriptor that is held back for refuseOne. If that fails there is none.
func (l *Loop) openSpare() {
	fd, err := l.kernel.OpenSpare()
	if err != nil {
		fd = -1
	}
	l.spareFD = fd
}

// handleAcceptError reports that accepting failed. A connection left in the accept queue would have epoll report the
// listener again and again, so the loop would spin. If descriptors have run out, one connection is refused with the
// spare one; otherwise, or without a spare one, the listener is not watched for acceptRetryDelay.
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
	// If a spare descriptor can be opened by now, the connection could have one too: the next iteration accepts it.
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
