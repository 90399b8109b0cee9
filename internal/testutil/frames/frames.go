// Package frames sends and receives frames for peers that tests script. Only tests import it.
package frames

import (
	"io"
	"net"

	"glenport/internal/protocol"
	"glenport/internal/testutil"
)

// Encode returns a frame as it is sent, with its length.
func Encode(tb testutil.TB, f protocol.Frame) []byte {
	tb.Helper()
	encoded, err := protocol.Append(nil, f)
	testutil.NoError(tb, err)
	return encoded
}

// Send sends frames to a peer that may have closed the connection.
func Send(to io.Writer, frames ...protocol.Frame) {
	for _, f := range frames {
		encoded, err := protocol.Append(nil, f)
		if err != nil {
			panic(err) // a test sends what can be encoded
		}
		_, _ = to.Write(encoded)
	}
}

// Receive waits for a frame, or for the end of the connection.
func Receive(from io.Reader) (protocol.Frame, error) {
	return protocol.ReadFrame(from, protocol.MaxFrame)
}

// Skip waits for a frame, or for the end of the connection, and drops it.
func Skip(from io.Reader) { _, _ = Receive(from) }

// Handler handles a frame, and reports whether the connection goes on.
type Handler func(net.Conn, protocol.Frame) bool

// Handle hands on each frame until the handler ends the connection, or the peer.
func Handle(c net.Conn, handle Handler) {
	for {
		f, err := Receive(c)
		if err != nil || !handle(c, f) {
			return
		}
	}
}

// Ignore is a handler that does nothing.
func Ignore(net.Conn, protocol.Frame) bool { return true }

// OnOffer handles offers alone.
func OnOffer(handle func(net.Conn, *protocol.Offer) bool) Handler {
	return func(c net.Conn, f protocol.Frame) bool {
		offer, ok := f.(*protocol.Offer)
		return !ok || handle(c, offer)
	}
}
