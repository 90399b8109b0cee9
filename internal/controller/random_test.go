package controller

import (
	"testing"

	"glenport/internal/testutil"
	"glenport/scheduler"
)

func TestRejectedRequestsDoNotComeAgainTogether(t *testing.T) {
	d := newRunningDriver(t, scheduler.Idempotent, 1000)
	for _, request := range d.requests {
		d.handle(PlacementAnswered{RequestID: request.RequestID, Verdict: VerdictRejected})
	}
	first, most := len(d.requests), 0
	for range 100 {
		before := len(d.requests)
		d.pass(20 * scheduler.Millisecond)
		most = max(most, len(d.requests)-before)
	}
	testutil.Expect(t, len(d.requests) == first+1000 && most <= 80,
		"%d requested again, up to %d in 20 ms", len(d.requests)-first, most)
}
