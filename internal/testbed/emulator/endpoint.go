package emulator

import (
	"net"
	"sync"

	"glenport/internal/testbed/loopback"
)

// endpoint is where a machine listens. Its address stays the same over restarts: the port is reserved from the first
// start on, also while the machine is down. Any goroutine may read it.
type endpoint struct {
	listener net.Listener // nil before the first start

	mu   sync.Mutex
	port *loopback.Reservation // nil before the first start
}

// open listens where it listened before.
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

// release gives the port up, once the machine has ended for good.
func (e *endpoint) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.port != nil {
		e.port.Release()
	}
}

// address is empty before the first start.
func (e *endpoint) address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.port == nil {
		return ""
	}
	return e.port.Address
}
