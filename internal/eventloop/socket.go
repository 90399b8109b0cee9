package eventloop

import (
	"net/netip"

	"golang.org/x/sys/unix"
)

// setNoDelay has the kernel send small writes at once. Where the option is refused the connection works all the same,
// with more delay.
func setNoDelay(fd int) { _ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) }

// socketError takes the pending error of a socket; nil means that there is none.
func socketError(fd int) error {
	code, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err != nil {
		return err
	}
	if code != 0 {
		return unix.Errno(code)
	}
	return nil
}

func family(address netip.AddrPort) int {
	if address.Addr().Is4() {
		return unix.AF_INET
	}
	return unix.AF_INET6
}

func sockaddr(address netip.AddrPort) unix.Sockaddr {
	if address.Addr().Is4() {
		return &unix.SockaddrInet4{Port: int(address.Port()), Addr: address.Addr().As4()}
	}
	return &unix.SockaddrInet6{Port: int(address.Port()), Addr: address.Addr().As16()}
}

// addrPort is the address and port of a socket address; the zero value for other families than IPv4 and IPv6.
func addrPort(address unix.Sockaddr) netip.AddrPort {
	switch address := address.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(address.Addr), uint16(address.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(address.Addr), uint16(address.Port))
	}
	return netip.AddrPort{}
}
