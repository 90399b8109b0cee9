package simprotocol

import (
	"bytes"
	"testing"

	"glenport/scheduler"
)

func TestEachActionIsEncoded(t *testing.T) {
	for _, tc := range []struct {
		action scheduler.Action
		want   string
	}{
		{scheduler.StartAttempt{ID: "r-1", Machine: "m:1", Timeout: 800}, "BIND 3 r-1 m:1 80.0"},
		{scheduler.Reject{ID: "r-1"}, "BUSY 3 r-1 0.0"},
		{scheduler.Fail{ID: "r-1"}, "FAIL 3 r-1"},
		{scheduler.CancelAttempt{ID: "r-1", Attempt: 1}, "UNDO_SEND 3 r-1 1"},
		{scheduler.Probe{Machine: "m:1"}, "PING 3 m:1"},
		{scheduler.Disconnect{Machine: "m:1"}, "CLOSE 3 m:1"},
		{scheduler.SetTimer{After: 5000, Name: "sweep"}, "AFTER 3 500.0 sweep"},
		{scheduler.WatchMachineList{Enabled: true}, "WATCH 3 1"},
		{scheduler.FetchMachineList{}, "FETCH 3"},
		{scheduler.Log{Message: "two\nlines"}, "DEBUG 3 two lines"},
	} {
		t.Run(tc.want, func(t *testing.T) {
			var b bytes.Buffer
			if AppendAction(&b, 3, tc.action); b.String() != tc.want+"\n" {
				t.Errorf("got %q", b.String())
			}
		})
	}
}
