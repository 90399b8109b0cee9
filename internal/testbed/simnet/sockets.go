package simnet

import (
	"io"
	"net/netip"

	"golang.org/x/sys/unix"
)

// socket is the state of an open descriptor of the process.
type socket struct {
	fd            int
	watched       bool
	watchedEvents uint32 // epoll events that the process watches for

	address   netip.AddrPort // of a listener, or of the peer
	listening bool
	backlog   []*connection // of a listener

	conn         *connection // nil if the socket is not connected
	connectError error       // pending error of a connection attempt
	resetOnClose bool
}

// events returns the pending events of a socket, as epoll reports them.
func (s *socket) events() uint32 {
	switch {
	case s.listening:
		if len(s.backlog) > 0 {
			return unix.EPOLLIN
		}
		return 0
	case s.connectError != nil:
		return unix.EPOLLOUT | unix.EPOLLERR | unix.EPOLLHUP
	case s.conn == nil:
		return 0
	case s.conn.reset:
		return unix.EPOLLIN | unix.EPOLLOUT | unix.EPOLLRDHUP | unix.EPOLLERR | unix.EPOLLHUP
	}
	return s.conn.events()
}

// events returns the pending events of an established connection.
func (c *connection) events() uint32 {
	var events uint32
	if len(c.input) > 0 {
		events |= unix.EPOLLIN
	}
	if c.inputEnded {
		events |= unix.EPOLLIN | unix.EPOLLRDHUP
		if c.toPeer.ended {
			events |= unix.EPOLLHUP
		}
	}
	if c.toPeer.free() > 0 {
		events |= unix.EPOLLOUT
	}
	return events
}

// Socket implements eventloop.SocketOpener.
func (k *Kernel) Socket(netip.AddrPort) (int, error) { return k.openFD() }

// OpenSpareFD implements eventloop.SocketOpener.
func (k *Kernel) OpenSpareFD() (int, error) { return k.openFD() }

func (k *Kernel) openFD() (int, error) {
	s, err := k.openSocket()
	if err != nil {
		return -1, err
	}
	return s.fd, nil
}

// Connect implements eventloop.SocketOpener.
func (k *Kernel) Connect(fd int, address netip.AddrPort) error {
	s := k.lookup(fd)
	s.address = address
	delay := k.network.delay()
	if endpoint := k.network.endpoints[address]; endpoint != nil {
		delay += endpoint.Delay
	}
	k.network.After(delay, func() { k.network.handshake(k, s) })
	return unix.EINPROGRESS
}

// handshake answers a connection attempt of the process.
func (n *Network) handshake(k *Kernel, s *socket) {
	endpoint := n.endpoints[s.address]
	if k.lookup(s.fd) != s || endpoint != nil && endpoint.Silent {
		return
	}
	if endpoint == nil || endpoint.Refuse {
		n.After(n.delay(), func() { s.connectError = unix.ECONNREFUSED })
		return
	}
	conn := newConnection(n, endpoint.Accept())
	conn.peer.establish()
	n.After(n.delay(), func() {
		if k.lookup(s.fd) != s {
			conn.resetByProcess()
			return
		}
		s.conn, conn.accepted = conn, true
	})
}

// SocketError implements eventloop.SocketOpener.
func (k *Kernel) SocketError(fd int) error {
	s := k.lookup(fd)
	err := s.connectError
	s.connectError = nil
	return err
}

// Listen implements eventloop.SocketOpener.
func (k *Kernel) Listen(fd int, address netip.AddrPort, _ int) (netip.AddrPort, error) {
	if k.network.listeners[address] != nil {
		return netip.AddrPort{}, unix.EADDRINUSE
	}
	s := k.lookup(fd)
	s.listening, s.address = true, address
	k.network.listeners[address] = s
	return address, nil
}

// Accept implements eventloop.SocketOpener.
func (k *Kernel) Accept(fd, _ int) (int, unix.Sockaddr, error) {
	listener := k.lookup(fd)
	if listener == nil {
		return -1, nil, unix.EBADF
	}
	if len(listener.backlog) == 0 {
		return -1, nil, unix.EAGAIN
	}
	s, err := k.openSocket()
	if err != nil {
		return -1, nil, err
	}
	conn := listener.backlog[0]
	listener.backlog = listener.backlog[1:]
	s.conn = conn
	return s.fd, nil, nil
}

// Close implements eventloop.SocketOpener.
func (k *Kernel) Close(fd int) {
	s := k.lookup(fd)
	if s == nil {
		return
	}
	k.sockets[fd-firstSocketFD] = nil
	if s.listening {
		delete(k.network.listeners, s.address)
		for _, conn := range s.backlog {
			conn.resetByProcess()
		}
	}
	switch {
	case s.conn == nil, s.conn.reset:
	case s.resetOnClose, k.killed:
		s.conn.resetByProcess()
	default:
		s.conn.closeByProcess()
	}
}

// Read implements eventloop.SocketStream.
func (k *Kernel) Read(fd int, p []byte) (int, error) {
	s := k.lookup(fd)
	switch {
	case s == nil:
		return -1, unix.EBADF
	case s.conn == nil:
		return -1, unix.ENOTCONN
	case k.killed:
		return -1, unix.ECONNRESET
	case len(s.conn.input) > 0:
		return s.conn.read(p), nil
	case s.conn.reset:
		return -1, unix.ECONNRESET
	case s.conn.inputEnded:
		return 0, nil
	}
	return -1, unix.EAGAIN
}

// Write implements eventloop.SocketStream.
func (k *Kernel) Write(fd int, p []byte) (int, error) {
	s := k.lookup(fd)
	switch {
	case s == nil:
		return -1, unix.EBADF
	case s.conn == nil:
		return -1, unix.ENOTCONN
	case k.killed, s.conn.reset, s.conn.toPeer.ended:
		return -1, unix.EPIPE
	}
	count := min(len(p), s.conn.toPeer.free())
	if count == 0 {
		s.conn.toPeer.congested = true
		return -1, unix.EAGAIN
	}
	s.conn.sendToPeer(p[:count], k.iteration)
	s.conn.toPeer.congested = count < len(p)
	return count, nil
}

// ShutdownWrite implements eventloop.SocketStream.
func (k *Kernel) ShutdownWrite(fd int) {
	if s := k.lookup(fd); s != nil && s.conn != nil && !s.conn.reset && !k.killed {
		s.conn.endToPeer(io.EOF)
	}
}

// SetNoDelay implements eventloop.SocketStream.
func (*Kernel) SetNoDelay(int) {}

// ResetOnClose implements eventloop.SocketStream.
func (k *Kernel) ResetOnClose(fd int) {
	if s := k.lookup(fd); s != nil {
		s.resetOnClose = true
	}
}

// PeerAddr implements eventloop.SocketStream.
func (k *Kernel) PeerAddr(fd int) netip.AddrPort {
	if s := k.lookup(fd); s != nil {
		return s.address
	}
	return netip.AddrPort{}
}
