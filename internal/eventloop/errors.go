package eventloop

import (
	"errors"

	"golang.org/x/sys/unix"
)

// Reasons given to Handler.Closed, and errors returned by calls. They may be wrapped together with their cause; test
// for them with errors.Is. A peer that closes its side in an orderly way is reported as io.EOF.
var (
	// ErrConnectFailed means that the connection was never established: refused, timed out, or the address is invalid.
	// Nothing was sent.
	ErrConnectFailed = errors.New("connect failed")

	// ErrLocalResources means that this process lacks descriptors, memory or ports for the connection. Nothing was
	// sent, and the error says nothing about the health of the peer.
	ErrLocalResources = errors.New("local resources exhausted")

	// ErrReset means that reading or writing failed. Whether the peer received what was written is unknown.
	ErrReset = errors.New("connection reset")

	// ErrClosed means that this side closed the connection.
	ErrClosed = errors.New("closed locally")

	// ErrOutputFull means that the bytes were not queued because they would exceed the connection's output limit.
	ErrOutputFull = errors.New("output buffer full")

	// ErrMD5KeyLength means that a TCP MD5 key is empty or longer than the kernel allows.
	ErrMD5KeyLength = errors.New("invalid length of TCP MD5 key")

	// ErrMD5Unavailable means that the kernel refused a TCP MD5 key: it is built without TCP MD5, or this process lacks
	// the privilege.
	ErrMD5Unavailable = errors.New("TCP MD5 signatures unavailable")
)

// isLocalResourceError reports whether an error is due to a shortage of resources on this side, not to the peer.
func isLocalResourceError(err error) bool {
	for _, shortage := range []unix.Errno{
		unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ENOSPC, unix.EAGAIN, unix.EADDRNOTAVAIL,
	} {
		if errors.Is(err, shortage) {
			return true
		}
	}
	return false
}

// isDescriptorShortage reports whether the process or the system has no descriptor left.
func isDescriptorShortage(err error) bool {
	return errors.Is(err, unix.EMFILE) || errors.Is(err, unix.ENFILE)
}

// isTransient reports whether a read or write could not proceed and must be repeated on a later event.
func isTransient(err error) bool {
	return errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR)
}
