package schedulerd

import (
	"context"
	"errors"
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

// testTimeout bounds every wait of a test.
const testTimeout = 20 * time.Second

// Workload classes of the configuration that most tests use.
const (
	classIdempotent = 0
	classWithKey    = 1
	classAtMostOnce = 2
)

// discardLog panics where a server logs an illegal transition: there is none in practice.
var discardLog = slog.New(&transitionLog{illegal: func(err error) { panic(err) }})

// transitionLog drops what is logged, but for illegal transitions.
type transitionLog struct {
	slog.Handler
	illegal func(error)
}

// Enabled implements slog.Handler.
func (*transitionLog) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler.
func (l *transitionLog) Handle(_ context.Context, record slog.Record) error {
	record.Attrs(func(attribute slog.Attr) bool {
		if err, ok := errors.AsType[*TransitionError](errorOf(attribute)); ok {
			l.illegal(err)
		}
		return true
	})
	return nil
}

func errorOf(attribute slog.Attr) error {
	err, _ := attribute.Value.Any().(error)
	return err
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// scriptedScheduler stands in for the scheduler: it passes events on to the test and reacts as the test says.
type scriptedScheduler struct {
	mu     sync.Mutex
	react  func(e scheduler.Event) []scheduler.Action // may be nil
	events chan scheduler.Event
}

func newScript(react func(scheduler.Event) []scheduler.Action) *scriptedScheduler {
	return &scriptedScheduler{react: react, events: make(chan scheduler.Event, 100_000)}
}

func (s *scriptedScheduler) Handle(_ scheduler.Time, events []scheduler.Event) []scheduler.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	var actions []scheduler.Action
	for _, e := range events {
		if s.react != nil {
			actions = append(actions, s.react(e)...)
		}
		s.events <- e
	}
	return actions
}

// awaitEvent waits for an event of a type that satisfies the condition, if there is one; others are skipped.
func awaitEvent[E scheduler.Event](t *testing.T, script *scriptedScheduler, condition func(E) bool) E {
	t.Helper()
	timeout := time.After(testTimeout)
	for {
		select {
		case e := <-script.events:
			if e, ok := e.(E); ok && (condition == nil || condition(e)) {
				return e
			}
		case <-timeout:
			t.Fatalf("no %T in %v", *new(E), testTimeout)
		}
	}
}

// awaitList waits for an update of the machine list that is not the restored one.
func awaitList(t *testing.T, script *scriptedScheduler) scheduler.MachineListUpdate {
	t.Helper()
	return awaitEvent(
		t,
		script,
		func(e scheduler.MachineListUpdate) bool { return e.Mode != scheduler.RestoredSnapshot },
	)
}

// attemptOn reacts to each request with an attempt on machine a, and fails it after its first outcome.
func attemptOn(timeout scheduler.Time) func(scheduler.Event) []scheduler.Action {
	return func(e scheduler.Event) []scheduler.Action {
		switch e := e.(type) {
		case scheduler.RequestReceived:
			return []scheduler.Action{scheduler.StartAttempt{ID: e.ID, Machine: "a", Timeout: timeout}}
		case scheduler.AttemptEnded:
			if !e.Final {
				return []scheduler.Action{scheduler.Fail{ID: e.ID}}
			}
		}
		return nil
	}
}

// harness is a server whose list names machines, with a client.
type harness struct {
	t      *testing.T
	server *Server
	script *scriptedScheduler
	client *testClient
}

func testConfig(t *testing.T) *config.Scheduler {
	t.Helper()
	settings, err := config.LoadScheduler("../../deploy/scheduler.yaml")
	if err != nil {
		t.Fatal(err)
	}
	settings.ListenAddr, settings.StateDir = "127.0.0.1:0", ""
	return settings
}

// startHarness takes the addresses of machines by their names.
func startHarness(
	t *testing.T,
	settings *config.Scheduler,
	react func(scheduler.Event) []scheduler.Action,
	machines map[string]string,
) *harness {
	t.Helper()
	h := &harness{t: t, script: newScript(react)}
	settings.MachineListAddr = serveMachineList(t, machines)
	h.server = runServer(t, settings, h.script)
	watchList(h.server)
	awaitList(t, h.script)
	h.client = dialClient(t, h.server.Addr())
	return h
}

func runServer(t *testing.T, settings *config.Scheduler, decisions Scheduler) *Server {
	t.Helper()
	server, err := New(settings, decisions, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- server.Run() }()
	t.Cleanup(func() {
		server.Stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return server
}

// runIncarnation runs a server until f returns, and stops it in order.
func runIncarnation(t *testing.T, settings *config.Scheduler, decisions Scheduler, f func(*Server)) {
	t.Helper()
	server, err := New(settings, decisions, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- server.Run() }()
	f(server)
	server.Stop()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

func watchList(server *Server) {
	server.loop.Post(func() { server.discovery.request(&protocol.WatchMachineList{Enabled: true}) })
}

// onLoop returns what f returns on the loop of the server.
func onLoop[T any](server *Server, f func() T) T {
	result := make(chan T, 1)
	server.loop.Post(func() { result <- f() })
	return <-result
}

func runOnLoop(server *Server, f func()) {
	onLoop(server, func() struct{} { f(); return struct{}{} })
}

// eventually waits for what another goroutine brings about.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the condition does not hold in %v", testTimeout)
		}
	}
}

// eventuallyOnLoop waits for a condition that is evaluated on the loop of the server.
func eventuallyOnLoop(t *testing.T, server *Server, condition func() bool) {
	t.Helper()
	eventually(t, func() bool { return onLoop(server, condition) })
}

// awaitReady waits until a machine has sent its inventory.
func (h *harness) awaitReady(id scheduler.MachineID) {
	h.t.Helper()
	eventuallyOnLoop(h.t, h.server, func() bool { return h.server.machines.find(id).ready() })
}

// applyList applies an update of one entry.
func (h *harness) applyList(entry protocol.MachineEntry) {
	runOnLoop(h.server, func() { h.server.machines.applyList(scheduler.DeltaUpdate, 2, []protocol.MachineEntry{entry}) })
}

// listenTCP listens and serves each connection on a goroutine until serve returns.
func listenTCP(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var serving sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	serving.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			serving.Go(func() {
				defer closeAgain(c)
				serve(c)
			})
		}
	})
	t.Cleanup(func() {
		closeAgain(listener)
		mu.Lock()
		for _, c := range conns {
			closeAgain(c)
		}
		mu.Unlock()
		serving.Wait()
	})
	return listener.Addr().String()
}

// closeAgain closes what may be closed already, which is an error of no account.
func closeAgain(c io.Closer) { _ = c.Close() }

func receiveFrame(c net.Conn) (protocol.Frame, error) {
	return protocol.ReadFrame(c, protocol.MaxFrame)
}

// skipFrame waits for a frame, or for the end of the connection.
func skipFrame(c net.Conn) { _, _ = receiveFrame(c) }

// sendFrames sends frames to a peer that may have closed the connection.
func sendFrames(c net.Conn, frames ...protocol.Frame) {
	for _, f := range frames {
		encoded, err := protocol.Append(nil, f)
		if err != nil {
			panic(err) // a test sends what can be encoded
		}
		_, _ = c.Write(encoded)
	}
}

// serveMachineList names machines by their addresses in a full list.
func serveMachineList(t *testing.T, machines map[string]string) string {
	t.Helper()
	return listenTCP(t, func(c net.Conn) {
		sendFrames(c, protocol.NewHello(protocol.RoleMachineList, "list", 1))
		list := &protocol.MachineListUpdate{FullSnapshot: true, Version: 1}
		for id, address := range machines {
			list.Entries = append(
				list.Entries,
				protocol.MachineEntry{Machine: id, Address: address, Incarnation: 1, Age: -1},
			)
		}
		for {
			f, err := receiveFrame(c)
			if err != nil {
				return
			}
			if _, ok := f.(*protocol.WatchMachineList); ok {
				sendFrames(c, list)
			}
		}
	})
}

// serveMachine sends hello and inventory, and hands each frame to handle until that returns false.
func serveMachine(
	t *testing.T,
	name string,
	inventory *protocol.Inventory,
	handle func(net.Conn, protocol.Frame) bool,
) string {
	t.Helper()
	return listenTCP(t, func(c net.Conn) {
		if f, err := receiveFrame(c); err != nil || f.(*protocol.Hello).Role != protocol.RoleScheduler {
			return
		}
		sendFrames(c, protocol.NewHello(protocol.RoleMachine, name, 1), inventory)
		for {
			f, err := receiveFrame(c)
			if err != nil || !handle(c, f) {
				return
			}
		}
	})
}

func ignoreFrame(net.Conn, protocol.Frame) bool { return true }

// serveSlowMachine sends hello and inventory when it gets an incarnation, and accepts every offer.
func serveSlowMachine(t *testing.T, name string) (address string, hello chan uint64, offered chan string) {
	t.Helper()
	hello, offered = make(chan uint64), make(chan string, 100)
	done := make(chan struct{})
	address = listenTCP(t, func(c net.Conn) {
		var incarnation uint64
		select {
		case incarnation = <-hello:
		case <-done:
			return
		}
		skipFrame(c)
		sendFrames(
			c,
			protocol.NewHello(protocol.RoleMachine, name, incarnation),
			&protocol.Inventory{MachineIncarnation: incarnation},
		)
		for {
			f, err := receiveFrame(c)
			if err != nil {
				return
			}
			if o, ok := f.(*protocol.Offer); ok {
				offered <- o.Spec.ContainerID
				sendFrames(c, &protocol.Accept{AttemptID: o.AttemptID, Running: true})
			}
		}
	})
	t.Cleanup(func() { close(done) })
	return address, hello, offered
}

type testClient struct {
	t *testing.T
	net.Conn
}

func dialClient(t *testing.T, address string) *testClient {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeAgain(c) })
	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	client := &testClient{t, c}
	sendFrames(c, protocol.NewHello(protocol.RoleClient, "client", 1))
	if hello, ok := client.receive().(*protocol.Hello); !ok || hello.Role != protocol.RoleScheduler {
		t.Fatal("the scheduler sends no hello")
	}
	return client
}

func (c *testClient) receive() protocol.Frame {
	c.t.Helper()
	f, err := receiveFrame(c)
	if err != nil {
		c.t.Fatalf("connection closed: %v", err)
	}
	return f
}

func (c *testClient) receiveReply() *protocol.PlacementReply {
	c.t.Helper()
	f := c.receive()
	reply, ok := f.(*protocol.PlacementReply)
	if !ok {
		c.t.Fatalf("got a %T, want a reply", f)
	}
	return reply
}

// wantReply receives a reply and checks its verdict.
func (c *testClient) wantReply(want protocol.Verdict) *protocol.PlacementReply {
	c.t.Helper()
	reply := c.receiveReply()
	if reply.Verdict != want {
		c.t.Fatalf("got %+v, want %v", reply, want)
	}
	return reply
}

// submit asks for a container under a key of its own.
func (c *testClient) submit(id string, class int) {
	sendFrames(c, &protocol.Submit{TimeToDeadline: 60_000, Spec: protocol.ContainerSpec{
		ContainerID: id, IdempotencyKey: "k-" + id, Service: "s",
		WorkloadClass: class, Cores: 1, Memory: 1,
	}})
}
