package controller

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"glenport/internal/testutil"
	"glenport/scheduler"
)

const second = scheduler.Second

// testPlacementTimeout is the time during which an attempt may start after its scheduler was lost.
const testPlacementTimeout = 4 * second

// testConfig returns a configuration with two schedulers and one workload class.
func testConfig(idempotency scheduler.Idempotency) Config {
	class := WorkloadClass{Idempotency: idempotency, PlacementTimeout: testPlacementTimeout, DedupWindow: 8 * second}
	return Config{Seed: 3, SchedulerCount: 2, WorkloadClasses: []WorkloadClass{class}}
}

// storedState holds the records that a controller has asked to store, and the jobs that clients have set.
type storedState struct {
	jobs       map[string]JobSet
	containers map[string]Container
	orphans    map[Orphan]bool
}

func newStoredState() storedState {
	return storedState{jobs: map[string]JobSet{}, containers: map[string]Container{}, orphans: map[Orphan]bool{}}
}

// apply stores the change of records that an action requests, if any.
func (s *storedState) apply(a Action) {
	switch a := a.(type) {
	case ContainerChanged:
		s.containers[fmt.Sprintf("%s.%d", a.Container.Job, a.Container.Index)] = a.Container
	case ContainerRemoved:
		delete(s.containers, fmt.Sprintf("%s.%d", a.Job, a.Index))
	case OrphanRecorded:
		s.orphans[a.Orphan] = true
	case OrphanResolved:
		delete(s.orphans, a.Orphan)
	}
}

// restored returns the event with which the next incarnation starts.
func (s *storedState) restored() (e StateRestored) {
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		e.Jobs = append(e.Jobs, s.jobs[id])
	}
	for _, id := range slices.Sorted(maps.Keys(s.containers)) {
		e.Containers = append(e.Containers, s.containers[id])
	}
	e.Orphans = slices.SortedFunc(maps.Keys(s.orphans), func(a, b Orphan) int {
		return cmp.Compare(fmt.Sprint(a), fmt.Sprint(b))
	})
	return e
}

// testClock is the time of a test and the timer that a controller has set.
type testClock struct {
	now     scheduler.Time
	timerAt scheduler.Time // 0: none
}

func (c *testClock) setTimer(after scheduler.Time) {
	if at := c.now + after; c.timerAt == 0 || at < c.timerAt {
		c.timerAt = at
	}
}

// advance advances the time by span and calls fired at each timer.
func (c *testClock) advance(span scheduler.Time, fired func()) {
	end := c.now + span
	for c.timerAt > 0 && c.timerAt <= end {
		c.now, c.timerAt = max(c.now, c.timerAt), 0
		fired()
	}
	c.now = end
}

// driver runs a controller of one job and records what it requests.
type driver struct {
	*testing.T
	testClock
	controller *Controller
	requests   []SubmitRequest // placement requests, and lookups in the form of retries
	cancels    []string        // request ids
	containers map[int]Container
}

func newDriver(t *testing.T, idempotency scheduler.Idempotency) *driver {
	t.Helper()
	return &driver{T: t, controller: New(testConfig(idempotency)), containers: map[int]Container{}}
}

// newRunningDriver returns a driver that has connected scheduler 0 and requested the placement of count containers.
func newRunningDriver(t *testing.T, idempotency scheduler.Idempotency, count int) *driver {
	t.Helper()
	d := newDriver(t, idempotency)
	d.handle(SchedulerConnection{0, true})
	d.handle(JobSet{"j", count, Spec{Service: "s", Cores: 1}})
	d.advanceTime(second)
	return d
}

func (d *driver) handle(events ...Event) {
	for _, a := range d.controller.Handle(d.now, events) {
		switch a := a.(type) {
		case SubmitRequest:
			d.requests = append(d.requests, a)
		case LookupRequest:
			d.requests = append(d.requests, lookupAsRequest(a))
		case CancelRequest:
			d.cancels = append(d.cancels, a.RequestID)
		case ContainerChanged:
			d.containers[a.Container.Index] = a.Container
		case ContainerRemoved:
			delete(d.containers, a.Index)
		case SetTimer:
			d.setTimer(a.After)
		case TransitionRejected:
			d.Error(a.Err)
		}
	}
}

func lookupAsRequest(a LookupRequest) SubmitRequest {
	return SubmitRequest{Scheduler: a.Scheduler, RequestID: a.RequestID, IdempotencyKey: a.IdempotencyKey, Retry: true}
}

func (d *driver) advanceTime(span scheduler.Time) { d.advance(span, func() { d.handle(TimerFired{}) }) }

func (d *driver) lastRequest() SubmitRequest { return d.requests[len(d.requests)-1] }

// steps performs a sequence of steps, separated by blanks.
func (d *driver) steps(words string) {
	d.Helper()
	for word := range strings.FieldsSeq(words) {
		d.step(word)
	}
}

// step performs one step: a scheduler's answer to the last request or cancel, another event, or the passing of a
// duration.
func (d *driver) step(word string) {
	d.Helper()
	spec := Spec{Service: "s", Cores: 1}
	switch word {
	case "accept":
		d.answerLast(PlacementAnswered{Verdict: VerdictAccepted, Machine: "m"})
	case "reject":
		d.answerLast(PlacementAnswered{Verdict: VerdictRejected})
	case "reject-for-5s":
		d.answerLast(PlacementAnswered{Verdict: VerdictRejected, RetryAfter: 5 * second})
	case "fail":
		d.answerLast(PlacementAnswered{Verdict: VerdictFailed})
	case "finish":
		d.handle(ContainerEnded{d.lastRequest().RequestID, scheduler.OutcomeFinished, 0})
	case "evict":
		d.handle(ContainerEnded{d.lastRequest().RequestID, scheduler.OutcomeLost, scheduler.ReasonOutOfMemory})
	case "stop":
		d.handle(ContainerEnded{d.lastRequest().RequestID, scheduler.OutcomeStopped, 0})
	case "lose":
		d.handle(ContainerEnded{d.lastRequest().RequestID, scheduler.OutcomeLost, 0})
	case "cancelled":
		d.handle(PlacementAnswered{RequestID: d.lastCancel(), Verdict: VerdictFailed, Message: "cancelled"})
	case "cancel-refused":
		d.handle(PlacementAnswered{RequestID: d.lastCancel(), Verdict: VerdictRefused})
	case "cancel-stopped":
		d.handle(ContainerEnded{d.lastCancel(), scheduler.OutcomeStopped, 0})
	case "disconnect":
		d.handle(SchedulerConnection{0, false})
	case "connect":
		d.handle(SchedulerConnection{0, true})
	case "connect-other":
		d.handle(SchedulerConnection{1, true})
	case "scale-0":
		d.handle(JobSet{"j", 0, spec})
	case "scale-1":
		d.handle(JobSet{"j", 1, spec})
	case "new-spec":
		d.handle(JobSet{"j", 1, Spec{Service: "s", Cores: 2}})
	default:
		d.advanceBy(word)
	}
}

func (d *driver) answerLast(e PlacementAnswered) {
	e.RequestID = d.lastRequest().RequestID
	d.handle(e)
}

func (d *driver) lastCancel() string { return d.cancels[len(d.cancels)-1] }

func (d *driver) advanceBy(word string) {
	d.Helper()
	span, err := time.ParseDuration(word)
	testutil.Require(d, err == nil, "step %q: %v", word, err)
	d.advanceTime(scheduler.Time(span.Milliseconds()) * scheduler.Millisecond)
}

var stateNames = map[ContainerState]string{
	StatePending:    "pending",
	StatePlacing:    "placing",
	StateRunning:    "running",
	StateFencing:    "fencing",
	StateUnobserved: "unobserved",
	StateCompleted:  "completed",
}

// state returns the state of container 0 and the number of requests.
func (d *driver) state() string {
	name := "removed"
	if container, ok := d.containers[0]; ok {
		name = stateNames[container.State]
	}
	return fmt.Sprint(name, " ", len(d.requests))
}

// cancelCount returns the number of cancels as a text, which is empty if there were none.
func (d *driver) cancelCount() string {
	if len(d.cancels) == 0 {
		return ""
	}
	return fmt.Sprintf(", %d cancelled", len(d.cancels))
}
