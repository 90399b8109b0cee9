package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"glenport/internal/protocol"
	"glenport/internal/testbed/loopback"
)

// proxy forwards the connections to one server, a machine or a scheduler, and records the messages. While it is cut,
// nothing passes, open connections stay open and silent, and new ones never come up.
type proxy struct {
	rec     *recorder
	name    string
	target  string
	addr    string
	port    int
	fd      int
	machine bool // the server is a machine, not a scheduler

	mu      sync.Mutex
	changed *sync.Cond
	cutOff  bool
	closed  bool
	// hostDied: the server's machine is gone. Its open connections end only when their client sends something after it
	// is back, as the machine then answers with a reset.
	hostDied bool
	fillers  []int
	conns    map[net.Conn]bool
	filter   func(client string, toServer bool, f protocol.Frame) (drop bool)
}

func newProxy(rec *recorder, name, target string, machine bool) (*proxy, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	if err := unix.Listen(fd, 64); err != nil {
		return nil, err
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		return nil, err
	}
	in, ok := bound.(*unix.SockaddrInet4)
	if !ok {
		return nil, errors.New("not an IPv4 address")
	}
	p := &proxy{
		rec: rec, name: name, target: target, machine: machine, addr: fmt.Sprintf("127.0.0.1:%d", in.Port), port: in.Port, fd: fd,
		conns: map[net.Conn]bool{},
	}
	p.changed = sync.NewCond(&p.mu)
	if err := unix.SetNonblock(fd, true); err != nil {
		return nil, err
	}
	go p.acceptAll()
	return p, nil
}

// cut cuts the path. The backlog of the listener is lowered to 0 and filled, so that the kernel drops further SYNs.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutOff = true
	p.rec.note("path to %s is cut", p.name)
	_ = unix.Listen(p.fd, 0)
	for range 3 {
		fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
		if err != nil {
			return
		}
		_ = unix.Connect(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}, Port: p.port})
		p.fillers = append(p.fillers, fd)
	}
}

// die cuts the path because the server's machine dies, and ends the connections on the server's side only.
func (p *proxy) die() {
	p.cut()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hostDied = true
}

func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutOff = false
	p.rec.note("path to %s is back", p.name)
	for _, fd := range p.fillers {
		_ = unix.Close(fd)
	}
	p.fillers = nil
	_ = unix.Listen(p.fd, 64)
	p.changed.Broadcast()
}

// setFilter sets a function that sees every message and may have it dropped.
func (p *proxy) setFilter(filter func(client string, toServer bool, f protocol.Frame) (drop bool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.filter = filter
}

func (p *proxy) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cutOff
}

// waitPassable waits until the path is not cut, and reports whether the proxy is still open.
func (p *proxy) waitPassable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.cutOff && !p.closed {
		p.changed.Wait()
	}
	return !p.closed
}

func (p *proxy) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.closed = true
	for _, fd := range p.fillers {
		_ = unix.Close(fd)
	}
	for c := range p.conns {
		loopback.CloseQuietly(c)
	}
	p.changed.Broadcast()
}

func (p *proxy) acceptAll() {
	defer func() { _ = unix.Close(p.fd) }()
	for p.waitPassable() {
		fd, _, err := unix.Accept4(p.fd, unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK)
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		if p.isCut() { // accepted while the cut began
			_ = unix.Close(fd)
			continue
		}
		file := os.NewFile(uintptr(fd), "accepted")
		conn, err := net.FileConn(file)
		_ = file.Close()
		if err == nil {
			go p.serve(conn)
		}
	}
}

func (p *proxy) serve(client net.Conn) {
	server, err := loopback.Dial(p.target, time.Second)
	if err != nil {
		loopback.Reset(client)
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	s := &stream{proxy: p, client: client, server: server, name: "?", machine: p.machine}
	go s.forward(client, server, true)
	s.forward(server, client, false)
}

// stream is one connection through the proxy.
type stream struct {
	proxy          *proxy
	client, server net.Conn

	mu   sync.Mutex
	name string // of the client
	dead bool   // the server's machine died while the connection was open

	machine bool // the server is a machine, not a scheduler
}

func (s *stream) forward(from, to net.Conn, toServer bool) {
	err := s.forwardFrames(from, to, toServer)
	if !toServer && s.serverDied(err) {
		return // the client is told nothing; what it sends next is answered with a reset
	}
	s.proxy.waitPassable() // the end of a connection does not pass a cut path
	loopback.Reset(from)
	loopback.Reset(to)
	s.proxy.mu.Lock()
	delete(s.proxy.conns, from)
	s.proxy.mu.Unlock()
}

func (s *stream) serverDied(err error) bool {
	s.proxy.mu.Lock()
	defer s.proxy.mu.Unlock()
	if err != nil && s.proxy.hostDied && s.proxy.cutOff {
		s.mu.Lock()
		s.dead = true
		s.mu.Unlock()
		return true
	}
	return false
}

// forwardFrames forwards frames until the connection ends.
func (s *stream) forwardFrames(from, to net.Conn, toServer bool) error {
	for {
		frame := make([]byte, 4)
		if _, err := io.ReadFull(from, frame); err != nil {
			return err
		}
		frame = append(frame, make([]byte, binary.BigEndian.Uint32(frame))...)
		if _, err := io.ReadFull(from, frame[4:]); err != nil {
			return err
		}
		if s.proxy.isCut() {
			// In transit when the path was cut: its sender sends it again, unless it has given the connection up.
			if !s.proxy.waitPassable() || isReset(from) {
				return errors.New("given up by its sender")
			}
		}
		s.mu.Lock()
		dead := s.dead
		s.mu.Unlock()
		if dead {
			s.proxy.rec.note("%s sends on a connection that %s does not know: reset", s.name, s.proxy.name)
			return errors.New("reset by the restarted machine")
		}
		if f, err := protocol.Decode(frame[4:]); err == nil && s.record(f, toServer) {
			continue
		}
		if _, err := to.Write(frame); err != nil {
			return err
		}
	}
}

// isReset reports whether the peer has reset a connection. What it had sent and the path had not delivered is lost then,
// although the proxy may have read it.
func isReset(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	const closed = 7 // TCP_CLOSE
	reset := false
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err != nil || info.State == closed
	})
	return reset
}

// record writes a message to the record, and reports whether it is dropped.
func (s *stream) record(f protocol.Frame, toServer bool) (drop bool) {
	s.proxy.mu.Lock()
	filter := s.proxy.filter
	s.proxy.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if hello, ok := f.(*protocol.Hello); ok && toServer {
		s.name = hello.Name
	}
	if _, ok := f.(*protocol.Hello); ok && s.machine {
		return false
	}
	from, to := s.name, s.proxy.name
	if !toServer {
		from, to = to, from
	}
	drop = filter != nil && filter(s.name, toServer, f)
	text := describe(f)
	if text == "" {
		return drop
	}
	if drop {
		text += " (LOST on its way)"
	}
	s.proxy.rec.note("%s -> %s: %s", from, to, text)
	return drop
}

// describe returns the text of a message for the record, or an empty one for a message that does not matter.
func describe(f protocol.Frame) string {
	switch f := f.(type) {
	case *protocol.Hello:
		return fmt.Sprintf("hello of %s, life %d", f.Name, f.Incarnation)
	case *protocol.Offer:
		return fmt.Sprintf("offer %d of container %s (key %s, service %s), waits %d ms", f.AttemptID,
			f.Spec.ContainerID, f.Spec.IdempotencyKey, f.Spec.Service, int64(f.Timeout)/10)
	case *protocol.CancelAttempt:
		return fmt.Sprintf("withdraw %d", f.AttemptID)
	case *protocol.Accept:
		return fmt.Sprintf("yes to %d, running %v", f.AttemptID, f.Running)
	case *protocol.Result:
		return fmt.Sprintf("result of %d: %v, reason %v", f.AttemptID, f.Outcome, f.Reason)
	case *protocol.Inventory:
		if len(f.Containers) == 0 {
			return ""
		}
		text := "holds"
		for _, c := range f.Containers {
			text += fmt.Sprintf(" [%d %s key %s running %v]", c.AttemptID, c.Spec.ContainerID, c.Spec.IdempotencyKey, c.Running)
		}
		return text
	case *protocol.Submit:
		return fmt.Sprintf("submit %s (key %s, service %s), left %d ms, again %v", f.Spec.ContainerID,
			f.Spec.IdempotencyKey, f.Spec.Service, int64(f.TimeToDeadline)/10, f.Spec.ClientRetry)
	case *protocol.Lookup:
		return fmt.Sprintf("look %s (key %s)", f.ContainerID, f.IdempotencyKey)
	case *protocol.CancelContainer:
		return fmt.Sprintf("cancel %s (key %s)", f.ContainerID, f.IdempotencyKey)
	case *protocol.PlacementReply:
		return fmt.Sprintf("answer to %s: %v on %q, %q", f.ContainerID, f.Verdict, f.Machine, f.Message)
	case *protocol.Termination:
		return fmt.Sprintf("fate of %s on %s: %v, reason %v", f.ContainerID, f.Machine, f.Outcome, f.Reason)
	}
	return ""
}
