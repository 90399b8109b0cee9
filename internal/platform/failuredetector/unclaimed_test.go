package failuredetector

import (
	"strconv"
	"testing"

	"glenport/internal/testutil"
)

// A termination that was received before the reclaim is reported once at the reclaim. Unclaimed terminations are held
// for a limited time and in limited number.
func TestEarlyTerminationIsReportedAtReclaim(t *testing.T) {
	early := UnclaimedTermination{"a", "x", 16}
	many := make([]Event, maxUnclaimed+5)
	for i := range many {
		many[i] = UnclaimedTermination{"a", strconv.Itoa(i), 16}
	}
	for _, tc := range []struct {
		name    string
		before  []Event
		after   Time
		reclaim ContainerReclaimed
		want    int
	}{
		{"reclaimed soon", []Event{early}, Second, ContainerReclaimed{"a", "x"}, 1},
		{"reported twice", []Event{early, early}, Second, ContainerReclaimed{"a", "x"}, 1},
		{"on another machine", []Event{early}, Second, ContainerReclaimed{"b", "x"}, 0},
		{"another request", []Event{early}, Second, ContainerReclaimed{"a", "y"}, 0},
		{"reclaimed late", []Event{early}, unclaimedTTL + 1, ContainerReclaimed{"a", "x"}, 0},
		{"the earliest beyond the bound", many, Second, ContainerReclaimed{"a", "0"}, 0},
		{"the last beyond the bound", many, Second, ContainerReclaimed{"a", strconv.Itoa(maxUnclaimed + 4)}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := New()
			d.Handle(0, tc.before)
			testutil.Expect(t, len(d.unclaimedTerminations) <= maxUnclaimed,
				"%d terminations are held", len(d.unclaimedTerminations))
			want := []Action{ReportTermination{tc.reclaim.Machine, tc.reclaim.RequestID, 16}}[:tc.want]
			testutil.SlicesEqual(t, d.Handle(tc.after, []Event{Tick{}, tc.reclaim}), want)
			if d.Handle(tc.after+unclaimedTTL+1, []Event{Tick{}}); len(d.unclaimedTerminations) > 0 {
				t.Errorf("%d terminations are held beyond the time limit", len(d.unclaimedTerminations))
			}
		})
	}
}
