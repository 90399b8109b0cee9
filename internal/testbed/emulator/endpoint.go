package emulator

import (
	"net"
	"sync"

	"glenport/internal/testbed/loopback"
)

// endpoint is the listener of a machine. Its address stays the same across restarts: the port stays reserved from the
// first start on, also while the machine is stopped. The address may be read from any goroutine.
type endpoint struct {
	listener net.Listener // nil before the first start

	mu   sync.Mutex
	port *loopback.Reservation // nil before the first start
}

// open starts to listen on the reserved port.
func (e *endpoint) open() error {
	port, err := e.reserve()
	if err != nil {
		return err
	}
	e.listener, err = port.Listen()
	return err
}

func (e *endpoint) reserve() (port *loopback.Reservation, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.port == nil {
		e.port, err = loopback.Reserve()
	}
	return e.port, err
}

func (e *endpoint) close() { loopback.CloseQuietly(e.listener) }

// release frees the port after the machine has been closed.
func (e *endpoint) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.port != nil {
		e.port.Release()
	}
}

// address returns the address of the machine; empty before its first start.
func (e *endpoint) address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.port == nil {
		return ""
	}
	return e.port.Address
}
