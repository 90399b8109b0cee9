package announce

import (
	"errors"
	"testing"

	"glenport/internal/statemachine"
	"glenport/internal/statemachine/statemachinetest"
	"glenport/internal/testutil"
)

func TestRouteTransitionsMatchTheTable(t *testing.T) {
	statemachinetest.CheckComment(t, statemachinetest.Machines{"An [Announcer] holds a service": routeTransitions})
	for state := routeWithdrawn; state <= changePending; state++ {
		for event := changeSettled; event <= addressMoved; event++ {
			r := route{state: state}
			err := r.transition(event)
			if next, legal := routeTransitions[state][event]; legal {
				testutil.Expect(t, err == nil && r.state == next,
					"%s, %s: %s, %v, want %s", state, event, r.state, err, next)
				continue
			}
			want := statemachine.TransitionError{
				Subject: "announced route", From: state.String(), Event: event.String(),
			}
			illegal, ok := errors.AsType[*statemachine.TransitionError](err)
			testutil.Expect(t, ok && *illegal == want && r.state == state, "%s, %s: %s, %v", state, event, r.state, err)
		}
	}
}

func TestPageShowsEachTransition(t *testing.T) {
	statemachinetest.CheckPage(t, "BGP announcements", map[string]statemachinetest.PageMachine{
		"Announced route": statemachinetest.NewPageMachine(routeTransitions, routeWithdrawn),
	})
}

func TestIllegalTransitionOfARouteIsLogged(t *testing.T) {
	a := New()
	s := a.findOrAdd("web")
	a.withdraw(s, withdrawalSent)
	testutil.Require(t, len(a.actions) == 1 && s.route.state == routeWithdrawn, "%+v, now %s", a.actions, s.route.state)
	log, ok := a.actions[0].(Log)
	testutil.Expect(t, ok && log.Err != nil, "%+v is not a log action with an error", a.actions[0])
}
