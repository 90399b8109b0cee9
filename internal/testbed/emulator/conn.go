package emulator

import (
	"io"
	"net"
	"time"

	"glenport/internal/protocol"
)

const (
	heartbeatInterval = time.Second
	maxHelloSize      = 1024 // bytes of the first frame of a scheduler
	protocolTick      = 100 * time.Microsecond
)

// closeQuietly closes a connection or listener that is given up. The error is ignored: whoever reads from it sees the
// end either way, and nothing buffered is owed to the other side.
func closeQuietly(c io.Closer) { _ = c.Close() }

// resetConn closes a connection with a TCP reset in place of an orderly end.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a connection that is closed already
	}
	closeQuietly(conn)
}

// writeWithin writes data and fails when the other side does not take it in time.
func writeWithin(conn net.Conn, data []byte, limit time.Duration) error {
	if err := conn.SetWriteDeadline(time.Now().Add(limit)); err != nil {
		return err
	}
	_, err := conn.Write(data)
	return err
}

// acceptAll hands each accepted connection to serve until the listener is closed.
func acceptAll(listener net.Listener, serve func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return // the listener was closed
		}
		serve(conn)
	}
}

// mustEncode encodes a frame that the emulator itself has made; one that cannot be encoded is a programming error.
func mustEncode(buffer []byte, frame protocol.Frame) []byte {
	data, err := protocol.Append(buffer, frame)
	if err != nil {
		panic(err)
	}
	return data
}

func fromProtocol(d protocol.Duration) time.Duration { return time.Duration(d) * protocolTick }

func toProtocol(d time.Duration) protocol.Duration { return protocol.Duration(d / protocolTick) }
