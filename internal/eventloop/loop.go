// Package eventloop is an event loop on epoll: connections, listeners, timers and a mailbox, all served by one
// goroutine. It carries bytes and moments and decides nothing.
//
// A turn waits for something to happen, reads the clock once, and then takes, in this order, the mailbox, what
// the sockets have, the timers, the turn function, and what is to be written. In one turn a connection is read
// once and written once, so none can starve another.
package eventloop

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

var (
	ErrNoConnect = errors.New("no connection")                    // nothing was ever sent
	ErrShort     = errors.New("too little here for a connection") // likewise, for want of descriptors or memory on this side
	ErrReset     = errors.New("connection reset")
	ErrClosed    = errors.New("closed from this side")
	ErrBehind    = errors.New("peer takes too little: output is full")
)

const (
	readAtOnce    = 64 << 10
	acceptAtOnce  = 8                 // a host that lets others go for them frees their descriptors only at the end of the turn
	acceptAgain   = 100 * Millisecond // after a listener failed
	lingerAtClose = 2 * Second
	heardOut      = 128 // reads, more than a kernel holds of what a peer that has hung up said before
)

// Handler is told what happens on a connection. Closed comes exactly once, and nothing after it.
type Handler interface {
	Opened(c *Conn)
	Read(c *Conn, p []byte) // p holds until the return
	Closed(c *Conn, why error)
}

// Loop is one event loop. All but Post and Stop may be called on its own goroutine only.
type Loop struct {
	epoll, bell int
	spare       int // a descriptor held back, to turn callers away when there are none left; -1: there is none
	accept4     func(fd, flags int) (int, unix.Sockaddr, error)
	started     time.Time
	base        Tick
	now         Tick
	wheel       *Wheel
	turn        func()
	flushed     func()
	busy        time.Duration
	turns       int
	again       bool
	ending      bool
	byFD        map[int]served
	dirty       []*Conn
	buffer      []byte
	events      []unix.EpollEvent
	conns, most int

	mu      sync.Mutex
	mail    []func()
	rung    bool
	stopped bool
}

// served is what stands behind a descriptor. finish closes it at the end of a turn, so that no descriptor is
// used anew while old events of it may wait.
type served interface {
	ready(events uint32)
	finish()
}

// New makes a loop; turn runs once in every turn.
func New(turn func()) (*Loop, error) {
	epoll, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	bell, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		unix.Close(epoll)
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	now := time.Now()
	l := &Loop{epoll: epoll, bell: bell, started: now, base: Tick(now.UnixMicro() / 100), turn: turn,
		byFD: map[int]served{}, accept4: unix.Accept4, buffer: make([]byte, readAtOnce), events: make([]unix.EpollEvent, 512)}
	l.now = l.base
	l.wheel = NewWheel(l.now)
	l.holdSpare()
	if err := unix.EpollCtl(epoll, unix.EPOLL_CTL_ADD, bell,
		&unix.EpollEvent{Events: unix.EPOLLIN, Fd: int32(bell)}); err != nil {
		l.closeOwn()
		return nil, fmt.Errorf("epoll: %w", err)
	}
	return l, nil
}

// Now is the clock as read at the start of this turn.
func (l *Loop) Now() Tick { return l.now }

// Clock reads the clock anew, for measurement.
func (l *Loop) Clock() time.Duration { return time.Since(l.started) }

// Conns is the number of connections open or being opened; Timers the number of timers set.
func (l *Loop) Conns() int  { return l.conns }
func (l *Loop) Timers() int { return l.wheel.Len() }

// MostConns is the most connections that there were at once.
func (l *Loop) MostConns() int { return l.most }

func (l *Loop) grow() {
	l.conns++
	l.most = max(l.most, l.conns)
}

// After runs do once, the span from now.
func (l *Loop) After(span Tick, do func()) *Timer { return l.wheel.Set(l.now+span, do) }

func (l *Loop) Cancel(t *Timer) { l.wheel.Cancel(t) }

// OnFlushed runs f at the end of each turn, when what the turn had to write was written as far as it goes.
func (l *Loop) OnFlushed(f func()) { l.flushed = f }

// Turns is the number of turns so far, and the time spent in them, waiting aside.
func (l *Loop) Turns() (int, time.Duration) { return l.turns, l.busy }

// Again makes the next turn come at once.
func (l *Loop) Again() { l.again = true }

// Post hands f to the loop's goroutine; it reports false once the loop has stopped. Any goroutine may call it.
func (l *Loop) Post(f func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return false
	}
	l.mail = append(l.mail, f)
	if !l.rung {
		l.rung = true
		one := [8]byte{1}
		unix.Write(l.bell, one[:])
	}
	return true
}

// Stop ends Run after its present turn; what was written until then is tried once more. Any goroutine may
// call it.
func (l *Loop) Stop() { l.Post(func() { l.turn = nil }) }

// End ends Run after the present turn, unless something has come meanwhile: then one more turn takes that in, and may call
// End again. So nothing that a peer had written is left without being acted on.
func (l *Loop) End() { l.ending = true }

// Run serves until Stop or End. It closes every connection and listener before it returns.
func (l *Loop) Run() error {
	defer l.shut()
	for l.turn != nil {
		n, err := unix.EpollWait(l.epoll, l.events, l.patience())
		if err != nil && err != unix.EINTR {
			return fmt.Errorf("epoll: %w", err)
		}
		if l.ending && n == 0 {
			return nil
		}
		l.ending = false
		began := time.Since(l.started)
		l.again = false
		l.now = max(l.now, l.base+Tick(time.Since(l.started).Microseconds()/100))
		l.takeMail()
		for i := range max(n, 0) {
			if s := l.byFD[int(l.events[i].Fd)]; s != nil {
				s.ready(l.events[i].Events)
			}
		}
		l.wheel.Advance(l.now)
		if l.turn != nil {
			l.turn()
		}
		l.flush()
		if l.flushed != nil {
			l.flushed()
		}
		l.turns++
		l.busy += time.Since(l.started) - began
	}
	return nil
}

// patience is how long the wait may last, in milliseconds rounded up: a timer may be late by one, never early.
func (l *Loop) patience() int {
	if l.again || l.ending {
		return 0
	}
	at, ok := l.wheel.Next()
	if !ok {
		return -1
	}
	left := at - (l.base + Tick(time.Since(l.started).Microseconds()/100))
	return int(min(max(0, (left+Millisecond-1)/Millisecond), 60_000))
}

func (l *Loop) takeMail() {
	l.mu.Lock()
	mail := l.mail
	if l.rung {
		var b [8]byte
		unix.Read(l.bell, b[:])
	}
	l.mail, l.rung = nil, false
	l.mu.Unlock()
	for _, f := range mail {
		f()
	}
}

// flush writes what connections have gathered; closing ones may add to the list while it is worked off.
func (l *Loop) flush() {
	for i := 0; i < len(l.dirty); i++ {
		c := l.dirty[i]
		c.dirty = false
		if c.dead {
			c.finish()
		} else {
			c.push()
		}
	}
	l.dirty = l.dirty[:0]
}

func (l *Loop) shut() {
	l.mu.Lock()
	l.stopped, l.mail = true, nil
	l.mu.Unlock()
	for _, s := range l.byFD {
		switch s := s.(type) {
		case *Conn:
			s.push()
			s.hearOut()
			s.fail(ErrClosed)
		case *Listener:
			s.Close()
		}
	}
	l.flush()
	l.closeOwn()
}

func (l *Loop) closeOwn() {
	unix.Close(l.epoll)
	unix.Close(l.bell)
	if l.spare >= 0 {
		unix.Close(l.spare)
	}
}

func (l *Loop) holdSpare() {
	fd, err := unix.Open("/dev/null", unix.O_RDONLY|unix.O_CLOEXEC, 0)
	if err != nil {
		fd = -1
	}
	l.spare = fd
}

func (l *Loop) add(fd int, events uint32, s served) error {
	if err := unix.EpollCtl(l.epoll, unix.EPOLL_CTL_ADD, fd,
		&unix.EpollEvent{Events: events, Fd: int32(fd)}); err != nil {
		return fmt.Errorf("epoll: %w", err)
	}
	l.byFD[fd] = s
	return nil
}

// Listener accepts connections.
type Listener struct {
	l      *Loop
	fd     int
	addr   netip.AddrPort
	accept func() (Handler, int)
	turned func(why error)
	away   bool // callers are turned away
	closed bool
}

// Listen opens a listener. For each caller, accept gives its handler and the most bytes that may wait to be
// written to it, or nil to turn it away; turned is told when callers can be taken no longer, and by nil when they are again.
func (l *Loop) Listen(addr string, accept func() (Handler, int), turned func(error)) (*Listener, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	fd, err := unix.Socket(family(ap), unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err = unix.Bind(fd, sockaddr(ap)); err == nil {
		err = unix.Listen(fd, 1024)
	}
	s := &Listener{l: l, fd: fd, addr: ap, accept: accept, turned: turned}
	if err == nil {
		var own unix.Sockaddr
		if own, err = unix.Getsockname(fd); err == nil {
			s.addr = addrPort(own)
			err = l.add(fd, unix.EPOLLIN, s)
		}
	}
	if err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	return s, nil
}

// FD is the listener's descriptor, for options of its socket.
func (s *Listener) FD() int { return s.fd }

// Addr is where it listens.
func (s *Listener) Addr() netip.AddrPort { return s.addr }

func (s *Listener) Close() {
	if !s.closed {
		s.closed = true
		s.finish()
	}
}

func (s *Listener) finish() {
	delete(s.l.byFD, s.fd)
	unix.Close(s.fd)
}

func (s *Listener) ready(uint32) {
	for range acceptAtOnce {
		fd, _, err := s.l.accept4(s.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch {
		case err == unix.EAGAIN:
			return
		case err == unix.EINTR || err == unix.ECONNABORTED:
			continue
		case err != nil:
			s.refuse(err)
			return
		}
		h, room := s.accept()
		if h == nil {
			unix.Close(fd)
			continue
		}
		c := &Conn{l: s.l, fd: fd, h: h, room: room, open: true}
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
		if err := s.l.add(fd, unix.EPOLLIN|unix.EPOLLRDHUP, c); err != nil {
			unix.Close(fd)
			s.tell(err)
			continue
		}
		s.tell(nil)
		s.l.grow()
		h.Opened(c)
	}
}

// refuse turns one caller away by the spare descriptor, where that is what lacks and there is one: else it would wait in
// the kernel, and the loop would spin on it. Where nothing can be done the listener is left alone for a while.
func (s *Listener) refuse(err error) {
	s.tell(err)
	if err == unix.EMFILE || err == unix.ENFILE {
		if s.l.spare < 0 {
			// Where one can be had by now, there was one for the caller too: the next turn takes it, and does not turn it away.
			if s.l.holdSpare(); s.l.spare >= 0 {
				return
			}
		} else {
			unix.Close(s.l.spare)
			if fd, _, e := unix.Accept4(s.fd, unix.SOCK_CLOEXEC); e == nil {
				unix.Close(fd)
			}
			s.l.holdSpare()
			return
		}
	}
	s.listen(0)
	s.l.After(acceptAgain, func() {
		if !s.closed {
			s.listen(unix.EPOLLIN)
		}
	})
}

func (s *Listener) listen(events uint32) {
	unix.EpollCtl(s.l.epoll, unix.EPOLL_CTL_MOD, s.fd, &unix.EpollEvent{Events: events, Fd: int32(s.fd)})
}

// Telling logs when callers, named by their sort, are turned away and when they are taken again.
func (l *Loop) Telling(log *slog.Logger, callers string) func(error) {
	return func(why error) {
		if why != nil {
			log.Warn(callers+" turned away", "why", why, "connections", l.conns)
		} else {
			log.Info(callers+" taken again", "connections", l.conns)
		}
	}
}

// tell says when callers are turned away, and when they are taken again.
func (s *Listener) tell(why error) {
	if s.away != (why != nil) {
		s.away = why != nil
		s.turned(why)
	}
}

// Conn is one connection.
type Conn struct {
	l       *Loop
	fd      int // -1: there never was one
	h       Handler
	out     []byte // yet to be written, room bytes at most
	room    int
	dialing *Timer
	open    bool
	waits   bool // for the peer to take more
	dirty   bool
	dead    bool
	told    bool
	ending  error // the close that follows the last byte
	resting bool  // what comes is left unread
	halved  bool  // the write side is to end after the last byte
	linger  *Timer
	read    int // bytes, so far
	written int
}

// Dial begins a connection. The handler hears Opened or Closed, never before Dial has returned.
func (l *Loop) Dial(addr string, h Handler, room int, within Tick) *Conn {
	return l.DialWith(addr, h, room, within, nil)
}

// DialWith sets a socket up by prepare before it connects.
func (l *Loop) DialWith(addr string, h Handler, room int, within Tick, prepare func(fd int) error) *Conn {
	c := &Conn{l: l, fd: -1, h: h, room: room}
	l.grow()
	if err := c.dial(addr, within, prepare); err != nil {
		l.conns--
		c.dead = true
		kind := ErrNoConnect
		if short(err) {
			kind = ErrShort
		}
		l.wheel.Set(l.now, func() { c.tell(fmt.Errorf("%w to %s: %w", kind, addr, err)) })
	}
	return c
}

// short tells whether an error is a want on this side: it says nothing of the peer.
func short(err error) bool {
	for _, e := range []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ENOSPC, unix.EAGAIN, unix.EADDRNOTAVAIL} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

func (c *Conn) dial(addr string, within Tick, prepare func(fd int) error) error {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return err
	}
	fd, err := unix.Socket(family(ap), unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	if prepare != nil {
		if err := prepare(fd); err != nil {
			unix.Close(fd)
			return err
		}
	}
	if err = unix.Connect(fd, sockaddr(ap)); err == nil || err == unix.EINPROGRESS {
		err = c.l.add(fd, unix.EPOLLOUT, c)
	}
	if err != nil {
		unix.Close(fd)
		return err
	}
	c.fd = fd
	c.dialing = c.l.After(within, func() { c.fail(fmt.Errorf("%w to %s within %d ms", ErrNoConnect, addr, within/Millisecond)) })
	return nil
}

// Write takes all of p or nothing: ErrBehind where too much waits already.
func (c *Conn) Write(p []byte) error {
	if c.dead || c.ending != nil || c.halved {
		return ErrClosed
	}
	if len(c.out)+len(p) > c.room {
		return ErrBehind
	}
	c.out = append(c.out, p...)
	c.mark()
	return nil
}

// Peer is the address of the other end; the zero one where that is not known.
func (c *Conn) Peer() netip.AddrPort {
	sa, err := unix.Getpeername(c.fd)
	if err != nil {
		return netip.AddrPort{}
	}
	return addrPort(sa)
}

// Waiting is the number of bytes yet to be written.
func (c *Conn) Waiting() int { return len(c.out) }

// Moved is the number of bytes read and written so far.
func (c *Conn) Moved() (read, written int) { return c.read, c.written }

// Behind tells whether the peer takes less than was written.
func (c *Conn) Behind() bool { return c.waits }

// Open tells whether the connection stands.
func (c *Conn) Open() bool { return c.open && !c.dead }

func (c *Conn) mark() {
	if !c.dirty {
		c.dirty = true
		c.l.dirty = append(c.l.dirty, c)
	}
}

// CloseWrite ends this side's output after what waits; the peer may go on.
func (c *Conn) CloseWrite() {
	c.halved = true
	c.mark()
}

// Rest leaves what comes unread, or reads it again. A peer that hangs up is heard to its end all the same.
func (c *Conn) Rest(on bool) {
	if c.dead || c.resting == on {
		return
	}
	if c.resting = on; c.fd >= 0 && c.dialing == nil {
		c.watch()
	}
}

// Close ends the connection once what waits is written, two seconds later at most.
func (c *Conn) Close() { c.end(ErrClosed) }

// Reset ends the connection at once; the peer sees a reset.
func (c *Conn) Reset() {
	if c.fd >= 0 && !c.dead {
		unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
	c.fail(ErrClosed)
}

func (c *Conn) end(why error) {
	if c.dead || c.ending != nil {
		return
	}
	if len(c.out) == 0 || !c.open {
		c.fail(why)
		return
	}
	c.ending = why
	c.linger = c.l.After(lingerAtClose, func() { c.fail(why) })
	c.watch()
	c.mark()
}

func (c *Conn) fail(why error) {
	if c.dead {
		return
	}
	c.dead = true
	c.mark()
	c.tell(why)
}

func (c *Conn) tell(why error) {
	if !c.told {
		c.told = true
		c.h.Closed(c, why)
	}
}

func (c *Conn) finish() {
	if c.fd < 0 {
		return
	}
	c.l.Cancel(c.dialing)
	c.l.Cancel(c.linger)
	delete(c.l.byFD, c.fd)
	unix.Close(c.fd)
	c.fd, c.out = -1, nil
	c.l.conns--
}

func (c *Conn) watch() {
	events := uint32(unix.EPOLLIN | unix.EPOLLRDHUP)
	if c.ending != nil {
		events = 0
	} else if c.resting {
		events = unix.EPOLLRDHUP
	}
	if c.waits {
		events |= unix.EPOLLOUT
	}
	unix.EpollCtl(c.l.epoll, unix.EPOLL_CTL_MOD, c.fd, &unix.EpollEvent{Events: events, Fd: int32(c.fd)})
}

func (c *Conn) ready(events uint32) {
	if c.dead {
		return
	}
	if !c.open && c.dialing != nil {
		c.l.Cancel(c.dialing)
		c.dialing = nil
		if code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR); err != nil || code != 0 {
			c.fail(fmt.Errorf("%w: %w", ErrNoConnect, unix.Errno(code)))
			return
		}
		c.open = true
		c.watch()
		c.h.Opened(c)
		if len(c.out) > 0 {
			c.mark()
		}
		return
	}
	if events&unix.EPOLLOUT != 0 {
		c.waits = false
		c.watch()
		c.mark()
	}
	hungUp := events&(unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0
	if !hungUp && (c.resting || events&unix.EPOLLIN == 0) {
		return
	}
	if c.ending != nil {
		if events&(unix.EPOLLHUP|unix.EPOLLERR) != 0 {
			c.fail(c.ending)
		}
		return
	}
	for more, reads := c.take(), 1; more && hungUp && reads < heardOut; reads++ {
		more = c.take()
	}
}

// hearOut ends this side of a connection and drops what is left unread: a close with unread bytes is a reset, which may take
// from the peer what it has not read yet.
func (c *Conn) hearOut() {
	if c.dead || !c.open {
		return
	}
	unix.Shutdown(c.fd, unix.SHUT_WR)
	for range heardOut {
		if n, err := unix.Read(c.fd, c.l.buffer); n <= 0 || err != nil {
			return
		}
	}
}

// take reads once; it tells whether there may be more.
func (c *Conn) take() bool {
	n, err := unix.Read(c.fd, c.l.buffer)
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
		return false
	case err != nil:
		c.fail(fmt.Errorf("%w: %w", ErrReset, err))
	case n == 0:
		c.tell(io.EOF) // at once, as it has left; it may still read what waits
		c.end(io.EOF)
	default:
		c.read += n
		c.h.Read(c, c.l.buffer[:n])
	}
	return !c.dead && c.ending == nil
}

func (c *Conn) push() {
	if c.dead || c.waits || c.dialing != nil {
		return
	}
	if len(c.out) > 0 {
		n, err := unix.Write(c.fd, c.out)
		switch {
		case err == unix.EAGAIN || err == unix.EINTR:
			n = 0
		case err != nil:
			c.fail(fmt.Errorf("%w: %w", ErrReset, err))
			return
		}
		c.written += n
		if n < len(c.out) {
			c.out = append(c.out[:0], c.out[n:]...)
			c.waits = true
			c.watch()
			return
		}
		if c.out = c.out[:0]; cap(c.out) > readAtOnce {
			c.out = nil // a burst's buffer is not kept
		}
	}
	if c.ending != nil {
		c.fail(c.ending)
	} else if c.halved {
		unix.Shutdown(c.fd, unix.SHUT_WR)
	}
}

func family(a netip.AddrPort) int {
	if a.Addr().Is4() {
		return unix.AF_INET
	}
	return unix.AF_INET6
}

func sockaddr(a netip.AddrPort) unix.Sockaddr {
	if a.Addr().Is4() {
		return &unix.SockaddrInet4{Port: int(a.Port()), Addr: a.Addr().As4()}
	}
	return &unix.SockaddrInet6{Port: int(a.Port()), Addr: a.Addr().As16()}
}

func addrPort(s unix.Sockaddr) netip.AddrPort {
	switch s := s.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(s.Addr), uint16(s.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(s.Addr), uint16(s.Port))
	}
	return netip.AddrPort{}
}
