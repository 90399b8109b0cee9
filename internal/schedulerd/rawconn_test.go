package schedulerd

import (
	"errors"
	"fmt"
	"net/netip"
	"testing"

	"glenport/internal/protocol"
	"glenport/internal/testutil"
	"glenport/internal/testutil/frames"

	"golang.org/x/sys/unix"
)

// rawConn is the test end of a connection. Its reads do not block.
type rawConn struct {
	t            *testing.T
	fd           int
	reader       protocol.Reader
	bytesWritten int
	bytesRead    int
	closed       bool
}

// drain reads all available frames. It reports whether there was any input, which includes the end of the connection.
func (c *rawConn) drain(handle func(protocol.Frame)) (found bool) {
	buffer := make([]byte, 1<<16)
	for c != nil && !c.closed {
		n, _, err := unix.Recvfrom(c.fd, buffer, unix.MSG_DONTWAIT)
		if errors.Is(err, unix.EAGAIN) {
			return found
		}
		found = true
		if err != nil || n == 0 {
			c.close()
			return found
		}
		c.bytesRead += n
		if err := c.reader.Feed(buffer[:n], func(f protocol.Frame) error { handle(f); return nil }); err != nil {
			c.t.Error(err)
			c.close()
		}
	}
	return found
}

func (c *rawConn) send(f protocol.Frame) {
	if c.closed {
		return
	}
	n, err := unix.Write(c.fd, frames.Encode(c.t, f))
	if err == nil { // an error means that the peer has closed the connection
		c.bytesWritten += n
	}
}

func (c *rawConn) close() {
	if c == nil || c.closed {
		return
	}
	c.closed = true
	closeFD(c.t, c.fd)
}

func closeFD(t *testing.T, fd int) {
	t.Helper()
	testutil.ExpectNoError(t, unix.Close(fd))
}

// rawListener is a listening socket with the connection that it accepted last.
type rawListener struct {
	t    *testing.T
	fd   int
	addr string
	conn *rawConn // nil until the first accept
}

func listenRaw(t *testing.T) *rawListener {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	testutil.NoError(t, err)
	testutil.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	testutil.NoError(t, unix.Listen(fd, 8))
	own, err := unix.Getsockname(fd)
	testutil.NoError(t, err)
	return &rawListener{t: t, fd: fd, addr: fmt.Sprint("127.0.0.1:", own.(*unix.SockaddrInet4).Port)}
}

func dialRaw(t *testing.T, addr string) *rawConn {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	testutil.NoError(t, err)
	peer := netip.MustParseAddrPort(addr)
	testutil.NoError(t, unix.Connect(fd, &unix.SockaddrInet4{Port: int(peer.Port()), Addr: peer.Addr().As4()}))
	return &rawConn{t: t, fd: fd}
}

func (l *rawListener) accept() bool {
	fd, _, err := unix.Accept4(l.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	if err != nil {
		return false
	}
	l.conn.close()
	l.conn = &rawConn{t: l.t, fd: fd}
	return true
}

func (l *rawListener) connected() bool { return l.conn != nil && !l.conn.closed }

func (l *rawListener) close() {
	l.conn.close()
	closeFD(l.t, l.fd)
}
