// Package frames sends and receives frames of the protocol for peers that tests simulate. Only tests import it.
package frames

import (
	"io"
	"net"

	"glenport/internal/protocol"
	"glenport/internal/testutil"
)

// Encode returns the encoding of a frame, including its length prefix.
func Encode(tb testutil.TB, f protocol.Frame) []byte {
	tb.Helper()
	encoded, err := protocol.Append(nil, f)
	testutil.NoError(tb, err)
	return encoded
}

// Send sends frames to a peer. It ignores write errors, as the peer may have closed the connection.
func Send(to io.Writer, frames ...protocol.Frame) {
	for _, f := range frames {
		encoded, err := protocol.Append(nil, f)
		if err != nil {
			panic(err) // tests send only valid frames
		}
		_, _ = to.Write(encoded)
	}
}

// Receive waits for a frame. It returns an error at the end of the connection.
func Receive(from io.Reader) (protocol.Frame, error) {
	return protocol.ReadFrame(from, protocol.MaxFrame)
}

// Skip waits for a frame and drops it, or waits for the end of the connection.
func Skip(from io.Reader) { _, _ = Receive(from) }

// Handler handles a frame, and reports whether the connection stays open.
type Handler func(net.Conn, protocol.Frame) bool

// Handle passes each received frame to a handler until the handler returns false or the connection ends.
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

// OnOffer returns a handler that passes offers to handle and ignores all other frames.
func OnOffer(handle func(net.Conn, *protocol.Offer) bool) Handler {
	return func(c net.Conn, f protocol.Frame) bool {
		offer, ok := f.(*protocol.Offer)
		return !ok || handle(c, offer)
	}
}
