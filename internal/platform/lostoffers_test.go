package platform

import (
	"strings"
	"testing"

	"glenport/internal/platform/jsonlines"
	"glenport/internal/testutil"
	"glenport/scheduler"
)

// A machine runs a container though its accept could not be read. Once another machine has accepted it, the copy of an
// idempotent container is cancelled; that of one with a key is left to its client.
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
			testutil.Equal(t, (<-received).Op, jsonlines.OpOffer)
			if tc.cancelled {
				msg := <-received
				testutil.Expect(t, isMessage(msg, jsonlines.OpEnd, requestID, jsonlines.CauseNormal),
					"received %+v", msg)
			}
			client.send(offerLine(otherRequestID, ""))
			msg := <-received
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
