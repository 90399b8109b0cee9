package loopback

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	listenTimeout       = 5 * time.Second
	listenRetryInterval = time.Millisecond
)

// Listen opens a TCP listener on the reserved port. It retries while the port is in use, for at most 5 s: a child
// process that was forked while an earlier listener was open holds a copy of it until the child calls exec, and on a
// busy machine that is after the close of the listener.
func (r *Reservation) Listen() (net.Listener, error) {
	deadline := time.Now().Add(listenTimeout)
	for {
		listener, err := Listen(r.Address)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return listener, err
		}
		time.Sleep(listenRetryInterval)
	}
}
