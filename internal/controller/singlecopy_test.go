package controller

import (
	"slices"
	"strings"
	"testing"

	"glenport/internal/testutil"
	"glenport/scheduler"

	"pgregory.net/rapid"
)

// Work that is not idempotent has at most one copy throughout. Once the faults end, each wanted container runs and no
// other does. After the last job is deleted, the tables of the controller are empty.
func TestNonIdempotentWorkHasOneCopy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newSingleCopyModel(t)
		m.handle(JobSet{"j", 3, Spec{}})
		for range 60 {
			m.step()
		}
		for n := range m.connected {
			m.connected[n] = true
			m.handle(SchedulerConnection{n, true})
		}
		m.handle(JobSet{"j", 2, Spec{}})
		for range 200 {
			m.advanceTime(second)
			for len(m.requests) > 0 {
				m.answerOldest(answerAccept)
			}
		}
		if c := m.copies; c["j/0"] != 1 || c["j/1"] != 1 || c["j/2"]+c["j/3"] != 0 {
			t.Fatalf("running at the end: %v, want j/0 and j/1; replicas %+v", c, m.controller.jobs.sortedReplicas())
		}
		m.handle(JobDeleted{"j"})
		m.advanceTime(20 * second)
		left := len(m.controller.jobs.byID) + len(m.controller.requests.byID) + len(m.controller.timers.validTimers)
		testutil.Require(t, left == 0 && m.copies["j/0"]+m.copies["j/1"] == 0,
			"%d entries left in tables, %v running", left, m.copies)
	})
}

// modelRequest is a request that a scheduler has not answered yet.
type modelRequest struct {
	SubmitRequest
	sentAt      scheduler.Time
	incarnation int // incarnation of the scheduler when it was sent
}

// singleCopyModel is a controller with schedulers that answer late and with any answer, lose their connection, and
// start containers that were requested before the loss.
type singleCopyModel struct {
	t *rapid.T
	testClock
	controller      *Controller
	copies          map[string]int    // number of copies by container, named job/index
	runningRequests map[string]string // request id by key
	schedulerByKey  map[string]int    // index of the scheduler at which it runs, by key
	requests        []modelRequest
	lookups         map[string]bool // request ids of lookups
	incarnations    [2]int
	connected       [2]bool
}

func newSingleCopyModel(t *rapid.T) *singleCopyModel {
	idempotency := scheduler.Idempotency(rapid.IntRange(1, 2).Draw(t, "idempotency"))
	return &singleCopyModel{
		t: t, controller: New(testConfig(idempotency)), copies: map[string]int{}, runningRequests: map[string]string{},
		schedulerByKey: map[string]int{}, lookups: map[string]bool{},
	}
}

// containerOf returns the container that a key is for, named job/index.
func containerOf(key string) string { return key[:strings.LastIndex(key, "/")] }

func (m *singleCopyModel) handle(events ...Event) {
	for _, a := range m.controller.Handle(m.now, events) {
		switch a := a.(type) {
		case SubmitRequest:
			m.send(a)
		case LookupRequest:
			m.send(lookupAsRequest(a))
			m.lookups[a.RequestID] = true
		case CancelRequest:
			m.cancel(a)
		case SetTimer:
			m.setTimer(a.After)
		case TransitionRejected:
			m.t.Fatal(a.Err)
		}
	}
}

func (m *singleCopyModel) advanceTime(span scheduler.Time) {
	m.advance(span, func() { m.handle(TimerFired{}) })
}

func (m *singleCopyModel) send(r SubmitRequest) {
	m.requests = append(m.requests, modelRequest{r, m.now, m.incarnations[r.Scheduler]})
}

func (m *singleCopyModel) start(r SubmitRequest) {
	container := containerOf(r.IdempotencyKey)
	m.copies[container]++
	m.runningRequests[r.IdempotencyKey], m.schedulerByKey[r.IdempotencyKey] = r.RequestID, r.Scheduler
	testutil.Require(m.t, m.copies[container] <= 1, "%s has two copies at %d", container, m.now)
}

func (m *singleCopyModel) stop(key string) {
	m.copies[containerOf(key)]--
	delete(m.runningRequests, key)
}

// cancel answers a cancel as a scheduler does: with the end of the running container, with the end of the open request,
// or with a refusal because it does not know whether the container runs.
func (m *singleCopyModel) cancel(a CancelRequest) {
	if !m.connected[a.Scheduler] {
		return
	}
	if _, runs := m.runningRequests[a.IdempotencyKey]; runs && m.schedulerByKey[a.IdempotencyKey] == a.Scheduler {
		m.cancelRunning(a)
		return
	}
	open, verdict := m.findOpenRequest(a)
	if open >= 0 {
		r := m.requests[open]
		m.requests = slices.Delete(m.requests, open, open+1)
		if r.RequestID != a.RequestID {
			m.handle(PlacementAnswered{RequestID: r.RequestID, Verdict: verdict, Message: "cancelled"})
		}
	}
	m.handle(PlacementAnswered{RequestID: a.RequestID, Verdict: verdict, Message: "cancelled"})
}

// cancelRunning stops a container and drops the requests of its key.
func (m *singleCopyModel) cancelRunning(a CancelRequest) {
	m.stop(a.IdempotencyKey)
	m.requests = slices.DeleteFunc(m.requests, func(r modelRequest) bool {
		return r.IdempotencyKey == a.IdempotencyKey && r.incarnation == m.incarnations[a.Scheduler]
	})
	m.handle(ContainerEnded{a.RequestID, scheduler.OutcomeStopped, 0})
}

// findOpenRequest returns the index of the open request that a cancel is for, or -1, and the verdict with which both
// are answered. While an attempt of an earlier incarnation may start, the scheduler does not know whether the container
// runs, and refuses both.
func (m *singleCopyModel) findOpenRequest(a CancelRequest) (open int, verdict Verdict) {
	open, verdict = -1, VerdictFailed
	for i, r := range m.requests {
		if r.IdempotencyKey != a.IdempotencyKey || r.Scheduler != a.Scheduler {
			continue
		}
		if r.incarnation == m.incarnations[a.Scheduler] {
			open = i
		} else if m.now-r.sentAt < testPlacementTimeout {
			verdict = VerdictRefused
		}
	}
	return open, verdict
}

// Ways in which a scheduler answers a placement request.
const (
	answerAcceptLate = iota // accepted, even if the scheduler has been lost since
	answerAccept
	answerReject
	answerFailAndRun // failed, although the container runs
	answerFail
	answerRefuse
)

// answerOldest answers the oldest request in one of the ways above, as far as its state allows.
func (m *singleCopyModel) answerOldest(way int) {
	r := m.requests[0]
	m.requests = m.requests[1:]
	_, runs := m.runningRequests[r.IdempotencyKey]
	lookup := m.lookups[r.RequestID]
	switch {
	case !m.connected[r.Scheduler] || m.incarnations[r.Scheduler] != r.incarnation:
		// The controller knows of the lost connection. The attempt may still start until its timeout.
		if !runs && way == answerAcceptLate && m.now-r.sentAt < testPlacementTimeout && !lookup {
			m.start(r.SubmitRequest)
		}
	case runs && m.schedulerByKey[r.IdempotencyKey] != r.Scheduler:
		m.t.Fatalf("%s is requested at %d and runs at %d",
			r.IdempotencyKey, r.Scheduler, m.schedulerByKey[r.IdempotencyKey])
	case runs:
		m.runningRequests[r.IdempotencyKey] = r.RequestID
		m.handle(PlacementAnswered{RequestID: r.RequestID, Verdict: VerdictAccepted, Machine: "m"})
	case lookup:
		m.handle(PlacementAnswered{RequestID: r.RequestID, Verdict: m.lookupVerdict(r)})
	default:
		m.answerPlacement(r.SubmitRequest, way)
	}
}

// lookupVerdict returns the answer to a lookup of a key under which no container runs now.
func (m *singleCopyModel) lookupVerdict(lookup modelRequest) Verdict {
	for _, r := range m.requests {
		if r.IdempotencyKey == lookup.IdempotencyKey && !m.lookups[r.RequestID] &&
			m.now-r.sentAt < testPlacementTimeout {
			return VerdictRefused
		}
	}
	return VerdictRejected
}

func (m *singleCopyModel) answerPlacement(r SubmitRequest, way int) {
	switch way {
	case answerAcceptLate, answerAccept:
		m.start(r)
		m.handle(PlacementAnswered{RequestID: r.RequestID, Verdict: VerdictAccepted, Machine: "m"})
	case answerReject:
		m.handle(PlacementAnswered{RequestID: r.RequestID, Verdict: VerdictRejected})
	case answerFailAndRun:
		m.start(r)
		m.handle(PlacementAnswered{RequestID: r.RequestID, Verdict: VerdictFailed})
	case answerFail:
		m.handle(PlacementAnswered{RequestID: r.RequestID, Verdict: VerdictFailed})
	case answerRefuse:
		m.handle(PlacementAnswered{RequestID: r.RequestID, Verdict: VerdictRefused})
	}
}

func (m *singleCopyModel) step() {
	switch rapid.IntRange(0, 5).Draw(m.t, "step") {
	case 0, 1:
		if len(m.requests) > 0 {
			m.answerOldest(rapid.IntRange(answerAcceptLate, answerRefuse).Draw(m.t, "way"))
		}
	case 2:
		n := rapid.IntRange(0, 1).Draw(m.t, "scheduler")
		m.connected[n] = !m.connected[n]
		m.incarnations[n]++
		m.handle(SchedulerConnection{n, m.connected[n]})
	case 3:
		m.advanceTime(scheduler.Time(rapid.IntRange(1, 100_000).Draw(m.t, "span")))
	case 4:
		m.handle(JobSet{"j", rapid.IntRange(0, 4).Draw(m.t, "count"), Spec{}})
	case 5:
		for _, container := range []string{"j/0", "j/1", "j/2"} {
			m.drain(container)
		}
	}
}

// drain evicts a container because its machine drains, if its scheduler is connected and can report that.
func (m *singleCopyModel) drain(container string) {
	for key, requestID := range m.runningRequests {
		if containerOf(key) == container && m.connected[m.schedulerByKey[key]] {
			m.stop(key)
			m.handle(ContainerEnded{requestID, scheduler.OutcomeLost, scheduler.ReasonDrained})
			return
		}
	}
}
