package platform

import (
	"fmt"
	"strings"
	"testing"

	"glenport/internal/platform/jsonlines"
	"glenport/scheduler"
)

// A request that cannot be used is rejected, or ends the connection; nothing of it reaches the scheduler.
func TestInvalidRequestIsRejected(t *testing.T) {
	good := offerLine(requestID, "")
	for _, tc := range []struct {
		name, line string
		closed     bool
	}{
		{"class", strings.Replace(good, "report-run", "other", 1), false},
		{"tenant", strings.Replace(good, "offices", "nobody", 1), false},
		{"left is no number", strings.Replace(good, `"2000"`, `"soon"`, 1), false},
		{"left is negative", strings.Replace(good, `"2000"`, `-1`, 1), false},
		{"left is huge", strings.Replace(good, `"2000"`, `1e99`, 1), false},
		{"cores", strings.Replace(good, "cores:1", "cores:NaN", 1), false},
		{"extras", strings.Replace(good, "cores:1", "cores", 1), false},
		{"service", strings.Replace(good, "service:s1", "x:y", 1), false},
		{"key", strings.Replace(good, `"key"`, `"kay"`, 1), false},
		{"call", strings.Replace(good, requestID, "zz", 1), true},
		{"noise", "\xff\xfe", true},
		{"never ends", strings.Repeat("x", 1<<20), true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := startServer(t, attemptOnA(0), configJSON(silentDiscovery(t), 256, eventJSON(1, true)))
			client := r.dialClient()
			go client.send(tc.line) // it may never be read to its end
			msg := client.receive()
			if tc.closed != (msg == nil) ||
				msg != nil && (msg.Op != jsonlines.OpEnd || msg.CauseOrNone() != jsonlines.CauseInvalidContents) {
				t.Errorf("received %+v", msg)
			}
			r.server.env.loop.Post(func() { r.scheduler.events <- scheduler.TimerFired{Name: "last"} })
			await(r, func(e scheduler.TimerFired) bool { return e.Name == "last" })
		})
	}
}

// A client that names a running container with impossible values has proven nothing: it is closed like one that
// requests nothing, and no container is counted. With possible values it stays.
func TestImpossibleReclaimIsIgnored(t *testing.T) {
	for _, tc := range []struct {
		left  string
		stays bool
	}{{`"-5"`, false}, {`"soon"`, false}, {`"1e99"`, false}, {`"4294967"`, true}} {
		t.Run(tc.left, func(t *testing.T) {
			t.Parallel()
			addr := serveTCP(t, func(m *peer) { m.receive() })
			r := startServer(
				t,
				attemptOnA(0),
				configJSON(silentDiscovery(t), 256, eventJSON(1, true, machineJSON("a", addr, "draining", 0))),
			)
			client := r.dialClient()
			client.send(strings.Replace(offerLine(requestID, ";at:a"), `"2000"`, tc.left, 1))
			if tc.stays {
				await[scheduler.ContainerAdopted](r, nil)
			} else if msg := client.receive(); msg != nil {
				t.Errorf("received %+v", msg)
			}
			r.server.env.loop.Post(
				func() { r.scheduler.events <- scheduler.TimerFired{Name: fmt.Sprint(r.server.containers.count())} },
			)
			want := map[bool]string{true: "1", false: "0"}[tc.stays]
			if e := await(r, func(e scheduler.TimerFired) bool { return e.Name != "" }); e.Name != want {
				t.Errorf("%s containers are counted, want %s", e.Name, want)
			}
		})
	}
}

// An identifier that is in use is not taken twice: from another client the second request is rejected, on one
// connection both end with it.
func TestDuplicateRequestIDIsRejected(t *testing.T) {
	addr := serveTCP(t, func(m *peer) { m.receive(); m.receive() })
	r := startWithMachineA(t, addr, attemptOnA(0))
	first, second := r.dialClient(), r.dialClient()
	first.send(offerLine(requestID, ""))
	await[scheduler.RequestReceived](r, nil)
	second.send(offerLine(requestID, ""))
	if msg := second.receive(); msg == nil || msg.CauseOrNone() != jsonlines.CauseInvalidContents {
		t.Errorf("the second received %+v", msg)
	}
	first.send(offerLine(requestID, ""))
	if msg := first.receive(); msg != nil {
		t.Errorf("the first received %+v", msg)
	}
	await(r, func(e scheduler.ContainerRemoved) bool { return e.ID == requestID })
}

// The identifier of a cancelled request may be used again at once: that is another request, offered once and answered
// once.
func TestRequestIDIsReusedAfterCancel(t *testing.T) {
	addr := fakeMachine(t, acceptLine("%s"))
	r := startWithMachineA(t, addr, nil)
	client := r.dialClient()
	end := endLine(requestID, 16)
	client.write(offerLine(requestID, "") + "\n" + end + "\n" + offerLine(requestID, "") + "\n" + testLine(1) + "\n")
	for _, op := range []jsonlines.Op{jsonlines.OpTested, jsonlines.OpAccept} {
		if msg := client.receive(); msg == nil || msg.Op != op {
			t.Fatalf("received %+v, want %s", msg, op)
		}
	}
	client.send(testLine(2))
	if msg := client.receive(); msg == nil || msg.Op != jsonlines.OpTested {
		t.Errorf("then received %+v", msg)
	}
}

// A client that ends a running container gets no notification of its end; the machine is told.
func TestClientEndsRunningContainer(t *testing.T) {
	addr := serveTCP(t, func(m *peer) {
		m.receive()
		m.send(acceptLine(requestID))
		if msg := m.receive(); msg == nil || msg.Op != jsonlines.OpEnd {
			t.Errorf("the machine received %+v", msg)
		}
		m.send(endLine(requestID, 31))
		m.receive()
	})
	r := startWithMachineA(t, addr, attemptOnA(0))
	client, other := r.dialClient(), r.dialClient()
	client.send(offerLine(requestID, ""))
	client.receive()
	other.send(endLine(requestID, 16))
	if e := await[scheduler.AttemptEnded](r, nil); e.Outcome != scheduler.OutcomeStopped || !e.Final {
		t.Errorf("got %+v", e)
	}
	client.send(testLine(1))
	if msg := client.receive(); msg == nil || msg.Op != jsonlines.OpTested {
		t.Errorf("the client received %+v", msg)
	}
}

// The end of a running container is sent to any client, also where it was adopted, and once.
func TestEndReachesAnotherClientAfterDisconnect(t *testing.T) {
	end := make(chan bool)
	addr := serveTCP(t, func(m *peer) {
		if <-end {
			m.send(endLine(requestID, 16), endLine(requestID, 16))
		}
		m.receive()
	})
	t.Cleanup(func() { close(end) })
	r := startWithMachineA(t, addr, attemptOnA(0))
	first := r.dialClient()
	first.send(strings.Replace(offerLine(requestID, ";at:a"), `"2000"`, `"4294967"`, 1), offerLine(requestID, ";at:a"))
	if e := await[scheduler.ContainerAdopted](r, nil); e.Machine != "a" {
		t.Errorf("adopted %+v", e)
	}
	first.close()
	second := r.dialClient()
	second.send(testLine(1))
	second.receive()
	end <- true
	if msg := second.receive(); !isEndWithCause(msg, requestID, 16) {
		t.Errorf("received %+v", msg)
	}
	second.send(testLine(2))
	if msg := second.receive(); msg == nil || msg.Op != jsonlines.OpTested {
		t.Errorf("then received %+v", msg)
	}
}

// A notification that its client has not acknowledged when its connection ends is sent again on another one.
func TestUnacknowledgedEndIsResent(t *testing.T) {
	addr := fakeMachine(t, acceptLine("%s"), endLine("%s", 16))
	for _, acknowledged := range []bool{false, true} {
		t.Run(fmt.Sprint("acknowledged ", acknowledged), func(t *testing.T) {
			r := startWithMachineA(t, addr, attemptOnA(0))
			client := r.dialClient()
			client.send(offerLine(requestID, ""))
			client.receive()
			client.receive()
			if acknowledged {
				client.send(endedLine(requestID), testLine(1))
				client.receive()
			}
			client.close()
			other := r.dialClient()
			other.send(testLine(2))
			want := []jsonlines.Op{jsonlines.OpTested, jsonlines.OpEnd, jsonlines.OpTested}
			if acknowledged {
				want = []jsonlines.Op{jsonlines.OpTested, jsonlines.OpTested}
			}
			for i, op := range want {
				if i == len(want)-1 {
					other.send(testLine(3))
				}
				if msg := other.receive(); msg == nil || msg.Op != op ||
					op == jsonlines.OpEnd && msg.RequestID != requestID {
					t.Fatalf("received %+v, want %s", msg, op)
				}
			}
		})
	}
}

// After a start a machine may report an end before a client names the container as running: the client is notified
// then.
func TestEndBeforeReclaimIsDelivered(t *testing.T) {
	reported := make(chan bool)
	addr := serveTCP(t, func(m *peer) {
		msg := m.receive()
		if msg == nil {
			return
		}
		m.send(endLine(otherRequestID, 16), acceptLine(msg.RequestID))
		close(reported)
		m.receive()
	})
	r := startWithMachineA(t, addr, attemptOnA(0))
	client := r.dialClient()
	client.send(offerLine(requestID, ""))
	<-reported
	if msg := client.receive(); msg == nil || msg.Op != jsonlines.OpAccept {
		t.Errorf("received %+v", msg)
	}
	client.send(offerLine(otherRequestID, ";at:a"))
	if msg := client.receive(); !isEndWithCause(msg, otherRequestID, jsonlines.CauseNormal) {
		t.Errorf("received %+v", msg)
	}
	e := await(r, func(e scheduler.AttemptEnded) bool { return e.ID == otherRequestID })
	if !e.Final || e.Outcome != scheduler.OutcomeFinished {
		t.Errorf("got %+v", e)
	}
}

// The answer to a request cannot be written, as its connection is closing: the client is disconnected, and the
// scheduler process goes on.
func TestAnswerThatCannotBeWrittenDisconnectsTheClient(t *testing.T) {
	r := startWithMachineA(t, serveTCP(t, (*peer).readToEnd), attemptOnA(0))
	client := r.dialClient()
	client.send(offerLine(requestID, ""))
	await[scheduler.RequestReceived](r, nil)
	r.runOnLoop(func() {
		for _, cc := range r.server.clients.conns {
			if err := cc.conn.Write([]byte("\n")); err != nil {
				t.Error(err)
			}
			cc.conn.Close() // once the line is written
		}
		r.server.applySchedulerAction(scheduler.Fail{ID: requestID})
		if len(r.server.clients.conns) > 0 || r.server.containers.count() > 0 {
			t.Errorf("%d clients, %d containers", len(r.server.clients.conns), r.server.containers.count())
		}
	})
	if e := await[scheduler.AttemptEnded](r, nil); e.Outcome != scheduler.OutcomeStopped || !e.Final {
		t.Errorf("got %+v", e)
	}
}
