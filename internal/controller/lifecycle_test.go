package controller

import (
	"testing"

	"glenport/internal/testutil"
	"glenport/scheduler"
)

// Each case gives a sequence of steps of driver.step, and then the state of the container, the number of requests sent
// for it (placements and lookups) and the number of cancels.
func TestContainerFollowsItsSchedulersAnswers(t *testing.T) {
	for _, tc := range []struct {
		name        string
		idempotency scheduler.Idempotency
		steps, want string
	}{
		{"requested at once", idempotent, "", "placing 1"},
		{"accepted", idempotent, "accept", "running 1"},
		{"rejected", idempotent, "reject", "pending 1"},
		{"requested again after the backoff", idempotent, "reject 2s", "placing 2"},
		{"retry-after delays the request", idempotent, "reject-for-5s 4s", "pending 1"},
		{"requested again after retry-after", idempotent, "reject-for-5s 7s", "placing 2"},
		{"failed, idempotent", idempotent, "fail 2s", "placing 2"},
		{"failed, at-most-once", atMostOnce, "fail 7s", "fencing 1"},
		{"failed, at-most-once, fencing delay over", atMostOnce, "fail 9s", "placing 2"},
		// A key under which a container ran is not requested again: the next container has a new key.
		{"failed, at-most-once, not running", atMostOnce, "fail 9s reject 1s", "placing 3"},
		{"scheduler reconnects, not running", atMostOnce, "accept disconnect connect 2s reject 1s", "placing 3"},
		{"finished and started again", idempotent, "accept finish 1s", "placing 2"},
		{"evicted", idempotent, "accept evict 300ms", "pending 1"},
		{"evicted and requested again", idempotent, "accept evict 2s", "placing 2"},
		{"lost, idempotent", idempotent, "accept lose 1s", "placing 2"},
		{"lost, at-most-once", atMostOnce, "accept lose 7s", "fencing 1"},
		{"no scheduler connected", idempotent, "reject disconnect 9s", "pending 1"},
		{"scheduler reconnects", idempotent, "reject disconnect 9s connect 2s", "placing 2"},
		// The container that the lost request may have started is cancelled.
		{"scheduler lost while placing, idempotent", idempotent, "disconnect connect 2s", "placing 2, 1 cancelled"},
		{"scheduler lost while placing, at-most-once", atMostOnce, "disconnect connect 7s", "fencing 1"},
		{"scheduler lost while running", atMostOnce, "accept disconnect 60s", "unobserved 1"},
		{"scheduler lost while running, reconnects", atMostOnce, "accept disconnect 60s connect 2s", "placing 2"},
		{"scheduler lost past the timeout, idempotent", idempotent, "accept disconnect connect-other 11s", "placing 2"},
		{"scaled down while placing", idempotent, "scale-0", "placing 1, 1 cancelled"},
		{"scaled down while placing, answered", idempotent, "scale-0 fail", "removed 1, 1 cancelled"},
		{"scaled down while fencing", atMostOnce, "fail scale-0 5s", "fencing 1"},
		{"scaled down and up while fencing", atMostOnce, "fail scale-0 scale-1 9s", "placing 2"},
		{"fenced, scaled down", atMostOnce, "fail scale-0 9s", "placing 1, 1 cancelled"},
		{"fenced, scaled down, not running", atMostOnce, "fail scale-0 9s cancelled", "removed 1, 1 cancelled"},
		// Without another cancel, a copy that its scheduler did not know yet would keep running for good.
		{
			"fenced, scaled down, cancel refused", atMostOnce, "fail scale-0 9s cancel-refused 1s",
			"placing 1, 2 cancelled",
		},
		{"fenced, scaled down, running", atMostOnce, "fail scale-0 9s cancel-stopped", "removed 1, 1 cancelled"},
		{
			"fenced, scaled down and up, running", atMostOnce, "fail scale-0 9s scale-1 cancel-stopped 2s",
			"placing 2, 1 cancelled",
		},
		{"scaled down while running", idempotent, "accept scale-0 stop", "removed 1, 1 cancelled"},
		{"new spec replaces it", idempotent, "accept new-spec stop 1s", "placing 2, 1 cancelled"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := newRunningDriver(t, tc.idempotency, 1)
			d.steps(tc.steps)
			testutil.Equal(t, d.state()+d.cancelCount(), tc.want)
		})
	}
}

func TestStatesKeepTheirNamesInTheAPI(t *testing.T) {
	want := []string{"waiting", "asking", "running", "guarded", "unwatched", "done"}
	for state := StatePending; state <= StateCompleted; state++ {
		got := state.String()
		testutil.Expect(t, got == want[state], "the name of state %d is %q, want %q", state, got, want[state])
	}
}

func TestRetriesOfRejectedRequestsAreSpreadOut(t *testing.T) {
	d := newRunningDriver(t, scheduler.Idempotent, 1000)
	for _, request := range d.requests {
		d.handle(PlacementAnswered{RequestID: request.RequestID, Verdict: VerdictRejected})
	}
	first, most := len(d.requests), 0
	for range 100 {
		before := len(d.requests)
		d.advanceTime(20 * scheduler.Millisecond)
		most = max(most, len(d.requests)-before)
	}
	testutil.Expect(t, len(d.requests) == first+1000 && most <= 80,
		"%d of 1000 requested again, up to %d of them in 20 ms, want 80 at most", len(d.requests)-first, most)
}
