package eventloop

import (
	"io"
	"testing"

	"glenport/internal/testutil"
)

// BenchmarkEcho measures a round trip of 100 bytes through a loop.
func BenchmarkEcho(b *testing.B) {
	l := newLoop(b, func() {})
	echo := &probe{opened: make(chan *Conn, 1), closed: make(chan error, 1)}
	echo.onRead = func(c *Conn, received []byte) { testutil.ExpectNoError(b, c.Write(received)) }
	ln, err := l.Listen("127.0.0.1:0", func() (Handler, int) { return echo, 1000 }, func(error) {})
	testutil.NoError(b, err)
	ended := startLoop(l)
	peer := testutil.Dial(b, ln.Addr().String())
	message := make([]byte, 100)
	for b.Loop() {
		_, err := peer.Write(message)
		testutil.NoError(b, err)
		_, err = io.ReadFull(peer, message)
		testutil.NoError(b, err)
	}
	testutil.ExpectNoError(b, peer.Close())
	l.Stop()
	testutil.ExpectNoError(b, <-ended)
}
