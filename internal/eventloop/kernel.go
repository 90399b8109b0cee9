package eventloop

import (
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

// Kernel provides the system calls of one loop. The loop makes no system call directly, so that a test can simulate the
// network. Errors are those of the system calls, as unix.Errno; flags, events and descriptors are those of Linux. Only
// Wake may be called on any goroutine.
type Kernel interface {
	Clock
	Poller
	Sockets
}

// Clock provides wall time, monotonic time and processor time.
type Clock interface {
	Now() time.Time
	// Since is the monotonic time since an earlier Now. Changes of the wall clock do not affect it.
	Since(earlier time.Time) time.Duration
	// CPUTime is the processor time that the process has used so far.
	CPUTime() time.Duration
}

// Poller waits for events of descriptors.
type Poller interface {
	// OpenPoller is called before all other methods, and ClosePoller after them.
	OpenPoller() error
	ClosePoller()
	// Watch starts to report events of a descriptor, level-triggered, until the descriptor is closed.
	Watch(fd int, events uint32) error
	// ChangeWatch replaces the events for which a descriptor is watched.
	ChangeWatch(fd int, events uint32) error
	// Wait waits for events until the timeout, in milliseconds; -1 means no limit. It stores them in events and returns
	// their number. The wakeup is reported as an event too.
	Wait(events []unix.EpollEvent, timeout int) (int, error)
	// Wake makes the current Wait, and all later ones until ClearWake, return without delay.
	Wake()
	ClearWake()
}

// Sockets provides non-blocking TCP sockets.
type Sockets interface {
	SocketOpener
	SocketStream
}

// SocketOpener opens the sockets of connections and listeners.
type SocketOpener interface {
	// Socket opens a socket for the family of an address.
	Socket(address netip.AddrPort) (fd int, err error)
	// Connect starts to connect a socket. EINPROGRESS means that the socket is reported as writable once the handshake
	// has ended; SocketError then returns its result.
	Connect(fd int, address netip.AddrPort) error
	// SocketError returns and clears the pending error of a socket, or returns nil if there is none.
	SocketError(fd int) error
	// Listen binds a socket to an address and makes it accept connections. It returns the bound address with its port.
	Listen(fd int, address netip.AddrPort, backlog int) (netip.AddrPort, error)
	Accept(fd, flags int) (int, unix.Sockaddr, error)
	// OpenSpareFD opens a descriptor that only reserves its number and is not read or written.
	OpenSpareFD() (fd int, err error)
	Close(fd int)
}

// SocketStream reads, writes and configures a connected socket.
type SocketStream interface {
	Read(fd int, p []byte) (int, error)
	Write(fd int, p []byte) (int, error)
	// ShutdownWrite shuts down the write side of a connection.
	ShutdownWrite(fd int)
	// SetNoDelay disables the delay of small writes (Nagle's algorithm).
	SetNoDelay(fd int)
	// ResetOnClose makes Close drop unsent output and reset the connection.
	ResetOnClose(fd int)
	// PeerAddr is the address of the peer, or the zero value if the socket is not connected.
	PeerAddr(fd int) netip.AddrPort
}
