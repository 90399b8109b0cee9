package scheduler

import (
	"strings"
	"testing"

	"glenport/internal/testutil"
)

func TestOnlyEligibleMachinesAreDrawn(t *testing.T) {
	for _, tc := range []struct {
		name   string
		adjust func(*Config)
		setup  func(*Scheduler)
		want   string // eligible machines
	}{
		{"all", nil, nil, "abcd"},
		{"draining and gone", nil, func(s *Scheduler) {
			listMachines(s, 0, DeltaUpdate,
				MachineEntry{Machine: "a", State: MachineDraining},
				MachineEntry{Machine: "b", State: MachineGone, MachineType: 1})
		}, "cd"},
		{"absent from a full snapshot", nil, func(s *Scheduler) {
			listMachines(s, 0, FullSnapshot, MachineEntry{Machine: "c"})
		}, "c"},
		{"machine type", func(c *Config) { c.WorkloadClasses[0].MachineType = 1 }, nil, "b"},
		{"machines too small", func(c *Config) { c.MachineTypes[0].Cores = 0.4 }, nil, "b"},
		{"spread over machines", spreadOver(ScopeMachine, 2), func(s *Scheduler) {
			adopt(s, "o1", "s", "a")
			submit(s, 0, "o2", "s")
			s.moveAttempt("o2", "a")
		}, "bcd"},
		{"spread over zones", spreadOver(ScopeZone, 1), func(s *Scheduler) { adopt(s, "o1", "s", "a") }, "cd"},
		{"spread: running on a machine that is not in the list", spreadOver(ScopeZone, 1), func(s *Scheduler) {
			adopt(s, "o1", "s", "nowhere")
		}, ""},
		{"slow start, quota used up", nil, func(s *Scheduler) {
			m := s.machines.find("a")
			m.startAt(s.now + 1)
			for range s.config.SlowStartBudget / s.config.SchedulerCount {
				s.slowStart.recordSend(m, s.now)
			}
		}, "bcd"},
		{"slow start, new scheduler", nil, func(s *Scheduler) { startRecently(s, s.machines.find("a")) }, "bcd"},
		{"sent a container away", nil, func(s *Scheduler) {
			adopt(s, "o1", "o", "a")
			drained := AttemptEnded{ID: "o1", Final: true, Outcome: OutcomeLost, Reason: ReasonDrained}
			s.Handle(s.now, []Event{drained})
		}, "bcd"},
		{"does not know the container", nil, func(s *Scheduler) {
			submit(s, s.now, "o1", "o")
			s.moveAttempt("o1", "a")
			s.Handle(s.now, []Event{AttemptEnded{ID: "o1", Outcome: OutcomeFull, Reason: ReasonWrongMachine}})
		}, "bcd"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := settledScheduler(tc.adjust, tc.setup)
			testutil.Equal(t, eligibleMachines(s), tc.want, "eligible")
		})
	}
}

// spreadOver limits the containers of a service in one scope.
func spreadOver(scope Scope, most int) func(*Config) {
	return func(c *Config) { c.WorkloadClasses[0].SpreadScope, c.WorkloadClasses[0].MaxPerScope = scope, most }
}

// settledScheduler returns a scheduler that has run long enough to know all sends to machines in slow start.
func settledScheduler(adjust func(*Config), setup func(*Scheduler)) *Scheduler {
	config := testConfig(Idempotent)
	if adjust != nil {
		adjust(&config)
	}
	s := testScheduler(config)
	s.now = 100 * Second
	s.slowStart.start(0)
	if setup != nil {
		setup(s)
	}
	return s
}

// eligibleMachines returns the names of the machines that a container of service s may be placed on.
func eligibleMachines(s *Scheduler) string {
	c := s.containers.add(smallRequest("x", "s", 0))
	var names strings.Builder
	for _, m := range s.machines.all() {
		if s.draw.eligibility.allows(c, m, s.now) {
			names.WriteString(string(m.id))
		}
	}
	return names.String()
}
