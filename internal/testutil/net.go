package testutil

import (
	"io"
	"net"
	"sync"
	"testing"
)

// Listen opens a listener on a free port of the loopback interface. The caller closes it.
func Listen(tb testing.TB) net.Listener {
	tb.Helper()
	listener, err := new(net.ListenConfig).Listen(tb.Context(), "tcp", "127.0.0.1:0")
	NoError(tb, err)
	return listener
}

// Dial connects to an address. The connection is closed at the end of the test.
func Dial(tb testing.TB, address string) *net.TCPConn {
	tb.Helper()
	to, err := net.ResolveTCPAddr("tcp", address)
	NoError(tb, err)
	conn, err := net.DialTCP("tcp", nil, to)
	NoError(tb, err)
	tb.Cleanup(func() { closeIgnoringError(conn) })
	return conn
}

// Serve calls serve for each connection to a listener, each in a separate goroutine, until stop is called. The function
// stop closes the listener and the connections, and waits until all calls of serve have returned.
func Serve(listener net.Listener, serve func(net.Conn)) (stop func()) {
	s := &server{listener: listener}
	s.goroutines.Go(func() { s.accept(serve) })
	return s.stop
}

// ServeUntilEnd calls serve for each connection to a free port until the end of the test, and returns the address.
func ServeUntilEnd(tb testing.TB, serve func(net.Conn)) (address string) {
	tb.Helper()
	listener := Listen(tb)
	tb.Cleanup(Serve(listener, serve))
	return listener.Addr().String()
}

type server struct {
	listener   net.Listener
	goroutines sync.WaitGroup // accept and all calls of serve
	mu         sync.Mutex
	stopped    bool
	conns      []net.Conn
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
		s.goroutines.Go(func() {
			defer closeIgnoringError(conn)
			serve(conn)
		})
	}
}

// add registers a connection that stop has to close. After stop it closes the connection instead and returns false.
func (s *server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		closeIgnoringError(conn)
		return false
	}
	s.conns = append(s.conns, conn)
	return true
}

func (s *server) stop() {
	closeIgnoringError(s.listener)
	s.closeAll()
	s.goroutines.Wait()
}

func (s *server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for _, conn := range s.conns {
		closeIgnoringError(conn)
	}
}

// closeIgnoringError closes c, which may already be closed, and ignores the error.
func closeIgnoringError(c io.Closer) { _ = c.Close() }
