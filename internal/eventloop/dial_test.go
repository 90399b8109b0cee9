package eventloop

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"glenport/internal/testutil"
)

// fullBacklog is the address of a listener whose accept queue is full, so that the kernel does not answer further
// connection attempts.
func fullBacklog(t *testing.T, l *Loop) string {
	t.Helper()
	fd := newSocket(t)
	testutil.ExpectNoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	testutil.ExpectNoError(t, syscall.Listen(fd, 0))
	bound, err := syscall.Getsockname(fd)
	testutil.NoError(t, err)
	addr := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: bound.(*syscall.SockaddrInet4).Port}).String()
	for range 4 {
		l.Post(func() { l.Dial(addr, newProbe(), 1, 30*Second) })
	}
	return addr
}

// unusedAddr is an address without a listener.
func unusedAddr(t *testing.T) string {
	t.Helper()
	ln := testutil.Listen(t)
	testutil.ExpectNoError(t, ln.Close())
	return ln.Addr().String()
}

func TestFailedDialIsReportedAfterDialReturns(t *testing.T) {
	l := runLoop(t, func() {})
	for _, tc := range []struct{ name, addr string }{
		{"connection refused", unusedAddr(t)}, {"timeout", fullBacklog(t, l)}, {"invalid address", "nowhere"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			handler := newProbe()
			runOnLoop(l, func() { // handler.closed has no receiver until the call returns
				c := l.Dial(tc.addr, handler, 100, 50*Millisecond)
				if err := c.Write([]byte("never sent")); err != nil && !errors.Is(err, ErrClosed) {
					t.Error(err)
				}
				testutil.Expect(t, len(handler.closed) == 0, "Closed was called before Dial returned")
			})
			reason := testutil.Receive(t, handler.closed)
			testutil.Expect(t, errors.Is(reason, ErrConnectFailed), "closed by %v", reason)
		})
	}
}

// A dial that fails because this process lacks descriptors must not be attributed to the peer.
func TestDialWithoutDescriptorsFailsWithErrLocalResources(t *testing.T) {
	l, handler := runLoop(t, func() {}), newProbe()
	addr := listen(t, l, newProbe(), 100, func(error) {})
	restore := exhaustDescriptors(t)
	runOnLoop(l, func() { l.Dial(addr, handler, 100, Second) })
	reason := testutil.Receive(t, handler.closed)
	restore()
	if !errors.Is(reason, ErrLocalResources) || errors.Is(reason, ErrConnectFailed) {
		t.Error(reason)
	}
	runOnLoop(l, func() { l.Dial(addr, handler, 100, Second) })
	testutil.Receive(t, handler.opened)
}
