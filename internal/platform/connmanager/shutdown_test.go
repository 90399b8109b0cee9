package connmanager

import (
	"testing"

	"glenport/internal/testutil"
)

func TestDrainEndsBeforeTheKill(t *testing.T) {
	for _, tc := range []struct {
		longest, elapsed Time
		unanswered       int
		drains, forces   bool
	}{
		{6 * Second, Second, 0, true, false},
		{6 * Second, 3*Second - 1, 0, true, false},
		{6 * Second, 3 * Second, 0, false, false},
		{6 * Second, 3 * Second, 1, true, false},
		// the kill comes after 3.7 s at the earliest, and the check runs four times a second
		{6 * Second, 34 * Second / 10, 1, true, true},
		{Second, Second - 1, 0, true, false},
		{Second, Second, 0, false, false},
		{Second, 14 * Second / 10, 1, true, true},      // the kill comes after 1.7 s
		{Second / 10, 6 * Second / 10, 0, true, false}, // requests arrive for up to 0.6 s
	} {
		if got := ShouldKeepDraining(tc.elapsed, tc.unanswered, tc.longest); got != tc.drains {
			t.Errorf("%+v: drains %t", tc, got)
		}
		if got := ShouldForceAnswers(tc.elapsed, tc.longest); got != tc.forces {
			t.Errorf("%+v: forces answers %t", tc, got)
		}
		killed := min(tc.longest, 3*Second) + 7*Second/10
		testutil.Expect(t, !tc.forces || tc.elapsed+Second/4 <= killed, "%+v: forces answers too late", tc)
	}
}

// Unconfirmed messages keep a scheduler running until shortly before the kill, and no longer.
func TestUnconfirmedMessagesDelayTheExit(t *testing.T) {
	for _, tc := range []struct {
		longest, elapsed Time
		unconfirmed      int
		delivers         bool
	}{
		{6 * Second, 3 * Second, 0, false},
		{6 * Second, 3 * Second, 1, true},
		{6 * Second, 34*Second/10 - 1, 1, true},
		{6 * Second, 34 * Second / 10, 1, false}, // the kill comes after 3.7 s at the earliest
		{Second / 10, Second / 2, 1, false},      // the kill comes after 0.8 s
	} {
		got := ShouldKeepDelivering(tc.elapsed, tc.unconfirmed, tc.longest)
		testutil.Expect(t, got == tc.delivers, "%+v: delivers %t", tc, got)
	}
}
