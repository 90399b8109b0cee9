package controller

import (
	"maps"
	"slices"
	"testing"

	"glenport/internal/testutil"
	_ "glenport/internal/testutil/fixedseed"
	"glenport/scheduler"

	"pgregory.net/rapid"
)

// The controller is killed at any time, and restarts from the records that it had stored before it sent requests.
// Schedulers accept, reject, fail, lose their connection, or do not know yet whether a container runs. Throughout, no
// container of at-most-once work has two copies, and no key under which such a container ran is requested again. Once
// the faults end, each wanted container runs and no other does.
func TestKilledControllerRunsWhatIsWanted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newCrashModel(t)
		m.restart()
		for range rapid.IntRange(10, 40).Draw(t, "steps") {
			m.step()
			m.perform()
			m.advanceTime(scheduler.Time(rapid.IntRange(0, 120_000).Draw(t, "span")))
		}
		m.faultsOver = true
		for n := range m.connected {
			if !m.connected[n] {
				m.connect(n, true)
			}
		}
		m.perform()
		m.advanceTime(300 * second)
		wanted, running := 0, 0
		for _, j := range m.stored.jobs {
			wanted += j.Count
		}
		for _, keys := range m.runningRequests {
			running += len(keys)
		}
		// Without the record of orphans a second copy of idempotent work would run forever.
		testutil.Require(t, running == wanted && len(m.stored.orphans) == 0,
			"%d containers run, %d are wanted; running %v, stored %+v", running, wanted, m.runningRequests, m.stored)
	})
}

// crashModel is a controller that is killed and restarted, the records that it has stored, and its schedulers.
type crashModel struct {
	t *rapid.T
	testClock
	idempotency     scheduler.Idempotency
	controller      *Controller
	sequence        uint64   // the current incarnation numbers keys and requests above it
	actions         []Action // not performed yet; lost when the controller is killed
	connected       [2]bool
	runningRequests [2]map[string]string // request id by key, for each scheduler
	startedKeys     map[string]bool      // keys under which a container ran
	faultsOver      bool
	stored          storedState
}

var crashModelJobs = []string{"a", "b"}

func newCrashModel(t *rapid.T) *crashModel {
	idempotency := rapid.SampledFrom([]scheduler.Idempotency{scheduler.Idempotent, scheduler.AtMostOnce}).
		Draw(t, "idempotency")
	return &crashModel{
		t: t, idempotency: idempotency, runningRequests: [2]map[string]string{{}, {}}, startedKeys: map[string]bool{},
		stored: newStoredState(),
	}
}

// fault reports whether a fault with a chance of 1 in n occurs. None occurs once the faults are over.
func (m *crashModel) fault(n int, label string) bool {
	return !m.faultsOver && rapid.IntRange(0, n-1).Draw(m.t, label) == 0
}

// restart starts a new incarnation from the stored records. Actions that were not performed are lost.
func (m *crashModel) restart() {
	m.sequence += 1000
	config := testConfig(m.idempotency)
	config.Seed, config.FirstSequence = m.sequence, m.sequence
	m.controller = New(config)
	m.actions, m.timerAt, m.connected = nil, 0, [2]bool{}
	m.handle(m.stored.restored())
}

// handle applies the records that the controller wants stored, and queues requests for perform.
func (m *crashModel) handle(events ...Event) {
	for _, a := range m.controller.Handle(m.now, events) {
		m.stored.apply(a)
		switch a := a.(type) {
		case SetTimer:
			m.setTimer(a.After)
		case SubmitRequest, LookupRequest, CancelRequest:
			m.actions = append(m.actions, a)
		case TransitionRejected:
			m.t.Fatal(a.Err)
		}
	}
}

func (m *crashModel) connect(n int, connected bool) {
	m.connected[n] = connected
	m.handle(SchedulerConnection{n, connected})
}

func (m *crashModel) advanceTime(span scheduler.Time) {
	m.advance(span, func() {
		m.handle(TimerFired{})
		m.perform()
	})
}

// perform performs the queued requests, and those that follow from their answers. Requests to a scheduler that is not
// connected are lost.
func (m *crashModel) perform() {
	for len(m.actions) > 0 {
		a := m.actions[0]
		m.actions = m.actions[1:]
		switch a := a.(type) {
		case LookupRequest:
			if m.connected[a.Scheduler] {
				m.lookup(a)
			}
		case SubmitRequest:
			if m.connected[a.Scheduler] {
				m.submit(a)
				m.checkSingleCopies()
			}
		case CancelRequest:
			if m.connected[a.Scheduler] {
				m.cancel(a)
			}
		}
	}
}

func (m *crashModel) lookup(a LookupRequest) {
	keys := m.runningRequests[a.Scheduler]
	if _, runs := keys[a.IdempotencyKey]; runs {
		keys[a.IdempotencyKey] = a.RequestID // the end is reported under the id of the latest request
		m.handle(PlacementAnswered{RequestID: a.RequestID, Verdict: VerdictAccepted, Machine: "m"})
	} else if m.fault(3, "outcome unknown") {
		m.handle(PlacementAnswered{RequestID: a.RequestID, Verdict: VerdictRefused})
	} else {
		m.handle(PlacementAnswered{RequestID: a.RequestID, Verdict: VerdictRejected})
	}
}

func (m *crashModel) submit(a SubmitRequest) {
	atMostOnce := m.idempotency == scheduler.AtMostOnce
	testutil.Require(m.t, !m.startedKeys[a.IdempotencyKey] || !atMostOnce,
		"a container ran under key %s, which is requested again", a.IdempotencyKey)
	keys := m.runningRequests[a.Scheduler]
	_, runs := keys[a.IdempotencyKey]
	start := func() { keys[a.IdempotencyKey], m.startedKeys[a.IdempotencyKey] = a.RequestID, true }
	switch {
	case runs:
		keys[a.IdempotencyKey] = a.RequestID
		m.handle(PlacementAnswered{RequestID: a.RequestID, Verdict: VerdictAccepted, Machine: "m"})
	case m.fault(4, "rejected"):
		m.handle(PlacementAnswered{RequestID: a.RequestID, Verdict: VerdictRejected})
	case atMostOnce && m.fault(4, "failed, but runs"): // the scheduler cancels other work after a failure
		start()
		m.handle(PlacementAnswered{RequestID: a.RequestID, Verdict: VerdictFailed})
	case m.fault(6, "connection lost, but runs"):
		start()
		m.connect(a.Scheduler, false)
	default:
		start()
		m.handle(PlacementAnswered{RequestID: a.RequestID, Verdict: VerdictAccepted, Machine: "m"})
	}
}

func (m *crashModel) cancel(a CancelRequest) {
	if _, runs := m.runningRequests[a.Scheduler][a.IdempotencyKey]; runs {
		delete(m.runningRequests[a.Scheduler], a.IdempotencyKey)
		m.handle(ContainerEnded{a.RequestID, scheduler.OutcomeStopped, 0})
	} else if m.fault(3, "outcome unknown") {
		m.handle(PlacementAnswered{RequestID: a.RequestID, Verdict: VerdictRefused})
	} else {
		m.handle(PlacementAnswered{RequestID: a.RequestID, Verdict: VerdictFailed, Message: "cancelled"})
	}
}

func (m *crashModel) checkSingleCopies() {
	if m.idempotency != scheduler.AtMostOnce {
		return
	}
	seen := map[string]bool{}
	for _, keys := range m.runningRequests {
		for key := range keys {
			container := containerOf(key)
			testutil.Require(m.t, !seen[container], "%s has two copies: %v", container, m.runningRequests)
			seen[container] = true
		}
	}
}

func (m *crashModel) step() {
	switch rapid.IntRange(0, 6).Draw(m.t, "step") {
	case 0, 1:
		id := rapid.SampledFrom(crashModelJobs).Draw(m.t, "job")
		set := JobSet{id, rapid.IntRange(0, 3).Draw(m.t, "count"), Spec{Service: "s", Cores: 1}}
		m.stored.jobs[id] = set
		m.handle(set)
	case 2:
		if id := rapid.SampledFrom(crashModelJobs).Draw(m.t, "job"); m.stored.jobs[id].Job != "" {
			delete(m.stored.jobs, id)
			m.handle(JobDeleted{id})
		}
	case 3: // killed: stored records remain, actions that were not performed are lost
		m.restart()
	case 4:
		n := rapid.IntRange(0, 1).Draw(m.t, "scheduler")
		m.connect(n, !m.connected[n])
	case 5:
		for n, keys := range m.runningRequests {
			sorted := slices.Sorted(maps.Keys(keys))
			if m.connected[n] && len(sorted) > 0 {
				requestID := keys[sorted[0]]
				delete(keys, sorted[0])
				m.handle(ContainerEnded{requestID, scheduler.OutcomeFinished, 0})
			}
		}
	}
}
