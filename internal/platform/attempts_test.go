package platform

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"glenport/internal/platform/jsonlines"
	"glenport/internal/testutil"
	"glenport/scheduler"
)

// Each answer of a machine leads to its outcome in the scheduler's contract, and the client gets one answer.
func TestEachMachineAnswerHasItsOutcome(t *testing.T) {
	accept := `{"op":"accept","call":"%s","with":{},"desc":"made\u0020here"}`
	otherAccept := strings.Replace(accept, "%s", otherRequestID, 1)
	end := func(cause int, fields string) string {
		return fmt.Sprintf(`{"op":"end","call":"%%s","with":{%s},"why":%d}`, fields, cause)
	}
	full := failsAfter(scheduler.OutcomeFull)
	full.reason, full.report = scheduler.ReasonNoMemory, 1.5
	lost, noMemory := failsAfter(scheduler.OutcomeLost), lostFor(scheduler.ReasonOutOfMemory)
	drained := lostFor(scheduler.ReasonDrained)
	finished := outcomeTest{outcome: scheduler.OutcomeFinished, final: true, causes: []int{causeOfAccept, 16}}
	for _, tc := range []struct {
		name    string
		answers []string
		want    outcomeTest
	}{
		{"full", []string{end(34, `"note":"mem_full","load":"x0:1.5;x1:2"`)}, full},
		{"erred", []string{end(47, "")}, failsAfter(scheduler.OutcomeErrored)},
		{"not sent", []string{end(102, "")}, failsAfter(scheduler.OutcomeNotSent)},
		{"lost on its way", []string{end(41, "")}, lost},
		{"out of memory, its accept is late", []string{end(41, `"note":"oom"`), accept}, noMemory},
		{"drained, its accept is lost", []string{end(41, `"note":"drained"`)}, drained},
		{"its time has passed", []string{end(16, "")}, failsAfter(scheduler.OutcomeFinished)},
		{"another cause", []string{end(99, "")}, lost},
		{"finished", []string{accept, end(16, "")}, finished},
		{"out of memory", []string{accept, end(41, `"note":"oom"`)}, noMemory.accepted()},
		{"drained", []string{accept, end(41, `"note":"drained"`)}, drained.accepted()},
		{"two accepts", []string{accept, accept, end(16, "")}, finished},
		{"an accept of another container ahead", []string{otherAccept, accept, end(16, "")}, finished},
		{"an accept without a description", []string{`{"op":"accept","call":"%s","with":{}}`}, lost},
		{"noise", []string{"\x01\x02\xff"}, lost},
		{"a line that never ends", []string{strings.Repeat("x", 20<<10)}, lost},
		{"closes the connection", []string{"close"}, lost},
		{"answers nothing", nil, failsAfter(scheduler.OutcomeTimedOut)},
	} {
		t.Run(tc.name, func(t *testing.T) { tc.want.check(t, tc.answers) })
	}
}

const causeOfAccept = -1 // an accept has no cause

// outcomeTest is the expected result of the answers of a machine to one offer.
type outcomeTest struct {
	outcome scheduler.Outcome
	reason  scheduler.Reason
	report  float64 // value x0 of the load report
	final   bool
	causes  []int // of the messages that the client receives, in order
}

// failsAfter is an outcome after which the scheduler fails the request.
func failsAfter(outcome scheduler.Outcome) outcomeTest {
	return outcomeTest{outcome: outcome, causes: []int{41}}
}

// lostFor is the loss of a container that may have run.
func lostFor(reason scheduler.Reason) outcomeTest {
	return outcomeTest{outcome: scheduler.OutcomeLost, reason: reason, final: true, causes: []int{41}}
}

// accepted returns the same result for a container that was accepted before the answers.
func (want outcomeTest) accepted() outcomeTest {
	want.causes = append([]int{causeOfAccept}, want.causes...)
	return want
}

func (want outcomeTest) check(t *testing.T, answers []string) {
	t.Helper()
	r := startWithMachineA(t, fakeMachine(t, answers...), attemptOnA(300*scheduler.Millisecond))
	client := r.request(requestID)
	e := await[scheduler.AttemptEnded](r, nil)
	if e.Outcome != want.outcome || e.Reason != want.reason || e.Final != want.final || e.Machine != "a" ||
		e.ID != requestID {
		t.Errorf("got %+v", e)
	}
	testutil.Expect(t, e.Report["x0"] == want.report, "report %v", e.Report)
	for _, cause := range want.causes {
		msg := client.receive()
		testutil.Require(t, msg != nil && msg.RequestID == requestID && msg.CauseOrNone() == cause,
			"the client received %+v, want cause %d", msg, cause)
		if cause == causeOfAccept && (msg.Op != jsonlines.OpAccept || string(msg.Description) != `"made\u0020here"`) {
			t.Errorf("received %+v", msg)
		}
	}
	client.expectLive(1) // no other message comes before the answer
}

func TestRefusedConnectionIsConnectFailed(t *testing.T) {
	l := testutil.Listen(t)
	testutil.NoError(t, l.Close())
	r := startWithMachineA(t, l.Addr().String(), attemptOnA(0))
	r.request(requestID)
	r.awaitOutcome(scheduler.AttemptEnded{ID: requestID, Outcome: scheduler.OutcomeConnectFailed})
}

// An offer is forwarded unchanged, with the fields that machines need and no others.
func TestOfferIsForwarded(t *testing.T) {
	addr, received := recordingMachine(t)
	r := startWithMachineA(t, addr, attemptOnA(scheduler.Second))
	r.request(requestID)
	a := await[scheduler.RequestReceived](r, nil)
	if a.WorkloadClass != 1 || a.Tenant != 1 || a.Cores != 1 || a.Memory != 2 || a.Service != "s1" ||
		a.IdempotencyKey != "k"+requestID || a.ClientRetry {
		t.Errorf("requested %+v", a.PlacementRequest)
	}
	msg := <-received
	if msg.RequestID != requestID || msg.Fields["class"] != "report-run" || msg.Fields["key"] != "k"+requestID ||
		msg.Fields["idem"] != "i1" || len(msg.Fields) != 4 || string(msg.Description) != `"v=0\r\n"` {
		t.Errorf("offered %+v", msg)
	}
}

// If a client cancels its request or disconnects, the attempt is cancelled.
func TestCancelledRequestCancelsItsAttempt(t *testing.T) {
	for _, tc := range []struct {
		way    string
		cancel func(*peer)
	}{
		{"end", func(client *peer) { client.send(endLine(requestID, 16)) }},
		{"close", (*peer).close},
	} {
		t.Run(tc.way, func(t *testing.T) {
			addr, received := recordingMachine(t)
			r := startWithMachineA(t, addr, attemptOnA(0))
			client := r.request(requestID)
			<-received
			tc.cancel(client)
			if msg := <-received; !isMessage(msg, jsonlines.OpEnd, requestID, jsonlines.CauseNormal) {
				t.Errorf("the machine received %+v", msg)
			}
			await[scheduler.ContainerRemoved](r, nil)
			r.awaitOutcome(scheduler.AttemptEnded{ID: requestID, Outcome: scheduler.OutcomeStopped, Final: true})
		})
	}
}

// The client disconnects in the batch in which the scheduler starts an attempt: the attempt still has an outcome.
func TestAttemptForUnknownContainerHasOutcome(t *testing.T) {
	r := startWithMachineA(t, closedAddr, attemptOnA(0))
	r.runOnLoop(func() { r.server.applySchedulerAction(scheduler.StartAttempt{ID: requestID, Machine: "a"}) })
	e := await[scheduler.AttemptEnded](r, nil)
	testutil.Expect(t, e.ID == requestID && e.Machine == "a" && e.Outcome == scheduler.OutcomeNotSent && e.Final,
		"got %+v", e)
}

// A client disconnects while its attempt waits for a connection: the machine receives no offer, or the offer and its
// cancel.
func TestClientLeavesWhileConnOpens(t *testing.T) {
	addr, received := recordingMachine(t)
	r := startWithMachineA(t, addr, attemptOnA(0))
	client := r.dialClient()
	r.runOnLoop(func() {
		r.scheduler.script = func(e scheduler.Event) []scheduler.Action {
			if e, ok := e.(scheduler.RequestReceived); ok && e.ID == requestID {
				client.close() // its end is read before the connection is established
			}
			return attemptOnA(0)(e)
		}
	})
	client.send(offerLine(requestID, ""))
	await[scheduler.ContainerRemoved](r, nil)
	await[scheduler.AttemptEnded](r, nil)
	r.request(otherRequestID)
	offers, ends := 0, 0
	for msg := <-received; msg.RequestID != otherRequestID; msg = <-received {
		switch {
		case msg.Op == jsonlines.OpOffer:
			offers++
		case isMessage(msg, jsonlines.OpEnd, requestID, jsonlines.CauseNormal):
			ends++
		}
	}
	testutil.Expect(t, offers == ends,
		"the machine received %d offers and %d ends of a request whose client had disconnected", offers, ends)
}

// A connection is established after the attempt that waited for it has timed out: it carries the next attempt, and not
// the one that has timed out.
func TestLateConnCarriesNextAttempt(t *testing.T) {
	addr, listen := fullListener(t)
	config := configJSON(silentDiscovery(t), 256, snapshotJSON(1, machineJSON("a", addr, "ready", 0)))
	r := startServer(t, func(e scheduler.Event) []scheduler.Action {
		if e, ok := e.(scheduler.RequestReceived); ok && e.ID == otherRequestID {
			return attemptOnA(9 * scheduler.Second)(e)
		}
		return attemptOnA(50 * scheduler.Millisecond)(e)
	}, strings.Replace(config, `"connect_timeout_ms":250.0`, `"connect_timeout_ms":9000.0`, 1))
	client := r.request(requestID)
	r.awaitOutcome(scheduler.AttemptEnded{ID: requestID, Outcome: scheduler.OutcomeConnectFailed})
	client.expectFailed(requestID)
	received := make(chan string, 10)
	t.Cleanup(serveListener(t, listen(), func(m *peer) {
		for msg := m.receive(); msg != nil; msg = m.receive() {
			received <- msg.RequestID
			m.send(acceptLine(msg.RequestID))
		}
	}))
	client.send(offerLineWithin(otherRequestID, "9000"))
	client.expect(jsonlines.OpAccept, otherRequestID)
	if id := <-received; id != otherRequestID || len(received) > 0 {
		t.Errorf("the machine received %s first, and %d more", id, len(received))
	}
}

// fullListener opens a port whose accept queue is full. The kernel drops further connections, which are retried and
// succeed once listen was called.
func fullListener(t *testing.T) (addr string, listen func() net.Listener) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	testutil.NoError(t, err)
	testutil.NoError(t, errors.Join(
		syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}),
		syscall.Listen(fd, 0),
	))
	own, err := syscall.Getsockname(fd)
	testutil.NoError(t, err)
	addr = fmt.Sprintf("127.0.0.1:%d", own.(*syscall.SockaddrInet4).Port)
	dialer := net.Dialer{Timeout: 50 * time.Millisecond}
	for range 4 {
		if c, err := dialer.DialContext(t.Context(), "tcp", addr); err == nil {
			newPeer(t, c).close()
		}
	}
	return addr, func() net.Listener {
		f := os.NewFile(uintptr(fd), "full")
		l, err := net.FileListener(f)
		testutil.NoError(t, errors.Join(err, f.Close()))
		return l
	}
}

// A full snapshot does not name a machine: its containers have ended, and an accept that arrives then is not counted
// and is cancelled.
func TestAcceptOfGoneMachineIsCancelled(t *testing.T) {
	discovery, publish := scriptedDiscovery(t)
	accept, received := make(chan bool), make(chan *jsonlines.Message, 10)
	addr := serveMessages(t, func(m *peer, msg *jsonlines.Message) {
		if msg.Op != jsonlines.OpOffer {
			received <- msg
			return
		}
		if msg.RequestID == otherRequestID {
			<-accept
		}
		m.send(acceptLine(msg.RequestID))
	})
	r := startWithDiscovery(t, discovery, machineJSON("a", addr, "ready", 0))
	client := r.place()
	client.send(offerLine(otherRequestID, ""))
	await(r, func(e scheduler.RequestReceived) bool { return e.ID == otherRequestID })
	publish(snapshotJSON(2))
	client.expectFailed(requestID)
	close(accept)
	client.expectFailed(otherRequestID)
	r.awaitOutcome(scheduler.AttemptEnded{ID: requestID, Outcome: scheduler.OutcomeLost, Final: true})
	r.awaitOutcome(scheduler.AttemptEnded{ID: otherRequestID, Outcome: scheduler.OutcomeLost})
	if msg := <-received; !isMessage(msg, jsonlines.OpEnd, otherRequestID, jsonlines.CauseNormal) {
		t.Errorf("the machine received %+v", msg)
	}
}
