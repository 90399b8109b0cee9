package crashcheck

import (
	"testing"

	"glenport/internal/testutil"
)

// The log passes the check. The check detects a log that does not sync, and one that does not verify checksums.
func TestRecoveryAfterCrashKeepsCommits(t *testing.T) {
	for _, tc := range []struct {
		sabotage string
		ok       bool
	}{{"", true}, {SabotageSync, false}, {SabotageChecksum, false}} {
		t.Run("sabotage: "+tc.sabotage, func(t *testing.T) {
			c := &Check{Seed: 1, Commits: 40, RandomStates: 6, Sabotage: tc.sabotage}
			err := c.Run()
			testutil.Expect(t, (err == nil) == tc.ok, "%v", err)
			t.Logf(
				"%d operations, %d states, %d after a second crash, %d of %d bit flips detected: %v",
				c.Operations,
				c.States,
				c.SecondCrashes,
				c.Refused,
				c.BitFlips,
				err,
			)
		})
	}
}
