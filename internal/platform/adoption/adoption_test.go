package adoption

import (
	"fmt"
	"strconv"
	"testing"

	"glenport/internal/testutil"
)

const cores = 10 // per machine

// machineWith returns a machine that runs the given number of containers of one core and one unit of memory.
func machineWith(running int) Machine {
	mean := Load{Cores: 1, Memory: 1}
	return Machine{
		Listed:   true,
		Capacity: NewCapacity(Load{Cores: cores, Memory: cores}, mean),
		Running:  Load{Cores: float64(running), Memory: float64(running), Containers: running},
	}
}

func newClaim(client ClientID, number int, machine string, size float64) Claim {
	return Claim{Client: client, ID: strconv.Itoa(number), Machine: machine, Load: Load{size, size, 1}}
}

// decideMany decides on 500 claims of a client and returns the number of adopted ones.
func decideMany(c *Claims, client ClientID, first int, size float64) int {
	adopted := 0
	for i := range 500 {
		before := len(c.claims)
		machine := machineWith(len(c.byMachine["a"]))
		machine.Running.Cores *= size
		machine.Running.Memory *= size
		c.Decide(newClaim(client, first+i, "a", size), machine)
		adopted += len(c.claims) - before
	}
	return adopted
}

// Claims at a machine are adopted until their containers reach its capacity.
func TestClaimsAreBoundedByTheMachine(t *testing.T) {
	for _, tc := range []struct {
		name    string
		size    float64
		adopted int
	}{
		{"of mean size, the last beyond the capacity", 1, 11},
		{"of half the mean size", 0.5, 21},
		{"that request nothing", 0, cores * containerCountFactor},
		{"as large as the machine", 10, 2},
		{"larger than the machine", 10.5, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := New(1000)
			testutil.Equal(t, decideMany(c, 1, 0, tc.size), tc.adopted, "adopted")
			testutil.Expect(t, c.WasRejected("499", "a") && !c.WasRejected("499", "b"),
				"the last claim is not known as rejected")
		})
	}
}

// The connection with the most claims loses them, the newest first, until others have as many.
func TestLargestClientLosesItsNewestClaims(t *testing.T) {
	c := New(1000)
	decideMany(c, 1, 0, 1)
	d := c.Decide(newClaim(2, 1000, "a", 1), machineWith(11))
	testutil.Expect(t, d.Adopt, "the claim of another client is rejected")
	testutil.SlicesEqual(t, d.DisplacedIDs, []string{"10"})
	testutil.Expect(t, c.WasRejected("10", "a") && !c.WasRejected("9", "a"),
		"the displaced claim is not known as displaced")
	decideMany(c, 2, 1001, 1)
	testutil.Equal(t, len(c.byClient[1]), 6, "remaining claims of the first client")
	c.ClientDisconnected(1)
	c.ClientDisconnected(2)
	testutil.Equal(t, decideMany(c, 3, 2000, 1), 0, "further claims are adopted")
	testutil.Equal(t, len(c.byClient[3]), 5, "claims of the third client after the others have disconnected")
	for id := range c.claims {
		c.Remove(id)
	}
	testutil.Expect(t, len(c.byClient)+len(c.byMachine) == 0, "not all claims were removed: %+v", c)
}

// The total number of claims is bounded by the limit plus the first claim at each listed machine, which is not
// displaced.
func TestTotalClaimsAreBounded(t *testing.T) {
	c := New(5)
	for i := range 100 {
		c.Decide(newClaim(1, i, "unknown", 1), Machine{Capacity: NewCapacity(Load{1000, 1000, 0}, Load{1, 1, 1})})
	}
	testutil.Equal(t, len(c.claims), 5, "claims at a machine that is not listed")
	for i, name := range []string{"a", "b", "c"} {
		d := c.Decide(newClaim(1, 100+i, name, 1), machineWith(0))
		testutil.Expect(t, d.Adopt, "the first at %s is rejected", name)
	}
	d := c.Decide(newClaim(1, 200, "a", 1), machineWith(1))
	testutil.Expect(t, !d.Adopt, "the second of the same client is adopted")
	d = c.Decide(newClaim(2, 201, "a", 1), machineWith(1))
	testutil.SlicesEqual(t, d.DisplacedIDs, []string{"4"})
	testutil.Equal(t, MaxClaims(64), 3276, "claims with 64 MB")
}

// With a hundred thousand members, the filter has no false negatives and few false positives.
func TestFilterNeverMisses(t *testing.T) {
	const members = 100_000
	var f filter
	testutil.Expect(t, !f.contains("0", "a"), "a new filter is not empty")
	for i := range members {
		f.add(fmt.Sprintf("%016x", i), "a")
	}
	mistaken := 0
	for i := range members {
		testutil.Expect(t, f.contains(fmt.Sprintf("%016x", i), "a"), "member %d is not found", i)
		if f.contains(fmt.Sprintf("%016x", i), "b") {
			mistaken++
		}
	}
	testutil.Expect(t, mistaken < members/50, "%d false positives", mistaken)
}
