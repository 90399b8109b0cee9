package eventloop

import (
	"bytes"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"glenport/internal/testutil"
)

func TestEchoedBytesAreCompleteAndInOrder(t *testing.T) {
	l, handler := runLoop(t, func() {}), newEcho(t)
	peer := testutil.Dial(t, listen(t, l, handler, 1<<20, nil))
	sent := bytes.Repeat([]byte("container "), 50_000)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, err := peer.Write(sent)
		testutil.ExpectNoError(t, err)
		testutil.ExpectNoError(t, peer.CloseWrite())
	}()
	got, err := io.ReadAll(peer)
	testutil.Expect(t, err == nil && bytes.Equal(got, sent), "peer got %d of %d bytes, %v", len(got), len(sent), err)
	<-done
	expectEOF(t, handler)
}

// connectionEnds are the ways in which a connection ends, with the reason that its handler must receive.
var connectionEnds = []struct {
	name string
	end  func(t *testing.T, l *Loop, c *Conn, peer *net.TCPConn)
	want error
}{
	{"peer closes", func(t *testing.T, _ *Loop, _ *Conn, peer *net.TCPConn) {
		t.Helper()
		testutil.ExpectNoError(t, peer.Close())
	}, io.EOF},
	{"peer resets", func(t *testing.T, _ *Loop, _ *Conn, peer *net.TCPConn) {
		t.Helper()
		testutil.ExpectNoError(t, peer.SetLinger(0))
		testutil.ExpectNoError(t, peer.Close())
	}, ErrReset},
	{"closed locally after the last byte", func(t *testing.T, l *Loop, c *Conn, peer *net.TCPConn) {
		t.Helper()
		l.Post(func() {
			testutil.ExpectNoError(t, c.Write([]byte("last")))
			c.Close()
		})
		expectEnd(t, peer, "last")
	}, ErrClosed},
	{"reset locally", func(t *testing.T, l *Loop, c *Conn, peer *net.TCPConn) {
		t.Helper()
		l.Post(c.Reset)
		if _, err := io.ReadAll(peer); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("peer got %v", err)
		}
	}, ErrClosed},
	{"write side closed locally, then by the peer", func(t *testing.T, l *Loop, c *Conn, peer *net.TCPConn) {
		t.Helper()
		l.Post(c.CloseWrite)
		expectEnd(t, peer, "")
		testutil.ExpectNoError(t, peer.Close())
	}, io.EOF},
}

// expectEnd expects the peer to receive a text followed by an orderly close.
func expectEnd(t *testing.T, peer *net.TCPConn, want string) {
	t.Helper()
	if got, err := io.ReadAll(peer); string(got) != want || err != nil {
		t.Errorf("peer got %q, %v", got, err)
	}
}

func TestEachEndIsReportedOnceWithItsReason(t *testing.T) {
	for _, tc := range connectionEnds {
		t.Run(tc.name, func(t *testing.T) {
			l, handler := runLoop(t, func() {}), newProbe()
			peer := testutil.Dial(t, listen(t, l, handler, 1<<20, nil))
			tc.end(t, l, testutil.Receive(t, handler.opened), peer)
			reason := testutil.Receive(t, handler.closed)
			testutil.Expect(t, errors.Is(reason, tc.want), "closed by %v, want %v", reason, tc.want)
			if n := callOnLoop(l, func() int { l.SkipWait(); return len(handler.closed) }); n != 0 {
				t.Errorf("Closed was called %d more times", n)
			}
			if n := callOnLoop(l, l.ConnCount); n != 0 {
				t.Errorf("%d connections left", n)
			}
		})
	}
}

func TestPeerThatReadsNothingFillsOnlyItsOwnOutput(t *testing.T) {
	l, stuck := runLoop(t, func() {}), newProbe()
	testutil.Dial(t, listen(t, l, stuck, 1<<20, nil))
	c := testutil.Receive(t, stuck.opened)
	accepted := callOnLoop(l, func() int {
		n := 0
		for c.Write(make([]byte, 64<<10)) == nil {
			n++
		}
		return n
	})
	testutil.Expect(t, accepted == 16, "%d writes accepted, want 16", accepted)
	peer := testutil.Dial(t, listen(t, l, newEcho(t), 1<<20, nil))
	_, err := peer.Write([]byte("ping"))
	testutil.ExpectNoError(t, err)
	got := make([]byte, 4)
	if _, err := io.ReadFull(peer, got); err != nil || string(got) != "ping" {
		t.Errorf("peer got %q, %v", got, err)
	}
}

func TestBlockedOutputIsWrittenOnceThePeerReads(t *testing.T) {
	const size = 16 << 20 // more than the kernel buffers for a connection
	l, handler := runLoop(t, func() {}), newProbe()
	peer := testutil.Dial(t, listen(t, l, handler, size, nil))
	testutil.ExpectNoError(t, peer.SetReadDeadline(time.Now().Add(20*time.Second)))
	c := testutil.Receive(t, handler.opened)
	runOnLoop(l, func() { testutil.ExpectNoError(t, c.Write(make([]byte, size))) })
	runOnLoop(l, func() { // in the iteration after the flush
		if _, written := c.BytesTransferred(); !c.WriteBlocked() || written+c.PendingOutput() != size {
			t.Errorf("blocked %t, %d bytes written, %d pending", c.WriteBlocked(), written, c.PendingOutput())
		}
	})
	if n, err := io.ReadFull(peer, make([]byte, size)); err != nil {
		t.Errorf("peer got %d of %d bytes, %v", n, size, err)
	}
	runOnLoop(l, func() {
		if _, written := c.BytesTransferred(); c.WriteBlocked() || written != size {
			t.Errorf("write blocked %t with %d of %d bytes written", c.WriteBlocked(), written, size)
		}
	})
}

// observer is a probe that runs a function on the loop when its connection is closed.
type observer struct {
	*probe
	onClosed func()
}

func (o observer) Closed(c *Conn, reason error) {
	o.onClosed()
	o.probe.Closed(c, reason)
}

func TestPeerThatHungUpIsReadToItsEndInOneIteration(t *testing.T) {
	for _, tc := range []struct {
		name    string
		prepare func(c *Conn)
		sent    int // bytes sent before the peer hangs up
	}{
		{"sends and hangs up", func(*Conn) {}, readBufferSize / 2},
		{"while reading is paused", (*Conn).PauseReading, readBufferSize / 2},
		{"while output is blocked", func(c *Conn) {
			for c.Write(make([]byte, 1<<20)) == nil {
			}
		}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			iteration, read, first, last := 0, 0, -1, 0
			l := runLoop(t, func() { iteration++ })
			handler := observer{newProbe(), func() { last = iteration }}
			handler.onRead = func(_ *Conn, p []byte) {
				if read += len(p); first < 0 {
					first = iteration
				}
			}
			peer := testutil.Dial(t, listen(t, l, handler, 32<<20, nil))
			c := testutil.Receive(t, handler.opened)
			runOnLoop(l, func() { tc.prepare(c) })
			runOnLoop(l, func() { // blocks the loop until all is sent, so that it reads nothing before
				testutil.ExpectNoError(t, peer.SetReadBuffer(1<<10))
				_, err := peer.Write(make([]byte, tc.sent))
				testutil.ExpectNoError(t, err)
				testutil.ExpectNoError(t, peer.CloseWrite())
			})
			expectEOF(t, handler.probe)
			runOnLoop(l, func() {
				testutil.Expect(t, read == tc.sent && first == last,
					"%d of %d bytes read, from iteration %d, closed in %d", read, tc.sent, first, last)
			})
		})
	}
}
