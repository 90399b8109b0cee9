package eventloop

import (
	"fmt"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

// systemKernel is the kernel of Linux: epoll, an eventfd for the wakeup, and sockets.
type systemKernel struct {
	epollFD, wakeupFD int
}

func (*systemKernel) Now() time.Time { return time.Now() }

func (*systemKernel) Since(earlier time.Time) time.Duration { return time.Since(earlier) }

// CPUTime returns 0 if the system does not provide it.
func (*systemKernel) CPUTime() time.Duration {
	var used unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &used); err != nil {
		return 0
	}
	return time.Duration(used.Nano())
}

func (k *systemKernel) OpenPoller() error {
	epollFD, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return fmt.Errorf("epoll: %w", err)
	}
	wakeupFD, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		k.Close(epollFD)
		return fmt.Errorf("eventfd: %w", err)
	}
	k.epollFD, k.wakeupFD = epollFD, wakeupFD
	if err := k.Watch(wakeupFD, unix.EPOLLIN); err != nil {
		k.ClosePoller()
		return err
	}
	return nil
}

func (k *systemKernel) ClosePoller() {
	k.Close(k.epollFD)
	k.Close(k.wakeupFD)
}

func (k *systemKernel) Watch(fd int, events uint32) error {
	if err := unix.EpollCtl(k.epollFD, unix.EPOLL_CTL_ADD, fd, epollEvent(fd, events)); err != nil {
		return fmt.Errorf("epoll: %w", err)
	}
	return nil
}

func (k *systemKernel) ChangeWatch(fd int, events uint32) error {
	return unix.EpollCtl(k.epollFD, unix.EPOLL_CTL_MOD, fd, epollEvent(fd, events))
}

func epollEvent(fd int, events uint32) *unix.EpollEvent {
	return &unix.EpollEvent{Events: events, Fd: int32(fd)}
}

func (k *systemKernel) Wait(events []unix.EpollEvent, timeout int) (int, error) {
	return unix.EpollWait(k.epollFD, events, timeout)
}

func (k *systemKernel) Wake() {
	one := [8]byte{1}
	// The counter is zero here, and a write to an eventfd fails only if the counter would overflow.
	_, _ = unix.Write(k.wakeupFD, one[:])
}

func (k *systemKernel) ClearWake() {
	var counter [8]byte
	// The counter is not zero here, so the read succeeds. If it failed, epoll would report the descriptor again.
	_, _ = unix.Read(k.wakeupFD, counter[:])
}

func (*systemKernel) Socket(address netip.AddrPort) (int, error) {
	return unix.Socket(family(address), unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
}

func (*systemKernel) Connect(fd int, address netip.AddrPort) error {
	return unix.Connect(fd, sockaddr(address))
}

func (*systemKernel) SocketError(fd int) error {
	code, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err != nil {
		return err
	}
	if code != 0 {
		return unix.Errno(code)
	}
	return nil
}

func (*systemKernel) Listen(fd int, address netip.AddrPort, backlog int) (netip.AddrPort, error) {
	// If the option is refused, bind reports an address that is still in use.
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err := unix.Bind(fd, sockaddr(address)); err != nil {
		return netip.AddrPort{}, err
	}
	if err := unix.Listen(fd, backlog); err != nil {
		return netip.AddrPort{}, err
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		return netip.AddrPort{}, err
	}
	return addrPort(bound), nil
}

func (*systemKernel) Accept(fd, flags int) (int, unix.Sockaddr, error) {
	return unix.Accept4(fd, flags)
}

func (*systemKernel) OpenSpareFD() (int, error) {
	return unix.Open("/dev/null", unix.O_RDONLY|unix.O_CLOEXEC, 0)
}

// Close closes a descriptor and ignores errors: Linux releases the descriptor even if close reports an error, and close
// must not be retried.
func (*systemKernel) Close(fd int) { _ = unix.Close(fd) }

func (*systemKernel) Read(fd int, p []byte) (int, error) { return unix.Read(fd, p) }

func (*systemKernel) Write(fd int, p []byte) (int, error) { return unix.Write(fd, p) }

// ShutdownWrite fails only if the peer has reset the connection, which the next event reports.
func (*systemKernel) ShutdownWrite(fd int) { _ = unix.Shutdown(fd, unix.SHUT_WR) }

// SetNoDelay has no effect if the option is refused: the connection works, with more delay.
func (*systemKernel) SetNoDelay(fd int) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
}

// ResetOnClose has no effect if the option is refused: the peer receives an orderly close in place of a reset.
func (*systemKernel) ResetOnClose(fd int) {
	_ = unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
}

func (*systemKernel) PeerAddr(fd int) netip.AddrPort {
	address, err := unix.Getpeername(fd)
	if err != nil {
		return netip.AddrPort{}
	}
	return addrPort(address)
}
