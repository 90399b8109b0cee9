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

	// maxAcceptsPerIteration bounds the consecutive accepts: connections that an accept callback evicts to make room
	// release their descriptors only at the end of the iteration.
	maxAcceptsPerIteration = 8
)

// Listener accepts TCP connections on one address.
type Listener struct {
	loop          *Loop
	fd            int
	addr          netip.AddrPort
	accept        func() (Handler, int)
	onAcceptState func(error)
	acceptFailing bool // the last state passed to onAcceptState was an error
	closed        bool
}

// Listen opens a listener on addr, an IP address and port. With port 0 the kernel chooses a port. For each connection,
// accept returns the handler and the limit of pending output in bytes, or a nil handler to close the connection at
// once. onAcceptState is called once per change: with the error when accepting starts to fail, and with nil when it
// succeeds again.
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

// open binds the listener's socket and starts to watch it.
func (ln *Listener) open(address netip.AddrPort) error {
	var err error
	if ln.addr, err = ln.loop.kernel.Listen(ln.fd, address, listenBacklog); err != nil {
		return err
	}
	return ln.loop.register(ln.fd, unix.EPOLLIN, ln)
}

// FD is the listener's descriptor, for setting socket options. The listener owns it; the caller must not close it.
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

// handleEvents accepts waiting connections, up to maxAcceptsPerIteration. Epoll reports the listener again for the
// rest.
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

// admit creates a connection for an accepted descriptor, or closes the descriptor.
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

// reportAcceptState calls onAcceptState when accepting starts to fail or succeeds again.
func (ln *Listener) reportAcceptState(err error) {
	if ln.acceptFailing != (err != nil) {
		ln.acceptFailing = err != nil
		ln.onAcceptState(err)
	}
}

// AcceptStateLogger returns a callback for Listen that logs when connections of the named group of peers cannot be
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
