package scheduler

import (
	"fmt"
	"math"
	"testing"
)

func TestDrawOddsFollowHonoredCapacity(t *testing.T) {
	for _, tc := range []struct {
		name  string
		setup func(*Scheduler)
		want  func(m *machine) float64
	}{
		{"by capacity", func(*Scheduler) {}, func(m *machine) float64 { return m.listing.capacity }},
		{"not by placement", func(s *Scheduler) {
			for i := 0; i < 30; i++ {
				adopt(s, fmt.Sprint("own", i), "busy", "b")
			}
		}, func(m *machine) float64 { return m.listing.capacity }},
		{"not by reported room", func(s *Scheduler) {
			s.Handle(1, []Event{MachineListUpdate{Mode: DeltaUpdate, Entries: []MachineEntry{
				{Machine: "b", Zone: 0, RackGroup: 0, MachineType: 1, FreeCores: -99, FreeMemory: -99}}}})
		}, func(m *machine) float64 { return m.listing.capacity }},
		{"by honored capacity", func(s *Scheduler) {
			s.draw.capacities.loadIsKnown = true
			adopt(s, "heavy", "other", "b")
			s.Handle(1, []Event{UsageReported{ID: "heavy", Machine: "b", Metric: MetricCoresUsed, Value: 35}})
		}, func(m *machine) float64 {
			if m.id == "b" {
				return 40 - (35 - 1) // one core was requested
			}
			return m.listing.capacity
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := testScheduler(testConfig(Idempotent))
			tc.setup(s)
			const n = 20000
			seen, sum := map[*machine]float64{}, 0.0
			for i := 0; i < n; i++ {
				c := s.containers.add(smallRequest("x", fmt.Sprint("s", i), 0))
				seen[s.draw.draw(c, s.machines.all(), s.now)]++
				s.containers.close(c)
			}
			for _, m := range s.machines.all() {
				sum += tc.want(m)
			}
			for _, m := range s.machines.all() {
				if got, want := seen[m]/n, tc.want(m)/sum; math.Abs(got-want) > 0.015 {
					t.Errorf("%s: drawn %.3f of the time, want %.3f", m.id, got, want)
				}
			}
		})
	}
}

func TestHonoredCapacityLosesExtraneousLoad(t *testing.T) {
	for _, tc := range []struct {
		name                                 string
		usageReports                         bool
		used, requested, listRequested, want float64
	}{
		{"no usage reports", false, 30, 1, 1, 40},
		{"within the requests", true, 10, 4, 12, 40},
		{"beyond the listed requests", true, 20, 4, 12, 32},
		{"beyond own requests, list late", true, 20, 15, 12, 35},
		{"floor", true, 500, 4, 12, 40 * minWeightShare},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := testScheduler(testConfig(Idempotent))
			s.draw.capacities.loadIsKnown = tc.usageReports
			m := s.machines.find("b")
			m.load.used.cores, m.load.requested.cores, m.listing.requested.cores = tc.used, tc.requested, tc.listRequested
			if got := s.draw.capacities.honored(m); math.Abs(got-tc.want) > 1e-9 {
				t.Errorf("honored %.2f, want %.2f", got, tc.want)
			}
		})
	}
}

func TestOnlyEligibleMachinesAreDrawn(t *testing.T) {
	for _, tc := range []struct {
		name  string
		setup func(s *Scheduler)
		want  string // eligible machines
	}{
		{"all", func(*Scheduler) {}, "abcd"},
		{"draining and gone", func(s *Scheduler) {
			s.Handle(0, []Event{MachineListUpdate{Mode: DeltaUpdate, Entries: []MachineEntry{
				{Machine: "a", State: MachineDraining}, {Machine: "b", State: MachineGone, MachineType: 1}}}})
		}, "cd"},
		{"absent from a full snapshot", func(s *Scheduler) {
			s.Handle(0, []Event{MachineListUpdate{Mode: FullSnapshot, Entries: []MachineEntry{{Machine: "c"}}}})
		}, "c"},
		{"machine type", func(s *Scheduler) { s.config.WorkloadClasses[0].MachineType = 1 }, "b"},
		{"machines too small", func(s *Scheduler) { s.draw.eligibility.acceptLimits[0].cores = 0.4 * s.config.CoresOvercommit }, "b"},
		{"spread over machines", func(s *Scheduler) {
			s.config.WorkloadClasses[0].SpreadScope, s.config.WorkloadClasses[0].MaxPerScope = ScopeMachine, 2
			adopt(s, "o1", "s", "a")
			submit(s, 0, "o2", "s")
			s.moveAttempt("o2", "a")
		}, "bcd"},
		{"spread over zones", func(s *Scheduler) {
			s.config.WorkloadClasses[0].SpreadScope, s.config.WorkloadClasses[0].MaxPerScope = ScopeZone, 1
			adopt(s, "o1", "s", "a")
		}, "cd"},
		{"spread: running on a machine no list has named", func(s *Scheduler) {
			s.config.WorkloadClasses[0].SpreadScope, s.config.WorkloadClasses[0].MaxPerScope = ScopeZone, 1
			adopt(s, "o1", "s", "nowhere")
		}, ""},
		{"slow start, its quota spent", func(s *Scheduler) {
			m := s.machines.find("a")
			m.listing.startedAt = s.now + 1
			for i := 0; i < s.config.SlowStartBudget/s.config.SchedulerCount; i++ {
				m.sends.record(s.now)
			}
		}, "bcd"},
		{"slow start, just after own start", func(s *Scheduler) {
			s.machines.find("a").listing.startedAt, s.slowStart.sendsKnownSince = s.now+1, s.now
		}, "bcd"},
		{"drained a container", func(s *Scheduler) {
			adopt(s, "o1", "o", "a")
			s.Handle(s.now, []Event{AttemptEnded{ID: "o1", Final: true, Outcome: OutcomeLost, Reason: ReasonDrained}})
		}, "bcd"},
		{"does not know the container", func(s *Scheduler) {
			submit(s, s.now, "o1", "o")
			s.moveAttempt("o1", "a")
			s.Handle(s.now, []Event{AttemptEnded{ID: "o1", Outcome: OutcomeFull, Reason: ReasonWrongMachine}})
		}, "bcd"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := testScheduler(testConfig(Idempotent))
			s.now, s.slowStart.sendsKnownSince = 100*Second, 0
			tc.setup(s)
			c, got := s.containers.add(smallRequest("x", "s", 0)), ""
			for _, m := range s.machines.all() {
				if s.draw.eligibility.allows(c, m, s.now) {
					got += string(m.id)
				}
			}
			if got != tc.want {
				t.Errorf("eligible %q, want %q", got, tc.want)
			}
		})
	}
}
