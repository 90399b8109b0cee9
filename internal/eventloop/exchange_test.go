package eventloop

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"

	"glenport/internal/testutil"

	"golang.org/x/sys/unix"
)

// exchange is a loop on the test's goroutine, with its peers and a record of its callbacks.
type exchange struct {
	t        *testing.T
	loop     *Loop
	listener *Listener
	record   strings.Builder
	accepted []*Conn
	peers    []int // descriptors of the peers, in the same order as in accepted
	dialed   *Conn
}

func (e *exchange) note(format string, args ...any) { fmt.Fprintf(&e.record, format+"\n", args...) }

// must fails the test if a step of the script itself fails.
func (e *exchange) must(err error) {
	e.t.Helper()
	testutil.NoError(e.t, err)
}

// waitUntil waits for a condition in the kernel that the next step relies on.
func (e *exchange) waitUntil(condition string, reached func() bool) {
	e.t.Helper()
	testutil.WaitUntil(e.t, condition, reached)
}

// waitForClock waits until timers with this delay, scheduled in this iteration, expire in the next one.
func (e *exchange) waitForClock(delay Tick) {
	e.t.Helper()
	e.waitUntil("timers due", func() bool { return e.loop.ReadClock() >= e.loop.Now()+delay })
}

// waitForEvents waits until the next iteration will receive one of the events for a connection of the loop.
func (e *exchange) waitForEvents(c *Conn, events int16) {
	e.t.Helper()
	e.waitUntil("connection ready", func() bool {
		fds := []unix.PollFd{{Fd: int32(c.fd), Events: events}}
		n, _ := unix.Poll(fds, 0) // an interrupted poll is retried
		return n == 1 && fds[0].Revents&events != 0
	})
}

// connect connects a peer and waits until it is in the accept queue.
func (e *exchange) connect() {
	e.t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	e.must(err)
	e.must(unix.Connect(fd, sockaddr(e.listener.Addr())))
	e.peers = append(e.peers, fd)
	queued := uint32(len(e.peers) - len(e.accepted))
	e.waitUntil("peer in the accept queue", func() bool {
		info, err := unix.GetsockoptTCPInfo(e.listener.fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		e.must(err)
		return info.Unacked == queued // for a listening socket, the length of its accept queue
	})
}

// send writes bytes from the peer of a connection and waits until the connection can read them.
func (e *exchange) send(peer int, bytes []byte) {
	e.t.Helper()
	_, err := unix.Write(e.peers[peer], bytes)
	e.must(err)
	e.waitUntil("bytes arrived", func() bool {
		n, err := unix.IoctlGetInt(e.accepted[peer].fd, unix.TIOCINQ)
		e.must(err)
		return n == len(bytes)
	})
}

// recorder is the handler of one connection of an exchange.
type recorder struct {
	exchange *exchange
	name     string
}

func (r *recorder) Opened(*Conn) { r.exchange.note("opened %s", r.name) }

// Read writes back the first byte.
func (r *recorder) Read(c *Conn, p []byte) {
	r.exchange.note("read %s: %d bytes", r.name, len(p))
	r.exchange.must(c.Write(p[:1]))
}

func (r *recorder) Closed(_ *Conn, reason error) {
	kind := reason.Error()
	for _, known := range []struct {
		err  error
		name string
	}{{io.EOF, "EOF"}, {ErrReset, "reset"}, {ErrClosed, "closed here"}, {ErrConnectFailed, "connect failed"}} {
		if errors.Is(reason, known.err) {
			kind = known.name
		}
	}
	r.exchange.note("closed %s: %s", r.name, kind)
}

// closingRecorder is a recorder that echoes what it reads and then closes the connection.
type closingRecorder struct{ *recorder }

func (r closingRecorder) Read(c *Conn, p []byte) {
	r.exchange.must(c.Write(p))
	c.Close()
}

// accept numbers connections in the order in which they are accepted.
func (e *exchange) accept() (Handler, int) {
	r := &recorder{e, strconv.Itoa(len(e.accepted))}
	e.accepted = append(e.accepted, nil)
	if r.name == "3" {
		return acceptedHandler{closingRecorder{r}, e, 3}, 100
	}
	return acceptedHandler{r, e, len(e.accepted) - 1}, 100
}

// acceptedHandler adds its connection to the accepted ones, for use by the script.
type acceptedHandler struct {
	Handler
	exchange *exchange
	index    int
}

func (h acceptedHandler) Opened(c *Conn) {
	h.exchange.accepted[h.index] = c
	h.Handler.Opened(c)
}
