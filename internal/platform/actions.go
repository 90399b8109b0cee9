package platform

import (
	"context"
	"log/slog"

	"glenport/internal/eventloop"
	"glenport/internal/platform/connmanager"
	"glenport/internal/platform/failuredetector"
	"glenport/scheduler"
)

// applySchedulerAction carries out one action of the scheduler.
func (s *Server) applySchedulerAction(action scheduler.Action) {
	switch action := action.(type) {
	case scheduler.StartAttempt:
		s.containers.startAttempt(action)
	case scheduler.Reject:
		s.containers.answer(action.ID, rejectMessage(action.ID, action.RetryAfter))
	case scheduler.Fail:
		s.containers.answer(action.ID, failMessage(action.ID))
	case scheduler.CancelAttempt:
		s.containers.cancelAttempt(action)
	case scheduler.Probe:
		s.prober.start(action.Machine)
	case scheduler.Disconnect:
		s.machines.disconnect(action.Machine)
	case scheduler.SetTimer:
		s.setTimer(action)
	case scheduler.WatchMachineList, scheduler.FetchMachineList: // the discovery service is watched from the start
	case scheduler.Log:
		s.env.log.LogAttrs(context.Background(), slog.LevelInfo, action.Message, action.Attributes...)
	}
}

func (s *Server) setTimer(action scheduler.SetTimer) {
	s.env.loop.After(eventloop.Tick(action.After), func() {
		s.env.notifyScheduler(scheduler.TimerFired{Name: action.Name})
	})
}

// applyConnAction carries out one action of the connection manager.
func (s *Server) applyConnAction(action connmanager.Action) {
	switch action := action.(type) {
	case connmanager.CloseClient:
		s.clients.closeConn(action)
	case connmanager.NotifyTermination:
		s.clients.notifyTermination(action)
	case connmanager.PauseReading:
		s.clients.pauseReading(action)
	case connmanager.ReportError:
		s.env.logIllegalTransition(action.Err, "client", action.Client)
	}
}

// applyDetectorAction carries out one action of the failure detector. Actions for machines that have been evicted in
// the meantime are ignored, because no container runs there.
func (s *Server) applyDetectorAction(action failuredetector.Action) {
	switch action := action.(type) {
	case failuredetector.Connect:
		s.machines.connectForLiveness(action)
	case failuredetector.ReportTermination:
		s.machines.finishReclaimed(action)
	case failuredetector.DeclareLost:
		s.machines.declareLost(action)
	}
}
