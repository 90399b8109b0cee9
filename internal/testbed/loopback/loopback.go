// Package loopback opens and closes the TCP connections of the test bed, which all use the loopback interface.
package loopback

import (
	"context"
	"io"
	"net"
	"time"
)

// AnyPort is a listen address with a port chosen by the operating system.
const AnyPort = "127.0.0.1:0"

// Listen opens a TCP listener.
func Listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp", address)
}

// ListenPacket opens a UDP socket.
func ListenPacket(address string) (net.PacketConn, error) {
	var config net.ListenConfig
	return config.ListenPacket(context.Background(), "udp", address)
}

// Dial opens a TCP connection with a time limit.
func Dial(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	return dialer.DialContext(context.Background(), "tcp", address)
}

// AcceptAll calls serve for each accepted connection until the listener is closed.
func AcceptAll(listener net.Listener, serve func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return // the listener was closed
		}
		serve(conn)
	}
}

// CloseQuietly closes a connection or listener and ignores the error: readers see the end in any case, and there is no
// buffered data to lose.
func CloseQuietly(c io.Closer) { _ = c.Close() }

// Reset closes a connection with a TCP reset.
func Reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed already
	}
	CloseQuietly(conn)
}
