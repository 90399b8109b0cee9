package platform

import (
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"glenport/internal/eventloop"
	"glenport/internal/platform/jsonlines"
	"glenport/internal/testutil"
	"glenport/scheduler"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	testTimeout        = 10 * time.Second // a test fails if it waits longer
	programDescriptors = 14               // descriptors that the program itself may hold
)

// scriptedScheduler decides by a script, or by the scheduler that it wraps, and records the events.
type scriptedScheduler struct {
	mu      sync.Mutex
	script  func(e scheduler.Event) []scheduler.Action
	wrapped Scheduler // decides if there is no script
	events  chan scheduler.Event
}

func (s *scriptedScheduler) Handle(now scheduler.Time, events []scheduler.Event) []scheduler.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	var actions []scheduler.Action
	if s.script == nil {
		actions = s.wrapped.Handle(now, events)
	}
	for _, e := range events {
		if s.script != nil {
			actions = append(actions, s.script(e)...)
		}
		s.events <- e
	}
	return actions
}

// attemptOnA attempts each container on machine a, and fails its request after the first outcome.
func attemptOnA(timeout scheduler.Time) func(scheduler.Event) []scheduler.Action {
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

// testServer is a running server with its scheduler.
type testServer struct {
	*testing.T
	server    *Server
	scheduler *scriptedScheduler
}

func startServer(t *testing.T, on func(scheduler.Event) []scheduler.Action, configText string) *testServer {
	t.Helper()
	config, err := parseConfig([]byte(configText))
	testutil.NoError(t, err)
	r := &testServer{T: t, scheduler: &scriptedScheduler{
		script:  on,
		wrapped: scheduler.New(config.Scheduler),
		events:  make(chan scheduler.Event, 100_000),
	}}
	r.server, err = New(config, r.scheduler, slog.New(slog.DiscardHandler), false)
	testutil.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- r.server.Run() }()
	t.Cleanup(func() {
		r.server.env.loop.Stop()
		testutil.ExpectNoError(t, <-done)
	})
	return r
}

// startWithMachineA starts a server that knows machine a, with a discovery service that has no further events.
func startWithMachineA(t *testing.T, addr string, on func(scheduler.Event) []scheduler.Action) *testServer {
	t.Helper()
	return startServer(t, on, configJSON(silentDiscovery(t), 256, snapshotJSON(1, machineJSON("a", addr, "ready", 0))))
}

// startWithDiscovery starts a server that knows some machines and attempts each container on machine a.
func startWithDiscovery(t *testing.T, discovery string, machines ...string) *testServer {
	t.Helper()
	return startServer(t, attemptOnA(0), configJSON(discovery, 256, snapshotJSON(1, machines...)))
}

// loggingEnvironment is an environment without an event loop.
func loggingEnvironment(log io.Writer) *environment {
	return &environment{config: &Config{}, log: slog.New(slog.NewTextHandler(log, nil))}
}

// await waits for an event of a type for which match is true; nil accepts any event of the type.
func await[E scheduler.Event](r *testServer, match func(E) bool) E {
	r.Helper()
	timeout := time.After(testTimeout)
	for {
		select {
		case e := <-r.scheduler.events:
			if e, ok := e.(E); ok && (match == nil || match(e)) {
				return e
			}
		case <-timeout:
			var none E
			r.Fatalf("no %T came", none)
		}
	}
}

// awaitList waits for the next update of the machine list and checks its version.
func (r *testServer) awaitList(version int64) scheduler.MachineListUpdate {
	r.Helper()
	e := await[scheduler.MachineListUpdate](r, nil)
	testutil.Expect(r, e.Version == version, "version %d was applied, want %d", e.Version, version)
	return e
}

// awaitOutcome waits for the next outcome of an attempt and checks container, outcome and whether it is final.
func (r *testServer) awaitOutcome(want scheduler.AttemptEnded) {
	r.Helper()
	e := await[scheduler.AttemptEnded](r, nil)
	testutil.Expect(r, e.ID == want.ID && e.Outcome == want.Outcome && e.Final == want.Final,
		"got %+v, want %+v", e, want)
}

// runOnLoop runs f on the goroutine of the server's loop and waits for it.
func (r *testServer) runOnLoop(f func()) {
	r.Helper()
	done := make(chan bool)
	r.server.env.loop.Post(func() { f(); close(done) })
	select {
	case <-done:
	case <-time.After(testTimeout):
		r.Fatal("the loop is stuck")
	}
}

// markShuttingDown, called on the loop, sets the state of a shutdown that started some time ago.
func (r *testServer) markShuttingDown(ago eventloop.Tick) {
	shutdown := r.server.shutdown
	shutdown.state, shutdown.startedAt = processDraining, r.server.env.loop.Now()-ago
}

// request connects a client that sends a request.
func (r *testServer) request(id string) *peer {
	r.Helper()
	client := r.dialClient()
	client.send(offerLine(id, ""))
	return client
}

// place connects a client whose container requestID is placed.
func (r *testServer) place() *peer {
	r.Helper()
	client := r.request(requestID)
	client.expect(jsonlines.OpAccept, requestID)
	return client
}

// dialClients connects clients that send nothing.
func (r *testServer) dialClients(count int) {
	r.Helper()
	for range count {
		r.dialClient()
	}
}

// awaitClientConns waits until count client connections are open.
func (r *testServer) awaitClientConns(count int) {
	r.Helper()
	for open := 0; open < count; {
		r.runOnLoop(func() { open = len(r.server.clients.conns) })
	}
}

// expectWithinDescriptors, called on the loop, checks that connections and program never exceeded the descriptors.
func (r *testServer) expectWithinDescriptors(descriptors int) {
	r.Helper()
	n := r.server.env.loop.PeakConnCount()
	testutil.Expect(r, n+programDescriptors <= descriptors, "%d connections at once, of %d descriptors", n, descriptors)
}
