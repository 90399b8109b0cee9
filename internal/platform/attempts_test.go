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
	"glenport/scheduler"
)

// Each outcome of the scheduler's contract follows from what a machine really sends, and the client gets one answer.
func TestEachMachineAnswerHasItsOutcome(t *testing.T) {
	accept := `{"op":"accept","call":"%s","with":{},"desc":"made\u0020here"}`
	otherAccept := strings.Replace(accept, "%s", otherRequestID, 1)
	end := func(cause int, fields string) string {
		return fmt.Sprintf(`{"op":"end","call":"%%s","with":{%s},"why":%d}`, fields, cause)
	}
	lost := outcomeTest{outcome: scheduler.OutcomeLost, causes: []int{41}}
	noMemory := outcomeTest{
		outcome: scheduler.OutcomeLost,
		reason:  scheduler.ReasonOutOfMemory,
		final:   true,
		causes:  []int{41},
	}
	drained := outcomeTest{
		outcome: scheduler.OutcomeLost,
		reason:  scheduler.ReasonDrained,
		final:   true,
		causes:  []int{41},
	}
	finished := outcomeTest{outcome: scheduler.OutcomeFinished, final: true, causes: []int{causeOfAccept, 16}}
	for _, tc := range []struct {
		name    string
		answers []string
		want    outcomeTest
	}{
		{
			"full",
			[]string{end(34, `"note":"mem_full","load":"x0:1.5;x1:2"`)},
			outcomeTest{outcome: scheduler.OutcomeFull, reason: scheduler.ReasonNoMemory, report: 1.5, causes: []int{41}},
		},
		{"erred", []string{end(47, "")}, outcomeTest{outcome: scheduler.OutcomeErrored, causes: []int{41}}},
		{"not sent", []string{end(102, "")}, outcomeTest{outcome: scheduler.OutcomeNotSent, causes: []int{41}}},
		{"lost on its way", []string{end(41, "")}, lost},
		{"out of memory, its accept is late", []string{end(41, `"note":"oom"`), accept}, noMemory},
		{"drained, its accept is lost", []string{end(41, `"note":"drained"`)}, drained},
		{"its time has passed", []string{end(16, "")}, outcomeTest{outcome: scheduler.OutcomeFinished, causes: []int{41}}},
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
		{"answers nothing", nil, outcomeTest{outcome: scheduler.OutcomeTimedOut, causes: []int{41}}},
	} {
		t.Run(tc.name, func(t *testing.T) { tc.want.check(t, tc.answers) })
	}
}

const causeOfAccept = -1 // an accept has no cause

// outcomeTest is what has to follow from the answers of a machine to one offer.
type outcomeTest struct {
	outcome scheduler.Outcome
	reason  scheduler.Reason
	report  float64 // value x0 of the load report
	final   bool
	causes  []int // of the messages that the client receives, in order
}

// accepted is the same after an accept.
func (want outcomeTest) accepted() outcomeTest {
	want.causes = append([]int{causeOfAccept}, want.causes...)
	return want
}

func (want outcomeTest) check(t *testing.T, answers []string) {
	r := startWithMachineA(t, fakeMachine(t, answers...), attemptOnA(300*scheduler.Millisecond))
	client := r.dialClient()
	client.send(offerLine(requestID, ""))
	e := await[scheduler.AttemptEnded](r, nil)
	if e.Outcome != want.outcome || e.Reason != want.reason || e.Final != want.final || e.Machine != "a" ||
		e.ID != requestID {
		t.Errorf("got %+v", e)
	}
	if e.Report["x0"] != want.report {
		t.Errorf("report %v", e.Report)
	}
	for _, cause := range want.causes {
		msg := client.receive()
		if msg == nil || msg.RequestID != requestID || msg.CauseOrNone() != cause {
			t.Fatalf("the client received %+v, want cause %d", msg, cause)
		}
		if cause == causeOfAccept && (msg.Op != jsonlines.OpAccept || string(msg.Description) != `"made\u0020here"`) {
			t.Errorf("received %+v", msg)
		}
	}
	client.send(testLine(1))
	if msg := client.receive(); msg == nil || msg.Op != jsonlines.OpTested ||
		msg.CauseOrNone() != jsonlines.CauseTestPassed {
		t.Errorf("after the last answer received %+v", msg)
	}
}

func TestRefusedConnectionIsConnectFailed(t *testing.T) {
	l := listenTCP(t)
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	r := startWithMachineA(t, l.Addr().String(), attemptOnA(0))
	r.dialClient().send(offerLine(requestID, ""))
	if e := await[scheduler.AttemptEnded](r, nil); e.Outcome != scheduler.OutcomeConnectFailed {
		t.Errorf("got %+v", e)
	}
}

// An offer is forwarded as it came, with the fields that are the machine's and no others.
func TestOfferIsForwarded(t *testing.T) {
	got := make(chan *jsonlines.Message, 1)
	addr := serveTCP(t, func(m *peer) { got <- m.receive(); m.receive() })
	r := startWithMachineA(t, addr, attemptOnA(scheduler.Second))
	r.dialClient().send(offerLine(requestID, ""))
	a := await[scheduler.RequestReceived](r, nil)
	if a.WorkloadClass != 1 || a.Tenant != 1 || a.Cores != 1 || a.Memory != 2 || a.Service != "s1" ||
		a.IdempotencyKey != "k"+requestID || a.ClientRetry {
		t.Errorf("requested %+v", a.PlacementRequest)
	}
	msg := <-got
	if msg.RequestID != requestID || msg.Fields["class"] != "report-run" || msg.Fields["key"] != "k"+requestID ||
		msg.Fields["idem"] != "i1" || len(msg.Fields) != 4 || string(msg.Description) != `"v=0\r\n"` {
		t.Errorf("offered %+v", msg)
	}
}

// The attempt of a request whose client cancels it, or goes, is cancelled.
func TestCancelledRequestCancelsItsAttempt(t *testing.T) {
	for _, way := range []string{"end", "close"} {
		t.Run(way, func(t *testing.T) {
			got := make(chan *jsonlines.Message, 2)
			addr := serveTCP(t, func(m *peer) { got <- m.receive(); got <- m.receive() })
			r := startWithMachineA(t, addr, attemptOnA(0))
			client := r.dialClient()
			client.send(offerLine(requestID, ""))
			<-got
			if way == "end" {
				client.send(endLine(requestID, 16))
			} else {
				client.close()
			}
			if msg := <-got; msg == nil || msg.Op != jsonlines.OpEnd || msg.CauseOrNone() != jsonlines.CauseNormal {
				t.Errorf("the machine received %+v", msg)
			}
			await[scheduler.ContainerRemoved](r, nil)
			if e := await[scheduler.AttemptEnded](r, nil); !e.Final || e.Outcome != scheduler.OutcomeStopped {
				t.Errorf("got %+v", e)
			}
		})
	}
}

// The client goes in the batch in which the scheduler starts an attempt: that has its outcome all the same.
func TestAttemptForUnknownContainerHasOutcome(t *testing.T) {
	r := startWithMachineA(t, "127.0.0.1:1", attemptOnA(0))
	r.runOnLoop(func() { r.server.applySchedulerAction(scheduler.StartAttempt{ID: requestID, Machine: "a"}) })
	e := await[scheduler.AttemptEnded](r, nil)
	if e.ID != requestID || e.Machine != "a" || e.Outcome != scheduler.OutcomeNotSent || !e.Final {
		t.Errorf("got %+v", e)
	}
}

// A client goes while its attempt waits for a connection: the machine receives no offer, or its cancellation too.
func TestClientLeavesWhileConnOpens(t *testing.T) {
	received := make(chan *jsonlines.Message, 10)
	addr := serveTCP(t, func(m *peer) {
		for msg := m.receive(); msg != nil; msg = m.receive() {
			received <- msg
		}
	})
	r := startWithMachineA(t, addr, attemptOnA(0))
	client := r.dialClient()
	r.runOnLoop(func() {
		r.scheduler.on = func(e scheduler.Event) []scheduler.Action {
			if e, ok := e.(scheduler.RequestReceived); ok && e.ID == requestID {
				client.close() // its end is read before the connection is established
			}
			return attemptOnA(0)(e)
		}
	})
	client.send(offerLine(requestID, ""))
	await[scheduler.ContainerRemoved](r, nil)
	await[scheduler.AttemptEnded](r, nil)
	r.dialClient().send(offerLine(otherRequestID, ""))
	var offers, ends int
	for {
		msg := <-received
		if msg.RequestID == otherRequestID {
			break
		}
		if msg.Op == jsonlines.OpOffer {
			offers++
		} else if msg.Op == jsonlines.OpEnd && msg.CauseOrNone() == jsonlines.CauseNormal {
			ends++
		}
	}
	if offers != ends {
		t.Errorf("the machine received %d offers and %d ends of a request whose client had gone", offers, ends)
	}
}

// A connection is established after the attempt that waited for it timed out: that is not sent on it, and the next one
// is.
func TestLateConnCarriesNextAttempt(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(
		syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}),
		syscall.Listen(fd, 0),
	); err != nil {
		t.Fatal(err)
	}
	own, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprintf("127.0.0.1:%d", own.(*syscall.SockaddrInet4).Port)
	for range 4 { // fills the queue: the kernel then drops further connections, until they are tried again
		if c, err := net.DialTimeout("tcp", addr, 50*time.Millisecond); err == nil {
			newPeer(t, c).close()
		}
	}
	config := configJSON(silentDiscovery(t), 256, eventJSON(1, true, machineJSON("a", addr, "ready", 0)))
	r := startServer(t, func(e scheduler.Event) []scheduler.Action {
		if e, ok := e.(scheduler.RequestReceived); ok && e.ID == otherRequestID {
			return attemptOnA(9 * scheduler.Second)(e)
		}
		return attemptOnA(50 * scheduler.Millisecond)(e)
	}, strings.Replace(config, `"connect_timeout_ms":250.0`, `"connect_timeout_ms":9000.0`, 1))
	client := r.dialClient()
	client.send(offerLine(requestID, ""))
	if e := await[scheduler.AttemptEnded](r, nil); e.ID != requestID || e.Outcome != scheduler.OutcomeConnectFailed {
		t.Errorf("got %+v", e)
	}
	client.receive()
	f := os.NewFile(uintptr(fd), "full")
	l, err := net.FileListener(f)
	if err := errors.Join(err, f.Close()); err != nil {
		t.Fatal(err)
	}
	received := make(chan string, 10)
	t.Cleanup(serveListener(t, l, func(m *peer) {
		for msg := m.receive(); msg != nil; msg = m.receive() {
			received <- msg.RequestID
			m.send(acceptLine(msg.RequestID))
		}
	}))
	client.send(strings.Replace(offerLine(otherRequestID, ""), `"2000"`, `"9000"`, 1))
	if msg := client.receive(); msg == nil || msg.Op != jsonlines.OpAccept || msg.RequestID != otherRequestID {
		t.Errorf("received %+v", msg)
	}
	if id := <-received; id != otherRequestID || len(received) > 0 {
		t.Errorf("the machine received %s first, and %d more", id, len(received))
	}
}

// A full snapshot leaves out a machine: its containers have ended, and an accept that comes then does not count and is
// cancelled.
func TestAcceptOfGoneMachineIsCancelled(t *testing.T) {
	discovery, publish := scriptedDiscovery(t)
	accept, received := make(chan bool), make(chan *jsonlines.Message, 10)
	addr := serveTCP(t, func(m *peer) {
		for msg := m.receive(); msg != nil; msg = m.receive() {
			if msg.Op != jsonlines.OpOffer {
				received <- msg
				continue
			}
			if msg.RequestID == otherRequestID {
				<-accept
			}
			m.send(acceptLine(msg.RequestID))
		}
	})
	r := startServer(
		t,
		attemptOnA(0),
		configJSON(discovery, 256, eventJSON(1, true, machineJSON("a", addr, "ready", 0))),
	)
	client := r.dialClient()
	client.send(offerLine(requestID, ""))
	client.receive()
	client.send(offerLine(otherRequestID, ""))
	await(r, func(e scheduler.RequestReceived) bool { return e.ID == otherRequestID })
	publish(eventJSON(2, true))
	if msg := client.receive(); !isEnd(msg, requestID) {
		t.Fatalf("received %+v", msg)
	}
	close(accept)
	if msg := client.receive(); !isEnd(msg, otherRequestID) {
		t.Errorf("received %+v", msg)
	}
	if e := await(
		r,
		func(e scheduler.AttemptEnded) bool { return e.ID == otherRequestID },
	); e.Outcome != scheduler.OutcomeLost ||
		e.Final {
		t.Errorf("got %+v", e)
	}
	if msg := <-received; !isEndWithCause(msg, otherRequestID, jsonlines.CauseNormal) {
		t.Errorf("the machine received %+v", msg)
	}
}
