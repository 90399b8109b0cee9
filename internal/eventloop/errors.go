package eventloop

import (
	"errors"

	"golang.org/x/sys/unix"
)

// Reasons for which a connection ends, as given to Handler.Closed, and for which a call is refused. They come wrapped
// with the cause; test for them with errors.Is. A peer that closes its side in order is reported as io.EOF.
var (
	// ErrConnectFailed means that the connection was never established: refused, timed out, or the address is invalid.
	// Nothing was sent.
	ErrConnectFailed = errors.New("connect failed")

	// ErrLocalResources means that this process lacks descriptors, memory or ports for the connection. Nothing was
	// sent, and nothing follows about the peer.
	ErrLocalResources = errors.New("local resources exhausted")

	// ErrReset means that reading or writing failed. Whether the peer received what was written is unknown.
	ErrReset = errors.New("connection reset")

	// ErrClosed means that this side closed the connection.
	ErrClosed = errors.New("closed locally")

	// ErrOutputFull means that the bytes were not taken, as the connection's output limit would be exceeded.
	ErrOutputFull = errors.New("output buffer full")

	// ErrMD5KeyLength means that a TCP MD5 key is empty or longer than the kernel allows.
	ErrMD5KeyLength = errors.New("invalid length of TCP MD5 key")

	// ErrMD5Unavailable means that the kernel refused a TCP MD5 key: not built in, or not allowed to this process.
	ErrMD5Unavailable = errors.New("TCP MD5 signatures unavailable")
)

// isLocalResourceError reports whether an error is due to a shortage on this side, so that it says nothing about the
// peer.
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

// isTransient reports whether a read or write had nothing to do yet and is to be repeated on a later event.
func isTransient(err error) bool {
	return errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR)
}
