package scenario

import "testing"

// Every crash leaves what was kept, and the laboratory sees a store that does not sync, or trusts what it reads.
func TestCrashes(t *testing.T) {
	for _, tc := range []struct {
		spoil string
		ok    bool
	}{{"", true}, {"sync", false}, {"checksum", false}} {
		t.Run("spoilt: "+tc.spoil, func(t *testing.T) {
			c := &Crashes{Seed: 1, Commits: 40, Mixed: 6, Spoil: tc.spoil}
			err := c.Run()
			if (err == nil) != tc.ok {
				t.Errorf("%v", err)
			}
			t.Logf("%d operations, %d states, %d of a second crash, %d of %d flips refused: %v", c.Ops, c.States, c.Again, c.Refused, c.Flips, err)
		})
	}
}
