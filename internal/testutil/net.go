package testutil

import (
	"io"
	"net"
	"sync"
	"testing"
)

// Listen opens a listener on a free port of the loopback interface. The test closes it.
func Listen(tb testing.TB) net.Listener {
	tb.Helper()
	listener, err := new(net.ListenConfig).Listen(tb.Context(), "tcp", "127.0.0.1:0")
	NoError(tb, err)
	return listener
}

// Dial connects until the end of the test.
func Dial(tb testing.TB, address string) *net.TCPConn {
	tb.Helper()
	to, err := net.ResolveTCPAddr("tcp", address)
	NoError(tb, err)
	conn, err := net.DialTCP("tcp", nil, to)
	NoError(tb, err)
	tb.Cleanup(func() { closeAgain(conn) })
	return conn
}

// Serve calls serve for each connection to a listener, on a goroutine of its own, until stop is called. Stop closes the
// listener and the connections, and returns when serve has returned for all.
func Serve(listener net.Listener, serve func(net.Conn)) (stop func()) {
	s := &server{listener: listener}
	s.serving.Go(func() { s.accept(serve) })
	return s.stop
}

// ServeUntilEnd serves connections on a free port until the end of the test, and returns the address.
func ServeUntilEnd(tb testing.TB, serve func(net.Conn)) (address string) {
	tb.Helper()
	listener := Listen(tb)
	tb.Cleanup(Serve(listener, serve))
	return listener.Addr().String()
}

type server struct {
	listener net.Listener
	serving  sync.WaitGroup
	mu       sync.Mutex
	stopped  bool
	open     []net.Conn
}

func (s *server) accept(serve func(net.Conn)) {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if !s.add(conn) {
			return
		}
		s.serving.Go(func() {
			defer closeAgain(conn)
			serve(conn)
		})
	}
}

// add registers a connection to be closed by stop; it closes one that is accepted after that, and returns false.
func (s *server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		closeAgain(conn)
		return false
	}
	s.open = append(s.open, conn)
	return true
}

func (s *server) stop() {
	closeAgain(s.listener)
	s.closeAll()
	s.serving.Wait()
}

func (s *server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for _, conn := range s.open {
		closeAgain(conn)
	}
}

// closeAgain closes what may be closed already, and ignores the error of that.
func closeAgain(c io.Closer) { _ = c.Close() }
