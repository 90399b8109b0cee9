package simulation

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"glenport/internal/schedulerd/overload"
	"glenport/scheduler"
)

// simScheduler is a scheduler: its decisions and its concurrency limiter.
type simScheduler struct {
	simulation  *Simulation
	config      scheduler.Config
	incarnation int
	decider     *scheduler.Scheduler
	limiter     *overload.Limiter // nil unless the damping is Limited
	requests    map[scheduler.ContainerID]*simRequest
}

// simRequest is one try of a container at a scheduler.
type simRequest struct {
	container *simContainer
	submitted scheduler.Time
	attempt   *simAttempt
	attempts  int
	answered  bool
	deadline  scheduler.Time
}

// simAttempt is an offer to a machine.
type simAttempt struct {
	scheduler *simScheduler
	id        scheduler.ContainerID
	machine   *simMachine
	deadline  scheduler.Time
	service   string
	cores     float64
	done      bool // the scheduler has received the outcome
	accepted  bool
}

// start begins an incarnation.
func (s *simScheduler) start() {
	sim := s.simulation
	s.incarnation++
	s.decider, s.requests = scheduler.New(s.config), map[scheduler.ContainerID]*simRequest{}
	if sim.Damping == Limited {
		s.startLimiter()
	}
	s.handle(scheduler.MachineListUpdate{Mode: scheduler.FullSnapshot, Entries: sim.machineList(nil)})
}

// startLimiter starts a concurrency limiter. It restores the state of the previous incarnation's limiter, unless
// DropLimiterState is set.
func (s *simScheduler) startLimiter() {
	const snapshotConfidence = 0.9
	config := overload.Config{Seed: s.config.Seed, MaxOpen: 1_000_000}
	for _, class := range s.config.WorkloadClasses {
		config.WorkloadClasses = append(config.WorkloadClasses, overload.WorkloadClass{
			LatencyObjective: class.LatencyObjective,
			PriorityWeight:   class.PriorityWeight,
		})
	}
	old := s.limiter
	s.limiter = overload.New(config)
	if old != nil && !s.simulation.DropLimiterState {
		s.limiter.Restore(old.Snapshot(), snapshotConfidence)
	}
}

// restart ends an incarnation and begins the next. Clients without a reply see their connections close and retry,
// except for at-most-once containers.
func (s *simScheduler) restart() {
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		if request := s.requests[id]; !request.answered && request.container.workloadClass != simAtMostOnce {
			s.simulation.retry(request.container, 0)
		}
	}
	s.start()
}

// shed reports whether the limiter sheds a container, and after what time the client shall retry.
func (s *simScheduler) shed(c *simContainer) (retryAfter scheduler.Time, shed bool) {
	if s.limiter == nil {
		return 0, false
	}
	received := overload.RequestReceived{Client: c.client, WorkloadClass: c.workloadClass, ClientRetry: c.tries > 1}
	for _, action := range s.limiter.Handle(s.simulation.now, received) {
		if shed, ok := action.(overload.Shed); ok {
			return shed.RetryAfter, true
		}
	}
	return 0, false
}

// receive passes a placement request for a container to the decisions.
func (s *simScheduler) receive(c *simContainer) {
	sim := s.simulation
	id := scheduler.ContainerID(fmt.Sprintf("%d#%d", c.number, c.tries))
	deadline := sim.now + sim.config.WorkloadClasses[c.workloadClass].PlacementTimeout
	s.requests[id] = &simRequest{container: c, submitted: sim.now, deadline: deadline}
	s.handle(scheduler.RequestReceived{PlacementRequest: scheduler.PlacementRequest{
		ID:             id,
		IdempotencyKey: strconv.Itoa(c.number),
		Service:        fmt.Sprint("s", c.workloadClass, "-", c.number%simServices),
		WorkloadClass:  c.workloadClass,
		Cores:          simCores,
		Memory:         1,
		Deadline:       deadline,
		ClientRetry:    c.tries > 1,
	}})
}

// handle passes an event to the decisions and executes their actions.
func (s *simScheduler) handle(event scheduler.Event) {
	for _, action := range s.decider.Handle(s.simulation.now, []scheduler.Event{event}) {
		s.simulation.Actions++
		switch action := action.(type) {
		case scheduler.StartAttempt:
			s.startAttempt(action)
		case scheduler.Reject:
			s.reject(action)
		case scheduler.Fail:
			s.fail(action)
		case scheduler.SetTimer:
			s.setTimer(action)
		case scheduler.Probe:
			s.probe(action)
		}
	}
}

func (s *simScheduler) reject(action scheduler.Reject) {
	request := s.markAnswered(action.ID)
	if request == nil {
		return
	}
	s.simulation.firstTrySecond(request.container).Rejected++
	s.simulation.retry(request.container, 0)
}

func (s *simScheduler) fail(action scheduler.Fail) {
	request := s.markAnswered(action.ID)
	if request == nil {
		return
	}
	s.simulation.firstTrySecond(request.container).Failed++
	if request.container.workloadClass != simAtMostOnce {
		s.simulation.retry(request.container, 0)
	}
}

// setTimer sets a timer that is ignored once the incarnation has ended.
func (s *simScheduler) setTimer(action scheduler.SetTimer) {
	incarnation := s.incarnation
	s.simulation.schedule(action.After, func() {
		if s.incarnation == incarnation {
			s.handle(scheduler.TimerFired{Name: action.Name})
		}
	})
}

func (s *simScheduler) probe(action scheduler.Probe) {
	m := s.simulation.byID[action.Machine]
	s.simulation.schedule(2*simLatency, func() {
		outcome := scheduler.OutcomeConnectFailed
		if m.up {
			outcome = scheduler.OutcomeFinished
		}
		s.handle(scheduler.ProbeCompleted{Machine: m.id, Outcome: outcome})
	})
}

// markAnswered marks a request as rejected or failed and returns it, or nil if it has been answered before.
func (s *simScheduler) markAnswered(id scheduler.ContainerID) *simRequest {
	request := s.requests[id]
	if request == nil || request.answered {
		return nil
	}
	request.answered = true
	if s.limiter != nil {
		s.limiter.Handle(s.simulation.now, overload.RequestFailed{WorkloadClass: request.container.workloadClass})
	}
	if request.attempt == nil {
		delete(s.requests, id)
	}
	return request
}

func (s *simScheduler) startAttempt(action scheduler.StartAttempt) {
	sim, request := s.simulation, s.requests[action.ID]
	m := sim.byID[action.Machine]
	deadline := request.deadline
	if action.Timeout > 0 {
		deadline = min(deadline, sim.now+action.Timeout)
	}
	c := request.container
	attempt := &simAttempt{
		scheduler: s, id: action.ID, machine: m, deadline: deadline,
		service: fmt.Sprint(c.workloadClass, c.number%simServices), cores: simCores,
	}
	request.attempt = attempt
	request.attempts++
	sim.schedule(deadline-sim.now, func() {
		if !attempt.accepted {
			attempt.finish(scheduler.OutcomeTimedOut, scheduler.ReasonNone)
		}
	})
	sim.schedule(simLatency, func() { m.offer(attempt) })
}

// finish reports the outcome of an attempt to its scheduler. Only the first outcome counts.
func (a *simAttempt) finish(outcome scheduler.Outcome, reason scheduler.Reason) {
	if a.done {
		return
	}
	a.done = true
	s := a.scheduler
	request := s.requests[a.id]
	if request == nil || request.attempt != a {
		return
	}
	request.attempt = nil
	final := request.answered
	if final {
		delete(s.requests, a.id)
	}
	s.handle(
		scheduler.AttemptEnded{
			ID:      a.id,
			Attempt: request.attempts - 1,
			Outcome: outcome,
			Machine: a.machine.id,
			Reason:  reason,
			Final:   final,
		},
	)
}

// accept handles a machine's accept when it reaches the scheduler. If it comes too late, the container is stopped.
func (a *simAttempt) accept(incarnation int) {
	s, sim := a.scheduler, a.scheduler.simulation
	request := s.requests[a.id]
	if a.done || request == nil || request.attempt != a || request.answered {
		a.endAfter(simLatency, incarnation, scheduler.OutcomeStopped)
		return
	}
	a.accepted, request.answered = true, true
	took := sim.now - request.submitted
	class := request.container.workloadClass
	s.handle(scheduler.AttemptAccepted{ID: a.id, Attempt: request.attempts - 1, Machine: a.machine.id, Elapsed: took})
	if s.limiter != nil {
		s.limiter.Handle(sim.now, overload.RequestStarted{WorkloadClass: class, Elapsed: took})
	}
	if took <= sim.config.WorkloadClasses[class].LatencyObjective {
		sim.firstTrySecond(request.container).InTime++
		sim.Seconds[int(sim.now/scheduler.Second)].Placed++
	} else {
		sim.firstTrySecond(request.container).Late++
	}
	a.endAfter(simRuntime, incarnation, scheduler.OutcomeFinished)
}

// endAfter ends the attempt after a delay. The machine's cores are freed unless it has restarted since.
func (a *simAttempt) endAfter(delay scheduler.Time, incarnation int, outcome scheduler.Outcome) {
	m := a.machine
	m.simulation.schedule(delay, func() {
		if m.incarnation == incarnation {
			m.cores -= a.cores
			m.startQueued()
		}
		a.finish(outcome, scheduler.ReasonNone)
	})
}
