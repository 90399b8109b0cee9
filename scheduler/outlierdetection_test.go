package scheduler

import (
	"fmt"
	"strings"
	"testing"

	"glenport/internal/testutil"
)

func TestOutliersAreEjected(t *testing.T) {
	for _, tc := range []struct {
		name     string
		outcomes string // on machine a: c connect failed, a accepted, f full, t timed out, h timed out but responding
		ejected  bool
	}{
		{"one failure", "c", false},
		{"two in a row", "cc", true},
		{"failures among successes", "caacaac", false},
		{"full is no failure", "ffff", false},
		{"silent", "tt", true},
		{"timeouts of a machine that responds", "hhh", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := testScheduler(testConfig(Idempotent))
			for i, outcome := range tc.outcomes {
				attemptOnA(s, ContainerID(fmt.Sprint("x", i)), Time(i+1)*Second, outcome)
			}
			m := s.machines.find("a")
			if ejected := m.outlier.isEjected(); ejected != tc.ejected {
				t.Errorf("ejected %t, want %t (log odds %.1f)", ejected, tc.ejected, m.outlier.logOdds)
			}
		})
	}
	t.Run("ejected machines are the fallback", testEjectedMachinesAreTheFallback)
	t.Run("readmitted by a probe, on trial", testReadmittedByAProbe)
}

func testEjectedMachinesAreTheFallback(t *testing.T) {
	s := testScheduler(testConfig(Idempotent))
	for i, m := range s.machines.all() {
		s.fail(m, 2)
		got := submit(s, 0, ContainerID(m.id), fmt.Sprint("s", i))
		drawn := s.machines.find(got)
		fallback := drawn == nil || drawn.outlier.isEjected()
		testutil.Expect(t, fallback == (i == 3), "with %d of 4 ejected a container goes to %q", i+1, got)
	}
}

func testReadmittedByAProbe(t *testing.T) {
	s := testScheduler(testConfig(Idempotent))
	m := s.machines.find("a")
	s.fail(m, 2)
	ejectedUntil := m.outlier.ejectedUntil
	actions := runMaintenance(s, ejectedUntil)
	s.Handle(ejectedUntil+100, []Event{ProbeCompleted{Machine: "a", Outcome: OutcomeFinished}})
	testutil.Require(t, lastAction(actions) == (Probe{"a"}) && !m.outlier.isEjected(),
		"probed by %v, ejected until %d", actions, m.outlier.ejectedUntil)
	if s.fail(m, 1); !m.outlier.isEjected() {
		t.Error("a failure on trial does not eject the machine again")
	}
}

// attemptOnA makes an attempt on machine a that ends in the outcome given by a letter.
func attemptOnA(s *Scheduler, id ContainerID, now Time, outcome rune) {
	submit(s, now, id, "s")
	s.moveAttempt(id, "a")
	if outcome == 'h' {
		s.Handle(now+1, []Event{ProbeCompleted{Machine: "a"}})
	}
	s.Handle(now+2, []Event{map[rune]Event{
		'a': AttemptAccepted{ID: id},
		'c': AttemptEnded{ID: id, Final: true, Outcome: OutcomeConnectFailed},
		'f': AttemptEnded{ID: id, Final: true, Outcome: OutcomeFull, Reason: ReasonNoMemory},
		't': AttemptEnded{ID: id, Final: true, Outcome: OutcomeTimedOut},
		'h': AttemptEnded{ID: id, Final: true, Outcome: OutcomeTimedOut},
	}[outcome]})
}

func TestEjectionTimeDoublesUntilLogOddsAreZero(t *testing.T) {
	d, m := &outlierDetector{actions: &actionBuffer{}}, &machine{outlier: newOutlierRecord()}
	for i, want := range []Time{2 * Second, 4 * Second, 8 * Second, 8 * Second} {
		d.recordFailure(m, 0)
		d.recordFailure(m, 0)
		testutil.Expect(t, m.outlier.ejectedUntil == want,
			"ejection %d lasts %d, want %d", i, m.outlier.ejectedUntil, want)
		d.readmit(m)
	}
	for m.outlier.logOdds > 0 {
		d.recordSuccess(m)
	}
	if d.recordFailure(m, 0); m.outlier.isEjected() || m.outlier.ejectionTime != baseEjectionTime {
		t.Errorf("after even odds the next ejection lasts %d", m.outlier.ejectionTime)
	}
}

// An error is evidence against a machine if the container is accepted elsewhere later, or has no other error.
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
				testutil.Require(t, at != "", "no attempt before outcome %d", i)
				e := map[rune]Event{
					'a': AttemptAccepted{ID: "x", Attempt: i, Machine: at},
					'e': AttemptEnded{ID: "x", Attempt: i, Machine: at, Outcome: OutcomeErrored},
					'f': AttemptEnded{ID: "x", Attempt: i, Machine: at, Outcome: OutcomeFull, Reason: ReasonNoMemory},
				}[outcome]
				at = attemptMachine(s.Handle(Second+Time(i+1), []Event{e}))
			}
			got := countSuspects(s)
			testutil.Expect(t, got == tc.suspects, "evidence against %d machines, want %d", got, tc.suspects)
		})
	}
}

// countSuspects counts the machines with evidence against them.
func countSuspects(s *Scheduler) int {
	count := 0
	for _, m := range s.machines.all() {
		if m.outlier.logOdds > 0 {
			count++
		}
	}
	return count
}

// Outcomes of attempts on and probes to an earlier incarnation of a machine are no evidence about its current
// incarnation.
func TestOutcomesOfEarlierIncarnationAreIgnored(t *testing.T) {
	probeTimedOut := ProbeCompleted{Machine: "a", Outcome: OutcomeTimedOut}
	for _, tc := range []struct {
		name   string
		events []Event
	}{
		{"accepted containers lost", []Event{
			AttemptAccepted{ID: "x"},
			AttemptAccepted{ID: "y"},
			AttemptEnded{ID: "x", Final: true, Outcome: OutcomeLost},
			AttemptEnded{ID: "y", Final: true, Outcome: OutcomeLost},
		}},
		{"open attempts lost", []Event{
			AttemptEnded{ID: "x", Outcome: OutcomeLost}, AttemptEnded{ID: "y", Outcome: OutcomeLost},
		}},
		{"an unanswered probe", []Event{probeTimedOut, probeTimedOut}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			config := testConfig(Idempotent)
			config.SlowStartPeriod = 0
			s := testScheduler(config)
			for id := range strings.FieldsSeq("x y") {
				submit(s, Second, ContainerID(id), "s")
				s.moveAttempt(ContainerID(id), "a")
			}
			m := s.machines.find("a")
			m.contact.probeSentAt = Second
			listMachines(s, 3*Second, DeltaUpdate, MachineEntry{Machine: "a", StartedAt: 2 * Second})
			for _, e := range tc.events {
				s.Handle(3*Second, []Event{e})
			}
			testutil.Expect(t, m.outlier.logOdds <= 0 && !m.outlier.isEjected(),
				"log odds %.1f, ejected until %d", m.outlier.logOdds, m.outlier.ejectedUntil)
		})
	}
	t.Run("a probe that could not be sent", testProbeThatCouldNotBeSent)
}

func testProbeThatCouldNotBeSent(t *testing.T) {
	s := testScheduler(testConfig(Idempotent))
	m := s.machines.find("a")
	for range 3 {
		m.contact.probeSentAt = Second
		s.Handle(3*Second, []Event{ProbeCompleted{Machine: "a", Outcome: OutcomeNotSent}})
	}
	testutil.Expect(t, m.outlier.logOdds <= 0 && m.contact.probeSentAt <= 0,
		"log odds %.1f, probing %v", m.outlier.logOdds, m.contact.probeSentAt)
}
