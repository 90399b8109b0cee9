package adoptions

import (
	"testing"

	"glenport/internal/testutil"
)

// Adoptions are recorded by service only while an attempt waits, because only then can they outdate a decision.
func TestAdoptionsAreTrackedWhileAttemptsAreWaiting(t *testing.T) {
	var tracker Tracker
	tracker.Adopted("s")
	before := tracker.Count()
	tracker.AttemptWaiting()
	testutil.Expect(t, !tracker.Since("s", before), "an adoption before the attempt was decided counts")
	tracker.Adopted("s")
	tracker.AttemptWaiting()
	testutil.Expect(t, tracker.Since("s", before) && !tracker.Since("other", before),
		"an adoption of the service does not count, or an adoption of another service does")
	tracker.AttemptsDone(1)
	testutil.Expect(t, tracker.Since("s", before), "an adoption is forgotten while an attempt is waiting")
	tracker.AttemptsDone(1)
	testutil.Expect(t, len(tracker.byService) == 0, "adoptions are kept although no attempt is waiting")
}
