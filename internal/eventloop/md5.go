package eventloop

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// SetTCPMD5Key has the kernel sign all segments to and from an address with a key (RFC 2385), and drop those that are
// not. Kernels without it, and those that allow it to the privileged only, say so by an error.
func SetTCPMD5Key(fd int, peer netip.Addr, key string) error {
	if key == "" || len(key) > 80 {
		return fmt.Errorf("a TCP MD5 key has 1 to 80 bytes, not %d", len(key))
	}
	s := unix.TCPMD5Sig{Keylen: uint16(len(key))}
	copy(s.Key[:], key)
	// The address is a sockaddr of the family, without a port.
	if peer.Is4() {
		s.Addr.Family = unix.AF_INET
		a := peer.As4()
		copy(s.Addr.Data[2:], a[:])
	} else {
		s.Addr.Family = unix.AF_INET6
		a := peer.As16()
		binary.NativeEndian.PutUint32(s.Addr.Data[2:], 0)
		copy(s.Addr.Data[6:], a[:])
	}
	if err := unix.SetsockoptTCPMD5Sig(fd, unix.IPPROTO_TCP, unix.TCP_MD5SIG, &s); err != nil {
		return fmt.Errorf("this kernel does not sign TCP for us: %w", err)
	}
	return nil
}
