package controller

import (
	"fmt"
	"math/rand/v2"

	"glenport/scheduler"
)

// history runs one seeded sequence of events: schedulers that answer, fail and reconnect, jobs that change, and
// restarts of the controller from the records that it has asked to store.
type history struct {
	digest     *actionDigest
	random     *rand.Rand
	controller *Controller
	config     Config
	now        scheduler.Time
	timerAt    scheduler.Time
	connected  []bool
	requests   []openRequest
	stored     storedState
}

type openRequest struct {
	id      string
	running bool
}

func newHistory(d *actionDigest, idempotency scheduler.Idempotency, schedulers int, seed uint64) *history {
	h := &history{
		digest: d, random: rand.New(rand.NewPCG(seed, 17)), connected: make([]bool, schedulers),
		stored: newStoredState(),
	}
	h.config = Config{Seed: seed, FirstSequence: 10, SchedulerCount: schedulers, WorkloadClasses: []WorkloadClass{
		{Idempotency: idempotency, PlacementTimeout: 4 * scheduler.Second, DedupWindow: 8 * scheduler.Second},
		{Idempotency: scheduler.AtMostOnce, PlacementTimeout: scheduler.Second},
	}}
	h.controller = New(h.config)
	for i := range schedulers {
		if h.chance(0.9) {
			h.connected[i] = true
			h.handle(SchedulerConnection{i, true})
		}
	}
	h.changeJob()
	return h
}

func (h *history) chance(p float64) bool { return h.random.Float64() < p }

func (h *history) handle(events ...Event) {
	for _, a := range h.controller.Handle(h.now, events) {
		h.digest.add(h.now, a)
		h.stored.apply(a)
		switch a := a.(type) {
		case SubmitRequest:
			h.requests = append(h.requests, openRequest{id: a.RequestID})
		case LookupRequest:
			h.requests = append(h.requests, openRequest{id: a.RequestID})
		case CancelRequest:
			h.requests = append(h.requests, openRequest{id: a.RequestID, running: h.chance(0.5)})
		case SetTimer:
			if at := h.now + a.After; h.timerAt <= h.now || at < h.timerAt {
				h.timerAt = at
			}
		}
	}
}

func (h *history) step() {
	h.advanceTime()
	switch n := h.random.IntN(100); {
	case n < 42:
		h.answerRequest()
	case n < 58:
		h.endContainer()
	case n < 66:
		h.toggleScheduler()
	case n < 72:
		h.changeJob()
	case n < 74:
		id := h.jobID()
		delete(h.stored.jobs, id)
		h.handle(JobDeleted{id})
	case n < 77:
		h.handleUnexpectedEvents()
	case n < 78:
		h.restart()
	}
}

func (h *history) advanceTime() {
	switch n := h.random.IntN(100); {
	case n < 45:
		h.now += scheduler.Time(h.random.IntN(2000))
	case n < 85:
		h.now = max(h.now, h.timerAt)
	case n < 97:
		h.now += scheduler.Time(h.random.IntN(5 * int(scheduler.Second)))
	default:
		h.now += scheduler.Time(h.random.IntN(25 * int(scheduler.Second)))
	}
	if h.timerAt > 0 && h.now >= h.timerAt {
		h.timerAt = 0
		h.handle(TimerFired{})
	}
}

func (h *history) answerRequest() {
	if len(h.requests) == 0 {
		return
	}
	i := h.random.IntN(len(h.requests))
	e := PlacementAnswered{RequestID: h.requests[i].id}
	switch n := h.random.IntN(100); {
	case n < 58:
		e.Verdict, e.Machine = VerdictAccepted, fmt.Sprint("m", h.random.IntN(9))
		h.requests[i].running = true
	case n < 73:
		e.Verdict = VerdictRejected
	case n < 87:
		e.Verdict = VerdictFailed
	default:
		e.Verdict = VerdictRefused
	}
	if h.chance(0.3) {
		e.RetryAfter = scheduler.Time(h.random.IntN(6 * int(scheduler.Second)))
	}
	if e.Verdict != VerdictAccepted {
		e.Message = []string{"", "", "cancelled", "may run on machine m3", "does not know yet"}[h.random.IntN(5)]
		h.requests = append(h.requests[:i], h.requests[i+1:]...)
	}
	h.handle(e)
}

func (h *history) endContainer() {
	var running []int
	for i, r := range h.requests {
		if r.running {
			running = append(running, i)
		}
	}
	if len(running) == 0 {
		return
	}
	i := running[h.random.IntN(len(running))]
	outcome := []scheduler.Outcome{
		scheduler.OutcomeFinished, scheduler.OutcomeFinished, scheduler.OutcomeLost, scheduler.OutcomeLost,
		scheduler.OutcomeStopped, scheduler.OutcomeErrored,
	}[h.random.IntN(6)]
	reason := []scheduler.Reason{
		scheduler.ReasonNone, scheduler.ReasonNone, scheduler.ReasonOutOfMemory, scheduler.ReasonPreempted,
		scheduler.ReasonDrained,
	}[h.random.IntN(5)]
	e := ContainerEnded{RequestID: h.requests[i].id, Outcome: outcome, Reason: reason}
	h.requests = append(h.requests[:i], h.requests[i+1:]...)
	h.handle(e)
}

func (h *history) toggleScheduler() {
	n := h.random.IntN(len(h.connected))
	h.connected[n] = !h.connected[n]
	h.handle(SchedulerConnection{n, h.connected[n]})
}

func (h *history) jobID() string { return []string{"a", "b", "c"}[h.random.IntN(3)] }

func (h *history) changeJob() {
	id := h.jobID()
	spec := Spec{
		Service: "s" + id, WorkloadClass: h.random.IntN(2), Tenant: h.random.IntN(2),
		Cores: []float64{0.5, 2}[h.random.IntN(2)], Memory: 1.25,
		RunFor: scheduler.Time(h.random.IntN(2)) * scheduler.Second, RunOnce: h.chance(0.3),
	}
	if old, known := h.stored.jobs[id]; known && h.chance(0.5) {
		spec = old.Spec
	}
	h.stored.jobs[id] = JobSet{Job: id, Count: h.random.IntN(5), Spec: spec}
	h.handle(h.stored.jobs[id])
}

// handleUnexpectedEvents handles events that no peer should send, and several events in one call.
func (h *history) handleUnexpectedEvents() {
	switch h.random.IntN(6) {
	case 0:
		h.handle(PlacementAnswered{RequestID: "nobody/0#1", Verdict: VerdictAccepted, Machine: "m"},
			ContainerEnded{RequestID: "nobody/0#1"})
	case 1:
		h.handle(SchedulerConnection{-1, true}, SchedulerConnection{len(h.connected), true}, JobDeleted{"none"})
	case 2:
		h.handle(
			PlacementAnswered{RequestID: "stray#0#nobody/0/1", Verdict: VerdictFailed},
			ContainerEnded{RequestID: "stray#x#"},
		)
	case 3: // two answers to one request
		if len(h.requests) > 0 {
			id := h.requests[h.random.IntN(len(h.requests))].id
			h.handle(PlacementAnswered{RequestID: id, Verdict: VerdictAccepted, Machine: "m1"},
				PlacementAnswered{RequestID: id, Verdict: VerdictFailed})
		}
	case 4: // a workload class that is not configured
		h.stored.jobs["c"] = JobSet{Job: "c", Count: 1, Spec: Spec{Service: "odd", WorkloadClass: 7}}
		h.handle(h.stored.jobs["c"])
	case 5: // an empty iteration
		h.handle()
	}
}

// restart starts a new controller from the records that the previous one has asked to store. In some runs the scheduler
// with index 0 is no longer configured for the stored containers.
func (h *history) restart() {
	restored := h.stored.restored()
	if h.chance(0.3) {
		for i := range restored.Containers {
			if c := &restored.Containers[i]; c.Scheduler == 0 {
				c.Scheduler = noScheduler
			}
		}
	}
	h.config.Seed++
	h.controller, h.timerAt, h.requests = New(h.config), 0, nil
	clear(h.connected)
	h.handle(restored)
	for n := range h.connected {
		if h.chance(0.8) {
			h.connected[n] = true
			h.handle(SchedulerConnection{n, true})
		}
	}
}
