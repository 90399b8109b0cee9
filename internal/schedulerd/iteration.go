package schedulerd

import (
	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/internal/schedulerd/reconcile"
	"glenport/scheduler"
)

// runIteration passes the events of one loop iteration to the reconciler and the scheduler, and executes the returned
// actions. The reconciler runs first, so that the scheduler knows the adopted containers before it decides. State is
// committed last, so that all changes of an iteration form one group.
func (s *Server) runIteration() {
	s.decisions.runReconciler()
	s.clients.clearSubmissions()
	s.machines.sendQueued()
	s.decisions.runScheduler()
	if s.state != nil {
		s.state.commit()
	}
	if s.decisions.pending() {
		s.loop.SkipWait()
	}
}

func (s *Server) executeSchedulerAction(action scheduler.Action) {
	switch action := action.(type) {
	case scheduler.StartAttempt:
		s.dispatcher.start(action)
	case scheduler.CancelAttempt:
		s.dispatcher.cancelPending(action)
	case scheduler.Reject:
		s.containers.answer(action.ID, &protocol.PlacementReply{
			Verdict: protocol.VerdictRejected, RetryAfter: protocol.Duration(action.RetryAfter),
		})
	case scheduler.Fail:
		s.containers.answer(action.ID, &protocol.PlacementReply{Verdict: protocol.VerdictFailed})
	case scheduler.Probe:
		s.machines.probe(action.Machine)
	case scheduler.Disconnect:
		s.machines.disconnectIdle(action.Machine)
	case scheduler.SetTimer:
		s.loop.After(eventloop.Tick(action.After), func() {
			s.decisions.notifyScheduler(scheduler.TimerFired{Name: action.Name})
		})
	case scheduler.WatchMachineList:
		s.discovery.Watch(action.Enabled)
	case scheduler.FetchMachineList:
		s.discovery.Fetch()
	case scheduler.Log:
		s.logDecision(action.Message, action.Attributes)
	}
}

func (s *Server) executeReconcilerAction(action reconcile.Action) {
	switch action := action.(type) {
	case reconcile.CloseClient:
		s.clients.disconnect(action)
	case reconcile.Admit:
		s.containers.admit(action)
	case reconcile.Reject:
		s.containers.replyNotAdmitted(action)
	case reconcile.AlreadyRunning:
		s.containers.replyAlreadyRunning(action)
	case reconcile.NotRunning:
		s.containers.replyNotRunning(action)
	case reconcile.AlreadyTerminated:
		s.containers.replyAlreadyTerminated(action)
	case reconcile.TerminateContainer:
		s.containers.terminate(action)
	case reconcile.CancelAttempt:
		s.machines.cancelAttempt(action)
	case reconcile.Adopt:
		s.containers.adopt(action.Attempt)
	case reconcile.ContainerLost:
		s.containers.handleLost(action)
	case reconcile.ConnectMachine:
		s.machines.connect(action.Machine)
	case reconcile.RecoveryComplete:
		s.routes.markRecoveryComplete()
	case reconcile.AllMachinesReported:
		if s.state != nil {
			s.state.markLogComplete()
		}
	case reconcile.AttemptResolved:
		if s.state != nil {
			s.state.removeAttempt(action.Attempt.Number)
		}
	case reconcile.SetTimer:
		s.loop.After(eventloop.Tick(action.After), func() { s.decisions.notifyReconciler(reconcile.TimerFired{}) })
	case reconcile.Log:
		s.logDecision(action.Message, action.Attributes)
	}
}
