package platform

import (
	"reflect"
	"testing"

	"glenport/internal/platform/jsonlines"
	"glenport/internal/testutil"
	"glenport/scheduler"
)

func TestMachineMessagesAreTyped(t *testing.T) {
	withFields := func(op, fields, more string) string {
		return `{"op":"` + op + `","call":"` + requestID + `","with":{` + fields + `}` + more + `}`
	}
	load := scheduler.LoadReport{"x0": 1.5, "x1": 2}
	for _, tc := range []struct {
		line string
		want machineMessage
	}{
		{acceptLine(requestID), offerAccepted{requestID, []byte(`"d"`)}},
		{
			withFields("end", `"note":"busy","load":"x0:1.5;x1:2;x2:-"`, `,"why":34`),
			containerEnded{requestID, 34, scheduler.ReasonQueueTooLong, load},
		},
		{withFields("end", `"note":"of a later version"`, ""), containerEnded{id: requestID, cause: -1}},
		{
			withFields("info", `"note":"share","value":0.5`, ""),
			usageReported{requestID, scheduler.MetricServedShare, 0.5},
		},
		{withFields("info", `"note":"share","value":"much"`, ""), nil},
		{withFields("info", `"note":"of a later version","value":"1"`, ""), nil},
		{withFields("tested", `"load":"x0:1.5;x1:2"`, `,"why":1`), probeAnswered{requestID, true, load}},
		{withFields("tested", "", `,"why":0`), probeAnswered{id: requestID}},
		{withFields("redirect", "", ""), nil}, // ignored
		{withFields("ringing", "", ""), nil},
	} {
		got := decodeMachineMessage(decodeLine(t, tc.line))
		testutil.Expect(t, reflect.DeepEqual(got, tc.want), "%s is %+v, want %+v", tc.line, got, tc.want)
	}
}

// A machine accepts as the attempt times out. If the accept is read in the iteration of the time-out, it counts. If it
// is read later, the attempt was cancelled and the accept is ignored. The client gets one answer in both cases.
func TestAcceptCrossesTimeout(t *testing.T) {
	t.Run("read in the same iteration", func(t *testing.T) {
		r := startWithOfferAtA(t)
		r.runOnLoop(func() {
			r.machineA.send(acceptLine(requestID))
			r.server.env.loop.Post(func() { // in the next iteration, whose input has the accept
				a := r.server.containers.lookup(requestID).attempt
				r.server.env.loop.Cancel(a.timer)
				a.timer = r.server.env.loop.After(0, a.deadlinePassed)
			})
		})
		r.client.expect(jsonlines.OpAccept, requestID)
		r.client.expectLive(1)
	})
	t.Run("read after it", func(t *testing.T) {
		r := startWithOfferAtA(t)
		r.runOnLoop(func() {
			r.machineA.send(acceptLine(requestID))
			r.server.containers.lookup(requestID).attempt.deadlinePassed()
		})
		r.awaitOutcome(scheduler.AttemptEnded{ID: requestID, Outcome: scheduler.OutcomeTimedOut})
		r.client.expectFailed(requestID)
		r.machineA.expectEnd(requestID, jsonlines.CauseNormal)
		r.client.expectLive(1)
	})
}
