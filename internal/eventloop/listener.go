package eventloop

import (
	"errors"
	"fmt"
	"log/slog"
	"net/netip"

	"golang.org/x/sys/unix"
)

const (
	listenBacklog = 1024

	// maxAcceptsPerIteration bounds the accepts in a row: connections that an accept callback evicts to make room free
	// their descriptors only at the end of the iteration.
	maxAcceptsPerIteration = 8
)

// Listener accepts TCP connections on one address.
type Listener struct {
	loop          *Loop
	fd            int
	addr          netip.AddrPort
	accept        func() (Handler, int)
	onAcceptState func(error)
	refusing      bool // the last state given to onAcceptState was an error
	closed        bool
}

// Listen opens a listener on addr, an IP address and port; port 0 lets the kernel choose. For each connection, accept
// gives its handler and the limit of its pending output in bytes, or a nil handler to close it without notice.
// onAcceptState is called with the error when connections cannot be accepted, and with nil when they are again, once
// per change.
func (l *Loop) Listen(addr string, accept func() (Handler, int), onAcceptState func(error)) (*Listener, error) {
	address, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	fd, err := l.kernel.Socket(address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	ln := &Listener{loop: l, fd: fd, accept: accept, onAcceptState: onAcceptState}
	if err := ln.open(address); err != nil {
		l.kernel.Close(fd)
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	return ln, nil
}

// open binds the listener's socket and has it watched.
func (ln *Listener) open(address netip.AddrPort) error {
	var err error
	if ln.addr, err = ln.loop.kernel.Listen(ln.fd, address, listenBacklog); err != nil {
		return err
	}
	return ln.loop.register(ln.fd, unix.EPOLLIN, ln)
}

// FD is the listener's descriptor, for options of its socket. It remains the listener's: the caller does not close it.
func (ln *Listener) FD() int { return ln.fd }

// Addr is the address that the listener is bound to.
func (ln *Listener) Addr() netip.AddrPort { return ln.addr }

// Close stops accepting and closes the descriptor at once. Connections accepted before are not affected. Closing twice
// has no effect.
func (ln *Listener) Close() {
	if !ln.closed {
		ln.closed = true
		ln.loop.unregister(ln.fd)
	}
}

func (ln *Listener) shutdown() { ln.Close() }

// handleEvents accepts what waits, up to the bound of an iteration; the rest is reported again by epoll.
func (ln *Listener) handleEvents(uint32) {
	for range maxAcceptsPerIteration {
		fd, _, err := ln.loop.accept4(ln.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch {
		case err == nil:
			ln.admit(fd)
		case errors.Is(err, unix.EAGAIN):
			return
		case errors.Is(err, unix.EINTR), errors.Is(err, unix.ECONNABORTED):
			continue
		default:
			ln.handleAcceptError(err)
			return
		}
	}
}

// admit makes an accepted descriptor a connection of the loop, or closes it.
func (ln *Listener) admit(fd int) {
	handler, maxOutput := ln.accept()
	if handler == nil {
		ln.loop.kernel.Close(fd)
		return
	}
	conn := &Conn{loop: ln.loop, fd: fd, handler: handler, state: connOpen, output: output{limit: maxOutput}}
	ln.loop.kernel.SetNoDelay(fd)
	if err := ln.loop.register(fd, unix.EPOLLIN|unix.EPOLLRDHUP, conn); err != nil {
		ln.loop.kernel.Close(fd)
		ln.reportAcceptState(err)
		return
	}
	ln.reportAcceptState(nil)
	ln.loop.countConn()
	handler.Opened(conn)
}

// reportAcceptState reports that accepting fails, or succeeds again, where that is a change.
func (ln *Listener) reportAcceptState(err error) {
	if ln.refusing != (err != nil) {
		ln.refusing = err != nil
		ln.onAcceptState(err)
	}
}

// AcceptStateLogger gives a callback for Listen that logs when connections of the named group of peers cannot be
// accepted, and when they are accepted again.
func (l *Loop) AcceptStateLogger(log *slog.Logger, peers string) func(error) {
	return func(err error) {
		if err != nil {
			log.Warn("connections cannot be accepted", "peers", peers, "error", err, "connections", l.connCount)
		} else {
			log.Info("connections accepted again", "peers", peers, "connections", l.connCount)
		}
	}
}
