package schedulerd

import (
	"errors"
	"fmt"
	"log/slog"

	"glenport/internal/eventloop"
	"glenport/internal/protocol"
)

// Errors for which a connection is closed.
var (
	errDuplicateInventory = errors.New("machine reported its inventory twice")
	errNoHello            = errors.New("no hello received")
	errPartialFrame       = errors.New("incomplete frame")
	errPeerGoodbye        = errors.New("peer said goodbye")
	errSilent             = errors.New("no complete frame received")
	errUnexpectedFrame    = errors.New("unexpected frame")
	errUnexpectedPeer     = errors.New("unexpected peer")
)

// peerError is a protocol error of a machine or a client. Its text is sent to the peer in a Goodbye: it is part of the
// wire format and must not change. The log shows cause and detail instead.
type peerError struct {
	cause  error
	detail string
	text   string
}

func (e *peerError) Error() string { return e.text }

func (e *peerError) Unwrap() error { return e.cause }

// LogValue implements slog.LogValuer.
func (e *peerError) LogValue() slog.Value {
	if e.detail == "" {
		return slog.StringValue(e.cause.Error())
	}
	return slog.StringValue(e.cause.Error() + ": " + e.detail)
}

func duplicateInventoryError() error {
	return &peerError{cause: errDuplicateInventory, text: "says twice what it holds"}
}

func machineGoodbyeError(f *protocol.Goodbye) error {
	return &peerError{cause: errPeerGoodbye, detail: f.Message, text: "machine says: " + f.Message}
}

func wrongMachineError(f *protocol.Hello, want string) error {
	return &peerError{
		cause: errUnexpectedPeer, detail: fmt.Sprintf("%s %q instead of machine %s", f.Role, f.Name, want),
		text: fmt.Sprintf("%s %q answers where machine %s was called", f.Role, f.Name, want),
	}
}

func wrongClientError(role protocol.Role) error {
	return &peerError{
		cause:  errUnexpectedPeer,
		detail: role.String(),
		text:   fmt.Sprintf("a %s has no business at this door", role),
	}
}

func unexpectedMachineFrameError(f protocol.Frame) error { return unexpectedFrameError(f, "a placer") }

func unexpectedClientFrameError(f protocol.Frame) error { return unexpectedFrameError(f, "the door") }

func unexpectedFrameError(f protocol.Frame, receiver string) error {
	name := protocol.Name(f)
	return &peerError{cause: errUnexpectedFrame, detail: name, text: name + " is not for " + receiver}
}

// withDuration adds the duration of the reported condition to an error.
func withDuration(err error, duration eventloop.Tick) error {
	return fmt.Errorf("%w for %d ms", err, duration/eventloop.Millisecond)
}
