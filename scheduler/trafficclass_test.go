package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
)

// A machine may fail one workload class or tenant and serve the rest: only that one avoids it, for a while. Losses that all
// share, refusals with a reason and a fleet where every machine fails the class change nothing.
func TestMachineFailingOneClassIsAvoidedByThatClass(t *testing.T) {
	accepted := func(int) Event { return AttemptAccepted{ID: "x"} }
	timedOut := func(int) Event { return AttemptEnded{ID: "x", Final: true, Outcome: OutcomeTimedOut} }
	full := func(r Reason) func(int) Event {
		return func(int) Event { return AttemptEnded{ID: "x", Final: true, Outcome: OutcomeFull, Reason: r} }
	}
	third := func(i int) Event { return []func(int) Event{timedOut, accepted, accepted}[i%3](i) }
	for _, tc := range []struct {
		name        string
		first, rest func(turn int) Event // to the first class and tenant, to the others
		full        bool                 // the list has no room on a
		at          MachineID            // only there, or everywhere
		after       Time
		want        string // machines that the first ones go to
	}{
		{"unanswered", timedOut, accepted, false, "a", 0, "bcd"},
		{"evidence decays", timedOut, accepted, false, "a", 3 * evidenceDecay, "abcd"},
		{"a third unanswered, of all alike", third, third, false, "", 0, "abcd"},
		{"full for no reason", full(ReasonNone), accepted, false, "a", 0, "bcd"},
		{"full with a reason", full(ReasonNoMemory), accepted, false, "a", 0, "abcd"},
		{"full for no reason, no room", full(ReasonNone), accepted, true, "a", 0, "abcd"},
		{"everywhere", timedOut, accepted, false, "", 0, "abcd"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			config := testConfig(Idempotent)
			config.WorkloadClasses = append(config.WorkloadClasses, config.WorkloadClasses[0])
			config.Tenants = []Tenant{{50}, {50}}
			s := testScheduler(config)
			for turn := range 6 {
				for _, m := range s.machines.all() {
					m.listing.requested = resources{}
					if tc.full {
						m.listing.requested.cores = 99
					}
					first := tc.first
					if tc.at != "" && tc.at != m.id {
						first = accepted
					}
					attemptOn(s, m, 0, first(turn))
					attemptOn(s, m, 1, tc.rest(turn))
				}
			}
			s.now, *s.random = 2+tc.after, pcg{1}
			for class, want := range []string{tc.want, "abcd"} {
				if names := machinesDrawn(s, class); names != want {
					t.Errorf("workload class %d goes to %s, want %s", class, names, want)
				}
			}
		})
	}
}

func requestOfClass(id ContainerID, service string, class int) PlacementRequest {
	request := smallRequest(id, service, 6*Second)
	request.WorkloadClass, request.Tenant = class, class
	return request
}

// attemptOn places a container of a class and tenant on a machine that is heard of, and applies what becomes of it.
func attemptOn(s *Scheduler, m *machine, class int, outcome Event) {
	s.Handle(1, []Event{RequestReceived{requestOfClass("x", "s", class)}})
	s.moveAttempt("x", m.id)
	m.contact.lastHeardAt = 1
	s.Handle(2, []Event{outcome, AttemptEnded{ID: "x", Final: true}})
}

// machinesDrawn returns the names of the machines that containers of a class and tenant go to.
func machinesDrawn(s *Scheduler, class int) string {
	drawn := map[string]bool{}
	for i := range 400 {
		c := s.containers.add(requestOfClass("y", fmt.Sprint(i), class))
		drawn[string(s.draw.draw(c, s.machines.all(), s.now).id)] = true
	}
	return strings.Join(slices.Sorted(maps.Keys(drawn)), "")
}
