package reconcile

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"glenport/internal/schedulerd/admission"
	"glenport/internal/schedulerd/recovery"
	"glenport/internal/testutil"
	_ "glenport/internal/testutil/fixedseed"
	"glenport/scheduler"

	"pgregory.net/rapid"
)

const ms = scheduler.Millisecond

var idempotency = []scheduler.Idempotency{scheduler.Idempotent, scheduler.IdempotentWithKey, scheduler.AtMostOnce}

func request(id string, class int) scheduler.PlacementRequest {
	return scheduler.PlacementRequest{
		ID:             scheduler.ContainerID(id),
		IdempotencyKey: "k-" + id,
		Service:        "s",
		WorkloadClass:  class,
	}
}

func retry(id, key string, class int) scheduler.PlacementRequest {
	r := request(id, class)
	r.IdempotencyKey, r.ClientRetry = key, true
	return r
}

// attempt returns an attempt to place container a on machine m.
func attempt(class int, incarnation, number uint64, running bool) Attempt {
	return Attempt{
		Request: request("a", class), Machine: "m", Incarnation: incarnation, Number: number, Running: running,
	}
}

func unknownOutcome(a Attempt) Event { return AttemptOutcomeUnknown{a} }

func notRunning(a Attempt) Event { return AttemptNotRunning{a} }

func lateAccept(a Attempt) Event { return LateAccept{a} }

// report returns a report of machine m.
func report(attempts ...Attempt) MachineReported { return MachineReported{"m", attempts} }

func describe(actions []Action) string {
	var all []string
	for _, a := range actions {
		switch a := a.(type) {
		case Admit:
			all = append(all, "admit "+string(a.Request.ID))
		case Reject:
			all = append(all, "reject "+string(a.ID))
		case AlreadyRunning:
			all = append(all, fmt.Sprintf("running %s on %s", a.ID, a.Machine))
		case CancelAttempt:
			all = append(all, fmt.Sprintf("cancel %d.%d", a.Incarnation, a.Attempt))
		case Adopt:
			all = append(all, "adopt "+string(a.Attempt.Request.ID))
		case ContainerLost:
			all = append(all, "lost "+string(a.ID))
		case ConnectMachine:
			all = append(all, "connect "+string(a.Machine))
		case TerminateContainer:
			all = append(all, fmt.Sprintf("terminate %s as %s", a.ID, a.RequestedID))
		case NotRunning:
			all = append(all, "not running "+string(a.ID))
		case AlreadyTerminated:
			all = append(all, "terminated "+string(a.ID))
		case CloseClient:
			all = append(all, fmt.Sprint("close ", a.Client))
		}
	}
	return strings.Join(all, ", ")
}

// Events of machine m and of container a, which has idempotency key k-a.
var (
	listed         = MachinesListed{Machines: []scheduler.MachineID{"m"}}
	reported       = MachineReported{Machine: "m"} // without attempts
	disconnected   = MachineDisconnected{"m"}
	connectFailed  = ConnectFailed{Machine: "m"}
	accepted       = AttemptAccepted{"a", "m", 9}
	timerFired     = TimerFired{}
	removed        = ContainerRemoved{"a"}
	machineGone    = MachineRemoved{"m"}
	outcomeUnknown = AttemptOutcomeUnknown{attempt(2, 5, 9, false)}
)

// place returns a placement request of client 1.
func place(id string, class int) PlacementRequested { return PlacementRequested{1, request(id, class)} }

// placeAgain returns a retry of client 1 under an idempotency key.
func placeAgain(id, key string, class int) PlacementRequested {
	return PlacementRequested{1, retry(id, key, class)}
}

// sequence is a test case that checks the actions of its last step. The incarnation of the scheduler is 5, and client 1
// is connected.
type sequence struct {
	name  string
	steps []any // an event, or the time of the events that follow
	want  string
}

func newReconciler(limits admission.Limits) *Reconciler {
	return New(Config{Incarnation: 5, Limits: limits, Idempotency: idempotency, LogCoverage: recovery.LogNone})
}

func runSequences(t *testing.T, sequences []sequence) {
	t.Helper()
	for _, tc := range sequences {
		t.Run(tc.name, func(t *testing.T) {
			reconciler := newReconciler(admission.Limits{Clients: 2, OpenRequests: 3, OpenRequestsPerClient: 2})
			now, got := scheduler.Time(0), ""
			reconciler.Handle(now, []Event{ClientConnected{1}})
			for _, s := range tc.steps {
				switch s := s.(type) {
				case scheduler.Time:
					now = s
				case Event:
					got = describe(reconciler.Handle(now, []Event{s}))
				}
			}
			testutil.Equal(t, got, tc.want)
		})
	}
}

func TestRequestIsAnsweredFromKnownContainers(t *testing.T) {
	runSequences(t, []sequence{
		{"a request", []any{place("a", 0)}, "admit a"},
		{"an id twice", []any{place("a", 0), place("a", 0)}, "reject a"},
		{"a key that is being placed", []any{place("a", 2), placeAgain("b", "k-a", 2)}, "reject b"},
		{"a key that runs", []any{place("a", 2), accepted, placeAgain("b", "k-a", 2)}, "running b on m"},
		{"a key that has ended", []any{4000 * ms, place("a", 2), accepted, removed, place("b", 2)}, "admit b"},
		{"an unknown workload class", []any{place("a", 3)}, "reject a"},
		{"the client has disconnected", []any{ClientDisconnected{1}, place("a", 0)}, ""},
		{"too many clients", []any{ClientConnected{2}, ClientConnected{3}}, "close 3"},
		{"too many open", []any{
			ClientConnected{2},
			place("a", 0), place("b", 0),
			PlacementRequested{2, request("c", 0)},
			PlacementRequested{2, request("d", 0)},
		}, "reject d"},
		{"too many of one client", []any{place("a", 0), place("b", 0), place("c", 0)}, "reject c"},
		{"below the limit again after a final answer", []any{
			place("a", 0), place("b", 0), RequestFailed{"a"}, place("c", 0),
		}, "admit c"},

		// A container that a killed scheduler left running must not be started again by a client retry.
		{"a retry, no machine has reported", []any{placeAgain("b", "k-a", 2)}, "reject b"},
		{"a retry, idempotent", []any{placeAgain("b", "k-a", 0)}, "admit b"},
		{"a retry, all machines have reported", []any{listed, reported, placeAgain("b", "k-a", 2)}, "admit b"},
		{"a retry, a machine cannot be connected", []any{
			listed, connectFailed, 3100 * ms, placeAgain("b", "k-a", 2),
		}, "connect m, admit b"},
		{"a retry, and its container runs", []any{
			listed, report(attempt(2, 4, 7, true)), placeAgain("b", "k-a", 2),
		}, "running b on m"},

		{"cancelled", []any{place("a", 0), CancelRequested{1, "a", "k-a"}}, "terminate a as a"},
		{"cancelled by its key", []any{place("a", 0), CancelRequested{1, "x", "k-a"}}, "terminate a as x"},
		{"cancelled, and an earlier attempt runs", []any{
			place("a", 1), lateAccept(attempt(1, 5, 9, true)), CancelRequested{1, "a", "k-a"},
		}, "cancel 5.9, terminate a as a"},
		// A scheduler that has just started does not know which containers run. If it answered that none does, a
		// container could keep running forever.
		{"cancelled, and no machine has reported", []any{CancelRequested{1, "x", "k-a"}}, "reject x"},
		{"cancelled, all machines have reported", []any{
			listed, reported, CancelRequested{1, "x", "k-a"},
		}, "terminated x"},
		{"cancelled, and its outcome is unknown", []any{
			listed, reported, outcomeUnknown, CancelRequested{1, "x", "k-a"},
		}, "reject x"},
		{"cancelled, only an id is known", []any{listed, reported, CancelRequested{1, "x", ""}}, ""},

		{"lookup, and its container runs", []any{
			place("a", 2), accepted, LookupRequested{1, "x", "k-a"},
		}, "running x on m"},
		{"lookup while the key is being placed", []any{place("a", 2), LookupRequested{1, "x", "k-a"}}, "reject x"},
		{"lookup, and no machine has reported", []any{LookupRequested{1, "x", "k-a"}}, "reject x"},
		{"lookup, and all machines have reported", []any{
			listed, reported, LookupRequested{1, "x", "k-a"},
		}, "not running x"},
	})
}

// isError reports whether an error chain contains an error of type E.
func isError[E error](err error) bool {
	var target E
	return errors.As(err, &target)
}

// The type of the reason tells why a request is rejected, and the retry-after whether the client should retry.
func TestRejectionNamesItsReason(t *testing.T) {
	open := place("a", 2)
	for _, tc := range []struct {
		name       string
		steps      []Event
		is         func(error) bool
		retryAfter scheduler.Time
	}{
		{"unknown class", []Event{place("b", 3)}, isError[*UnknownClassError], 0},
		{"duplicate container", []Event{open, open}, isError[*DuplicateContainerError], 0},
		{"key in use", []Event{open, placeAgain("b", "k-a", 2)}, isError[*KeyInUseError], retryAfter},
		{"limit", []Event{open, place("b", 0), place("c", 0)}, isError[*admission.LimitError], scheduler.Second},
		{"key may run", []Event{
			AttemptRestored{attempt(2, 4, 7, true)}, place("a", 2),
		}, isError[*recovery.MayRunError], retryAfter},
		{"recovering", []Event{placeAgain("b", "k-a", 2)}, isError[*recovery.RecoveringError], retryAfter},
	} {
		t.Run(tc.name, func(t *testing.T) {
			reconciler := newReconciler(admission.Limits{Clients: 1, OpenRequests: 2, OpenRequestsPerClient: 9})
			actions := reconciler.Handle(0, append([]Event{ClientConnected{1}}, tc.steps...))
			var rejected []Reject
			for _, a := range actions {
				if a, ok := a.(Reject); ok {
					rejected = append(rejected, a)
				}
			}
			if len(rejected) != 1 || !tc.is(rejected[0].Reason) || rejected[0].RetryAfter != tc.retryAfter {
				t.Errorf("got %+v", rejected)
			}
		})
	}
}

func TestAttemptThatMayRunIsResolved(t *testing.T) {
	runSequences(t, []sequence{
		{"late accept, idempotent", []any{place("a", 0), lateAccept(attempt(0, 5, 9, true))}, "cancel 5.9"},
		{"late accept, failed", []any{
			place("a", 2), RequestFailed{"a"}, removed, lateAccept(attempt(2, 5, 9, true)),
		}, "adopt a"},
		{"late accept while the request is open", []any{place("a", 1), lateAccept(attempt(1, 5, 9, true))}, ""},
		{"late accept, container removed", []any{
			place("a", 1), lateAccept(attempt(1, 5, 9, true)), removed,
		}, "adopt a"},
		{"late accept, container placed elsewhere", []any{
			place("a", 1), lateAccept(attempt(1, 5, 9, true)), AttemptAccepted{"a", "n", 10},
		}, "cancel 5.9"},
		// A machine that stopped answering may run an at-most-once attempt: a client retry is rejected until the
		// machine has reported.
		{"outcome unknown", []any{
			4000 * ms, place("a", 2), outcomeUnknown, removed, placeAgain("b", "k-a", 2),
		}, "reject b"},
		// Without a query to the machine the attempt would never be resolved.
		{"outcome unknown, the machine is connected", []any{4000 * ms, place("a", 2), outcomeUnknown}, "connect m"},
		{
			"outcome unknown, reconnected when its connection breaks",
			[]any{4000 * ms, place("a", 2), outcomeUnknown, disconnected},
			"connect m",
		},
		{"outcome unknown, the machine has reported", []any{
			4000 * ms, place("a", 2), outcomeUnknown, removed, reported, placeAgain("b", "k-a", 2),
		}, "admit b"},
		{"outcome unknown, the machine reports that the attempt does not run", []any{
			4000 * ms, place("a", 2), outcomeUnknown, removed, notRunning(attempt(2, 5, 9, false)),
			placeAgain("b", "k-a", 2),
		}, "admit b"},
		{"outcome unknown, the machine is gone", []any{
			4000 * ms, place("a", 2), outcomeUnknown, removed, machineGone, placeAgain("b", "k-a", 2),
		}, "admit b"},
		{"outcome unknown, idempotent", []any{
			4000 * ms, place("a", 0), unknownOutcome(attempt(0, 5, 9, false)), removed, placeAgain("b", "k-a", 0),
		}, "admit b"},
		{"removed, then reported by its machine", []any{
			place("a", 2), removed, report(attempt(2, 5, 9, true)),
		}, "adopt a"},
	})
}

func TestMachineReportDecidesWhatRuns(t *testing.T) {
	copyOfKey := Attempt{Request: retry("b", "k-a", 1), Machine: "m", Incarnation: 4, Number: 7, Running: true}
	runSequences(t, []sequence{
		{"listed machines are connected", []any{listed}, "connect m"},
		{"a machine that could not be connected is tried again", []any{
			listed, connectFailed, 2100 * ms, timerFired,
		}, "connect m"},
		{"a machine that has left the list is not tried again", []any{
			listed, connectFailed, machineGone, 5100 * ms, timerFired,
		}, ""},

		{"earlier incarnation, running", []any{report(attempt(0, 4, 7, true))}, "adopt a"},
		{"earlier incarnation, waiting: adopted until it has ended", []any{
			report(attempt(2, 4, 7, false)),
		}, "cancel 4.7, adopt a"},
		{"earlier incarnation, waiting, and requested again", []any{
			report(attempt(2, 4, 7, false)), placeAgain("b", "k-a", 2),
		}, "reject b"},
		{"reported twice", []any{report(attempt(0, 4, 7, true)), report(attempt(0, 4, 7, true))}, ""},
		{"earlier incarnation, then no longer reported", []any{report(attempt(0, 4, 7, true)), report()}, "lost a"},
		{"two copies of one key", []any{place("a", 1), AttemptAccepted{"a", "n", 9}, report(copyOfKey)}, "cancel 4.7"},
	})
}

// twoFailedReconnects is a broken connection after two failed attempts to reconnect.
var twoFailedReconnects = []any{
	place("a", 0), accepted, disconnected, connectFailed,
	200 * ms, timerFired, connectFailed, 1000 * ms, timerFired,
}

func after(steps []any, more ...any) []any { return append(slices.Clone(steps), more...) }

func TestBrokenConnectionIsTriedAgain(t *testing.T) {
	runSequences(t, []sequence{
		{"disconnected, tried at once", []any{place("a", 0), accepted, disconnected}, "connect m"},
		{"disconnected, and nothing runs there", []any{disconnected}, ""},
		{"reconnected, and still reported", []any{
			place("a", 0), accepted, disconnected, report(attempt(0, 5, 9, true)),
		}, ""},
		{"reconnected, and no longer reported", []any{place("a", 0), accepted, disconnected, report()}, "lost a"},
		{"tried again after the backoff", []any{
			place("a", 0), accepted, disconnected, connectFailed, 200 * ms, timerFired,
		}, "connect m"},
		{"lost after some attempts", after(twoFailedReconnects, connectFailed), "lost a"},
		{"not lost by a local shortage", after(
			twoFailedReconnects, ConnectFailed{"m", true}, 1200*ms, timerFired,
		), "connect m"},
		// Otherwise a container that kept running during a network partition would never be found again.
		{"lost, and its machine is queried later", after(
			twoFailedReconnects, connectFailed, removed, 3100*ms, timerFired,
		), "connect m"},
	})
}

// keyModel tracks the keys of admitted containers, from the events and actions alone.
type keyModel struct {
	open    map[scheduler.ContainerID]string
	running map[scheduler.ContainerID]string
	number  uint64 // number of the last attempt
}

// draw returns a random event, or nil if the drawn event is not possible.
func (m *keyModel) draw(t *rapid.T) Event {
	id := func() scheduler.ContainerID {
		return scheduler.ContainerID(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id"))
	}
	switch rapid.IntRange(0, 7).Draw(t, "event") {
	case 0, 1:
		key := rapid.SampledFrom([]string{"x", "y"})
		return placeAgain(string(id()), key.Draw(t, "key"), rapid.IntRange(0, 2).Draw(t, "class"))
	case 2:
		return m.accept(id())
	case 3:
		i := id()
		delete(m.open, i)
		delete(m.running, i)
		return ContainerRemoved{i}
	case 4:
		return disconnected
	case 5:
		return connectFailed
	case 6:
		return reported
	}
	return TimerFired{}
}

func (m *keyModel) accept(id scheduler.ContainerID) Event {
	key, open := m.open[id]
	if !open {
		return nil
	}
	m.number++
	delete(m.open, id)
	m.running[id] = key
	return AttemptAccepted{id, "m", m.number}
}

// admit checks that no open or running container has the key of a newly admitted container.
func (m *keyModel) admit(t *rapid.T, r scheduler.PlacementRequest) {
	for _, containers := range []map[scheduler.ContainerID]string{m.open, m.running} {
		for other, key := range containers {
			testutil.Require(t, key != r.IdempotencyKey, "%s admitted though %s has key %s", r.ID, other, key)
		}
	}
	m.open[r.ID] = r.IdempotencyKey
}

// reconcilerPair is two reconcilers that are given the same events.
type reconcilerPair struct {
	first, second *Reconciler
	now           scheduler.Time
}

// handle passes an event to both reconcilers, checks that their actions are equal and returns them.
func (p *reconcilerPair) handle(t *rapid.T, e Event) []Action {
	got, other := p.first.Handle(p.now, []Event{e}), p.second.Handle(p.now, []Event{e})
	if describe(got) != describe(other) {
		t.Fatalf("%v gives %q and %q", e, describe(got), describe(other))
	}
	return got
}

// apply updates the model with the actions that follow an event.
func (m *keyModel) apply(t *rapid.T, pair *reconcilerPair, actions []Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case Admit:
			m.admit(t, action.Request)
		case ContainerLost:
			delete(m.running, action.ID)
			pair.handle(t, ContainerRemoved{action.ID})
		}
	}
}

// In random sequences of events a key is admitted only while no container under it is open or runs, nothing is left
// when all containers are removed, and equal sequences lead to equal actions.
func TestKeyIsAdmittedOnlyWhileFree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := admission.Limits{Clients: 9, OpenRequests: 9, OpenRequestsPerClient: 9}
		a := newReconciler(limits)
		pair := &reconcilerPair{first: a, second: newReconciler(limits)}
		model := &keyModel{open: map[scheduler.ContainerID]string{}, running: map[scheduler.ContainerID]string{}}
		pair.handle(t, ClientConnected{1})
		for range 40 {
			pair.now += scheduler.Time(rapid.IntRange(0, 20000).Draw(t, "advance"))
			if e := model.draw(t); e != nil {
				model.apply(t, pair, pair.handle(t, e))
			}
		}
		for _, id := range []scheduler.ContainerID{"a", "b", "c", "d"} {
			a.Handle(pair.now, []Event{ContainerRemoved{id}})
		}
		if n := len(a.containers.byID) + len(a.containers.byKey) + len(a.containers.onMachine) + len(a.reconnects) +
			a.admission.OpenRequests() + a.admission.OpenRequestsOf(1); n != 0 {
			t.Fatalf("%d entries left", n)
		}
	})
}

// BGP peers drop the routes that have not been announced when recovery is complete, so the containers of the last
// machine to report must be adopted before that.
func TestRecoveryIsCompleteOnlyAfterTheLastReportIsAdopted(t *testing.T) {
	reconciler := newReconciler(admission.Limits{Clients: 1, OpenRequests: 2, OpenRequestsPerClient: 9})
	reconciler.Handle(0, []Event{MachinesListed{Machines: []scheduler.MachineID{"m", "n"}, FullSnapshot: true}})
	reconciler.Handle(1, []Event{MachineReported{Machine: "n"}})
	actions := reconciler.Handle(2, []Event{report(attempt(0, 4, 7, true))})
	adopted, completed := -1, -1
	for i, a := range actions {
		switch a.(type) {
		case Adopt:
			adopted = i
		case RecoveryComplete:
			completed = i
		}
	}
	testutil.Expect(t, adopted >= 0 && completed >= adopted,
		"adopted at %d, complete at %d of %+v", adopted, completed, actions)
}
