package eventloop

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"glenport/internal/testutil"
)

// fullBacklog is the address of a listener whose accept queue is full, so that the kernel answers no further
// connection.
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

// unusedAddr is an address at which nothing listens.
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
			do(l, func() { // nothing receives from handler.closed meanwhile
				c := l.Dial(tc.addr, handler, 100, 50*Millisecond)
				if err := c.Write([]byte("never sent")); err != nil && !errors.Is(err, ErrClosed) {
					t.Error(err)
				}
				testutil.Expect(t, len(handler.closed) == 0, "closed is reported before Dial returned")
			})
			if reason := testutil.Receive(t, handler.closed); !errors.Is(reason, ErrConnectFailed) {
				t.Errorf("closed by %v", reason)
			}
		})
	}
}

// A dial that fails for want of descriptors on this side must not count against the peer.
func TestDialWithoutDescriptorsFailsWithErrLocalResources(t *testing.T) {
	l, handler := runLoop(t, func() {}), newProbe()
	addr := listen(t, l, newProbe(), 100, func(error) {})
	restore := exhaustDescriptors(t)
	do(l, func() { l.Dial(addr, handler, 100, Second) })
	reason := testutil.Receive(t, handler.closed)
	restore()
	if !errors.Is(reason, ErrLocalResources) || errors.Is(reason, ErrConnectFailed) {
		t.Error(reason)
	}
	do(l, func() { l.Dial(addr, handler, 100, Second) })
	testutil.Receive(t, handler.opened)
}
