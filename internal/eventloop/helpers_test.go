package eventloop

import (
	"bytes"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"glenport/internal/testutil"
	_ "glenport/internal/testutil/fixedseed"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// probe is a handler that passes its notifications to the test. If onRead is set, it receives the bytes instead.
type probe struct {
	opened chan *Conn
	closed chan error
	read   chan []byte
	onRead func(c *Conn, p []byte)
}

func newProbe() *probe {
	return &probe{opened: make(chan *Conn, 100), closed: make(chan error, 100), read: make(chan []byte, 10000)}
}

// newEcho returns a probe that writes back the bytes that it reads.
func newEcho(t *testing.T) *probe {
	t.Helper()
	p := newProbe()
	p.onRead = func(c *Conn, received []byte) { testutil.ExpectNoError(t, c.Write(received)) }
	return p
}

func (p *probe) Opened(c *Conn) { p.opened <- c }

func (p *probe) Read(c *Conn, received []byte) {
	if p.onRead != nil {
		p.onRead(c, received)
		return
	}
	p.read <- bytes.Clone(received)
}

func (p *probe) Closed(_ *Conn, reason error) { p.closed <- reason }

// isExactly reports whether an error is the wanted one, not wrapped.
func isExactly(err, want error) bool { return errors.Is(err, want) && err.Error() == want.Error() }

// expectEOF expects that the connection is closed with io.EOF as the reason.
func expectEOF(t *testing.T, p *probe) {
	t.Helper()
	reason := testutil.Receive(t, p.closed)
	testutil.Expect(t, isExactly(reason, io.EOF), "closed by %v", reason)
}

func newLoop(tb testing.TB, onIteration func()) *Loop {
	tb.Helper()
	l, err := New(onIteration)
	testutil.NoError(tb, err)
	return l
}

// startLoop runs a loop on its own goroutine. The channel receives the result of Run.
func startLoop(l *Loop) (ended <-chan error) {
	returned := make(chan error, 1)
	go func() { returned <- l.Run() }()
	return returned
}

// runLoop runs a loop until the end of the test.
func runLoop(t *testing.T, onIteration func()) *Loop {
	t.Helper()
	l := newLoop(t, onIteration)
	testutil.RunUntilEnd(t, l.Run, l.Stop)
	return l
}

// callOnLoop runs a function on the loop and returns its result.
func callOnLoop[T any](l *Loop, function func() T) T {
	result := make(chan T, 1)
	l.Post(func() { result <- function() })
	return <-result
}

// runOnLoop runs a function on the loop and waits until it has returned.
func runOnLoop(l *Loop, function func()) {
	callOnLoop(l, func() struct{} {
		function()
		return struct{}{}
	})
}

// listen opens a listener whose connections share one handler, and returns its address.
func listen(t *testing.T, l *Loop, handler Handler, maxOutput int, onAcceptState func(error)) string {
	t.Helper()
	ln := callOnLoop(l, func() *Listener {
		ln, err := l.Listen("127.0.0.1:0", func() (Handler, int) { return handler, maxOutput }, onAcceptState)
		testutil.ExpectNoError(t, err)
		return ln
	})
	if ln == nil {
		t.FailNow()
	}
	return ln.Addr().String()
}

// newSocket creates a socket. connectSocket can use it later, when no descriptors are left.
func newSocket(t *testing.T) int {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	testutil.NoError(t, err)
	t.Cleanup(func() { testutil.ExpectNoError(t, syscall.Close(fd)) })
	return fd
}

func connectSocket(t *testing.T, fd int, addr string) {
	t.Helper()
	to, err := net.ResolveTCPAddr("tcp", addr)
	testutil.NoError(t, err)
	testutil.ExpectNoError(t, syscall.Connect(fd, &syscall.SockaddrInet4{Port: to.Port, Addr: [4]byte{127, 0, 0, 1}}))
}

// exhaustDescriptors lowers the descriptor limit of the process to the descriptors in use, until restore is called or
// the test ends.
func exhaustDescriptors(t *testing.T) (restore func()) {
	t.Helper()
	var before syscall.Rlimit
	testutil.NoError(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &before))
	lowestFree, err := syscall.Dup(0)
	testutil.NoError(t, err)
	testutil.ExpectNoError(t, syscall.Close(lowestFree))
	restore = func() { testutil.ExpectNoError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &before)) }
	t.Cleanup(restore)
	lowered := syscall.Rlimit{Cur: uint64(lowestFree), Max: before.Max}
	testutil.NoError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &lowered))
	return restore
}
