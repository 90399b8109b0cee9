package scheduler

import (
	"testing"

	"glenport/internal/testutil"
)

// The idempotency of the class and the outcome of the first attempt decide whether the container is placed again.
func TestOutcomeDecidesNextAction(t *testing.T) {
	for _, tc := range []struct {
		name        string
		idempotency Idempotency
		scope       Scope
		outcome     Outcome
		wait        Time   // time of the outcome
		want        Action // only its type is compared
	}{
		{"idempotent, timed out", Idempotent, 0, OutcomeTimedOut, Second, StartAttempt{}},
		{"idempotent, full", Idempotent, 0, OutcomeFull, Second, StartAttempt{}},
		{"at most once, full", AtMostOnce, 0, OutcomeFull, Second, StartAttempt{}},
		{"at most once, connection refused", AtMostOnce, 0, OutcomeConnectFailed, Second, StartAttempt{}},
		{"at most once, not sent", AtMostOnce, 0, OutcomeNotSent, Second, StartAttempt{}},
		{"at most once, timed out", AtMostOnce, 0, OutcomeTimedOut, Second, Fail{}},
		{"at most once, error", AtMostOnce, 0, OutcomeErrored, Second, Fail{}},
		{"at most once, lost", AtMostOnce, 0, OutcomeLost, Second, Fail{}},
		{"with a key, stays in its zone", IdempotentWithKey, ScopeZone, OutcomeTimedOut, Second, StartAttempt{}},
		{"with a key, stays in its rack group", IdempotentWithKey, ScopeRackGroup, OutcomeTimedOut, Second, Fail{}},
		{"with a key, anywhere", IdempotentWithKey, ScopeFleet, OutcomeTimedOut, Second, StartAttempt{}},
		{"with a key, past its window", IdempotentWithKey, ScopeZone, OutcomeTimedOut, 5 * Second, Fail{}},
		{"with a key, past its window, anywhere", IdempotentWithKey, ScopeFleet, OutcomeTimedOut, 5 * Second, Reject{}},
		{"at the deadline", Idempotent, 0, OutcomeTimedOut, 10 * Second, Reject{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			config := testConfig(tc.idempotency)
			config.WorkloadClasses[0].DedupScope, config.WorkloadClasses[0].DedupWindow = tc.scope, 5*Second
			s := testScheduler(config)
			first := submit(s, 0, "x", "s")
			got := s.Handle(tc.wait, []Event{AttemptEnded{ID: "x", Outcome: tc.outcome, Machine: first}})
			if !sameType(lastAction(got), tc.want) {
				t.Errorf("%T, want %T", lastAction(got), tc.want)
			}
			next := attemptMachine(got)
			if next == "" {
				return
			}
			inScope := s.machines.find(next).sharesScope(s.machines.find(first), tc.scope) || tc.scope == ScopeNone
			testutil.Expect(t, next != first && inScope, "attempt on %s after %s", next, first)
		})
	}
}

func TestEachContainerIsAnsweredOnce(t *testing.T) {
	ended := func(o Outcome) Event { return AttemptEnded{ID: "x", Outcome: o} }
	endedFinally := func(o Outcome) Event { return AttemptEnded{ID: "x", Final: true, Outcome: o} }
	full := ended(OutcomeFull)
	accepted, removed := AttemptAccepted{ID: "x"}, ContainerRemoved{"x"}
	deadlinePassed := TimerFired{deadlineTimerName}
	for _, tc := range []struct {
		name   string
		events []Event
		want   int // actions for the container after its first attempt
		left   int // containers and services that remain registered
	}{
		{"removed, then its outcome", []Event{removed, ended(OutcomeTimedOut)}, 0, 0},
		{"final outcome, then removed", []Event{endedFinally(OutcomeFinished), removed}, 0, 0},
		{"accepted, then lost", []Event{accepted, endedFinally(OutcomeLost)}, 0, 0},
		{"every machine full", []Event{full, full, full, full}, 4, 0},
		{"acceptance crossed by a cancellation", []Event{accepted, ended(OutcomeStopped)}, 1, 2},
		{"no outcome at the deadline", []Event{TimerFired{maintenanceTimerName}, deadlinePassed}, 1, 2},
		{"unknown container", []Event{
			UsageReported{ID: "y"}, AttemptEnded{ID: "y"}, AttemptAccepted{ID: "y"}, ContainerRemoved{"y"},
		}, 0, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := testScheduler(testConfig(Idempotent))
			submit(s, 0, "x", "s")
			answers := 0
			for i, e := range tc.events {
				now := Time(i + 1)
				if e == Event(deadlinePassed) {
					now += 6 * Second
				}
				answers += countAnswers(s.Handle(now, []Event{e}))
			}
			testutil.Expect(t, answers == tc.want, "%d actions, want %d", answers, tc.want)
			if left := len(s.containers.containers) + len(s.containers.services); left != tc.left {
				t.Errorf("%d containers and services registered, want %d", left, tc.left)
			}
		})
	}
}

// countAnswers counts the actions that are for a container.
func countAnswers(actions []Action) int {
	count := 0
	for _, a := range actions {
		switch a.(type) {
		case StartAttempt, Reject, Fail, CancelAttempt:
			count++
		}
	}
	return count
}

// A container may run to its end before the machine accepts it. The client is answered at once: with a rejection if a
// second run is safe, else with a failure. The outcome is no evidence against the machine.
func TestContainerFinishedBeforeAcceptanceIsAnsweredAtOnce(t *testing.T) {
	for _, tc := range []struct {
		name        string
		idempotency Idempotency
		want        Action
	}{
		{"idempotent", Idempotent, Reject{ID: "x"}},
		{"with a key", IdempotentWithKey, Fail{"x"}},
		{"at most once", AtMostOnce, Fail{"x"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			config := testConfig(tc.idempotency)
			config.WorkloadClasses[0].DedupScope, config.WorkloadClasses[0].DedupWindow = ScopeZone, 8*Second
			s := testScheduler(config)
			at := submit(s, Second, "x", "s")
			actions := s.Handle(2*Second, []Event{AttemptEnded{ID: "x", Machine: at, Outcome: OutcomeFinished}})
			testutil.Expect(t, len(actions) == 1 && actions[0] == tc.want, "%v, want %v", actions, tc.want)
			if m := s.machines.find(at); m.outlier.logOdds > 0 || m.contact.lastContactAt != 2*Second {
				t.Errorf("log odds %.1f, last contact at %d", m.outlier.logOdds, m.contact.lastContactAt)
			}
			testutil.Expect(t, len(s.containers.containers) == 0, "the container is still registered")
		})
	}
}

// No attempt goes to a machine of unknown type or without capacity, and a container of an unknown workload class fails
// at once.
func TestInvalidInputIsAnsweredSafely(t *testing.T) {
	config := testConfig(Idempotent)
	config.SchedulerCount, config.SlowStartBudget = 0, 0
	config.MachineTypes = append(config.MachineTypes, MachineType{})
	s := testScheduler(config)
	listMachines(s, 1, FullSnapshot,
		MachineEntry{Machine: "a", MachineType: 9},
		MachineEntry{Machine: "b", MachineType: 2},
		MachineEntry{Machine: "c", StartedAt: 1})
	s.Handle(1, []Event{ContainerAdopted{PlacementRequest{ID: "r", Service: "s", WorkloadClass: 7}, "c"}})
	for _, tc := range []struct {
		request PlacementRequest
		want    Action // only its type is compared
	}{
		{PlacementRequest{ID: "x", Service: "s", Deadline: 2 * Second}, Reject{}},
		{PlacementRequest{ID: "y", Service: "s", WorkloadClass: 7, Deadline: 2 * Second}, Fail{}},
		{PlacementRequest{ID: "z", Service: "s", Tenant: 7, Deadline: 30 * Second}, StartAttempt{}},
	} {
		actions := s.Handle(tc.request.Deadline-1000, []Event{RequestReceived{tc.request}})
		got := lastAction(actions)
		testutil.Expect(t, sameType(got, tc.want), "%s: %T, want %T", tc.request.ID, got, tc.want)
	}
}
