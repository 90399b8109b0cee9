package schedulerd

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"glenport/internal/config"
	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/internal/statemachine"
	"glenport/internal/testutil"
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

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// discardLog discards log lines, and panics on an illegal state transition.
var discardLog = slog.New(&transitionLog{illegal: func(err error) { panic(err) }})

// transitionLog is a log handler that reports illegal state transitions and discards all other lines.
type transitionLog struct {
	slog.Handler
	illegal func(error)
}

// Enabled implements slog.Handler.
func (*transitionLog) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler.
func (l *transitionLog) Handle(_ context.Context, record slog.Record) error {
	record.Attrs(func(attribute slog.Attr) bool {
		if err, ok := errors.AsType[*statemachine.TransitionError](errorOf(attribute)); ok {
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

// closeIgnoringError closes c, which may be closed already.
func closeIgnoringError(c io.Closer) { _ = c.Close() }

func testConfig(t *testing.T) *config.Scheduler {
	t.Helper()
	settings, err := config.LoadScheduler("../../deploy/scheduler.yaml")
	testutil.NoError(t, err)
	settings.ListenAddr, settings.StateDir = "127.0.0.1:0", ""
	return settings
}

// runServer runs a server until the end of the test or until stop is called. stop waits until Run has returned.
func runServer(t *testing.T, settings *config.Scheduler, decisions Scheduler) (server *Server, stop func()) {
	t.Helper()
	server, err := New(settings, decisions, discardLog)
	testutil.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- server.Run() }()
	stop = sync.OnceFunc(func() {
		server.Stop()
		testutil.ExpectNoError(t, <-done)
	})
	t.Cleanup(stop)
	return server, stop
}

// runIncarnation runs a server, calls f, and stops the server gracefully.
func runIncarnation(t *testing.T, settings *config.Scheduler, decisions Scheduler, f func(*Server)) {
	t.Helper()
	server, stop := runServer(t, settings, decisions)
	f(server)
	stop()
}

// onLoop calls f on the loop of the server, and returns its result.
func onLoop[T any](server *Server, f func() T) T {
	result := make(chan T, 1)
	server.loop.Post(func() { result <- f() })
	return <-result
}

func runOnLoop(server *Server, f func()) {
	onLoop(server, func() struct{} { f(); return struct{}{} })
}

// eventually waits until a condition holds. The loop of the server evaluates it every millisecond.
func eventually(t *testing.T, server *Server, condition func() bool) {
	t.Helper()
	fulfilled := make(chan struct{})
	var check func()
	check = func() {
		if condition() {
			close(fulfilled)
		} else {
			server.loop.After(eventloop.Millisecond, check)
		}
	}
	server.loop.Post(check)
	select {
	case <-fulfilled:
	case <-time.After(testTimeout):
		t.Fatalf("the condition does not hold within %v", testTimeout)
	}
}

func now(server *Server) scheduler.Time { return onLoop(server, server.now) }

func watchList(server *Server) { runOnLoop(server, func() { server.discovery.Watch(true) }) }

// harness is a server with a machine list and a client.
type harness struct {
	t      *testing.T
	server *Server
	script *scriptedScheduler
	client *testClient
	stop   func() // stops the server, and waits until Run has returned
}

// startHarness starts a server. The machine list contains the addresses of the machines by name.
func startHarness(t *testing.T, settings *config.Scheduler, react reaction, machines map[string]string) *harness {
	t.Helper()
	h := &harness{t: t, script: newScript(react)}
	settings.MachineListAddr = serveMachineList(t, machines)
	h.server, h.stop = runServer(t, settings, h.script)
	watchList(h.server)
	awaitList(t, h.script)
	h.client = dialClient(t, h.server.Addr())
	return h
}

// startWithMachineA calls startHarness with a list that contains only machine a.
func startWithMachineA(t *testing.T, settings *config.Scheduler, react reaction, address string) *harness {
	t.Helper()
	return startHarness(t, settings, react, map[string]string{"a": address})
}

// machineA returns machine a. It must be called on the loop.
func (h *harness) machineA() *machine { return h.server.machines.find("a") }

// eventually waits for a condition of machine a.
func (h *harness) eventually(condition func(a *machine) bool) {
	h.t.Helper()
	eventually(h.t, h.server, func() bool { return condition(h.machineA()) })
}

// awaitEnded waits for the end of an attempt.
func (h *harness) awaitEnded() scheduler.AttemptEnded {
	h.t.Helper()
	return awaitEvent[scheduler.AttemptEnded](h.t, h.script, nil)
}

// awaitCommit waits until all pending changes of the state are written.
func (h *harness) awaitCommit() {
	h.t.Helper()
	committed := make(chan error, 1)
	runOnLoop(h.server, func() { h.server.state.afterCommit(func(err error) { committed <- err }) })
	testutil.NoError(h.t, <-committed)
}

// applyList applies a list update with one entry.
func (h *harness) applyList(entry protocol.MachineEntry) {
	runOnLoop(h.server, func() {
		h.server.machines.applyList(scheduler.DeltaUpdate, 2, []protocol.MachineEntry{entry})
	})
}
