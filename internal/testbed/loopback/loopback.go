// Package loopback opens and ends the TCP connections of the test bed, all of which stay on this machine.
package loopback

import (
	"context"
	"io"
	"net"
	"time"
)

// AnyPort is the address of a listener whose port the operating system chooses.
const AnyPort = "127.0.0.1:0"

// Listen opens a listener.
func Listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp", address)
}

// Dial connects to an address within a time limit.
func Dial(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	return dialer.DialContext(context.Background(), "tcp", address)
}

// AcceptAll hands each accepted connection to serve until the listener is closed.
func AcceptAll(listener net.Listener, serve func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return // the listener was closed
		}
		serve(conn)
	}
}

// CloseQuietly closes a connection or listener that is no longer wanted. The error is ignored: whoever reads from it
// sees the end either way, and nothing buffered is owed to the other side.
func CloseQuietly(c io.Closer) { _ = c.Close() }

// Reset closes a connection with a TCP reset in place of an orderly end.
func Reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a connection that is closed already
	}
	CloseQuietly(conn)
}
