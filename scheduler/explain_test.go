package scheduler

import (
	"strconv"
	"testing"

	"glenport/internal/testutil"
)

// Each machine counts under the first obstacle to a placement on it. A call of Explain changes no later decision.
func TestExplainCountsMachinesAndChangesNoDecision(t *testing.T) {
	onA := func(change func(s *Scheduler, a *machine)) func(*Scheduler) {
		return func(s *Scheduler) { change(s, s.machines.find("a")) }
	}
	for _, tc := range []struct {
		name   string
		adjust func(*Config)
		setup  func(*Scheduler)
		want   Explanation
	}{
		{"eligible", nil, nil, Explanation{Machines: 4, Eligible: 4}},
		{
			"draining", nil, onA(func(_ *Scheduler, a *machine) { a.listing.state = MachineDraining }),
			Explanation{Machines: 4, Draining: 1, Eligible: 3},
		},
		{
			"gone", nil, onA(func(_ *Scheduler, a *machine) { a.listing.state = MachineGone }),
			Explanation{Machines: 3, Gone: 1, Eligible: 3},
		},
		{
			"machine type", func(c *Config) { c.WorkloadClasses[0].MachineType = 1 }, nil,
			Explanation{Machines: 4, WrongMachineType: 3, Eligible: 1},
		},
		{
			"ejected", nil, onA(func(s *Scheduler, a *machine) { s.fail(a, 2) }),
			Explanation{Machines: 4, Ejected: 1, Eligible: 3},
		},
		{
			"self-draining", nil, onA(func(s *Scheduler, a *machine) { a.selfDrain.extend(s.now) }),
			Explanation{Machines: 4, SelfDraining: 1, Eligible: 3},
		},
		{"slow start", nil, onA(startRecently), Explanation{Machines: 4, SlowStartExhausted: 1, Eligible: 3}},
		{
			"no cores", nil, onA(func(_ *Scheduler, a *machine) { a.listing.requested.cores = 1e6 }),
			Explanation{Machines: 4, InsufficientCores: 1, Eligible: 3},
		},
		{
			"no memory", nil, onA(func(_ *Scheduler, a *machine) { a.listing.requested.memory = 1e6 }),
			Explanation{Machines: 4, InsufficientMemory: 1, Eligible: 3},
		},
		{
			"spread", spreadOver(ScopeMachine, 1), func(s *Scheduler) { adopt(s, "o", "s", "a") },
			Explanation{Machines: 4, SpreadExhausted: 1, Eligible: 3},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			idle := func(s *Scheduler) {
				for _, m := range s.machines.all() {
					m.listing.requested = resources{}
				}
				if tc.setup != nil {
					tc.setup(s)
				}
			}
			explaining, plain := settledScheduler(tc.adjust, idle), settledScheduler(tc.adjust, idle)
			testutil.Equal(t, explaining.Explain(smallRequest("", "s", 0)), tc.want)
			compareDecisions(t, explaining, plain)
		})
	}
}

// compareDecisions submits the same requests to two schedulers. Explain is called on one of them before each request.
func compareDecisions(t *testing.T, explaining, plain *Scheduler) {
	t.Helper()
	for i := range 20 {
		id := ContainerID(strconv.Itoa(i))
		explaining.Explain(smallRequest("", "s", 0))
		a, b := submit(explaining, 100*Second, id, "s"), submit(plain, 100*Second, id, "s")
		testutil.Require(t, a == b, "placed on %s after a call of Explain, on %s without", a, b)
	}
}
