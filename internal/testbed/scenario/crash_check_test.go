package scenario

import "testing"

// Every crash leaves what was kept, and the laboratory sees a store that does not sync, or trusts what it reads.
func TestCrashes(t *testing.T) {
	for _, tc := range []struct {
		spoil string
		ok    bool
	}{{"", true}, {"sync", false}, {"checksum", false}} {
		t.Run("spoilt: "+tc.spoil, func(t *testing.T) {
			c := &CrashCheck{Seed: 1, Commits: 40, RandomStates: 6, Sabotage: tc.spoil}
			err := c.Run()
			if (err == nil) != tc.ok {
				t.Errorf("%v", err)
			}
			t.Logf("%d operations, %d states, %d of a second crash, %d of %d flips refused: %v", c.Operations, c.States, c.SecondCrashes, c.Refused, c.BitFlips, err)
		})
	}
}
