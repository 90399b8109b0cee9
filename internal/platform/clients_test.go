package platform

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"

	"glenport/internal/eventloop"
	"glenport/internal/platform/connmanager"
	"glenport/internal/platform/jsonlines"
	"glenport/internal/testutil"
	"glenport/scheduler"
)

// An invalid request is rejected or closes the connection, and does not reach the scheduler.
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
			r := startWithDiscovery(t, silentDiscovery(t))
			client := r.dialClient()
			go client.send(tc.line) // the server may close the connection before it has read the whole line
			if tc.closed {
				client.expectClosed()
			} else {
				client.expectEnd(requestID, jsonlines.CauseInvalidContents)
			}
			r.server.env.loop.Post(func() { r.scheduler.events <- scheduler.TimerFired{Name: "last"} })
			await(r, func(e scheduler.TimerFired) bool { return e.Name == "last" })
		})
	}
}

// A client that reclaims a container with invalid values has not proven ownership: it is disconnected like a client
// that requests nothing, and no container is counted. A client with valid values stays connected.
func TestInvalidReclaimIsIgnored(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		left  string
		stays bool
	}{{`"-5"`, false}, {`"soon"`, false}, {`"1e99"`, false}, {`"4294967"`, true}} {
		t.Run(tc.left, func(t *testing.T) {
			t.Parallel()
			addr := serveTCP(t, func(m *peer) { m.receive() })
			r := startWithDiscovery(t, silentDiscovery(t), machineJSON("a", addr, "draining", 0))
			client := r.dialClient()
			client.send(strings.Replace(offerLine(requestID, ";at:a"), `"2000"`, tc.left, 1))
			if tc.stays {
				await[scheduler.ContainerAdopted](r, nil)
			} else {
				client.expectClosed()
			}
			want := map[bool]int{true: 1}[tc.stays]
			r.runOnLoop(func() {
				got := r.server.containers.count()
				testutil.Expect(t, got == want, "%d containers are counted, want %d", got, want)
			})
		})
	}
}

// An identifier that is in use is not accepted for a second request. If the second request comes from another client,
// it is rejected. If it comes on the same connection, the connection is closed, which ends both requests.
func TestDuplicateRequestIDIsRejected(t *testing.T) {
	addr := serveTCP(t, func(m *peer) { m.receive(); m.receive() })
	r := startWithMachineA(t, addr, attemptOnA(0))
	first := r.request(requestID)
	await[scheduler.RequestReceived](r, nil)
	r.request(requestID).expectEnd(requestID, jsonlines.CauseInvalidContents)
	first.send(offerLine(requestID, ""))
	first.expectClosed()
	await(r, func(e scheduler.ContainerRemoved) bool { return e.ID == requestID })
}

// The identifier of a cancelled request may be used again at once, for a new request that is offered once and answered
// once.
func TestRequestIDIsReusedAfterCancel(t *testing.T) {
	r := startWithMachineA(t, fakeMachine(t, acceptLine("%s")), nil)
	client := r.dialClient()
	offer := offerLine(requestID, "") + "\n"
	client.write(offer + endLine(requestID, 16) + "\n" + offer + testLine(1) + "\n")
	client.expectCause(jsonlines.OpTested, "0000000000000001", jsonlines.CauseTestPassed)
	client.expect(jsonlines.OpAccept, requestID)
	client.expectLive(2)
}

// A client that ends a running container is not notified of its end, and the machine is ordered to end the container.
func TestClientEndsRunningContainer(t *testing.T) {
	addr := serveTCP(t, func(m *peer) {
		m.receive()
		m.send(acceptLine(requestID))
		m.expect(jsonlines.OpEnd, requestID)
		m.send(endLine(requestID, 31))
		m.receive()
	})
	r := startWithMachineA(t, addr, attemptOnA(0))
	other := r.dialClient()
	client := r.place()
	other.send(endLine(requestID, 16))
	r.awaitOutcome(scheduler.AttemptEnded{ID: requestID, Outcome: scheduler.OutcomeStopped, Final: true})
	client.expectLive(1)
}

// If the client of a running container has disconnected, another client is notified of the end, once. This also holds
// for an adopted container.
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
	e := await[scheduler.ContainerAdopted](r, nil)
	testutil.Expect(t, e.Machine == "a", "adopted %+v", e)
	first.close()
	second := r.dialClient()
	second.expectLive(1)
	end <- true
	second.expectEnd(requestID, 16)
	second.expectLive(2)
}

// A notification that is not acknowledged when the connection of its client ends is sent again on another connection.
func TestUnacknowledgedEndIsResent(t *testing.T) {
	addr := fakeMachine(t, acceptLine("%s"), endLine("%s", 16))
	t.Run("acknowledged false", func(t *testing.T) {
		r := startWithMachineA(t, addr, attemptOnA(0))
		client := r.place()
		client.expectEnd(requestID, 16)
		client.close()
		other := r.dialClient()
		other.expectLive(2)
		other.expectEnd(requestID, 16)
		other.expectLive(3)
	})
	t.Run("acknowledged true", func(t *testing.T) {
		r := startWithMachineA(t, addr, attemptOnA(0))
		client := r.place()
		client.expectEnd(requestID, 16)
		client.send(endedLine(requestID))
		client.expectLive(1)
		client.close()
		other := r.dialClient()
		other.expectLive(2)
		other.expectLive(3)
	})
}

// After a restart of the process, a machine may report the end of a container before a client reclaims the container.
// The client is notified when it does.
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
	client := r.request(requestID)
	<-reported
	client.expect(jsonlines.OpAccept, requestID)
	client.send(offerLine(otherRequestID, ";at:a"))
	client.expectEnd(otherRequestID, jsonlines.CauseNormal)
	r.awaitOutcome(scheduler.AttemptEnded{ID: otherRequestID, Outcome: scheduler.OutcomeFinished, Final: true})
}

// If an answer cannot be written because the connection is closing, the client is disconnected and the scheduler
// process continues.
func TestAnswerThatCannotBeWrittenDisconnectsTheClient(t *testing.T) {
	r := startWithMachineA(t, serveTCP(t, (*peer).readToEnd), attemptOnA(0))
	r.request(requestID)
	await[scheduler.RequestReceived](r, nil)
	r.runOnLoop(func() {
		for _, cc := range r.server.clients.conns {
			testutil.ExpectNoError(t, cc.conn.Write([]byte("\n")))
			cc.conn.Close() // once the line is written
		}
		r.server.applySchedulerAction(scheduler.Fail{ID: requestID})
		if len(r.server.clients.conns) > 0 || r.server.containers.count() > 0 {
			t.Errorf("%d clients, %d containers", len(r.server.clients.conns), r.server.containers.count())
		}
	})
	r.awaitOutcome(scheduler.AttemptEnded{ID: requestID, Outcome: scheduler.OutcomeStopped, Final: true})
}

// recordConnManagerEvents appends to events all events that the connection manager receives from now on.
func (r *testServer) recordConnManagerEvents(events *[]connmanager.Event) {
	r.Helper()
	r.runOnLoop(func() {
		queue := &r.server.env.connManagerQueue
		handle := queue.handle
		queue.handle = func(now eventloop.Tick, batch []connmanager.Event) []connmanager.Action {
			*events = append(*events, batch...)
			return handle(now, batch)
		}
	})
}

// The connection manager closes idle clients to make room for new ones. It is therefore notified of the requests
// that were read in an iteration before it is notified of the connections that were opened in the same iteration. A
// connection that has ended by then is not reported.
func TestClientsAreReportedAfterRequests(t *testing.T) {
	r := startWithMachineA(t, closedAddr, func(scheduler.Event) []scheduler.Action { return nil })
	r.dialClient()
	await := func() (cc *clientConn) {
		testutil.WaitUntil(t, "the client is connected", func() bool {
			r.runOnLoop(func() { cc = r.server.clients.conns[1] })
			return cc != nil
		})
		return cc
	}
	first := await()
	var got []connmanager.Event
	r.recordConnManagerEvents(&got)
	r.runOnLoop(func() {
		for range 2 {
			handler, _ := r.server.clients.accept()
			handler.Opened(nil)
		}
		r.server.clients.conns[2].Closed(nil, io.EOF)
		first.Read(first.conn, []byte(offerLine(requestID, "")+"\n"))
	})
	r.runOnLoop(func() {
		got = slices.DeleteFunc(got, func(e connmanager.Event) bool {
			switch e.(type) {
			case connmanager.ClientConnected, connmanager.PlacementRequested:
				return false
			}
			return true
		})
		want := []connmanager.Event{connmanager.PlacementRequested{Client: 1}, connmanager.ClientConnected{Client: 3}}
		testutil.Expect(t, slices.Equal(got, want), "reported %+v, want %+v", got, want)
		delete(r.server.clients.conns, 3) // client 3 has no connection that could be closed
	})
}

// Input of a client is reported to the connection manager: whether it ends in an incomplete message, and if so, whether
// other messages were completed before that.
func TestCompletedMessagesAreReported(t *testing.T) {
	r := startWithDiscovery(t, silentDiscovery(t))
	var got []connmanager.Event
	r.recordConnManagerEvents(&got)
	client := r.dialClient()
	client.write(testLine(1) + "\n" + testLine(2)[:9])
	client.expectCause(jsonlines.OpTested, fmt.Sprintf("%016x", 1), jsonlines.CauseTestPassed)
	client.write(testLine(2)[9:] + "\n")
	client.expectCause(jsonlines.OpTested, fmt.Sprintf("%016x", 2), jsonlines.CauseTestPassed)
	want := []connmanager.Event{
		connmanager.MessageCompleted{Client: 1},
		connmanager.BytesReceived{Client: 1, Partial: true},
		connmanager.BytesReceived{Client: 1},
	}
	r.runOnLoop(func() {
		got = slices.DeleteFunc(got, func(e connmanager.Event) bool {
			_, completed := e.(connmanager.MessageCompleted)
			_, received := e.(connmanager.BytesReceived)
			return !completed && !received
		})
		testutil.Expect(t, slices.Equal(got, want), "reported %+v, want %+v", got, want)
	})
}
