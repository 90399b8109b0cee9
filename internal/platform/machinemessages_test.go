package platform

import (
	"reflect"
	"testing"

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
