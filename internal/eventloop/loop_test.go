package eventloop

import (
	"io"
	"net"
	"testing"

	"glenport/internal/testutil"
)

func TestConnectionIsReadOncePerIteration(t *testing.T) {
	iteration := 0
	l := runLoop(t, func() { iteration++ })
	heavy, light := newProbe(), newProbe()
	var readIterations []int
	heavy.onRead = func(*Conn, []byte) { readIterations = append(readIterations, iteration) }
	heavyPeer := testutil.Dial(t, listen(t, l, heavy, 1, nil))
	lightPeer := testutil.Dial(t, listen(t, l, light, 1, nil))
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 400 {
			if _, err := heavyPeer.Write(make([]byte, 64<<10)); err != nil {
				t.Error(err)
				return
			}
		}
	}()
	for range 20 {
		_, err := lightPeer.Write([]byte("x"))
		testutil.ExpectNoError(t, err)
		testutil.Receive(t, light.read)
	}
	<-done
	twice := callOnLoop(l, func() int {
		n := 0
		for i := 1; i < len(readIterations); i++ {
			if readIterations[i] == readIterations[i-1] {
				n++
			}
		}
		return n
	})
	testutil.Expect(t, twice <= 0, "read twice in one iteration %d times", twice)
}

func TestTimersRunOnTimeAndPostReportsTheEndOfTheLoop(t *testing.T) {
	l := newLoop(t, func() {})
	ended := startLoop(l)
	fired := make(chan Tick, 3)
	queued := l.Post(func() {
		began := l.Now()
		l.After(20*Millisecond, func() { fired <- l.Now() - began })
		l.Cancel(l.After(10*Millisecond, func() { t.Error("a cancelled timer ran") }))
		l.After(0, func() { fired <- 0 })
	})
	testutil.Expect(t, queued, "a running loop refused a callback")
	first, second := testutil.Receive(t, fired), testutil.Receive(t, fired)
	testutil.Expect(t, first == 0 && second >= 20*Millisecond, "fired after %d and %d", first, second)
	l.Stop()
	testutil.ExpectNoError(t, testutil.Receive(t, ended))
	testutil.Expect(t, !l.Post(func() {}), "a loop that has ended accepted a callback")
}

// A loop that stops when idle handles the input that has arrived before, writes the reply, and does not reset the
// connection.
func TestStopWhenIdleHandlesWhatArrivedAndResetsNothing(t *testing.T) {
	l, handler := newLoop(t, func() {}), newProbe()
	var peer net.Conn
	send := func(text string) {
		_, err := peer.Write([]byte(text))
		testutil.ExpectNoError(t, err)
	}
	handler.onRead = func(c *Conn, p []byte) {
		testutil.ExpectNoError(t, c.Write(p))
		c.PauseReading()
		l.Post(func() {
			send("unread")
			l.StopWhenIdle()
		})
	}
	ln, err := l.Listen("127.0.0.1:0", func() (Handler, int) { return handler, 100 }, nil)
	testutil.NoError(t, err)
	ended := startLoop(l)
	peer = testutil.Dial(t, ln.Addr().String())
	testutil.Receive(t, handler.opened)
	l.Post(func() {
		send("last") // arrives after the reads of the iteration in which the loop is to end
		l.StopWhenIdle()
	})
	if got, err := io.ReadAll(peer); string(got) != "last" || err != nil {
		t.Errorf("peer got %q, %v", got, err)
	}
	testutil.ExpectNoError(t, testutil.Receive(t, ended))
}
