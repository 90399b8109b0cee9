package schedulerd

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/internal/testutil"
	"glenport/internal/testutil/frames"
	"glenport/scheduler"
)

// machineServer starts a machine and returns its address.
type machineServer func(*testing.T) string

func serveOffers(handle func(net.Conn, *protocol.Offer) bool) machineServer {
	return func(t *testing.T) string {
		t.Helper()
		return serveMachine(t, "a", frames.OnOffer(handle))
	}
}

// respondToOffer returns a machine that answers each offer with frames.
func respondToOffer(answers func(*protocol.Offer) []protocol.Frame) machineServer {
	return serveOffers(func(c net.Conn, o *protocol.Offer) bool {
		frames.Send(c, answers(o)...)
		return true
	})
}

func respondWithResult(outcome protocol.Outcome, reason protocol.Reason) machineServer {
	report := map[string]float64{"queue": 3}
	return respondToOffer(func(o *protocol.Offer) []protocol.Frame {
		return []protocol.Frame{
			&protocol.Result{AttemptID: o.AttemptID, Outcome: outcome, Reason: reason, Report: report},
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

// closeOnOffer closes the connection instead of answering.
func closeOnOffer(net.Conn, *protocol.Offer) bool { return false }

// resetOnOffer resets the connection instead of answering.
func resetOnOffer(c net.Conn, _ *protocol.Offer) bool {
	if err := c.(*net.TCPConn).SetLinger(0); err != nil {
		panic(err)
	}
	return false
}

func ignoreOffers(name string) machineServer {
	return func(t *testing.T) string {
		t.Helper()
		return serveMachine(t, name, frames.Ignore)
	}
}

func noListener(t *testing.T) string {
	t.Helper()
	l := testutil.Listen(t)
	defer closeIgnoringError(l)
	return l.Addr().String()
}

func withoutHello(t *testing.T) string {
	t.Helper()
	return testutil.ServeUntilEnd(t, func(c net.Conn) {
		buffer := make([]byte, 1000)
		for range 2 {
			_, _ = c.Read(buffer) // the hello, then the end of the connection
		}
	})
}

// expectedEnd describes what the scheduler and the client receive at the end of an attempt.
type expectedEnd struct {
	outcome     scheduler.Outcome
	reason      scheduler.Reason
	final       bool
	termination protocol.Outcome // if final
}

func failed(outcome scheduler.Outcome) expectedEnd { return expectedEnd{outcome: outcome} }

// terminated returns the expected end of a container that ran.
func terminated(outcome scheduler.Outcome, reason scheduler.Reason, termination protocol.Outcome) expectedEnd {
	return expectedEnd{outcome, reason, true, termination}
}

// Each outcome that the scheduler can receive is produced by a machine or a connection failure.
func TestEveryOutcomeOverSockets(t *testing.T) {
	unexpectedFrame := respondToOffer(func(*protocol.Offer) []protocol.Frame {
		return []protocol.Frame{&protocol.Submit{TimeToDeadline: 1, Spec: specFor("x", classIdempotent)}}
	})
	full := expectedEnd{outcome: scheduler.OutcomeFull, reason: scheduler.ReasonNoMemory}
	finished := terminated(scheduler.OutcomeFinished, 0, protocol.OutcomeFinished)
	outOfMemory := terminated(scheduler.OutcomeLost, scheduler.ReasonOutOfMemory, protocol.OutcomeLost)
	drained := terminated(scheduler.OutcomeLost, scheduler.ReasonDrained, protocol.OutcomeLost)
	unreached := failed(scheduler.OutcomeConnectFailed)
	for _, tc := range []struct {
		name    string
		machine machineServer
		want    expectedEnd
	}{
		{"full", respondWithResult(protocol.OutcomeFull, protocol.ReasonNoMemory), full},
		{"errored", respondWithResult(protocol.OutcomeErrored, 0), failed(scheduler.OutcomeErrored)},
		{"finished", acceptThenEnd(protocol.OutcomeFinished, 0), finished},
		{"out of memory", acceptThenEnd(protocol.OutcomeLost, protocol.ReasonOutOfMemory), outOfMemory},
		{"drained", acceptThenEnd(protocol.OutcomeLost, protocol.ReasonDrained), drained},
		{"no answer", ignoreOffers("a"), failed(scheduler.OutcomeTimedOut)},
		{"connection closed between offer and answer", serveOffers(closeOnOffer), failed(scheduler.OutcomeLost)},
		{"connection reset between offer and answer", serveOffers(resetOnOffer), failed(scheduler.OutcomeLost)},
		{"unexpected frame for an answer", unexpectedFrame, failed(scheduler.OutcomeLost)},
		{"no listener", noListener, unreached},
		{"accepts the connection and sends no hello", withoutHello, unreached},
		{"another machine answers", ignoreOffers("b"), unreached},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := startWithMachineA(t, testConfig(t), attemptOn(1500*scheduler.Millisecond), tc.machine(t))
			h.client.submit("x", classAtMostOnce)
			ended := h.awaitEnded()
			got := expectedEnd{ended.Outcome, ended.Reason, ended.Final, tc.want.termination}
			testutil.Expect(t, got == tc.want && ended.Machine == "a" && ended.ID == "x", "got %+v", ended)
			if !tc.want.final {
				h.client.wantReply(protocol.VerdictFailed)
				return
			}
			h.client.wantReply(protocol.VerdictPlaced)
			h.client.wantTermination(tc.want.termination)
		})
	}
}

// A machine counts the timeout of an offer from its receipt. If the process stalls within an iteration, for example
// under CPU contention, the offer must carry the time that is left when it is sent. No offer is sent after the
// deadline.
func TestOfferTimeoutIsTheTimeLeftWhenSent(t *testing.T) {
	const timeout, stall = scheduler.Second, 20 * eventloop.Millisecond
	loops := make(chan *eventloop.Loop, 1)
	stalled := func(e scheduler.Event) []scheduler.Action {
		if request, ok := e.(scheduler.RequestReceived); ok && request.ID != "first" {
			for loop := <-loops; loop.ReadClock()-loop.Now() < stall; {
				continue
			}
		}
		return attemptOn(timeout)(e)
	}
	offers := make(chan *protocol.Offer, 2)
	machine := serveOffers(func(c net.Conn, o *protocol.Offer) bool {
		offers <- o
		return acceptOffer(c, o)
	})
	h := startWithMachineA(t, testConfig(t), stalled, machine(t))
	h.client.submit("first", classIdempotent) // opens the connection
	h.client.wantReply(protocol.VerdictPlaced)
	loops <- h.server.loop
	h.client.submit("second", classIdempotent)
	h.client.wantReply(protocol.VerdictPlaced)
	<-offers
	timeLeft := scheduler.Time((<-offers).Timeout)
	testutil.Expect(t, timeLeft <= timeout-scheduler.Time(stall),
		"%d of %d ticks are left after a stall", timeLeft, timeout)
}

// A machine that does not read must not affect others: further offers to it end as not sent, the pending output is
// bounded, and clients are still served.
func TestMachineThatDoesNotReadGetsNoMoreOffers(t *testing.T) {
	done := make(chan struct{})
	address := testutil.ServeUntilEnd(t, func(c net.Conn) {
		frames.Skip(c)
		sendHello(c, "a", 1, &protocol.Inventory{})
		<-done
	})
	defer close(done)
	settings := testConfig(t)
	settings.Limits.OpenRequests, settings.Limits.OpenRequestsPerClient = 1_000_000, 1_000_000
	settings.SilenceTimeout = 600 * eventloop.Second // the machine sends nothing, which must not end its connection
	h := startWithMachineA(t, settings, attemptOn(0), address)
	sent := 0
	for notSent := false; !notSent; {
		for range 1000 {
			frames.Send(h.client, &protocol.Submit{TimeToDeadline: 600_000, Spec: protocol.ContainerSpec{
				ContainerID:    fmt.Sprint("x", sent),
				IdempotencyKey: strconv.Itoa(sent), Service: strings.Repeat("s", 150), WorkloadClass: classAtMostOnce,
			}})
			sent++
		}
		frames.Send(h.client, &protocol.StatusRequest{})
		_, notSent = h.client.receive().(*protocol.PlacementReply)
	}
	ended := h.awaitEnded()
	pending := onLoop(h.server, func() int { return h.machineA().conn.conn.PendingOutput() })
	const oneIteration = 128 << 10
	testutil.Expect(t, ended.Outcome == scheduler.OutcomeNotSent && pending <= oneIteration,
		"after %d attempts %+v, %d bytes pending", sent, ended, pending)
}

// Without a free file descriptor an attempt ends as not sent, which is no failure of the machine. Once a descriptor is
// free, the next attempt is sent.
func TestAttemptWithoutDescriptorIsNotSent(t *testing.T) {
	var old syscall.Rlimit
	testutil.NoError(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &old))
	setLimit := func(limit syscall.Rlimit) {
		t.Helper()
		testutil.NoError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit))
	}
	defer setLimit(old)
	closed := make(chan struct{}, 10) // awaited, because the server could use a descriptor that is freed later
	address := testutil.ServeUntilEnd(t, func(c net.Conn) {
		frames.Skip(c)
		sendHello(c, "a", 1, &protocol.Inventory{})
		frames.Handle(c, frames.OnOffer(acceptOffer))
		closeIgnoringError(c)
		closed <- struct{}{}
	})
	h := startWithMachineA(t, testConfig(t), attemptOn(0), address)
	h.eventually((*machine).ready) // the reconciler requests the inventory
	runOnLoop(h.server, func() { h.machineA().conn.reset() })
	h.eventually(func(a *machine) bool { return a.conn.state == machineDisconnected })
	<-closed
	lowest, err := syscall.Dup(0)
	testutil.NoError(t, err)
	testutil.NoError(t, syscall.Close(lowest))
	setLimit(syscall.Rlimit{Cur: uint64(lowest), Max: old.Max})
	h.client.submit("x", classAtMostOnce)
	ended := h.awaitEnded()
	testutil.Expect(t, ended.Outcome == scheduler.OutcomeNotSent, "got %+v", ended)
	h.client.wantReply(protocol.VerdictFailed)
	setLimit(old)
	h.client.submit("y", classAtMostOnce)
	h.client.wantReply(protocol.VerdictPlaced)
}
