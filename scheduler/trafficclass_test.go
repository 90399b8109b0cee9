package scheduler

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"

	"glenport/internal/testutil"
)

// A machine may fail one workload class or tenant and serve the others. Only the failing class avoids it, until the
// evidence decays. The placement stays the same if all classes lose alike, if the refusals have a reason, or if every
// machine fails the class.
func TestMachineFailingOneClassIsAvoidedByThatClass(t *testing.T) {
	accepted := func(int) Event { return AttemptAccepted{ID: "x"} }
	timedOut := func(int) Event { return AttemptEnded{ID: "x", Final: true, Outcome: OutcomeTimedOut} }
	full := func(r Reason) func(int) Event {
		return func(int) Event { return AttemptEnded{ID: "x", Final: true, Outcome: OutcomeFull, Reason: r} }
	}
	third := func(i int) Event { return []func(int) Event{timedOut, accepted, accepted}[i%3](i) }
	for _, tc := range []struct {
		name        string
		first, rest func(turn int) Event // outcomes for the first class and tenant, and for the others
		requested   float64              // cores on each machine, according to the machine list
		at          string               // machines where the first class has the outcomes of first; accepted elsewhere
		after       Time                 // time between the outcomes and the draws
		want        string               // machines where the first class is placed
	}{
		{"unanswered", timedOut, accepted, 0, "a", 0, "bcd"},
		{"evidence decays", timedOut, accepted, 0, "a", 3 * evidenceDecay, "abcd"},
		{"a third unanswered, for all classes", third, third, 0, "abcd", 0, "abcd"},
		{"full for no reason", full(ReasonNone), accepted, 0, "a", 0, "bcd"},
		{"full with a reason", full(ReasonNoMemory), accepted, 0, "a", 0, "abcd"},
		{"full for no reason, no room", full(ReasonNone), accepted, 99, "a", 0, "abcd"},
		{"everywhere", timedOut, accepted, 0, "abcd", 0, "abcd"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newTwoClassScheduler()
			attemptEverywhere(s, tc.requested, func(m *machine, turn int) (first, rest Event) {
				if strings.Contains(tc.at, string(m.id)) {
					return tc.first(turn), tc.rest(turn)
				}
				return accepted(turn), tc.rest(turn)
			})
			s.now, *s.random = 2+tc.after, pcg{1}
			for class, want := range []string{tc.want, "abcd"} {
				names := machinesDrawn(s, class)
				testutil.Expect(t, names == want, "workload class %d is placed on %s, want %s", class, names, want)
			}
		})
	}
}

func newTwoClassScheduler() *Scheduler {
	config := testConfig(Idempotent)
	config.WorkloadClasses = append(config.WorkloadClasses, config.WorkloadClasses[0])
	config.Tenants = []Tenant{{50}, {50}}
	return testScheduler(config)
}

func requestOfClass(id ContainerID, service string, class int) PlacementRequest {
	request := smallRequest(id, service, 6*Second)
	request.WorkloadClass, request.Tenant = class, class
	return request
}

// attemptEverywhere places a container of each class on each machine in turn. The machine list has the given requested
// cores for each machine.
func attemptEverywhere(s *Scheduler, requested float64, outcomes func(m *machine, turn int) (first, rest Event)) {
	for turn := range 6 {
		for _, m := range s.machines.all() {
			m.listing.requested = resources{cores: requested}
			first, rest := outcomes(m, turn)
			attemptOn(s, m, 0, first)
			attemptOn(s, m, 1, rest)
		}
	}
}

// attemptOn places a container of a class and tenant on a machine that responds, and applies the outcome.
func attemptOn(s *Scheduler, m *machine, class int, outcome Event) {
	s.Handle(1, []Event{RequestReceived{requestOfClass("x", "s", class)}})
	s.moveAttempt("x", m.id)
	m.contact.recordContact(1)
	s.Handle(2, []Event{outcome, AttemptEnded{ID: "x", Final: true}})
}

// machinesDrawn returns the names of the machines that are drawn for containers of a class and tenant.
func machinesDrawn(s *Scheduler, class int) string {
	drawn := map[string]bool{}
	for i := range 400 {
		c := s.containers.add(requestOfClass("y", strconv.Itoa(i), class))
		drawn[string(s.draw.draw(c, s.machines.all(), s.now).id)] = true
	}
	return strings.Join(slices.Sorted(maps.Keys(drawn)), "")
}

// The more the loss of a class exceeds the loss of its peers, the less evidence is needed. Without peers, no evidence
// is enough.
func TestSuspicionThresholdFallsWithExcessLoss(t *testing.T) {
	last := suspicionThreshold(0, 1)
	for _, excess := range []float64{0, 0.1, 0.3, 0.5, 0.8} {
		threshold := suspicionThreshold(excess, 2)
		testutil.Expect(t, threshold < last,
			"threshold %.2f at an excess loss of %.1f, %.2f before", threshold, excess, last)
		last = threshold
	}
}
