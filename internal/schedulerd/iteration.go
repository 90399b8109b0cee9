package schedulerd

import (
	"context"
	"log/slog"

	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/internal/schedulerd/reconcile"
	"glenport/scheduler"
)

func (s *Server) enqueueReconcilerEvent(e reconcile.Event) {
	s.reconcilerEvents = append(s.reconcilerEvents, e)
}

func (s *Server) enqueueSchedulerEvent(e scheduler.Event) {
	s.schedulerEvents = append(s.schedulerEvents, e)
}

// runIteration hands the events of one iteration of the loop to the decisions and executes what they return. The
// reconciler comes first: the scheduler has to know of adopted containers before it decides. State is committed last,
// so that all changes of an iteration are one group.
func (s *Server) runIteration() {
	s.runReconciler()
	for _, m := range s.newlyReady { // their inventory is adopted by now
		m.sendQueued()
	}
	s.newlyReady = nil
	s.runScheduler()
	if s.state != nil {
		s.state.commit()
	}
	if len(s.schedulerEvents)+len(s.reconcilerEvents) > 0 {
		s.loop.SkipWait()
	}
}

func (s *Server) runReconciler() {
	events := s.reconcilerEvents
	if len(events) == 0 {
		return
	}
	s.reconcilerEvents = nil
	for _, action := range s.reconciler.Handle(scheduler.Time(s.loop.Now()), events) {
		s.executeReconcilerAction(action)
	}
	clear(s.submittedAt)
}

func (s *Server) runScheduler() {
	events := s.schedulerEvents
	if len(events) == 0 {
		return
	}
	s.schedulerEvents = nil
	began := s.loop.Elapsed()
	actions := s.scheduler.Handle(scheduler.Time(s.loop.Now()), events)
	s.stats.countBatch(s.loop.Elapsed()-began, len(events))
	for _, action := range actions {
		s.executeSchedulerAction(action)
	}
}

func (s *Server) executeSchedulerAction(action scheduler.Action) {
	switch action := action.(type) {
	case scheduler.StartAttempt:
		s.startAttempt(action)
	case scheduler.CancelAttempt:
		s.cancelUnanswered(action)
	case scheduler.Reject:
		s.answer(
			action.ID,
			&protocol.PlacementReply{
				Verdict:    protocol.VerdictRejected,
				RetryAfter: protocol.Duration(action.RetryAfter),
			},
		)
	case scheduler.Fail:
		s.answer(action.ID, &protocol.PlacementReply{Verdict: protocol.VerdictFailed})
	case scheduler.Probe:
		s.probe(action.Machine)
	case scheduler.Disconnect:
		s.disconnectIdle(action.Machine)
	case scheduler.SetTimer:
		s.loop.After(
			eventloop.Tick(action.After),
			func() { s.enqueueSchedulerEvent(scheduler.TimerFired{Name: action.Name}) },
		)
	case scheduler.WatchMachineList:
		s.discovery.request(&protocol.WatchMachineList{Enabled: action.Enabled, SinceVersion: s.discovery.version})
	case scheduler.FetchMachineList:
		s.discovery.request(&protocol.FetchMachineList{})
	case scheduler.Log:
		s.logDecision(action.Message, action.Attributes)
	}
}

func (s *Server) executeReconcilerAction(action reconcile.Action) {
	switch action := action.(type) {
	case reconcile.CloseClient:
		s.closeClient(action)
	case reconcile.Admit:
		s.admit(action)
	case reconcile.Reject:
		s.refuse(action)
	case reconcile.AlreadyRunning:
		s.replyAlreadyRunning(action)
	case reconcile.NotRunning:
		s.sendToClient(action.Client, &protocol.PlacementReply{
			ContainerID: string(action.ID), Verdict: protocol.VerdictRejected,
			Message: messageNotRunning,
		})
	case reconcile.AlreadyTerminated:
		s.sendToClient(action.Client, &protocol.PlacementReply{
			ContainerID: string(action.ID), Verdict: protocol.VerdictFailed,
			Message: messageCancelled,
		})
	case reconcile.TerminateContainer:
		s.terminate(action)
	case reconcile.CancelAttempt:
		s.cancelUnknown(action)
	case reconcile.Adopt:
		s.adopt(action.Attempt)
	case reconcile.ContainerLost:
		s.containerLost(action)
	case reconcile.ConnectMachine:
		s.connectMachine(action.Machine)
	case reconcile.RecoveryComplete:
		if s.speaker != nil {
			s.speaker.MarkRoutesComplete()
		}
	case reconcile.AllMachinesReported:
		if s.state != nil {
			s.state.allMachinesReported()
		}
	case reconcile.AttemptResolved:
		if s.state != nil {
			s.state.removeAttempt(action.Attempt.Number)
		}
	case reconcile.SetTimer:
		s.loop.After(eventloop.Tick(action.After), func() { s.enqueueReconcilerEvent(reconcile.TimerFired{}) })
	case reconcile.Log:
		s.logDecision(action.Message, action.Attributes)
	}
}

// logDecision logs what a decision package wants the operator to know.
func (s *Server) logDecision(message string, attributes []slog.Attr) {
	s.log.LogAttrs(context.Background(), slog.LevelInfo, message, attributes...)
}
