package scheduler

import (
	"fmt"
	"strings"
	"testing"
)

func TestOutliersAreEjected(t *testing.T) {
	for _, tc := range []struct {
		name, outcomes string // on machine a
		ejected        bool
	}{
		{"one failure", "unreachable", false},
		{"two in a row", "unreachable unreachable", true},
		{"failures among successes", "unreachable accepted accepted unreachable accepted accepted unreachable", false},
		{"full is no failure", "full full full full", false},
		{"silent", "timeout timeout", true},
		{"timeouts, but heard of", "heard-timeout heard-timeout heard-timeout", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := testScheduler(testConfig(Idempotent))
			for i, outcome := range strings.Fields(tc.outcomes) {
				now, id := Time(i+1)*Second, ContainerID(fmt.Sprint("x", i))
				submit(s, now, id, "s")
				s.moveAttempt(id, "a")
				if outcome == "heard-timeout" {
					s.Handle(now+1, []Event{ProbeCompleted{Machine: "a"}})
				}
				s.Handle(now+2, []Event{map[string]Event{
					"unreachable":   AttemptEnded{ID: id, Final: true, Outcome: OutcomeConnectFailed},
					"full":          AttemptEnded{ID: id, Final: true, Outcome: OutcomeFull, Reason: ReasonNoMemory},
					"timeout":       AttemptEnded{ID: id, Final: true, Outcome: OutcomeTimedOut},
					"heard-timeout": AttemptEnded{ID: id, Final: true, Outcome: OutcomeTimedOut},
					"accepted":      AttemptAccepted{ID: id}}[outcome]})
			}
			if ejected := s.machines.find("a").outlier.ejectedUntil > 0; ejected != tc.ejected {
				t.Errorf("ejected %t, want %t (log odds %.1f)", ejected, tc.ejected, s.machines.find("a").outlier.logOdds)
			}
		})
	}
	t.Run("ejected machines are the fallback", func(t *testing.T) {
		s := testScheduler(testConfig(Idempotent))
		for i, m := range s.machines.all() {
			s.outliers.recordFailure(m, s.now)
			s.outliers.recordFailure(m, s.now)
			got := submit(s, 0, ContainerID(m.id), fmt.Sprint("s", i))
			if ejected := s.machines.find(got) == nil || s.machines.find(got).outlier.ejectedUntil > 0; ejected != (i == 3) {
				t.Errorf("with %d of 4 ejected a container goes to %q", i+1, got)
			}
		}
	})
	t.Run("readmitted by a probe, on trial", func(t *testing.T) {
		s := testScheduler(testConfig(Idempotent))
		m := s.machines.find("a")
		s.outliers.recordFailure(m, s.now)
		s.outliers.recordFailure(m, s.now)
		actions := s.Handle(m.outlier.ejectedUntil, []Event{TimerFired{maintenanceTimerName}})
		s.Handle(m.outlier.ejectedUntil+100, []Event{ProbeCompleted{Machine: "a", Outcome: OutcomeFinished}})
		if lastAction(actions) != (Probe{"a"}) || m.outlier.ejectedUntil > 0 {
			t.Fatalf("probed by %v, ejected until %d", actions, m.outlier.ejectedUntil)
		}
		if s.outliers.recordFailure(m, s.now); m.outlier.ejectedUntil == 0 {
			t.Error("a failure on trial does not eject it again")
		}
	})
}

// An error is evidence against a machine once the container ran elsewhere, or failed nowhere else.
func TestErrorsAreAttributedToMachines(t *testing.T) {
	for _, tc := range []struct {
		name     string
		outcomes string // e: error, a: accepted, f: full, of each machine in turn
		suspects int    // machines with evidence against them
	}{
		{"one error, then accepted", "ea", 1},
		{"two errors, then accepted", "eea", 2},
		{"an error, then full everywhere", "efff", 1},
		{"errors everywhere", "eeee", 0},
		{"two errors, then full", "eeff", 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := testScheduler(testConfig(Idempotent))
			at := submit(s, Second, "x", "s")
			for i, outcome := range tc.outcomes {
				if at == "" {
					t.Fatalf("no attempt before outcome %d", i)
				}
				var e Event = AttemptAccepted{ID: "x", Attempt: i, Machine: at}
				switch outcome {
				case 'e':
					e = AttemptEnded{ID: "x", Attempt: i, Machine: at, Outcome: OutcomeErrored}
				case 'f':
					e = AttemptEnded{ID: "x", Attempt: i, Machine: at, Outcome: OutcomeFull, Reason: ReasonNoMemory}
				}
				at = ""
				if next, ok := lastAction(s.Handle(Second+Time(i+1), []Event{e})).(StartAttempt); ok {
					at = next.Machine
				}
			}
			suspects := 0
			for _, m := range s.machines.all() {
				if m.outlier.logOdds > 0 {
					suspects++
				}
			}
			if suspects != tc.suspects {
				t.Errorf("evidence against %d machines, want %d", suspects, tc.suspects)
			}
		})
	}
}

// Outcomes of attempts and probes that went to an earlier incarnation tell nothing of the one that is listed now.
func TestEarlierIncarnationIsNoEvidence(t *testing.T) {
	for _, tc := range []struct {
		name   string
		events []Event
	}{
		{"containers lost with it", []Event{AttemptAccepted{ID: "x"}, AttemptAccepted{ID: "y"},
			AttemptEnded{ID: "x", Final: true, Outcome: OutcomeLost},
			AttemptEnded{ID: "y", Final: true, Outcome: OutcomeLost}}},
		{"attempts cut short", []Event{AttemptEnded{ID: "x", Outcome: OutcomeLost}, AttemptEnded{ID: "y", Outcome: OutcomeLost}}},
		{"a probe that stays unanswered", []Event{ProbeCompleted{Machine: "a", Outcome: OutcomeTimedOut},
			ProbeCompleted{Machine: "a", Outcome: OutcomeTimedOut}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			config := testConfig(Idempotent)
			config.SlowStartPeriod = 0
			s := testScheduler(config)
			for _, id := range []ContainerID{"x", "y"} {
				submit(s, Second, id, "s")
				s.moveAttempt(id, "a")
			}
			s.machines.find("a").contact.probeSentAt = Second
			restarted := MachineEntry{Machine: "a", StartedAt: 2 * Second}
			s.Handle(3*Second, []Event{MachineListUpdate{Mode: DeltaUpdate, Entries: []MachineEntry{restarted}}})
			for _, e := range tc.events {
				s.Handle(3*Second, []Event{e})
			}
			if m := s.machines.find("a"); m.outlier.logOdds > 0 || m.outlier.ejectedUntil > 0 {
				t.Errorf("log odds %.1f, ejected until %d", m.outlier.logOdds, m.outlier.ejectedUntil)
			}
		})
	}
	t.Run("a probe that could not be sent", func(t *testing.T) {
		s := testScheduler(testConfig(Idempotent))
		for range 3 {
			s.machines.find("a").contact.probeSentAt = Second
			s.Handle(3*Second, []Event{ProbeCompleted{Machine: "a", Outcome: OutcomeNotSent}})
		}
		if m := s.machines.find("a"); m.outlier.logOdds > 0 || m.contact.probeSentAt > 0 {
			t.Errorf("log odds %.1f, probing %v", m.outlier.logOdds, m.contact.probeSentAt)
		}
	})
}
