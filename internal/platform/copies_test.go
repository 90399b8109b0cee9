package platform

import (
	"strings"
	"sync/atomic"
	"testing"

	"glenport/internal/platform/connmanager"
	"glenport/internal/platform/failuredetector"
	"glenport/internal/platform/jsonlines"
	"glenport/internal/testutil"
	"glenport/scheduler"
)

// A machine runs a container although its accept is malformed. Once another machine has accepted the container, the
// copy of an idempotent container is cancelled. The copy of a container with a key is left to its client.
func TestCopyOfMalformedAcceptIsCancelled(t *testing.T) {
	for _, tc := range []struct {
		class     string
		cancelled bool
	}{{"matcher", true}, {"report-run", false}} {
		t.Run(tc.class, func(t *testing.T) {
			received := make(chan *jsonlines.Message, 10)
			a := serveMessages(t, func(m *peer, msg *jsonlines.Message) {
				received <- msg
				m.send("noise")
			})
			r := startServer(t, attemptOnAThenB, configJSON(silentDiscovery(t), 256, snapshotJSON(1,
				machineJSON("a", a, "ready", 0), machineJSON("b", fakeMachine(t, acceptLine("%s")), "ready", 0))))
			client := r.dialClient()
			client.send(strings.Replace(offerLine(requestID, ""), "report-run", tc.class, 1))
			client.expect(jsonlines.OpAccept, requestID)
			testutil.Equal(t, testutil.Receive(t, received).Op, jsonlines.OpOffer)
			if tc.cancelled {
				msg := testutil.Receive(t, received)
				testutil.Expect(t, isMessage(msg, jsonlines.OpEnd, requestID, jsonlines.CauseNormal),
					"received %+v", msg)
			}
			client.send(offerLine(otherRequestID, ""))
			msg := testutil.Receive(t, received)
			testutil.Expect(t, msg.Op == jsonlines.OpOffer && msg.RequestID == otherRequestID, "received %+v", msg)
		})
	}
}

// attemptOnAThenB attempts each container on machine a, and on machine b after any outcome that is not final.
func attemptOnAThenB(e scheduler.Event) []scheduler.Action {
	switch e := e.(type) {
	case scheduler.RequestReceived:
		return []scheduler.Action{scheduler.StartAttempt{ID: e.ID, Machine: "a"}}
	case scheduler.AttemptEnded:
		if !e.Final {
			return []scheduler.Action{scheduler.StartAttempt{ID: e.ID, Machine: "b"}}
		}
	}
	return nil
}

// The cancel of a copy is sent again if its connection fails at once, and no more after the machine has reported the
// end of the copy.
func TestCancelOfCopyIsRepeatedAfterConnectionLoss(t *testing.T) {
	var cancels atomic.Int32
	a := serveMessages(t, func(m *peer, msg *jsonlines.Message) {
		switch {
		case msg.Op == jsonlines.OpOffer:
			m.send("noise")
		case cancels.Add(1) == 1:
			m.close()
		default:
			m.send(endLine(msg.RequestID, jsonlines.CauseCancelled))
		}
	})
	r := startServer(t, attemptOnAThenB, configJSON(silentDiscovery(t), 256, snapshotJSON(1,
		machineJSON("a", a, "ready", 0), machineJSON("b", fakeMachine(t, acceptLine("%s")), "ready", 0))))
	client := r.dialClient()
	client.send(strings.Replace(offerLine(requestID, ""), "report-run", "matcher", 1))
	client.expect(jsonlines.OpAccept, requestID)
	cancel := connmanager.Cancel{Machine: "a", RequestID: requestID}
	testutil.WaitUntil(t, "the machine receives two cancels and no more is to be sent", func() bool {
		pending := true
		r.runOnLoop(func() { pending = r.server.env.cancels.IsPending(cancel) })
		return cancels.Load() == 2 && !pending
	})
}

// A machine is unreachable, its containers are reported as terminated, and it becomes reachable again: an idempotent
// container is cancelled there, unless a client has reclaimed it. A container with a key is left to its client.
func TestContainerLostWhileSilentIsCancelled(t *testing.T) {
	claimNotAdopted := strings.Replace(offerLine(requestID, ";at:a"), "cores:1;", "cores:1000;", 1)
	for _, tc := range []struct {
		name, class string
		reclaim     string // a line by which its client claims it
		cancelled   bool
	}{
		{"idempotent", "matcher", "", true},
		{"idempotent, reclaimed", "matcher", offerLine(requestID, ";at:a"), false},
		{"idempotent, reclaimed by a claim that is not adopted", "matcher", claimNotAdopted, false},
		{"with a key", "report-run", "", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r, client, received := startWithSilentLoss(t, tc.class)
			if tc.reclaim != "" {
				client.send(tc.reclaim)
			}
			expectPlaced(t, client, received, otherRequestID) // the machine shows activity again
			if tc.cancelled {
				msg := testutil.Receive(t, received)
				testutil.Expect(t, isMessage(msg, jsonlines.OpEnd, requestID, jsonlines.CauseNormal),
					"received %+v", msg)
			}
			expectPlaced(t, client, received, thirdRequestID)
			r.runOnLoop(func() {
				lost := r.server.machines.lookup("a").lostWhileSilent
				testutil.Expect(t, len(lost) == 0, "%v is still recorded", lost)
			})
		})
	}
}

// startWithSilentLoss starts a server whose machine a was running a container of a workload class when it was declared
// lost as silent.
func startWithSilentLoss(
	t *testing.T, class string,
) (r *testServer, client *peer, received chan *jsonlines.Message) {
	t.Helper()
	received = make(chan *jsonlines.Message, 10)
	addr := serveMessages(t, func(m *peer, msg *jsonlines.Message) {
		received <- msg
		if msg.Op == jsonlines.OpOffer {
			m.send(acceptLine(msg.RequestID))
		}
	})
	r = startWithMachineA(t, addr, attemptOnA(0))
	client = r.dialClient()
	client.send(strings.Replace(offerLine(requestID, ""), "report-run", class, 1))
	client.expect(jsonlines.OpAccept, requestID)
	testutil.Receive(t, received)
	r.runOnLoop(func() { r.server.applyDetectorAction(failuredetector.DeclareLost{Machine: "a", SilentFor: 1}) })
	client.expectFailed(requestID)
	return r, client, received
}

// expectPlaced places a container at a machine that sends its messages to received, and checks that the offer comes
// next.
func expectPlaced(t *testing.T, client *peer, received chan *jsonlines.Message, id string) {
	t.Helper()
	client.send(offerLine(id, ""))
	client.expect(jsonlines.OpAccept, id)
	testutil.Equal(t, testutil.Receive(t, received).RequestID, id)
}
