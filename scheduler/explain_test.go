package scheduler

import (
	"fmt"
	"testing"
)

// Each machine counts under what keeps a container from it, and the question changes no decision.
func TestExplainCountsMachinesAndChangesNoDecision(t *testing.T) {
	for _, tc := range []struct {
		name  string
		setup func(s *Scheduler)
		want  func(x Explanation) int
		n     int
	}{
		{"eligible", func(*Scheduler) {}, func(x Explanation) int { return x.Eligible }, 4},
		{"draining", func(s *Scheduler) { s.machines.find("a").listing.state = MachineDraining },
			func(x Explanation) int { return x.Draining }, 1},
		{"gone", func(s *Scheduler) { s.machines.find("a").listing.state = MachineGone },
			func(x Explanation) int { return x.Gone }, 1},
		{"machine type", func(s *Scheduler) { s.config.WorkloadClasses[0].MachineType = 1 },
			func(x Explanation) int { return x.WrongMachineType }, 3},
		{"ejected", func(s *Scheduler) { s.machines.find("a").outlier.ejectedUntil = 1 },
			func(x Explanation) int { return x.Ejected }, 1},
		{"self-draining", func(s *Scheduler) { s.machines.find("a").selfDrain.until = s.now + 1 },
			func(x Explanation) int { return x.SelfDraining }, 1},
		{"slow start", func(s *Scheduler) {
			s.machines.find("a").listing.startedAt, s.slowStart.sendsKnownSince = s.now+1, s.now
		},
			func(x Explanation) int { return x.SlowStartExhausted }, 1},
		{"no cores", func(s *Scheduler) { s.machines.find("a").listing.requested.cores = 1e6 },
			func(x Explanation) int { return x.InsufficientCores }, 1},
		{"no memory", func(s *Scheduler) { s.machines.find("a").listing.requested.memory = 1e6 },
			func(x Explanation) int { return x.InsufficientMemory }, 1},
		{"spread", func(s *Scheduler) {
			s.config.WorkloadClasses[0].SpreadScope, s.config.WorkloadClasses[0].MaxPerScope = ScopeMachine, 1
			adopt(s, "o", "s", "a")
		}, func(x Explanation) int { return x.SpreadExhausted }, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			asked, unasked := testScheduler(testConfig(Idempotent)), testScheduler(testConfig(Idempotent))
			for _, s := range []*Scheduler{asked, unasked} {
				s.now, s.slowStart.sendsKnownSince = 100*Second, 0
				for _, m := range s.machines.all() {
					m.listing.requested = resources{}
				}
				tc.setup(s)
			}
			explanation := asked.Explain(smallRequest("", "s", 0))
			if got := tc.want(explanation); got != tc.n {
				t.Errorf("%d, want %d: %+v", got, tc.n, explanation)
			}
			for i := range 20 {
				id := ContainerID(fmt.Sprint(i))
				asked.Explain(smallRequest("", "s", 0))
				if a, b := submit(asked, 100*Second, id, "s"), submit(unasked, 100*Second, id, "s"); a != b {
					t.Fatalf("decided differently after the question: %s, %s", a, b)
				}
			}
		})
	}
}
