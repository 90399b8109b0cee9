package pending

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"

	"glenport/internal/controller"
	"glenport/internal/golden"
	"glenport/internal/testutil"
	"glenport/scheduler"
)

// TestReasonsMatchGoldenDigests explains seeded facts, both likely and unlikely ones, and compares a digest of all
// reasons, in order and as clients read them, with the digest in testdata.
func TestReasonsMatchGoldenDigests(t *testing.T) {
	const sequences = 4000
	var got strings.Builder
	for group := range 4 {
		digest := golden.NewDigest()
		random := rand.New(rand.NewPCG(uint64(group), 23))
		for range sequences {
			now, facts := randomFacts(random, group)
			reasons := Explain(now, facts)
			digest.Count(len(reasons))
			for _, r := range reasons {
				line, err := json.Marshal(r) // details in order of their names
				testutil.NoError(t, err)
				digest.Printf("%s %d\n", line, r.EndsAt)
			}
			digest.Printf("\n")
		}
		fmt.Fprintf(&got, "group %d: %s\n", group, digest.Summary("reasons"))
	}
	golden.CheckText(t, "testdata/reasons.txt", got.String())
}

// randomFacts draws facts, in group 0 of small fleets, in 1 of large ones, in 2 without an explanation, and in 3 of
// medium-sized ones.
func randomFacts(random *rand.Rand, group int) (scheduler.Time, Facts) {
	chance := func(p float64) bool { return random.Float64() < p }
	upTo := func(n int) int { return random.IntN(n + 1) }
	limit := []int{4, 3000, 20, 12}[group]
	count := func(p float64) int {
		if chance(p) {
			return upTo(limit)
		}
		return 0
	}
	now := scheduler.Time(upTo(1_000_000))
	state := controller.ContainerState(upTo(5))
	f := Facts{
		Schedulers: 1 + upTo(4), SchedulerConnected: chance(0.7), HasExplanation: group != 2 && chance(0.9),
		ListAge: scheduler.Time(upTo(60_000)) - 5_000, SlowStartWindow: scheduler.Time(upTo(30_000)),
	}
	f.SchedulersConnected = upTo(f.Schedulers)
	statuses := []string{
		"", "pushed back", "given up, and it may run", "turned away: may run on machine m3",
		"turned away: does not know yet", "turned away: full",
	}
	f.Container = controller.Container{
		Job: "j", Index: upTo(9), State: state, Sticky: chance(0.2), WasRefused: chance(0.3),
		Attempts: upTo(4), Scheduler: upTo(f.Schedulers) - 1, EnteredStateAt: now - scheduler.Time(upTo(90_000)),
		LastStatus: statuses[upTo(len(statuses)-1)],
	}
	if chance(0.7) {
		f.Container.NextStepAt = now + scheduler.Time(upTo(200_000)) - 20_000
	}
	x := &f.Explanation
	x.Machines, x.WrongMachineType, x.Draining, x.TooSmall = upTo(limit), count(0.4), count(0.4), count(0.3)
	x.SelfDraining, x.SpreadExhausted, x.SlowStartExhausted = count(0.2), count(0.2), count(0.2)
	x.Ejected, x.Suspected = count(0.2), count(0.2)
	x.InsufficientCores, x.InsufficientMemory, x.Eligible, x.Gone = count(0.4), count(0.4), count(0.3), count(0.2)
	x.SheddingLoad, x.FullRatio = chance(0.3), float64(upTo(100))/100
	if chance(0.15) { // no machine has the type that is needed, or all of them drain
		x.WrongMachineType, x.TooSmall = x.Machines, 0
	} else if chance(0.15) {
		x.WrongMachineType, x.TooSmall, x.Draining = 0, 0, x.Machines
	}
	for zone := range upTo(3) {
		z := Zone{Name: strconv.Itoa(zone), Machines: upTo(limit)}
		z.Draining = upTo(z.Machines)
		if chance(0.3) {
			z.Draining = z.Machines
		}
		f.Zones = append(f.Zones, z)
	}
	return now, f
}
