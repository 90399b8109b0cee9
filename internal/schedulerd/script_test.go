package schedulerd

import (
	"sync"
	"testing"
	"time"

	"glenport/scheduler"
)

// reaction returns the actions for an event.
type reaction func(scheduler.Event) []scheduler.Action

// scriptedScheduler replaces the scheduler. It passes all events to the test, and returns the actions of a reaction.
type scriptedScheduler struct {
	mu     sync.Mutex
	react  reaction // may be nil
	events chan scheduler.Event
}

func newScript(react reaction) *scriptedScheduler {
	return &scriptedScheduler{react: react, events: make(chan scheduler.Event, 100_000)}
}

func (s *scriptedScheduler) Handle(_ scheduler.Time, events []scheduler.Event) []scheduler.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	var actions []scheduler.Action
	for _, e := range events {
		if s.react != nil {
			actions = append(actions, s.react(e)...)
		}
		s.events <- e
	}
	return actions
}

// warmStartScript is a scriptedScheduler with a warm-start snapshot.
type warmStartScript struct {
	*scriptedScheduler
	snapshot          scheduler.Snapshot
	restoredSnapshots chan scheduler.Snapshot
}

func (s *warmStartScript) Snapshot() scheduler.Snapshot        { return s.snapshot }
func (s *warmStartScript) Restore(snapshot scheduler.Snapshot) { s.restoredSnapshots <- snapshot }

func newWarmStartScript(snapshot scheduler.Snapshot) *warmStartScript {
	return &warmStartScript{newScript(nil), snapshot, make(chan scheduler.Snapshot, 1)}
}

// awaitEvent waits for an event of a type that satisfies the condition, and skips all others. A nil condition accepts
// every event of the type.
func awaitEvent[E scheduler.Event](t *testing.T, script *scriptedScheduler, condition func(E) bool) E {
	t.Helper()
	timeout := time.After(testTimeout)
	for {
		select {
		case e := <-script.events:
			if e, ok := e.(E); ok && (condition == nil || condition(e)) {
				return e
			}
		case <-timeout:
			t.Fatalf("no %T within %v", *new(E), testTimeout)
		}
	}
}

// awaitList waits for an update of the machine list other than the restored list.
func awaitList(t *testing.T, script *scriptedScheduler) {
	t.Helper()
	awaitEvent(t, script, func(e scheduler.MachineListUpdate) bool {
		return e.Mode != scheduler.RestoredSnapshot
	})
}

// attemptOn returns a reaction that starts an attempt on machine a for each request, and fails the request if the
// attempt does not place it.
func attemptOn(timeout scheduler.Time) reaction {
	return func(e scheduler.Event) []scheduler.Action {
		switch e := e.(type) {
		case scheduler.RequestReceived:
			return []scheduler.Action{scheduler.StartAttempt{ID: e.ID, Machine: "a", Timeout: timeout}}
		case scheduler.AttemptEnded:
			if !e.Final {
				return []scheduler.Action{scheduler.Fail{ID: e.ID}}
			}
		}
		return nil
	}
}
