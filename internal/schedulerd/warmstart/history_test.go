package warmstart

import (
	"testing"

	"glenport/internal/schedulerd/recovery"
	"glenport/internal/testutil"
	"glenport/scheduler"
)

// Two crashes in a row: what the first lost is not known after the second start.
func TestHistoryKeepsWhatWasLost(t *testing.T) {
	b1 := func(s scheduler.Time) Timestamp { return Timestamp{1000*sec + s*sec, s * sec, "b1"} }
	b2 := func(s scheduler.Time) Timestamp { return Timestamp{2000*sec + s*sec, s * sec, "b2"} }
	first := LogHistory{}.Next(b1(5))
	restarted := first.WithCompleteLog().Next(b2(3))
	setBack, movedBack := Timestamp{945 * sec, 9 * sec, "b1"}, Timestamp{941 * sec, 5 * sec, "b1"}
	for _, tc := range []struct {
		name     string
		got      LogHistory
		since    Timestamp
		coverage recovery.LogCoverage
	}{
		{"the first start", first, b1(5), recovery.LogNone},
		{"another before any machine has reported", first.Next(b1(9)), b1(5), recovery.LogNone},
		{"another after", first.WithCompleteLog().Next(b1(9)), b1(5), recovery.LogComplete},
		{"the system restarted", restarted, b2(3), recovery.LogSynced},
		{"and the scheduler again", restarted.Next(b2(4)), b2(3), recovery.LogSynced},
		{"and after all machines have reported", restarted.WithCompleteLog().Next(b2(4)), b2(3), recovery.LogComplete},
		{"the clock was set back a minute", first.Next(setBack), movedBack, recovery.LogNone},
	} {
		t.Run(tc.name, func(t *testing.T) {
			testutil.Expect(t, tc.got.SendsRecordedSince == tc.since && tc.got.Coverage == tc.coverage, "%+v", tc.got)
		})
	}
}
