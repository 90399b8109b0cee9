package testutil

import (
	"net"
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
	tb.Cleanup(func() { _ = conn.Close() }) // the test may have closed it
	return conn
}
