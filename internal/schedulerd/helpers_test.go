package schedulerd

import (
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"glenport/internal/config"
	"glenport/internal/protocol"
	"glenport/scheduler"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// script stands in place of the module: it passes on what happens, and does what it is told for an ask.
type script struct {
	mu     sync.Mutex
	on     func(e scheduler.Event) []scheduler.Action
	events chan scheduler.Event
}

func (s *script) Handle(_ scheduler.Time, events []scheduler.Event) []scheduler.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []scheduler.Action
	for _, e := range events {
		if s.on != nil {
			out = append(out, s.on(e)...)
		}
		s.events <- e
	}
	return out
}

// rig is a host with a list that names machines, and a caller at its door.
type rig struct {
	*testing.T
	h      *Server
	script *script
	door   *caller
}

func terms(t *testing.T) *config.Placer {
	s, err := config.Load("../../deploy/placer.yaml")
	if err != nil {
		t.Fatal(err)
	}
	s.Door, s.State = "127.0.0.1:0", ""
	return s
}

func start(t *testing.T, s *config.Placer, on func(scheduler.Event) []scheduler.Action, machines map[string]string) *rig {
	t.Helper()
	sc := &script{on: on, events: make(chan scheduler.Event, 100_000)}
	r := &rig{T: t, script: sc}
	s.ListAddr = listing(t, machines)
	r.h = run(t, s, sc)
	r.h.loop.Post(func() { r.h.requestList(&protocol.WatchMachineList{Enabled: true}) })
	await[scheduler.MachineListUpdate](r, func(e scheduler.MachineListUpdate) bool { return e.Mode != scheduler.RestoredSnapshot })
	r.door = callDoor(t, r.h.Addr())
	return r
}

func run(t *testing.T, s *config.Placer, d Scheduler) *Server {
	t.Helper()
	h, err := New(s, d, discard)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- h.Run() }()
	t.Cleanup(func() {
		h.Stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return h
}

// await waits for an event of a sort; others before it are passed over.
func await[E scheduler.Event](r *rig, want func(E) bool) E {
	r.Helper()
	limit := time.After(20 * time.Second)
	for {
		select {
		case e := <-r.script.events:
			if e, ok := e.(E); ok && (want == nil || want(e)) {
				return e
			}
		case <-limit:
			r.Fatalf("no such event in 20 s: %T", *new(E))
		}
	}
}

// serve listens and runs each connection in f until it returns.
func serve(t *testing.T, f func(c net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	all.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			all.Go(func() {
				defer c.Close()
				f(c)
			})
		}
	})
	t.Cleanup(func() {
		l.Close()
		mu.Lock()
		for _, c := range conns {
			c.Close()
		}
		mu.Unlock()
		all.Wait()
	})
	return l.Addr().String()
}

func put(c net.Conn, frames ...protocol.Frame) {
	for _, f := range frames {
		if p, err := protocol.Append(nil, f); err == nil {
			c.Write(p)
		}
	}
}

func listing(t *testing.T, machines map[string]string) string {
	return serve(t, func(c net.Conn) {
		put(c, protocol.NewHello(protocol.RoleMachineList, "list", 1))
		l := &protocol.MachineListUpdate{FullSnapshot: true, Version: 1}
		for id, addr := range machines {
			l.Entries = append(l.Entries, protocol.MachineEntry{Machine: id, Address: addr, Incarnation: 1, Age: -1})
		}
		for {
			f, err := protocol.ReadFrame(c, protocol.MaxFrame)
			if err != nil {
				return
			}
			if _, ok := f.(*protocol.WatchMachineList); ok {
				put(c, l)
			}
		}
	})
}

// fakeMachine greets, says what it holds and answers each frame by answer; nil ends the link.
func machineThat(t *testing.T, name string, holds *protocol.Inventory, answer func(c net.Conn, f protocol.Frame) bool) string {
	return serve(t, func(c net.Conn) {
		if f, err := protocol.ReadFrame(c, protocol.MaxFrame); err != nil || f.(*protocol.Hello).Role != protocol.RoleScheduler {
			return
		}
		put(c, protocol.NewHello(protocol.RoleMachine, name, 1), holds)
		for {
			f, err := protocol.ReadFrame(c, protocol.MaxFrame)
			if err != nil || !answer(c, f) {
				return
			}
		}
	})
}

type caller struct {
	t *testing.T
	net.Conn
}

func callDoor(t *testing.T, addr string) *caller {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	d := &caller{t, c}
	put(c, protocol.NewHello(protocol.RoleClient, "owner", 1))
	if hello, ok := d.next().(*protocol.Hello); !ok || hello.Role != protocol.RoleScheduler {
		t.Fatal("the door does not greet")
	}
	return d
}

func (c *caller) next() protocol.Frame {
	c.t.Helper()
	f, err := protocol.ReadFrame(c, protocol.MaxFrame)
	if err != nil {
		c.t.Fatalf("the door is closed: %v", err)
	}
	return f
}

func (c *caller) submit(id string, workload int) {
	put(c, &protocol.Submit{TimeToDeadline: 60000, Spec: protocol.ContainerSpec{ContainerID: id, IdempotencyKey: "k-" + id, Service: "s", WorkloadClass: workload,
		Cores: 1, Memory: 1}})
}

func (c *caller) answer() *protocol.PlacementReply {
	c.t.Helper()
	a, ok := c.next().(*protocol.PlacementReply)
	if !ok {
		c.t.Fatal("no answer")
	}
	return a
}

// site1 is a placer's file, by value where a test changes it.
type site1 struct{ *config.Placer }

var discard = slog.New(slog.NewTextHandler(io.Discard, nil))
