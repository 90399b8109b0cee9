package recovery

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"glenport/internal/testutil"
	_ "glenport/internal/testutil/fixedseed"
	"glenport/scheduler"

	"pgregory.net/rapid"
)

const sec = scheduler.Second

var idempotency = []scheduler.Idempotency{scheduler.Idempotent, scheduler.IdempotentWithKey, scheduler.AtMostOnce}

func attempt(key string, class int, machine scheduler.MachineID, number uint64) Attempt {
	request := scheduler.PlacementRequest{ID: scheduler.ContainerID(key), IdempotencyKey: key, WorkloadClass: class}
	return Attempt{Request: request, Machine: machine, Incarnation: 4, Number: number}
}

func list(all ...scheduler.MachineID) MachinesListed { return MachinesListed{Machines: all} }

func describe(actions []Action) string {
	var all []string
	for _, a := range actions {
		switch a := a.(type) {
		case ConnectMachine:
			all = append(all, "connect "+string(a.Machine))
		case AttemptResolved:
			all = append(all, fmt.Sprint("resolved ", a.Attempt.Number))
		case Completed:
			all = append(all, "completed")
		}
	}
	return strings.Join(all, ", ")
}

// retryCases are sequences of events, and whether a client retry under key k must wait after them.
var retryCases = []struct {
	name     string
	coverage LogCoverage
	steps    []any // an event, or the time of the events that follow
	class    int
	wait     bool
	last     string // actions of the last step
}{
	{"no log, no machine has reported", LogNone, nil, 2, true, ""},
	{"no log, all have reported", LogNone, []any{list("m"), MachineReported{"m"}}, 2, false, "completed"},
	{"no log, the report timeout has passed", LogNone, []any{list("m"), 3 * sec, Tick{}}, 2, false, "completed"},
	{"no log, idempotent", LogNone, nil, 0, false, ""},
	// The scheduler crashed after it had sent an attempt and before it logged the outcome: the attempt may run.
	{"logged", LogComplete, []any{AttemptRestored{attempt("k", 2, "m", 9)}}, 2, true, ""},
	{"logged, long ago", LogComplete, []any{
		AttemptRestored{attempt("k", 2, "m", 9)}, 500 * sec, Tick{},
	}, 2, true, "completed"},
	{"logged, its machine has reported", LogComplete, []any{
		AttemptRestored{attempt("k", 2, "m", 9)}, list("m"), MachineReported{"m"},
	}, 2, false, "resolved 9, completed"},
	{"logged, another has reported", LogComplete, []any{
		AttemptRestored{attempt("k", 2, "m", 9)}, list("m", "n"), MachineReported{"n"},
	}, 2, true, ""},
	{"logged, its machine is gone", LogComplete, []any{
		AttemptRestored{attempt("k", 2, "m", 9)}, MachineRemoved{"m"},
	}, 2, false, "resolved 9"},
	{"logged, a full snapshot does not name its machine", LogComplete, []any{
		AttemptRestored{attempt("k", 2, "m", 9)}, MachinesListed{[]scheduler.MachineID{"n"}, true},
	}, 2, false, "resolved 9, connect n"},
	{"logged, a restored list does not name its machine", LogComplete, []any{
		AttemptRestored{attempt("k", 2, "m", 9)}, list("n"),
	}, 2, true, "connect n"},
	{"logged, idempotent with a key", LogComplete, []any{AttemptRestored{attempt("k", 1, "m", 9)}}, 1, true, ""},
	{"logged, two attempts, one machine has reported", LogComplete, []any{
		AttemptRestored{attempt("k", 2, "m", 9)},
		AttemptRestored{attempt("k", 2, "n", 10)},
		list("m", "n"),
		MachineReported{"m"},
	}, 2, true, "resolved 9"},
	{"machines of unresolved attempts are queried first", LogComplete, []any{
		AttemptRestored{attempt("k", 2, "n", 9)}, list("m", "n"),
	}, 2, true, "connect n, connect m"},
	{"complete log, another key", LogComplete, []any{AttemptRestored{attempt("x", 2, "m", 9)}}, 2, false, ""},
	{"complete log, idempotent with a key", LogComplete, []any{list("m")}, 1, false, "connect m"},
	// A restart of the operating system loses what was not synced: attempts that are idempotent with a key.
	{"synced, at-most-once", LogSynced, []any{list("m")}, 2, false, "connect m"},
	{"synced, idempotent with a key", LogSynced, []any{list("m"), 9 * sec, Tick{}}, 1, true, "completed"},
	{
		"synced, idempotent with a key, all have reported", LogSynced,
		[]any{list("m"), MachineReported{"m"}},
		1,
		false, "completed",
	},
	{"of this incarnation, at-most-once", LogComplete, []any{
		1 * sec, AttemptOutcomeUnknown{attempt("k", 2, "m", 9)},
	}, 2, true, "connect m"},
	{
		"of this incarnation, idempotent with a key: its scope and window hold", LogComplete,
		[]any{1 * sec, AttemptOutcomeUnknown{attempt("k", 1, "m", 9)}},
		1, false, "connect m",
	},
	// Otherwise the query scheduled for an attempt of this incarnation would be pending until the connection ended.
	{"an attempt that ends over an open connection drops the query to its machine", LogSynced, []any{
		list("m", "n"),
		MachineReported{"m"},
		AttemptOutcomeUnknown{attempt("x", 2, "m", 9)},
		AttemptNotRunning{attempt("x", 2, "m", 9)},
		MachineReported{"n"},
	}, 1, false, "completed"},
	{"a machine that cannot be connected is tried again", LogComplete, []any{
		list("m"), ConnectFailed{"m"}, 2 * sec, Tick{},
	}, 2, false, "connect m"},
}

func TestClientRetryWaitsWhileItsKeyMayRun(t *testing.T) {
	for _, tc := range retryCases {
		t.Run(tc.name, func(t *testing.T) {
			tracker, now, got := NewTracker(tc.coverage, idempotency), scheduler.Time(0), ""
			tracker.Handle(0)
			for _, s := range tc.steps {
				switch s := s.(type) {
				case scheduler.Time:
					now = s
				case Event:
					got = describe(tracker.Handle(now, s))
				}
			}
			testutil.Equal(t, got, tc.last)
			request := scheduler.PlacementRequest{
				ID:             "b",
				IdempotencyKey: "k",
				WorkloadClass:  tc.class,
				ClientRetry:    true,
			}
			if err := tracker.CheckPlacement(request); (err != nil) != tc.wait {
				t.Errorf("unexpected result of the check: %v", err)
			}
		})
	}
}

// The number of machines that are queried in one step does not grow with the machine list.
func TestQueriesAreSentInBatches(t *testing.T) {
	tracker := NewTracker(LogNone, idempotency)
	var all []scheduler.MachineID
	for i := range 1000 {
		all = append(all, scheduler.MachineID(fmt.Sprintf("m%04d", i)))
	}
	now, queried := scheduler.Time(0), 0
	for out := tracker.Handle(0, MachinesListed{Machines: all}); queried < 1000; out = tracker.Handle(now, Tick{}) {
		n := 0
		for _, a := range out {
			if _, ok := a.(ConnectMachine); ok {
				n++
			}
		}
		testutil.Require(t, n <= queryBatch, "%d queried in one step", n)
		queried += n
		if next := tracker.NextTimer(); next > now {
			now = next
		} else if queried < 1000 {
			t.Fatalf("%d queried, and no timer is set", queried)
		}
	}
	testutil.Expect(t, now <= 1000/queryBatch*queryInterval, "queried until %d", now)
}

// attemptModel tracks the attempts that may run by number, from the events alone.
type attemptModel struct {
	open       map[uint64]Attempt
	lastNumber uint64
}

// draw returns a random event and its time, which is not before now.
func (m *attemptModel) draw(t *rapid.T, now scheduler.Time) (Event, scheduler.Time) {
	machine := rapid.SampledFrom(modelMachines).Draw(t, "machine")
	key := rapid.SampledFrom(modelKeys).Draw(t, "key")
	switch rapid.IntRange(0, 6).Draw(t, "event") {
	case 0:
		return m.add(attempt(key, 2, machine, m.lastNumber+1), now), now
	case 1:
		maps.DeleteFunc(m.open, func(_ uint64, a Attempt) bool { return a.Machine == machine })
		return MachineReported{machine}, now
	case 2:
		return ConnectFailed{machine}, now
	case 3:
		return MachineDisconnected{machine}, now
	case 4:
		return MachinesListed{Machines: modelMachines}, now
	case 5:
		return m.end(key, machine), now
	}
	return Tick{}, now + scheduler.Time(rapid.IntRange(1, 40_000).Draw(t, "advance"))
}

// add opens an attempt. At time 0 the attempt is of an earlier incarnation.
func (m *attemptModel) add(a Attempt, now scheduler.Time) Event {
	m.lastNumber = a.Number
	m.open[a.Number] = a
	if now == 0 {
		return AttemptRestored{a}
	}
	return AttemptOutcomeUnknown{a}
}

// end closes the first attempt of a key on a machine, if there is one.
func (m *attemptModel) end(key string, machine scheduler.MachineID) Event {
	for _, number := range slices.Sorted(maps.Keys(m.open)) {
		if a := m.open[number]; a.Machine == machine && a.Request.IdempotencyKey == key {
			delete(m.open, number)
			return AttemptNotRunning{a}
		}
	}
	return Tick{}
}

func (m *attemptModel) mayRun(key string) bool {
	for _, a := range m.open {
		if a.Request.IdempotencyKey == key {
			return true
		}
	}
	return false
}

var (
	modelMachines = []scheduler.MachineID{"m", "n", "o"}
	modelKeys     = []string{"x", "y"}
)

// In random sequences of events, a key under which an attempt may run is not free before the machine of the attempt has
// reported or has left the machine list. No key or query is left when all machines have left.
func TestKeyOfUnresolvedAttemptIsNeverFree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		coverage := LogCoverage(rapid.IntRange(0, 2).Draw(t, "coverage"))
		tracker := NewTracker(coverage, idempotency)
		model := &attemptModel{open: map[uint64]Attempt{}}
		now := scheduler.Time(0)
		tracker.Handle(now)
		for range 40 {
			var e Event
			e, now = model.draw(t, now)
			tracker.Handle(now, e)
			for _, key := range modelKeys {
				request := scheduler.PlacementRequest{IdempotencyKey: key, WorkloadClass: 2, ClientRetry: true}
				testutil.Require(t, !model.mayRun(key) || tracker.CheckPlacement(request) != nil,
					"key %s is free, but an attempt under it may run", key)
			}
		}
		for _, machine := range modelMachines {
			tracker.Handle(now, MachineRemoved{machine})
		}
		if tracker.UnresolvedKeys()+len(tracker.queries) != 0 {
			t.Fatalf("%d unresolved keys, %d queries left", tracker.UnresolvedKeys(), len(tracker.queries))
		}
	})
}

// The type of the error tells why a key is blocked.
func TestBlockedKeyNamesItsMachine(t *testing.T) {
	tracker := NewTracker(LogNone, idempotency)
	tracker.Handle(0, AttemptRestored{attempt("k", 2, "m", 9)})
	tracker.Handle(sec)
	var mayRun *MayRunError
	err := tracker.CheckPlacement(scheduler.PlacementRequest{IdempotencyKey: "k", WorkloadClass: 2})
	testutil.Expect(t, errors.As(err, &mayRun) && mayRun.Machine == "m" && mayRun.SilentFor == sec,
		"placement under the key: %v", err)
	if err := tracker.CheckKey("k"); !errors.As(err, &mayRun) || mayRun.Machine != "m" {
		t.Errorf("the key: %v", err)
	}
	var recovering *RecoveringError
	if err := tracker.CheckKey("other"); !errors.As(err, &recovering) || recovering.Uptime != sec {
		t.Errorf("another key: %v", err)
	}
}

func TestResumeNeverRequestsWhatMayRun(t *testing.T) {
	for _, tc := range []struct {
		phase ContainerPhase
		n     int
		want  ResumeStep
		after scheduler.Time
	}{
		{PhasePending, 0, StepRequest, 0},
		{PhasePending, 4000, StepRequest, 2 * sec},
		{PhaseRequested, 0, StepLookup, 0},
		{PhaseRunning, 2000, StepLookup, sec},
		{PhaseFencing, 0, StepFence, 0},
		{PhaseFinished, 9, StepNone, 0},
	} {
		if got, after := Resume(tc.phase, tc.n); got != tc.want || after != tc.after {
			t.Errorf("phase %d, container %d: step %d after %d", tc.phase, tc.n, got, after)
		}
	}
}
