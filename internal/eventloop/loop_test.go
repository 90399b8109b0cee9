package eventloop

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
	"golang.org/x/sys/unix"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// probe is a handler that passes on what it is told; take, where set, sees the bytes first.
type probe struct {
	opened chan *Conn
	closed chan error
	read   chan []byte
	take   func(c *Conn, p []byte)
}

func newProbe() *probe {
	return &probe{make(chan *Conn, 100), make(chan error, 100), make(chan []byte, 10000), nil}
}

func (h *probe) Opened(c *Conn) { h.opened <- c }
func (h *probe) Read(c *Conn, p []byte) {
	if h.take != nil {
		h.take(c, p)
		return
	}
	h.read <- bytes.Clone(p)
}
func (h *probe) Closed(_ *Conn, why error) { h.closed <- why }

func run(t *testing.T, turn func()) *Loop {
	t.Helper()
	l, err := New(turn)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- l.Run() }()
	t.Cleanup(func() {
		l.Stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return l
}

// on runs f on the loop and waits for it.
func on[T any](l *Loop, f func() T) T {
	got := make(chan T, 1)
	l.Post(func() { got <- f() })
	return <-got
}

func wait[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(20 * time.Second):
		t.Fatal("nothing came in 20 s")
		panic("unreachable")
	}
}

func listen(t *testing.T, l *Loop, h Handler, room int, turned func(error)) string {
	t.Helper()
	s := on(l, func() *Listener {
		s, err := l.Listen("127.0.0.1:0", func() (Handler, int) { return h, room }, turned)
		if err != nil {
			t.Error(err)
		}
		return s
	})
	return s.Addr().String()
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func TestEcho(t *testing.T) {
	l, h := run(t, func() {}), newProbe()
	h.take = func(c *Conn, p []byte) { c.Write(p) }
	c := dial(t, listen(t, l, h, 1<<20, nil))
	sent := bytes.Repeat([]byte("container "), 50_000)
	go func() {
		c.Write(sent)
		c.(*net.TCPConn).CloseWrite()
	}()
	got, err := io.ReadAll(c)
	if err != nil || !bytes.Equal(got, sent) {
		t.Errorf("%d of %d bytes came back, %v", len(got), len(sent), err)
	}
	if why := wait(t, h.closed); why != io.EOF {
		t.Errorf("closed by %v", why)
	}
}

// Each way in which a connection ends is told apart, once.
func TestEndings(t *testing.T) {
	for _, tc := range []struct {
		name string
		end  func(t *testing.T, l *Loop, c *Conn, peer net.Conn)
		want error
	}{
		{"peer ends", func(_ *testing.T, _ *Loop, _ *Conn, peer net.Conn) { peer.Close() }, io.EOF},
		{"peer resets", func(_ *testing.T, _ *Loop, _ *Conn, peer net.Conn) {
			peer.(*net.TCPConn).SetLinger(0)
			peer.Close()
		}, ErrReset},
		{"closed here, after the last byte", func(t *testing.T, l *Loop, c *Conn, peer net.Conn) {
			l.Post(func() {
				c.Write([]byte("last"))
				c.Close()
			})
			if got, err := io.ReadAll(peer); string(got) != "last" || err != nil {
				t.Errorf("peer got %q, %v", got, err)
			}
		}, ErrClosed},
		{"reset here", func(t *testing.T, l *Loop, c *Conn, peer net.Conn) {
			l.Post(c.Reset)
			if _, err := io.ReadAll(peer); !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("peer got %v", err)
			}
		}, ErrClosed},
		{"half closed here, then by the peer", func(t *testing.T, l *Loop, c *Conn, peer net.Conn) {
			l.Post(c.CloseWrite)
			if got, err := io.ReadAll(peer); len(got) > 0 || err != nil {
				t.Errorf("peer got %q, %v", got, err)
			}
			peer.Close()
		}, io.EOF},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l, h := run(t, func() {}), newProbe()
			peer := dial(t, listen(t, l, h, 1<<20, nil))
			tc.end(t, l, wait(t, h.opened), peer)
			if why := wait(t, h.closed); !errors.Is(why, tc.want) {
				t.Errorf("closed by %v, want %v", why, tc.want)
			}
			if n := on(l, func() int { l.SkipWait(); return len(h.closed) }); n != 0 {
				t.Errorf("told %d times more", n)
			}
			if n := on(l, l.ConnCount); n != 0 {
				t.Errorf("%d connections left", n)
			}
		})
	}
}

func TestNoConnect(t *testing.T) {
	full, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(full)
	syscall.Bind(full, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	syscall.Listen(full, 0)
	own, _ := syscall.Getsockname(full)
	backlog := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: own.(*syscall.SockaddrInet4).Port}).String()
	l := run(t, func() {})
	for range 4 { // takes what places there are: the kernel then drops further callers
		l.Post(func() { l.Dial(backlog, newProbe(), 1, 30*Second) })
	}
	gone, _ := net.Listen("tcp", "127.0.0.1:0")
	gone.Close()
	for _, tc := range []struct{ name, addr string }{
		{"nobody listens", gone.Addr().String()}, {"no answer in time", backlog}, {"no address", "nowhere"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newProbe()
			l.Post(func() {
				c := l.Dial(tc.addr, h, 100, 50*Millisecond)
				c.Write([]byte("never sent"))
				if len(h.closed) > 0 {
					t.Error("told before Dial returned")
				}
			})
			if why := wait(t, h.closed); !errors.Is(why, ErrConnectFailed) {
				t.Errorf("closed by %v", why)
			}
		})
	}
}

// A peer that takes nothing fills its own output and nobody else's.
func TestBackPressure(t *testing.T) {
	l, stuck, live := run(t, func() {}), newProbe(), newProbe()
	addr := listen(t, l, stuck, 1<<20, nil)
	dial(t, addr)
	c := wait(t, stuck.opened)
	full := on(l, func() int {
		n := 0
		for c.Write(make([]byte, 64<<10)) == nil {
			n++
		}
		return n
	})
	if full != 16 {
		t.Errorf("%d writes taken, want 16", full)
	}
	live.take = func(c *Conn, p []byte) { c.Write(p) }
	peer := dial(t, listen(t, l, live, 1<<20, nil))
	peer.Write([]byte("ping"))
	got := make([]byte, 4)
	if _, err := io.ReadFull(peer, got); err != nil || string(got) != "ping" {
		t.Errorf("%q, %v", got, err)
	}
}

// One connection that always has bytes does not keep another waiting: both are read once a turn.
func TestFairness(t *testing.T) {
	turns := 0
	l := run(t, func() { turns++ })
	loud, quiet := newProbe(), newProbe()
	var loudTurns []int
	loud.take = func(*Conn, []byte) { loudTurns = append(loudTurns, turns) }
	flood := dial(t, listen(t, l, loud, 1, nil))
	whisper := dial(t, listen(t, l, quiet, 1, nil))
	stop := make(chan struct{})
	go func() {
		defer close(stop)
		for range 400 {
			if _, err := flood.Write(make([]byte, 64<<10)); err != nil {
				return
			}
		}
	}()
	for range 20 {
		whisper.Write([]byte("x"))
		wait(t, quiet.read)
	}
	<-stop
	twice := on(l, func() int {
		n := 0
		for i := 1; i < len(loudTurns); i++ {
			if loudTurns[i] == loudTurns[i-1] {
				n++
			}
		}
		return n
	})
	if twice > 0 {
		t.Errorf("read twice in one turn %d times", twice)
	}
}

// With no descriptor left, callers are turned away and the loop neither spins nor stops serving the others.
func TestDescriptorLimit(t *testing.T) {
	var old syscall.Rlimit
	syscall.Getrlimit(syscall.RLIMIT_NOFILE, &old)
	l, h := run(t, func() {}), newProbe()
	h.take = func(c *Conn, p []byte) { c.Write(p) }
	turned := make(chan error, 100)
	addr := listen(t, l, h, 100, func(err error) { turned <- err })
	first, second := dial(t, addr), dial(t, addr)
	wait(t, h.opened)
	wait(t, h.opened)
	probe, err := syscall.Dup(0)
	if err != nil {
		t.Fatal(err)
	}
	syscall.Close(probe)
	// A socket made before the limit is lowered can still call.
	caller, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(caller)
	low := old
	low.Cur = uint64(probe)
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &low); err != nil {
		t.Skip(err)
	}
	defer syscall.Setrlimit(syscall.RLIMIT_NOFILE, &old)
	to, _ := net.ResolveTCPAddr("tcp", addr)
	syscall.Connect(caller, &syscall.SockaddrInet4{Port: to.Port, Addr: [4]byte{127, 0, 0, 1}})
	if err := wait(t, turned); !errors.Is(err, syscall.EMFILE) {
		t.Errorf("turned away by %v", err)
	}
	syscall.SetsockoptTimeval(caller, syscall.SOL_SOCKET, syscall.SO_RCVTIMEO, &syscall.Timeval{Sec: 20})
	if n, err := syscall.Read(caller, make([]byte, 1)); n > 0 || err == syscall.EAGAIN { // the spare's use: it does not wait unheard
		t.Errorf("the caller turned away reads %d bytes, %v", n, err)
	}
	for _, c := range []net.Conn{first, second} {
		c.Write([]byte("x"))
		if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
			t.Error(err)
		}
	}
}

// A listener that cannot accept, whatever lacks, neither spins nor is silent, and takes callers once there is room.
func TestAcceptAgain(t *testing.T) {
	for _, tc := range []struct {
		name string
		err  error // nil: there are no descriptors, and the spare one could not be opened again
	}{{"no buffers", syscall.ENOBUFS}, {"no memory", syscall.ENOMEM}, {"network down", syscall.ENETDOWN}, {"no spare descriptor", nil}} {
		t.Run(tc.name, func(t *testing.T) {
			l, h := run(t, func() {}), newProbe()
			turned, tries := make(chan error, 100), make(chan Tick, 1_000_000)
			addr := listen(t, l, h, 100, func(err error) { turned <- err })
			caller, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
			if err != nil {
				t.Fatal(err)
			}
			defer syscall.Close(caller)
			var failing atomic.Bool
			failing.Store(true)
			on(l, func() bool {
				l.accept4 = func(fd, flags int) (int, unix.Sockaddr, error) {
					tries <- l.now
					if failing.Load() && tc.err != nil {
						return -1, nil, tc.err
					}
					return unix.Accept4(fd, flags)
				}
				if tc.err == nil {
					unix.Close(l.spareFD)
					l.spareFD = -1
				}
				return true
			})
			var old syscall.Rlimit
			syscall.Getrlimit(syscall.RLIMIT_NOFILE, &old)
			defer syscall.Setrlimit(syscall.RLIMIT_NOFILE, &old)
			if tc.err == nil {
				lowest, _ := syscall.Dup(0)
				syscall.Close(lowest)
				syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: uint64(lowest), Max: old.Max})
			}
			to, _ := net.ResolveTCPAddr("tcp", addr)
			syscall.Connect(caller, &syscall.SockaddrInet4{Port: to.Port, Addr: [4]byte{127, 0, 0, 1}})
			if err := wait(t, turned); err == nil || tc.err != nil && err != tc.err {
				t.Errorf("turned away by %v", err)
			}
			first := wait(t, tries)
			wait(t, tries)
			if third := wait(t, tries); third-first < acceptRetryDelay {
				t.Errorf("three tries in %d ms: the loop spins", (third-first)/Millisecond)
			}
			failing.Store(false)
			syscall.Setrlimit(syscall.RLIMIT_NOFILE, &old)
			wait(t, h.opened)
			if err := wait(t, turned); err != nil || len(turned) > 0 {
				t.Errorf("told %v and %d more, want once that callers are taken again", err, len(turned))
			}
		})
	}
}

// A dial that lacks descriptors here says so: it tells nothing of the peer.
func TestShortOfDescriptors(t *testing.T) {
	l, h := run(t, func() {}), newProbe()
	addr := listen(t, l, newProbe(), 100, func(error) {})
	var old syscall.Rlimit
	syscall.Getrlimit(syscall.RLIMIT_NOFILE, &old)
	lowest, _ := syscall.Dup(0)
	syscall.Close(lowest)
	syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: uint64(lowest), Max: old.Max})
	on(l, func() *Conn { return l.Dial(addr, h, 100, Second) })
	why := wait(t, h.closed)
	syscall.Setrlimit(syscall.RLIMIT_NOFILE, &old)
	if !errors.Is(why, ErrLocalResources) || errors.Is(why, ErrConnectFailed) {
		t.Error(why)
	}
	on(l, func() *Conn { return l.Dial(addr, h, 100, Second) })
	wait(t, h.opened)
}

func TestTimersAndMail(t *testing.T) {
	l := run(t, func() {})
	fired := make(chan Tick, 3)
	l.Post(func() {
		began := l.Now()
		l.After(20*Millisecond, func() { fired <- l.Now() - began })
		l.Cancel(l.After(10*Millisecond, func() { t.Error("a cancelled timer ran") }))
		l.After(0, func() { fired <- 0 })
	})
	if first, second := wait(t, fired), wait(t, fired); first != 0 || second < 20*Millisecond {
		t.Errorf("fired after %d and %d", first, second)
	}
	l.Stop()
	for l.Post(func() {}) {
		time.Sleep(time.Millisecond)
	}
}

// hearer is a probe that does something when its connection is closed, on the loop.
type hearer struct {
	*probe
	closes func()
}

func (h hearer) Closed(c *Conn, why error) {
	h.closes()
	h.probe.Closed(c, why)
}

// A peer that has hung up is heard to its end in one turn, also where what it says is left unread or output for it waits.
func TestHangUp(t *testing.T) {
	for _, tc := range []struct {
		name string
		here func(c *Conn)
		said int // bytes, before it hangs up
	}{
		{"asks and hangs up", func(*Conn) {}, readBufferSize / 2},
		{"while it is left unread", func(c *Conn) { c.SetReadPaused(true) }, readBufferSize / 2},
		{"while it takes nothing", func(c *Conn) {
			for c.Write(make([]byte, 1<<20)) == nil {
			}
		}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			turn, read, first, last := 0, 0, -1, 0
			l, h := run(t, func() { turn++ }), hearer{newProbe(), func() { last = turn }}
			h.take = func(_ *Conn, p []byte) {
				if read += len(p); first < 0 {
					first = turn
				}
			}
			peer := dial(t, listen(t, l, h, 32<<20, nil)).(*net.TCPConn)
			c := wait(t, h.opened)
			on(l, func() bool { tc.here(c); return true })
			on(l, func() bool { // the loop reads nothing until all was said
				peer.SetReadBuffer(1 << 10)
				peer.Write(make([]byte, tc.said))
				peer.CloseWrite()
				return true
			})
			if why := wait(t, h.closed); why != io.EOF {
				t.Errorf("closed by %v", why)
			}
			on(l, func() bool {
				if read != tc.said || first != last {
					t.Errorf("%d of %d bytes were read, first in turn %d, closed in turn %d", read, tc.said, first, last)
				}
				return true
			})
		})
	}
}

// A loop that ends takes in what a peer has written by then, writes what that leads to, and resets nothing.
func TestEnd(t *testing.T) {
	l, h := newLoop(t), newProbe()
	var peer net.Conn
	h.take = func(c *Conn, p []byte) {
		c.Write(p)
		c.SetReadPaused(true)
		l.Post(func() {
			peer.Write([]byte("unread"))
			l.StopWhenIdle()
		})
	}
	s, err := l.Listen("127.0.0.1:0", func() (Handler, int) { return h, 100 }, nil)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- l.Run() }()
	peer = dial(t, s.Addr().String())
	wait(t, h.opened)
	l.Post(func() {
		peer.Write([]byte("last")) // not read in this turn, after which the loop ends
		l.StopWhenIdle()
	})
	if got, err := io.ReadAll(peer); string(got) != "last" || err != nil {
		t.Errorf("peer got %q, %v", got, err)
	}
	if err := wait(t, done); err != nil {
		t.Error(err)
	}
}

func newLoop(t *testing.T) *Loop {
	t.Helper()
	l, err := New(func() {})
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// A descriptor that comes back between a failed accept and the search for a spare one is the caller's.
func TestDescriptorComesBack(t *testing.T) {
	l, h := run(t, func() {}), newProbe()
	addr := listen(t, l, h, 100, func(error) {})
	on(l, func() bool {
		unix.Close(l.spareFD)
		l.spareFD = -1
		failed := false
		l.accept4 = func(fd, flags int) (int, unix.Sockaddr, error) {
			if !failed {
				failed = true
				return -1, nil, unix.EMFILE
			}
			return unix.Accept4(fd, flags)
		}
		return true
	})
	dial(t, addr)
	wait(t, h.opened)
}
