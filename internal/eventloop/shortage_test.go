package eventloop

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"

	"glenport/internal/testutil"
)

// closeSpareFD closes the spare descriptor of the loop.
func closeSpareFD(t *testing.T, l *Loop) {
	t.Helper()
	testutil.ExpectNoError(t, unix.Close(l.spareFD))
	l.spareFD = -1
}

func TestWithoutDescriptorsConnectionsAreRefusedAndOthersServed(t *testing.T) {
	l, handler := runLoop(t, func() {}), newEcho(t)
	states := make(chan error, 100)
	addr := listen(t, l, handler, 100, func(err error) { states <- err })
	first, second := testutil.Dial(t, addr), testutil.Dial(t, addr)
	testutil.Receive(t, handler.opened)
	testutil.Receive(t, handler.opened)
	refused := newSocket(t)
	exhaustDescriptors(t)
	connectSocket(t, refused, addr)
	if err := testutil.Receive(t, states); !errors.Is(err, syscall.EMFILE) {
		t.Errorf("refused by %v", err)
	}
	err := syscall.SetsockoptTimeval(refused, syscall.SOL_SOCKET, syscall.SO_RCVTIMEO, &syscall.Timeval{Sec: 20})
	testutil.ExpectNoError(t, err)
	// The loop uses the spare descriptor to close the connection, so the read ends well before its timeout.
	if n, err := syscall.Read(refused, make([]byte, 1)); n > 0 || errors.Is(err, syscall.EAGAIN) {
		t.Errorf("the refused connection read %d bytes, %v", n, err)
	}
	for _, peer := range []net.Conn{first, second} {
		_, err := peer.Write([]byte("x"))
		testutil.ExpectNoError(t, err)
		_, err = io.ReadFull(peer, make([]byte, 1))
		testutil.ExpectNoError(t, err)
	}
}

// acceptFailure makes the accepts of a loop fail, either with a given error or because no descriptors are left.
type acceptFailure struct {
	tries   chan Tick // times of the accept calls
	failing atomic.Bool
	restore func() // restores the descriptor limit
}

func failAccepts(t *testing.T, l *Loop, err error) *acceptFailure {
	t.Helper()
	f := &acceptFailure{tries: make(chan Tick, 1_000_000), restore: func() {}}
	f.failing.Store(true)
	runOnLoop(l, func() {
		l.accept4 = func(fd, flags int) (int, unix.Sockaddr, error) {
			f.tries <- l.now
			if f.failing.Load() && err != nil {
				return -1, nil, err
			}
			return unix.Accept4(fd, flags)
		}
		if err == nil {
			closeSpareFD(t, l)
		}
	})
	if err == nil {
		f.restore = exhaustDescriptors(t)
	}
	return f
}

func (f *acceptFailure) stop() {
	f.failing.Store(false)
	f.restore()
}

func TestListenerThatCannotAcceptRetriesWithoutSpinning(t *testing.T) {
	for _, tc := range []struct {
		name string
		err  error // nil: no descriptors are left, and the spare one could not be reopened
	}{
		{"no buffers", syscall.ENOBUFS},
		{"no memory", syscall.ENOMEM},
		{"network down", syscall.ENETDOWN},
		{"no spare descriptor", nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l, handler := runLoop(t, func() {}), newProbe()
			states := make(chan error, 100)
			addr := listen(t, l, handler, 100, func(err error) { states <- err })
			waiting := newSocket(t)
			failure := failAccepts(t, l, tc.err)
			connectSocket(t, waiting, addr)
			if err := testutil.Receive(t, states); err == nil || tc.err != nil && !isExactly(err, tc.err) {
				t.Errorf("refused by %v", err)
			}
			first := testutil.Receive(t, failure.tries)
			testutil.Receive(t, failure.tries)
			if third := testutil.Receive(t, failure.tries); third-first < acceptRetryDelay {
				t.Errorf("three accepts in %d ms: the loop spins", (third-first)/Millisecond)
			}
			failure.stop()
			testutil.Receive(t, handler.opened)
			if err := testutil.Receive(t, states); err != nil || len(states) > 0 {
				t.Errorf("state %v and %d more, want nil once", err, len(states))
			}
		})
	}
}

// A descriptor that is released between a failed accept and the attempt to open a spare one is used for the connection.
func TestDescriptorFreedAfterFailedAcceptServesTheConnection(t *testing.T) {
	l, handler := runLoop(t, func() {}), newProbe()
	addr := listen(t, l, handler, 100, func(error) {})
	runOnLoop(l, func() {
		closeSpareFD(t, l)
		failed := false
		l.accept4 = func(fd, flags int) (int, unix.Sockaddr, error) {
			if !failed {
				failed = true
				return -1, nil, unix.EMFILE
			}
			return unix.Accept4(fd, flags)
		}
	})
	testutil.Dial(t, addr)
	testutil.Receive(t, handler.opened)
}
