package testutil

import (
	"errors"
	"net"
	"testing"
)

// A connection that is accepted while the server stops has to be closed too. Otherwise serve waits for its peer, and
// stop waits for serve.
func TestConnectionAcceptedAtTheEndIsClosed(t *testing.T) {
	listener := Listen(t)
	s := &server{listener: listener}
	peer := Dial(t, listener.Addr().String())
	conn, err := listener.Accept()
	NoError(t, err)
	s.stop()
	Equal(t, s.add(conn), false, "the connection is served")
	Expect(t, errors.Is(conn.Close(), net.ErrClosed), "the accepted connection is open")
	_, err = peer.Read(make([]byte, 1))
	Expect(t, err != nil, "the peer's connection is open")
}
