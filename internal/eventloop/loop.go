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
	ErrConnectFailed  = errors.New("no connection")                    // nothing was ever sent
	ErrLocalResources = errors.New("too little here for a connection") // likewise, for want of descriptors or memory on this side
	ErrReset          = errors.New("connection reset")
	ErrClosed         = errors.New("closed from this side")
	ErrOutputFull     = errors.New("peer takes too little: output is full")
)

const (
	readBufferSize         = 64 << 10
	maxAcceptsPerIteration = 8                 // a host that lets others go for them frees their descriptors only at the end of the turn
	acceptRetryDelay       = 100 * Millisecond // after a listener failed
	closeFlushTimeout      = 2 * Second
	maxDrainReads          = 128 // reads, more than a kernel holds of what a peer that has hung up said before
)

// Handler is told what happens on a connection. Closed comes exactly once, and nothing after it.
type Handler interface {
	Opened(c *Conn)
	Read(c *Conn, p []byte) // p holds until the return
	Closed(c *Conn, why error)
}

// Loop is one event loop. All but Post and Stop may be called on its own goroutine only.
type Loop struct {
	epollFD, wakeupFD        int
	spareFD                  int // a descriptor held back, to turn callers away when there are none left; -1: there is none
	accept4                  func(fd, flags int) (int, unix.Sockaddr, error)
	started                  time.Time
	base                     Tick
	now                      Tick
	wheel                    *TimerWheel
	onIteration              func()
	onFlushed                func()
	busy                     time.Duration
	iterations               int
	skipWait                 bool
	stopWhenIdle             bool
	sources                  map[int]eventSource
	flushQueue               []*Conn
	buffer                   []byte
	events                   []unix.EpollEvent
	connCount, peakConnCount int

	mu            sync.Mutex
	posted        []func()
	wakeupPending bool
	stopped       bool
}

// eventSource is what stands behind a descriptor. finish closes it at the end of a turn, so that no descriptor is
// used anew while old events of it may wait.
type eventSource interface {
	handleEvents(events uint32)
	release()
}

// New makes a loop; turn runs once in every turn.
func New(onIteration func()) (*Loop, error) {
	epollFD, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	wakeupFD, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		unix.Close(epollFD)
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	now := time.Now()
	l := &Loop{epollFD: epollFD, wakeupFD: wakeupFD, started: now, base: Tick(now.UnixMicro() / 100), onIteration: onIteration,
		sources: map[int]eventSource{}, accept4: unix.Accept4, buffer: make([]byte, readBufferSize), events: make([]unix.EpollEvent, 512)}
	l.now = l.base
	l.wheel = NewTimerWheel(l.now)
	l.openSpare()
	if err := unix.EpollCtl(epollFD, unix.EPOLL_CTL_ADD, wakeupFD,
		&unix.EpollEvent{Events: unix.EPOLLIN, Fd: int32(wakeupFD)}); err != nil {
		l.closeDescriptors()
		return nil, fmt.Errorf("epoll: %w", err)
	}
	return l, nil
}

// Now is the clock as read at the start of this turn.
func (l *Loop) Now() Tick { return l.now }

// Elapsed reads the clock anew, for measurement.
func (l *Loop) Elapsed() time.Duration { return time.Since(l.started) }

// ConnCount is the number of connections open or being opened; Timers the number of timers set.
func (l *Loop) ConnCount() int  { return l.connCount }
func (l *Loop) TimerCount() int { return l.wheel.Len() }

// PeakConnCount is the most connections that there were at once.
func (l *Loop) PeakConnCount() int { return l.peakConnCount }

func (l *Loop) countConn() {
	l.connCount++
	l.peakConnCount = max(l.peakConnCount, l.connCount)
}

// After runs do once, the span from now.
func (l *Loop) After(delay Tick, callback func()) *Timer {
	return l.wheel.Schedule(l.now+delay, callback)
}

func (l *Loop) Cancel(timer *Timer) { l.wheel.Cancel(timer) }

// OnFlushed runs f at the end of each turn, when what the turn had to write was written as far as it goes.
func (l *Loop) OnFlushed(callback func()) { l.onFlushed = callback }

// Iterations is the number of turns so far, and the time spent in them, waiting aside.
func (l *Loop) Iterations() (int, time.Duration) { return l.iterations, l.busy }

// SkipWait makes the next turn come at once.
func (l *Loop) SkipWait() { l.skipWait = true }

// Post hands f to the loop's goroutine; it reports false once the loop has stopped. Any goroutine may call it.
func (l *Loop) Post(callback func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return false
	}
	l.posted = append(l.posted, callback)
	if !l.wakeupPending {
		l.wakeupPending = true
		one := [8]byte{1}
		unix.Write(l.wakeupFD, one[:])
	}
	return true
}

// Stop ends Run after its present turn; what was written until then is tried once more. Any goroutine may
// call it.
func (l *Loop) Stop() { l.Post(func() { l.onIteration = nil }) }

// StopWhenIdle ends Run after the present turn, unless something has come meanwhile: then one more turn takes that in, and may call
// End again. So nothing that a peer had written is left without being acted on.
func (l *Loop) StopWhenIdle() { l.stopWhenIdle = true }

// Run serves until Stop or End. It closes every connection and listener before it returns.
func (l *Loop) Run() error {
	defer l.shutdown()
	for l.onIteration != nil {
		n, err := unix.EpollWait(l.epollFD, l.events, l.waitTimeout())
		if err != nil && err != unix.EINTR {
			return fmt.Errorf("epoll: %w", err)
		}
		if l.stopWhenIdle && n == 0 {
			return nil
		}
		l.stopWhenIdle = false
		began := time.Since(l.started)
		l.skipWait = false
		l.now = max(l.now, l.base+Tick(time.Since(l.started).Microseconds()/100))
		l.runPosted()
		for i := range max(n, 0) {
			if s := l.sources[int(l.events[i].Fd)]; s != nil {
				s.handleEvents(l.events[i].Events)
			}
		}
		l.wheel.Advance(l.now)
		if l.onIteration != nil {
			l.onIteration()
		}
		l.flushConns()
		if l.onFlushed != nil {
			l.onFlushed()
		}
		l.iterations++
		l.busy += time.Since(l.started) - began
	}
	return nil
}

// waitTimeout is how long the wait may last, in milliseconds rounded up: a timer may be late by one, never early.
func (l *Loop) waitTimeout() int {
	if l.skipWait || l.stopWhenIdle {
		return 0
	}
	at, ok := l.wheel.NextExpiry()
	if !ok {
		return -1
	}
	left := at - (l.base + Tick(time.Since(l.started).Microseconds()/100))
	return int(min(max(0, (left+Millisecond-1)/Millisecond), 60_000))
}

func (l *Loop) runPosted() {
	l.mu.Lock()
	mail := l.posted
	if l.wakeupPending {
		var b [8]byte
		unix.Read(l.wakeupFD, b[:])
	}
	l.posted, l.wakeupPending = nil, false
	l.mu.Unlock()
	for _, f := range mail {
		f()
	}
}

// flushConns writes what connections have gathered; closing ones may add to the list while it is worked off.
func (l *Loop) flushConns() {
	for i := 0; i < len(l.flushQueue); i++ {
		c := l.flushQueue[i]
		c.flushQueued = false
		if c.closed {
			c.release()
		} else {
			c.flush()
		}
	}
	l.flushQueue = l.flushQueue[:0]
}

func (l *Loop) shutdown() {
	l.mu.Lock()
	l.stopped, l.posted = true, nil
	l.mu.Unlock()
	for _, s := range l.sources {
		switch s := s.(type) {
		case *Conn:
			s.flush()
			s.drainInput()
			s.fail(ErrClosed)
		case *Listener:
			s.Close()
		}
	}
	l.flushConns()
	l.closeDescriptors()
}

func (l *Loop) closeDescriptors() {
	unix.Close(l.epollFD)
	unix.Close(l.wakeupFD)
	if l.spareFD >= 0 {
		unix.Close(l.spareFD)
	}
}

func (l *Loop) openSpare() {
	fd, err := unix.Open("/dev/null", unix.O_RDONLY|unix.O_CLOEXEC, 0)
	if err != nil {
		fd = -1
	}
	l.spareFD = fd
}

func (l *Loop) register(fd int, events uint32, s eventSource) error {
	if err := unix.EpollCtl(l.epollFD, unix.EPOLL_CTL_ADD, fd,
		&unix.EpollEvent{Events: events, Fd: int32(fd)}); err != nil {
		return fmt.Errorf("epoll: %w", err)
	}
	l.sources[fd] = s
	return nil
}

// Listener accepts connections.
type Listener struct {
	loop          *Loop
	fd            int
	addr          netip.AddrPort
	accept        func() (Handler, int)
	onAcceptState func(why error)
	refusing      bool // callers are turned away
	closed        bool
}

// Listen opens a listener. For each caller, accept gives its handler and the most bytes that may wait to be
// written to it, or nil to turn it away; turned is told when callers can be taken no longer, and by nil when they are again.
func (l *Loop) Listen(addr string, accept func() (Handler, int), onAcceptState func(error)) (*Listener, error) {
	address, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	fd, err := unix.Socket(family(address), unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err = unix.Bind(fd, sockaddr(address)); err == nil {
		err = unix.Listen(fd, 1024)
	}
	listener := &Listener{loop: l, fd: fd, addr: address, accept: accept, onAcceptState: onAcceptState}
	if err == nil {
		var bound unix.Sockaddr
		if bound, err = unix.Getsockname(fd); err == nil {
			listener.addr = addrPort(bound)
			err = l.register(fd, unix.EPOLLIN, listener)
		}
	}
	if err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	return listener, nil
}

// FD is the listener's descriptor, for options of its socket.
func (s *Listener) FD() int { return s.fd }

// Addr is where it listens.
func (s *Listener) Addr() netip.AddrPort { return s.addr }

func (s *Listener) Close() {
	if !s.closed {
		s.closed = true
		s.release()
	}
}

func (s *Listener) release() {
	delete(s.loop.sources, s.fd)
	unix.Close(s.fd)
}

func (s *Listener) handleEvents(uint32) {
	for range maxAcceptsPerIteration {
		fd, _, err := s.loop.accept4(s.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch {
		case err == unix.EAGAIN:
			return
		case err == unix.EINTR || err == unix.ECONNABORTED:
			continue
		case err != nil:
			s.handleAcceptError(err)
			return
		}
		h, room := s.accept()
		if h == nil {
			unix.Close(fd)
			continue
		}
		c := &Conn{loop: s.loop, fd: fd, handler: h, maxOutput: room, open: true}
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
		if err := s.loop.register(fd, unix.EPOLLIN|unix.EPOLLRDHUP, c); err != nil {
			unix.Close(fd)
			s.reportAcceptState(err)
			continue
		}
		s.reportAcceptState(nil)
		s.loop.countConn()
		h.Opened(c)
	}
}

// handleAcceptError turns one caller away by the spare descriptor, where that is what lacks and there is one: else it would wait in
// the kernel, and the loop would spin on it. Where nothing can be done the listener is left alone for a while.
func (s *Listener) handleAcceptError(err error) {
	s.reportAcceptState(err)
	if err == unix.EMFILE || err == unix.ENFILE {
		if s.loop.spareFD < 0 {
			// Where one can be had by now, there was one for the caller too: the next turn takes it, and does not turn it away.
			if s.loop.openSpare(); s.loop.spareFD >= 0 {
				return
			}
		} else {
			unix.Close(s.loop.spareFD)
			if fd, _, e := unix.Accept4(s.fd, unix.SOCK_CLOEXEC); e == nil {
				unix.Close(fd)
			}
			s.loop.openSpare()
			return
		}
	}
	s.setEvents(0)
	s.loop.After(acceptRetryDelay, func() {
		if !s.closed {
			s.setEvents(unix.EPOLLIN)
		}
	})
}

func (s *Listener) setEvents(events uint32) {
	unix.EpollCtl(s.loop.epollFD, unix.EPOLL_CTL_MOD, s.fd, &unix.EpollEvent{Events: events, Fd: int32(s.fd)})
}

// AcceptStateLogger logs when callers, named by their sort, are turned away and when they are taken again.
func (l *Loop) AcceptStateLogger(log *slog.Logger, callers string) func(error) {
	return func(why error) {
		if why != nil {
			log.Warn(callers+" turned away", "why", why, "connections", l.connCount)
		} else {
			log.Info(callers+" taken again", "connections", l.connCount)
		}
	}
}

// reportAcceptState says when callers are turned away, and when they are taken again.
func (s *Listener) reportAcceptState(why error) {
	if s.refusing != (why != nil) {
		s.refusing = why != nil
		s.onAcceptState(why)
	}
}

// Conn is one connection.
type Conn struct {
	loop          *Loop
	fd            int // -1: there never was one
	handler       Handler
	output        []byte // yet to be written, room bytes at most
	maxOutput     int
	connectTimer  *Timer
	open          bool
	writeBlocked  bool // for the peer to take more
	flushQueued   bool
	closed        bool
	closeReported bool
	closeReason   error // the close that follows the last byte
	readPaused    bool  // what comes is left unread
	writeClosed   bool  // the write side is to end after the last byte
	closeTimer    *Timer
	bytesRead     int // bytes, so far
	bytesWritten  int
}

// Dial begins a connection. The handler hears Opened or Closed, never before Dial has returned.
func (l *Loop) Dial(addr string, handler Handler, maxOutput int, timeout Tick) *Conn {
	return l.DialWithControl(addr, handler, maxOutput, timeout, nil)
}

// DialWithControl sets a socket up by prepare before it connects.
func (l *Loop) DialWithControl(addr string, handler Handler, maxOutput int, timeout Tick, control func(fd int) error) *Conn {
	conn := &Conn{loop: l, fd: -1, handler: handler, maxOutput: maxOutput}
	l.countConn()
	if err := conn.connect(addr, timeout, control); err != nil {
		l.connCount--
		conn.closed = true
		kind := ErrConnectFailed
		if isLocalResourceError(err) {
			kind = ErrLocalResources
		}
		l.wheel.Schedule(l.now, func() { conn.reportClosed(fmt.Errorf("%w to %s: %w", kind, addr, err)) })
	}
	return conn
}

// isLocalResourceError tells whether an error is a want on this side: it says nothing of the peer.
func isLocalResourceError(err error) bool {
	for _, e := range []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ENOSPC, unix.EAGAIN, unix.EADDRNOTAVAIL} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

func (c *Conn) connect(addr string, within Tick, prepare func(fd int) error) error {
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
		err = c.loop.register(fd, unix.EPOLLOUT, c)
	}
	if err != nil {
		unix.Close(fd)
		return err
	}
	c.fd = fd
	c.connectTimer = c.loop.After(within, func() { c.fail(fmt.Errorf("%w to %s within %d ms", ErrConnectFailed, addr, within/Millisecond)) })
	return nil
}

// Write takes all of p or nothing: ErrOutputFull where too much waits already.
func (c *Conn) Write(p []byte) error {
	if c.closed || c.closeReason != nil || c.writeClosed {
		return ErrClosed
	}
	if len(c.output)+len(p) > c.maxOutput {
		return ErrOutputFull
	}
	c.output = append(c.output, p...)
	c.queueFlush()
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

// PendingOutput is the number of bytes yet to be written.
func (c *Conn) PendingOutput() int { return len(c.output) }

// BytesTransferred is the number of bytes read and written so far.
func (c *Conn) BytesTransferred() (read, written int) { return c.bytesRead, c.bytesWritten }

// WriteBlocked tells whether the peer takes less than was written.
func (c *Conn) WriteBlocked() bool { return c.writeBlocked }

// IsOpen tells whether the connection stands.
func (c *Conn) IsOpen() bool { return c.open && !c.closed }

func (c *Conn) queueFlush() {
	if !c.flushQueued {
		c.flushQueued = true
		c.loop.flushQueue = append(c.loop.flushQueue, c)
	}
}

// CloseWrite ends this side's output after what waits; the peer may go on.
func (c *Conn) CloseWrite() {
	c.writeClosed = true
	c.queueFlush()
}

// SetReadPaused leaves what comes unread, or reads it again. A peer that hangs up is heard to its end all the same.
func (c *Conn) SetReadPaused(paused bool) {
	if c.closed || c.readPaused == paused {
		return
	}
	if c.readPaused = paused; c.fd >= 0 && c.connectTimer == nil {
		c.updateEvents()
	}
}

// Close ends the connection once what waits is written, two seconds later at most.
func (c *Conn) Close() { c.closeAfterFlush(ErrClosed) }

// Reset ends the connection at once; the peer sees a reset.
func (c *Conn) Reset() {
	if c.fd >= 0 && !c.closed {
		unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
	c.fail(ErrClosed)
}

func (c *Conn) closeAfterFlush(reason error) {
	if c.closed || c.closeReason != nil {
		return
	}
	if len(c.output) == 0 || !c.open {
		c.fail(reason)
		return
	}
	c.closeReason = reason
	c.closeTimer = c.loop.After(closeFlushTimeout, func() { c.fail(reason) })
	c.updateEvents()
	c.queueFlush()
}

func (c *Conn) fail(reason error) {
	if c.closed {
		return
	}
	c.closed = true
	c.queueFlush()
	c.reportClosed(reason)
}

func (c *Conn) reportClosed(reason error) {
	if !c.closeReported {
		c.closeReported = true
		c.handler.Closed(c, reason)
	}
}

func (c *Conn) release() {
	if c.fd < 0 {
		return
	}
	c.loop.Cancel(c.connectTimer)
	c.loop.Cancel(c.closeTimer)
	delete(c.loop.sources, c.fd)
	unix.Close(c.fd)
	c.fd, c.output = -1, nil
	c.loop.connCount--
}

func (c *Conn) updateEvents() {
	events := uint32(unix.EPOLLIN | unix.EPOLLRDHUP)
	if c.closeReason != nil {
		events = 0
	} else if c.readPaused {
		events = unix.EPOLLRDHUP
	}
	if c.writeBlocked {
		events |= unix.EPOLLOUT
	}
	unix.EpollCtl(c.loop.epollFD, unix.EPOLL_CTL_MOD, c.fd, &unix.EpollEvent{Events: events, Fd: int32(c.fd)})
}

func (c *Conn) handleEvents(events uint32) {
	if c.closed {
		return
	}
	if !c.open && c.connectTimer != nil {
		c.loop.Cancel(c.connectTimer)
		c.connectTimer = nil
		if code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR); err != nil || code != 0 {
			c.fail(fmt.Errorf("%w: %w", ErrConnectFailed, unix.Errno(code)))
			return
		}
		c.open = true
		c.updateEvents()
		c.handler.Opened(c)
		if len(c.output) > 0 {
			c.queueFlush()
		}
		return
	}
	if events&unix.EPOLLOUT != 0 {
		c.writeBlocked = false
		c.updateEvents()
		c.queueFlush()
	}
	hungUp := events&(unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0
	if !hungUp && (c.readPaused || events&unix.EPOLLIN == 0) {
		return
	}
	if c.closeReason != nil {
		if events&(unix.EPOLLHUP|unix.EPOLLERR) != 0 {
			c.fail(c.closeReason)
		}
		return
	}
	for more, reads := c.readOnce(), 1; more && hungUp && reads < maxDrainReads; reads++ {
		more = c.readOnce()
	}
}

// drainInput ends this side of a connection and drops what is left unread: a close with unread bytes is a reset, which may take
// from the peer what it has not read yet.
func (c *Conn) drainInput() {
	if c.closed || !c.open {
		return
	}
	unix.Shutdown(c.fd, unix.SHUT_WR)
	for range maxDrainReads {
		if n, err := unix.Read(c.fd, c.loop.buffer); n <= 0 || err != nil {
			return
		}
	}
}

// readOnce reads once; it tells whether there may be more.
func (c *Conn) readOnce() bool {
	n, err := unix.Read(c.fd, c.loop.buffer)
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
		return false
	case err != nil:
		c.fail(fmt.Errorf("%w: %w", ErrReset, err))
	case n == 0:
		c.reportClosed(io.EOF) // at once, as it has left; it may still read what waits
		c.closeAfterFlush(io.EOF)
	default:
		c.bytesRead += n
		c.handler.Read(c, c.loop.buffer[:n])
	}
	return !c.closed && c.closeReason == nil
}

func (c *Conn) flush() {
	if c.closed || c.writeBlocked || c.connectTimer != nil {
		return
	}
	if len(c.output) > 0 {
		n, err := unix.Write(c.fd, c.output)
		switch {
		case err == unix.EAGAIN || err == unix.EINTR:
			n = 0
		case err != nil:
			c.fail(fmt.Errorf("%w: %w", ErrReset, err))
			return
		}
		c.bytesWritten += n
		if n < len(c.output) {
			c.output = append(c.output[:0], c.output[n:]...)
			c.writeBlocked = true
			c.updateEvents()
			return
		}
		if c.output = c.output[:0]; cap(c.output) > readBufferSize {
			c.output = nil // a burst's buffer is not kept
		}
	}
	if c.closeReason != nil {
		c.fail(c.closeReason)
	} else if c.writeClosed {
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
