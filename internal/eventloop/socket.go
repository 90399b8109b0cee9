package eventloop

import (
	"net/netip"

	"golang.org/x/sys/unix"
)

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

// addrPort is the address and port of a socket address, or the zero value if its family is not IPv4 or IPv6.
func addrPort(address unix.Sockaddr) netip.AddrPort {
	switch address := address.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(address.Addr), uint16(address.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(address.Addr), uint16(address.Port))
	}
	return netip.AddrPort{}
}
