package eventloop

import "golang.org/x/sys/unix"

const acceptRetryDelay = 100 * Millisecond

// openSpareFD opens the descriptor that is reserved for refuseConnection. On failure spareFD is -1.
func (l *Loop) openSpareFD() {
	fd, err := l.kernel.OpenSpareFD()
	if err != nil {
		fd = -1
	}
	l.spareFD = fd
}

// handleAcceptError reports that accepting failed. Epoll would report the listener in every iteration as long as a
// connection is left in the accept queue, so the loop would spin. If descriptors have run out, the spare one is used to
// refuse one connection. Otherwise, or without a spare descriptor, the listener is not watched for acceptRetryDelay.
func (ln *Listener) handleAcceptError(err error) {
	ln.reportAcceptState(err)
	if !isDescriptorShortage(err) {
		ln.pauseAccepting()
		return
	}
	if ln.loop.spareFD >= 0 {
		ln.refuseConnection()
		return
	}
	// If a spare descriptor can be opened now, the next iteration can accept the connection too.
	if ln.loop.openSpareFD(); ln.loop.spareFD < 0 {
		ln.pauseAccepting()
	}
}

// refuseConnection accepts and closes one waiting connection, using the number of the spare descriptor.
func (ln *Listener) refuseConnection() {
	ln.loop.kernel.Close(ln.loop.spareFD)
	if fd, _, err := ln.loop.kernel.Accept(ln.fd, unix.SOCK_CLOEXEC); err == nil {
		ln.loop.kernel.Close(fd)
	}
	ln.loop.openSpareFD()
}

// pauseAccepting stops watching the listener for acceptRetryDelay.
func (ln *Listener) pauseAccepting() {
	ln.loop.setEvents(ln.fd, 0)
	ln.loop.After(acceptRetryDelay, func() {
		if !ln.closed {
			ln.loop.setEvents(ln.fd, unix.EPOLLIN)
		}
	})
}
