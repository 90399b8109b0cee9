package platform

import (
	"glenport/internal/eventloop"
	"glenport/internal/platform/connmanager"
	"glenport/scheduler"
)

// Shutdown makes Run return once every request is answered. Until then requests are handled as before, but liveness
// tests fail. Any goroutine may call it; only the first call has an effect.
func (s *Server) Shutdown() {
	s.loop.Post(func() {
		if s.shuttingDown {
			return
		}
		s.shuttingDown, s.shutdownStartedAt = true, s.loop.Now()
		s.log.Info("shutdown started", "containers", len(s.containers))
	})
}

// stopIfDrained ends Run when a shutdown is complete. Invariant: no request is lost. It is therefore called only in an
// iteration that has handled all its input, and nothing is read between it and the exit.
func (s *Server) stopIfDrained() {
	if !s.shuttingDown ||
		connmanager.ShouldKeepDraining(s.sinceShutdown(s.loop.Now()), s.unanswered, s.longestDeadline()) {
		return
	}
	s.log.Info("shutdown complete", "running", len(s.containers), "max_connections", s.loop.PeakConnCount())
	s.loop.StopWhenIdle()
}

// cutOpenAttemptsIfDue ends the attempts of unanswered requests shortly before the platform kills the process.
func (s *Server) cutOpenAttemptsIfDue(now eventloop.Tick) {
	if s.shuttingDown && connmanager.ShouldForceAnswers(s.sinceShutdown(now), s.longestDeadline()) {
		s.cutOpenAttempts()
	}
}

// cutOpenAttempts ends the attempts of unanswered requests. The scheduler then answers each, as after its own deadline.
func (s *Server) cutOpenAttempts() {
	for _, id := range sortedKeys(s.containers) {
		if c := s.containers[id]; !c.answered && c.attempt != nil {
			s.cancelOffer(c.attempt)
			s.finishAttempt(c.attempt, scheduler.AttemptEnded{Outcome: scheduler.OutcomeFinished})
		}
	}
}

func (s *Server) sinceShutdown(now eventloop.Tick) connmanager.Time {
	return connmanager.Time(now - s.shutdownStartedAt)
}

// longestDeadline is the longest time that a workload class allows a request to wait.
func (s *Server) longestDeadline() connmanager.Time {
	var longest connmanager.Time
	for _, class := range s.config.Scheduler.WorkloadClasses {
		longest = max(longest, connmanager.Time(class.PlacementTimeout))
	}
	return longest
}
