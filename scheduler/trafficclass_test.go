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
			for i := 0; i < 6; i++ {
				for _, m := range s.machineOrder {
					m.listRequested = resources{}
					if tc.full {
						m.listRequested.cores = 99
					}
					for class, event := range []func(int) Event{tc.first, tc.rest} {
						request := smallRequest("x", "s", 6*Second)
						request.WorkloadClass, request.Tenant = class, class
						s.Handle(1, []Event{RequestReceived{request}})
						s.moveAttempt("x", m.id)
						m.lastHeardAt = 1
						if class == 0 && tc.at != "" && tc.at != m.id {
							event = accepted
						}
						s.Handle(2, []Event{event(i), AttemptEnded{ID: "x", Final: true}})
					}
				}
			}
			s.now, s.random = 2+tc.after, pcg{1}
			for _, class := range []int{0, 1} {
				got := map[string]bool{}
				for i := 0; i < 400; i++ {
					request := smallRequest("y", fmt.Sprint(i), 0)
					request.WorkloadClass, request.Tenant = class, class
					got[string(s.draw(s.addContainer(request)).id)] = true
				}
				want := []string{tc.want, "abcd"}[class]
				if names := strings.Join(slices.Sorted(maps.Keys(got)), ""); names != want {
					t.Errorf("workload class %d goes to %s, want %s", class, names, want)
				}
			}
		})
	}
}
