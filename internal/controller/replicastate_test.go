package controller

import (
	"errors"
	"testing"

	"glenport/internal/statemachine"
	"glenport/internal/statemachine/statemachinetest"
)

// forEachTransition calls visit for each state, event and next state, and tells it whether the table allows that
// transition.
func forEachTransition(visit func(from replicaState, event replicaEvent, to replicaState, allowed bool)) {
	for from := replicaCreated; from <= replicaRemoved; from++ {
		for event := eventCreated; event <= eventScaledDown; event++ {
			allowed := map[replicaState]bool{}
			for _, to := range transitions[from][event] {
				allowed[to] = true
			}
			for to := replicaCreated; to <= replicaRemoved; to++ {
				visit(from, event, to, allowed[to])
			}
		}
	}
}

func TestTransitionsOutsideTheTableAreRejected(t *testing.T) {
	forEachTransition(func(from replicaState, event replicaEvent, to replicaState, allowed bool) {
		r := &replica{job: &job{id: "j"}, index: 2, state: from}
		err := r.transition(event, to)
		if allowed {
			if err != nil || r.state != to {
				t.Errorf("%s, %s: got %s and %v, want %s", from, event, r.state, err, to)
			}
			return
		}
		want := statemachine.TransitionError{
			Subject: "container 2 of job j", From: from.String(), Event: event.String(), To: to.String(),
		}
		rejected, ok := errors.AsType[*statemachine.TransitionError](err)
		if !ok || *rejected != want || r.state != from {
			t.Errorf("%s, %s, %s: got %s and %v, want a TransitionError", from, event, to, r.state, err)
		}
	})
}

func TestIllegalTransitionIsReportedAndChangesNothing(t *testing.T) {
	c := New(Config{})
	r := &replica{job: &job{id: "j"}, state: replicaCompleted, lastStatus: statusFinished}
	before := *r
	c.lifecycle.enter(r, eventAccepted, replicaRunning, noTimer, statusRunning)
	c.lifecycle.remove(r, eventEnded)
	actions := c.Handle(0, nil)
	if len(actions) != 2 || *r != before {
		t.Fatalf("got %v and %+v, want two rejected transitions", actions, r)
	}
	for _, action := range actions {
		var rejected *statemachine.TransitionError
		if a, ok := action.(TransitionRejected); !ok || !errors.As(a.Err, &rejected) {
			t.Errorf("got %+v, want a rejected transition", action)
		}
	}
}

func TestPackageCommentHasTheTransitions(t *testing.T) {
	statemachinetest.CheckComment(t, statemachinetest.Machines{"A replica is a container": transitions})
}

func TestPageShowsEachTransition(t *testing.T) {
	statemachinetest.CheckPage(t, "Controller", map[string]statemachinetest.PageMachine{
		"Replica": statemachinetest.NewPageMachine(transitions, replicaCreated),
	})
}
