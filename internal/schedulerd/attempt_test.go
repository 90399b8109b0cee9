package schedulerd

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"

	"glenport/internal/protocol"
	"glenport/scheduler"
)

// machineServer starts a machine and returns its address.
type machineServer func(*testing.T) string

// respondToOffer is a machine that answers each offer with frames.
func respondToOffer(frames func(*protocol.Offer) []protocol.Frame) machineServer {
	return func(t *testing.T) string {
		return serveMachine(t, "a", &protocol.Inventory{}, func(c net.Conn, f protocol.Frame) bool {
			if o, ok := f.(*protocol.Offer); ok {
				sendFrames(c, frames(o)...)
			}
			return true
		})
	}
}

func refuseWith(outcome protocol.Outcome, reason protocol.Reason) machineServer {
	return respondToOffer(func(o *protocol.Offer) []protocol.Frame {
		return []protocol.Frame{
			&protocol.Result{
				AttemptID: o.AttemptID,
				Outcome:   outcome,
				Reason:    reason,
				Report:    map[string]float64{"queue": 3},
			},
		}
	})
}

func acceptThenEnd(outcome protocol.Outcome, reason protocol.Reason) machineServer {
	return respondToOffer(func(o *protocol.Offer) []protocol.Frame {
		return []protocol.Frame{
			&protocol.Accept{AttemptID: o.AttemptID, Running: true},
			&protocol.Result{AttemptID: o.AttemptID, Outcome: outcome, Reason: reason},
		}
	})
}

// closeOnOffer is a machine that closes the connection instead of an answer.
func closeOnOffer(reset bool) machineServer {
	return func(t *testing.T) string {
		return serveMachine(t, "a", &protocol.Inventory{}, func(c net.Conn, f protocol.Frame) bool {
			_, offer := f.(*protocol.Offer)
			if offer && reset {
				if err := c.(*net.TCPConn).SetLinger(0); err != nil {
					t.Error(err)
				}
			}
			return !offer
		})
	}
}

func ignoreOffers(name string) machineServer {
	return func(t *testing.T) string { return serveMachine(t, name, &protocol.Inventory{}, ignoreFrame) }
}

func nobodyListens(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer closeAgain(l)
	return l.Addr().String()
}

func neverSaysHello(t *testing.T) string {
	return listenTCP(t, func(c net.Conn) {
		buffer := make([]byte, 1000)
		for range 2 {
			_, _ = c.Read(buffer) // the hello, then the end of the connection
		}
	})
}

// Each outcome of the scheduler's contract arises from what happens on a socket.
func TestEveryOutcomeArisesOnSockets(t *testing.T) {
	unexpectedFrame := respondToOffer(func(*protocol.Offer) []protocol.Frame {
		return []protocol.Frame{
			&protocol.Submit{
				TimeToDeadline: 1,
				Spec:           protocol.ContainerSpec{ContainerID: "x", IdempotencyKey: "x", Service: "x"},
			},
		}
	})
	for _, tc := range []struct {
		name        string
		machine     machineServer
		want        scheduler.Outcome
		reason      scheduler.Reason
		final       bool
		termination protocol.Outcome
	}{
		{"full", refuseWith(protocol.OutcomeFull, protocol.ReasonNoMemory), scheduler.OutcomeFull, scheduler.ReasonNoMemory, false, 0},
		{"errored", refuseWith(protocol.OutcomeErrored, 0), scheduler.OutcomeErrored, 0, false, 0},
		{"finished", acceptThenEnd(protocol.OutcomeFinished, 0), scheduler.OutcomeFinished, 0, true, protocol.OutcomeFinished},
		{
			"out of memory", acceptThenEnd(protocol.OutcomeLost, protocol.ReasonOutOfMemory), scheduler.OutcomeLost, scheduler.ReasonOutOfMemory, true,
			protocol.OutcomeLost,
		},
		{
			"drained", acceptThenEnd(protocol.OutcomeLost, protocol.ReasonDrained), scheduler.OutcomeLost, scheduler.ReasonDrained, true,
			protocol.OutcomeLost,
		},
		{"no answer", ignoreOffers("a"), scheduler.OutcomeTimedOut, 0, false, 0},
		{"connection closed between offer and answer", closeOnOffer(false), scheduler.OutcomeLost, 0, false, 0},
		{"connection reset between offer and answer", closeOnOffer(true), scheduler.OutcomeLost, 0, false, 0},
		{"unexpected frame for an answer", unexpectedFrame, scheduler.OutcomeLost, 0, false, 0},
		{"nobody listens", nobodyListens, scheduler.OutcomeConnectFailed, 0, false, 0},
		{"accepts the connection and never says hello", neverSaysHello, scheduler.OutcomeConnectFailed, 0, false, 0},
		{"another machine answers", ignoreOffers("b"), scheduler.OutcomeConnectFailed, 0, false, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := startHarness(
				t,
				testConfig(t),
				attemptOn(1500*scheduler.Millisecond),
				map[string]string{"a": tc.machine(t)},
			)
			h.client.submit("x", classAtMostOnce)
			ended := awaitEvent[scheduler.AttemptEnded](t, h.script, nil)
			if ended.Outcome != tc.want || ended.Reason != tc.reason || ended.Final != tc.final ||
				ended.Machine != "a" ||
				ended.ID != "x" {
				t.Errorf("got %+v", ended)
			}
			if !tc.final {
				h.client.wantReply(protocol.VerdictFailed)
				return
			}
			h.client.wantReply(protocol.VerdictPlaced)
			if got, ok := h.client.receive().(*protocol.Termination); !ok || got.Outcome != tc.termination {
				t.Errorf("termination %+v", got)
			}
		})
	}
}

// A machine that never reads blocks its own output alone: no more is sent to it, and other clients are served
// meanwhile.
func TestMachineThatNeverReadsIsNotSentMore(t *testing.T) {
	done := make(chan struct{})
	address := listenTCP(t, func(c net.Conn) {
		skipFrame(c)
		sendFrames(c, protocol.NewHello(protocol.RoleMachine, "a", 1), &protocol.Inventory{})
		<-done
	})
	defer close(done)
	settings := testConfig(t)
	settings.Limits.OpenRequests, settings.Limits.OpenRequestsPerClient = 1_000_000, 1_000_000
	h := startHarness(t, settings, attemptOn(0), map[string]string{"a": address})
	sent := 0
	for notSent := false; !notSent; {
		for range 1000 {
			sendFrames(h.client, &protocol.Submit{TimeToDeadline: 600_000, Spec: protocol.ContainerSpec{
				ContainerID:    fmt.Sprint("x", sent),
				IdempotencyKey: fmt.Sprint(sent), Service: strings.Repeat("s", 150), WorkloadClass: classAtMostOnce,
			}})
			sent++
		}
		sendFrames(h.client, &protocol.StatusRequest{})
		_, notSent = h.client.receive().(*protocol.PlacementReply)
	}
	ended := awaitEvent[scheduler.AttemptEnded](t, h.script, nil)
	pending := onLoop(h.server, func() int { return h.server.machines.find("a").conn.conn.PendingOutput() })
	const oneIteration = 128 << 10
	if ended.Outcome != scheduler.OutcomeNotSent || pending > oneIteration {
		t.Errorf("after %d attempts %+v, %d bytes pending", sent, ended, pending)
	}
}

// What becomes of a late accept.
const (
	lateCancelled = "cancelled"
	lateAdopted   = "adopted"
)

// acceptAtProbe is a machine that accepts an offer when it is probed, which is the test's sign that the attempt has
// ended.
func acceptAtProbe(t *testing.T, seen chan<- string) string {
	attempts := make(chan uint64, 1)
	return serveMachine(t, "a", &protocol.Inventory{}, func(c net.Conn, f protocol.Frame) bool {
		switch f := f.(type) {
		case *protocol.Offer:
			attempts <- f.AttemptID
		case *protocol.Probe:
			sendFrames(c, &protocol.Accept{AttemptID: <-attempts, Running: true})
		case *protocol.CancelAttempt:
			seen <- lateCancelled
		}
		return true
	})
}

// probeAfterEnd attempts each request on machine a, optionally cancels the attempt at once, and probes the machine
// after it.
func probeAfterEnd(timeout scheduler.Time, cancel bool, seen chan<- string) func(scheduler.Event) []scheduler.Action {
	react := attemptOn(timeout)
	return func(e scheduler.Event) []scheduler.Action {
		switch e := e.(type) {
		case scheduler.AttemptEnded:
			return append(react(e), scheduler.Probe{Machine: "a"})
		case scheduler.RequestReceived:
			if cancel {
				return append(react(e), scheduler.CancelAttempt{ID: e.ID, Attempt: 0})
			}
		case scheduler.ContainerAdopted:
			seen <- lateAdopted
		}
		return react(e)
	}
}

// An accept that comes after its attempt was cancelled or has timed out changes no answer: idempotent work is
// cancelled, work that must not run twice is adopted.
func TestLateAcceptChangesNoAnswer(t *testing.T) {
	for _, tc := range []struct {
		name    string
		class   int
		cancel  bool
		timeout scheduler.Time // 0: at the deadline
		want    string
	}{
		{"timed out, idempotent", classIdempotent, false, 200 * scheduler.Millisecond, lateCancelled},
		{"timed out, at-most-once", classAtMostOnce, false, 200 * scheduler.Millisecond, lateAdopted},
		{"after the deadline, idempotent", classIdempotent, false, 0, lateCancelled},
		{"after the deadline, at-most-once", classAtMostOnce, false, 0, lateAdopted},
		{"cancelled, at-most-once", classAtMostOnce, true, 0, lateAdopted},
	} {
		t.Run(tc.name, func(t *testing.T) {
			seen := make(chan string, 10)
			h := startHarness(
				t,
				testConfig(t),
				probeAfterEnd(tc.timeout, tc.cancel, seen),
				map[string]string{"a": acceptAtProbe(t, seen)},
			)
			if tc.cancel { // without a ready connection the attempt is never sent
				h.server.loop.Post(func() { h.server.machines.connect("a") })
				h.awaitReady("a")
			}
			spec := protocol.ContainerSpec{
				ContainerID:    "x",
				IdempotencyKey: "k-x",
				Service:        "s",
				WorkloadClass:  tc.class,
			}
			sendFrames(h.client, &protocol.Submit{TimeToDeadline: 3000, Spec: spec})
			h.client.wantReply(protocol.VerdictFailed)
			got := <-seen
			if got == lateCancelled && tc.cancel {
				got = <-seen
			}
			if got != tc.want {
				t.Errorf("%s, want %s", got, tc.want)
			}
			if tc.want == lateAdopted { // a repeated request is answered with the machine
				spec.ContainerID = "y"
				sendFrames(h.client, &protocol.Submit{TimeToDeadline: 60_000, Spec: spec})
				if reply := h.client.wantReply(protocol.VerdictPlaced); reply.Machine != "a" {
					t.Errorf("got %+v", reply)
				}
			}
		})
	}
}

// A closed connection alone loses nothing: the next inventory decides. What it no longer lists is lost, what it lists
// of an earlier incarnation is adopted.
func TestInventoryAfterReconnectDecidesWhatIsLost(t *testing.T) {
	for _, tc := range []struct {
		name  string
		named bool
	}{{"still named", true}, {"no longer named", false}} {
		t.Run(tc.name, func(t *testing.T) {
			connections, attempt := 0, uint64(0)
			spec := protocol.ContainerSpec{
				ContainerID:    "x",
				IdempotencyKey: "k-x",
				Service:        "s",
				WorkloadClass:  classAtMostOnce,
			}
			earlier := protocol.InventoryItem{
				SchedulerIncarnation: 1, AttemptID: 7, Running: true,
				Spec: protocol.ContainerSpec{ContainerID: "old", IdempotencyKey: "k-old", Service: "s"},
			}
			reconnected := make(chan net.Conn, 10)
			address := listenTCP(t, func(c net.Conn) {
				hello, err := receiveFrame(c)
				if err != nil {
					return
				}
				inventory := &protocol.Inventory{Containers: []protocol.InventoryItem{earlier}}
				connections++
				if connections == 2 && tc.named {
					inventory.Containers = append(inventory.Containers, protocol.InventoryItem{
						SchedulerIncarnation: hello.(*protocol.Hello).Incarnation,
						AttemptID:            attempt,
						Running:              true,
						Spec:                 spec,
					})
				}
				sendFrames(c, protocol.NewHello(protocol.RoleMachine, "a", 1), inventory)
				if connections == 2 {
					reconnected <- c
				}
				for {
					f, err := receiveFrame(c)
					if err != nil {
						return
					}
					if o, ok := f.(*protocol.Offer); ok {
						attempt = o.AttemptID
						sendFrames(c, &protocol.Accept{AttemptID: attempt, Running: true})
						return
					}
				}
			})
			h := startHarness(t, testConfig(t), attemptOn(0), map[string]string{"a": address})
			if found := awaitEvent[scheduler.ContainerAdopted](
				t,
				h.script,
				nil,
			); found.ID != "old" ||
				found.Machine != "a" {
				t.Errorf("adopted %+v", found)
			}
			h.client.submit("x", classAtMostOnce)
			h.client.wantReply(protocol.VerdictPlaced)
			c := <-reconnected
			want := protocol.OutcomeLost
			if tc.named {
				want = protocol.OutcomeFinished
				sendFrames(c, &protocol.Result{AttemptID: attempt})
			}
			if got, ok := h.client.receive().(*protocol.Termination); !ok || got.Outcome != want {
				t.Errorf("termination %v, want %v", got, want)
			}
		})
	}
}

// With no descriptor left an attempt is known never to have run. Once there is one the next is sent.
func TestAttemptWithoutDescriptorIsNotSent(t *testing.T) {
	var old syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &old); err != nil {
		t.Fatal(err)
	}
	setLimit := func(limit syscall.Rlimit) {
		t.Helper()
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
			t.Fatal(err)
		}
	}
	defer setLimit(old)
	closed := make(chan struct{}, 10) // a descriptor of the machine that is freed late would be one to use
	address := listenTCP(t, func(c net.Conn) {
		skipFrame(c)
		sendFrames(c, protocol.NewHello(protocol.RoleMachine, "a", 1), &protocol.Inventory{})
		for {
			f, err := receiveFrame(c)
			if err != nil {
				closeAgain(c)
				closed <- struct{}{}
				return
			}
			if o, ok := f.(*protocol.Offer); ok {
				sendFrames(c, &protocol.Accept{AttemptID: o.AttemptID, Running: true})
			}
		}
	})
	h := startHarness(t, testConfig(t), attemptOn(0), map[string]string{"a": address})
	h.awaitReady("a") // the reconciler asks for the inventory
	h.server.loop.Post(func() { h.server.machines.find("a").conn.reset() })
	eventuallyOnLoop(t, h.server, func() bool { return h.server.machines.find("a").conn.state == machineDisconnected })
	<-closed
	lowest, err := syscall.Dup(0)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Close(lowest); err != nil {
		t.Fatal(err)
	}
	setLimit(syscall.Rlimit{Cur: uint64(lowest), Max: old.Max})
	h.client.submit("x", classAtMostOnce)
	// no failure of the machine
	if ended := awaitEvent[scheduler.AttemptEnded](t, h.script, nil); ended.Outcome != scheduler.OutcomeNotSent {
		t.Errorf("got %+v", ended)
	}
	h.client.wantReply(protocol.VerdictFailed)
	setLimit(old)
	h.client.submit("y", classAtMostOnce)
	h.client.wantReply(protocol.VerdictPlaced)
}
