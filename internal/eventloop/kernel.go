package eventloop

import (
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

// Kernel is what one loop asks of the operating system. The loop itself does not call it: every system call passes
// through here, so that a test can play a network of its own. Errors are those of the system calls, as unix.Errno, and
// the flags, events and descriptors are those of Linux. Only Wake may be called on any goroutine.
type Kernel interface {
	Clock
	Poller
	Sockets
}

// Clock gives the time.
type Clock interface {
	Now() time.Time
	// Since is the time that has passed since an earlier Now, whatever becomes of the wall clock.
	Since(earlier time.Time) time.Duration
	// CPUTime is the processor time that the process has used so far.
	CPUTime() time.Duration
}

// Poller waits for events of descriptors.
type Poller interface {
	// OpenPoller comes before all else, and ClosePoller last.
	OpenPoller() error
	ClosePoller()
	// Watch begins to report events of a descriptor, level-triggered, until it is closed.
	Watch(fd int, events uint32) error
	// ChangeWatch replaces the events for which a descriptor is watched.
	ChangeWatch(fd int, events uint32) error
	// Wait waits for events until the timeout, in milliseconds; -1 means without limit. It returns how many it has
	// entered into events. The wakeup is reported as an event too.
	Wait(events []unix.EpollEvent, timeout int) (int, error)
	// Wake ends the Wait that is under way, or the next one, and those after it until ClearWake.
	Wake()
	ClearWake()
}

// Sockets is for TCP, without blocking.
type Sockets interface {
	SocketOpener
	SocketStream
}

// SocketOpener makes sockets of connections and listeners.
type SocketOpener interface {
	// Socket opens a socket for the family of an address.
	Socket(address netip.AddrPort) (fd int, err error)
	// Connect begins to connect a socket. EINPROGRESS means that the socket is reported as writable once it is known
	// how that went: SocketError says so.
	Connect(fd int, address netip.AddrPort) error
	// SocketError takes the pending error of a socket; nil means that there is none.
	SocketError(fd int) error
	// Listen binds a socket to an address and has it accept connections. It returns the address, with its port.
	Listen(fd int, address netip.AddrPort, backlog int) (netip.AddrPort, error)
	Accept(fd, flags int) (int, unix.Sockaddr, error)
	// OpenSpare opens a descriptor for nothing but its number.
	OpenSpare() (fd int, err error)
	Close(fd int)
}

// SocketStream moves the bytes of a connection.
type SocketStream interface {
	Read(fd int, p []byte) (int, error)
	Write(fd int, p []byte) (int, error)
	// ShutdownWrite ends the write side of a connection.
	ShutdownWrite(fd int)
	// SetNoDelay has small writes sent at once.
	SetNoDelay(fd int)
	// ResetOnClose has Close drop what is not written, and reset the connection.
	ResetOnClose(fd int)
	// PeerAddr is the address of the other end; the zero value where there is none.
	PeerAddr(fd int) netip.AddrPort
}
