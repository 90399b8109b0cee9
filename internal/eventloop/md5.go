package eventloop

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

const maxMD5KeyLength = 80 // bytes, TCP_MD5SIG_MAXKEYLEN of Linux

// SetTCPMD5Key makes the kernel sign all segments that a socket exchanges with an address (RFC 2385), and drop received
// segments without a valid signature. The key has 1 to 80 bytes. It returns ErrMD5KeyLength for other keys, and
// ErrMD5Unavailable if the kernel is built without signatures or the process lacks the privilege. It uses no loop and
// may be called on any goroutine.
func SetTCPMD5Key(fd int, peer netip.Addr, key string) error {
	if key == "" || len(key) > maxMD5KeyLength {
		return fmt.Errorf("%w: %d bytes, not 1 to %d", ErrMD5KeyLength, len(key), maxMD5KeyLength)
	}
	signature := unix.TCPMD5Sig{Addr: md5PeerAddress(peer), Keylen: uint16(len(key))}
	copy(signature.Key[:], key)
	if err := unix.SetsockoptTCPMD5Sig(fd, unix.IPPROTO_TCP, unix.TCP_MD5SIG, &signature); err != nil {
		return fmt.Errorf("%w: %w", ErrMD5Unavailable, err)
	}
	return nil
}

// md5PeerAddress is the socket address of a peer with any port, in the kernel's layout. After the family it holds two
// bytes of port and the address for IPv4; two bytes of port, four of flow information and the address for IPv6.
func md5PeerAddress(peer netip.Addr) unix.SockaddrStorage {
	if peer.Is4() {
		storage := unix.SockaddrStorage{Family: unix.AF_INET}
		address := peer.As4()
		copy(storage.Data[2:], address[:])
		return storage
	}
	storage := unix.SockaddrStorage{Family: unix.AF_INET6}
	address := peer.As16()
	copy(storage.Data[6:], address[:])
	return storage
}
