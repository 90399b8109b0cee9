package emulator

import (
	"fmt"
	"net"
	"sync"
	"time"

	"glenport/internal/testbed/loopback"
)

const (
	listenRetryDelay = 10 * time.Millisecond
	maxListenRetries = 50
)

// endpoint is where a machine listens; its address stays the same over restarts. Any goroutine may read it.
type endpoint struct {
	listener net.Listener // nil before the first start

	mu   sync.Mutex
	addr string
}

// open listens where it listened before. It tries for a while, as the port of the incarnation before may still be
// taken.
func (e *endpoint) open() error {
	addr := e.address()
	if addr == "" {
		addr = loopback.AnyPort
	}
	var lastErr error
	for range maxListenRetries {
		listener, err := loopback.Listen(addr)
		if err == nil {
			e.listener = listener
			e.setAddress(listener.Addr().String())
			return nil
		}
		lastErr = err
		time.Sleep(listenRetryDelay)
	}
	return fmt.Errorf("listen: %w", lastErr)
}

func (e *endpoint) close() { loopback.CloseQuietly(e.listener) }

// address is empty before the first start.
func (e *endpoint) address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addr
}

func (e *endpoint) setAddress(addr string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addr = addr
}
