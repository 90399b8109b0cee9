package platform

import (
	"glenport/internal/eventloop"
	"glenport/internal/platform/connmanager"
	"glenport/internal/statemachine"
)

// shutdownSequence ends the process once every request is answered.
type shutdownSequence struct {
	env        *environment
	containers *containerRegistry
	// unconfirmed returns the number of messages that the process has to repeat until they are confirmed
	unconfirmed func() int
	state       shutdownState
	startedAt   eventloop.Tick // start of the shutdown
}

// shutdownState is the state of the process.
type shutdownState uint8

const (
	processServing  shutdownState = iota + 1
	processDraining               // a shutdown has started, waiting for open requests
	processForcing                // the platform will soon kill the process: open requests are answered
	processDrained                // no request is open: the process ends unless one has arrived meanwhile
)

func (s shutdownState) String() string {
	return [...]string{"none", "serving", "draining", "forcing", "drained"}[s]
}

// shutdownEvent is an event that changes the state of the process.
type shutdownEvent uint8

const (
	shutdownRequested shutdownEvent = iota + 1
	killApproached
	drainCompleted
	drainResumed // a request arrived in the last iteration
)

func (e shutdownEvent) String() string {
	return [...]string{"none", "shutdown requested", "kill approached", "drain completed", "drain resumed"}[e]
}

var shutdownTransitions = statemachine.Table[shutdownState, shutdownEvent]{
	processServing:  {shutdownRequested: processDraining},
	processDraining: {killApproached: processForcing, drainCompleted: processDrained},
	processForcing:  {killApproached: processForcing, drainCompleted: processDrained},
	processDrained:  {killApproached: processForcing, drainCompleted: processDrained, drainResumed: processDraining},
}

func newShutdownSequence(env *environment, containers *containerRegistry) *shutdownSequence {
	return &shutdownSequence{env: env, containers: containers, state: processServing}
}

// transition applies an event. It is the only place where the state of the process changes.
func (s *shutdownSequence) transition(event shutdownEvent) error {
	err := shutdownTransitions.Apply(statemachine.Unnamed, &s.state, event)
	if err != nil {
		s.env.logIllegalTransition(err, "name", s.env.config.Name)
	}
	return err
}

// inProgress reports whether a shutdown has started.
func (s *shutdownSequence) inProgress() bool { return s.state != processServing }

// start begins a shutdown. Repeated requests have no effect.
func (s *shutdownSequence) start() {
	if s.inProgress() || s.transition(shutdownRequested) != nil {
		return
	}
	s.startedAt = s.env.loop.Now()
	s.env.log.Info("shutdown started", "containers", s.containers.count())
}

// stopIfDrained ends Run when a shutdown is complete. Invariant: no request is lost. stopIfDrained is therefore called
// only in an iteration that has handled all its input, and no input is read between the call and the exit.
func (s *shutdownSequence) stopIfDrained() {
	if !s.inProgress() {
		return
	}
	elapsed := s.elapsed(s.env.loop.Now())
	longest := s.longestPlacementTimeout()
	if connmanager.ShouldKeepDraining(elapsed, s.containers.unansweredCount(), longest) ||
		connmanager.ShouldKeepDelivering(elapsed, s.unconfirmed(), longest) {
		s.resume()
		return
	}
	if s.transition(drainCompleted) != nil {
		return
	}
	s.env.log.Info("shutdown complete",
		"running", s.containers.count(), "max_connections", s.env.loop.PeakConnCount())
	s.env.loop.StopWhenIdle()
}

// resume continues the drain if a request has arrived since the drain was completed.
func (s *shutdownSequence) resume() {
	if s.state == processDrained {
		_ = s.transition(drainResumed) // logged
	}
}

// forceAnswersIfDue ends the attempts of unanswered requests shortly before the platform kills the process.
func (s *shutdownSequence) forceAnswersIfDue(now eventloop.Tick) {
	if !s.inProgress() || !connmanager.ShouldForceAnswers(s.elapsed(now), s.longestPlacementTimeout()) {
		return
	}
	if s.transition(killApproached) == nil {
		s.containers.endOpenAttempts()
	}
}

// elapsed is the time since the shutdown started.
func (s *shutdownSequence) elapsed(now eventloop.Tick) connmanager.Time {
	return connmanager.Time(now - s.startedAt)
}

// longestPlacementTimeout is the longest time that a workload class allows a request to wait.
func (s *shutdownSequence) longestPlacementTimeout() connmanager.Time {
	var longest connmanager.Time
	for _, class := range s.env.config.Scheduler.WorkloadClasses {
		longest = max(longest, connmanager.Time(class.PlacementTimeout))
	}
	return longest
}
