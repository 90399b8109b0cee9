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
		s.startAttempt(action)
	case scheduler.Reject:
		s.answer(action.ID, rejectMessage(action.ID, action.RetryAfter))
	case scheduler.Fail:
		s.answer(action.ID, failMessage(action.ID))
	case scheduler.CancelAttempt:
		s.cancelAttempt(action)
	case scheduler.Probe:
		s.startProbe(action.Machine)
	case scheduler.Disconnect:
		s.disconnect(action.Machine)
	case scheduler.SetTimer:
		s.setTimer(action)
	case scheduler.WatchMachineList, scheduler.FetchMachineList: // the discovery service is watched from the start
	case scheduler.Log:
		s.log.LogAttrs(context.Background(), slog.LevelInfo, action.Message, action.Attributes...)
	}
}

// disconnect closes the connections to a machine on which nothing is awaited.
func (s *Server) disconnect(id scheduler.MachineID) {
	if m := s.machines[id]; m != nil {
		m.closeIdleConns()
	}
}

func (s *Server) setTimer(action scheduler.SetTimer) {
	s.loop.After(eventloop.Tick(action.After), func() {
		s.notifyScheduler(scheduler.TimerFired{Name: action.Name})
	})
}

// applyConnAction carries out one action of the connection manager.
func (s *Server) applyConnAction(action connmanager.Action) {
	switch action := action.(type) {
	case connmanager.CloseClient:
		s.closeClient(action)
	case connmanager.NotifyTermination:
		s.notifyTermination(action)
	case connmanager.PauseReading:
		s.pauseReading(action)
	case connmanager.ReportError:
		s.log.Error("illegal state transition", "client", action.Client, "error", action.Err)
	}
}

func (s *Server) closeClient(action connmanager.CloseClient) {
	if cc := s.clients[action.Client]; cc != nil {
		s.log.Debug("client connection closed", "client", cc.id, "reason", action.Reason)
		cc.conn.Close()
	}
}

func (s *Server) notifyTermination(action connmanager.NotifyTermination) {
	if cc := s.clients[action.Client]; cc != nil {
		cc.send(terminationMessage(scheduler.ContainerID(action.RequestID), terminationCause(action.Cause)))
	}
}

func (s *Server) pauseReading(action connmanager.PauseReading) {
	if cc := s.clients[action.Client]; cc != nil {
		cc.conn.SetReadPaused(true)
		s.loop.After(eventloop.Tick(action.Duration), func() { cc.conn.SetReadPaused(false) })
	}
}

// applyDetectorAction carries out one action of the failure detector. Actions on machines that were evicted meanwhile
// are ignored: no container runs there.
func (s *Server) applyDetectorAction(action failuredetector.Action) {
	switch action := action.(type) {
	case failuredetector.Connect:
		s.connectForLiveness(scheduler.MachineID(action.Machine))
	case failuredetector.ReportTermination:
		s.finishReclaimed(action)
	case failuredetector.DeclareLost:
		s.declareLost(action)
	}
}

// connectForLiveness opens a connection and sends nothing on it. A machine that is alive accepts it.
func (s *Server) connectForLiveness(id scheduler.MachineID) {
	if m := s.machines[id]; m != nil && m.addr != "" {
		m.connect() // nil where there may be no more connections: the detector asks again
	}
}

// finishReclaimed ends a container whose machine had reported its end before a client reclaimed it.
func (s *Server) finishReclaimed(action failuredetector.ReportTermination) {
	m := s.machines[scheduler.MachineID(action.Machine)]
	if m == nil {
		return
	}
	if a := m.attempts[scheduler.ContainerID(action.RequestID)]; a != nil {
		cause := terminationCause(action.Cause)
		s.finishRunning(a, cause, scheduler.AttemptEnded{Outcome: cause.outcomeAfterAccept()})
	}
}

func (s *Server) declareLost(action failuredetector.DeclareLost) {
	m := s.machines[scheduler.MachineID(action.Machine)]
	if m == nil {
		return
	}
	silent := eventloop.Tick(action.SilentFor) / eventloop.Millisecond
	s.log.Info("machine lost", "machine", m.id, "running", m.running, "silent_ms", int64(silent))
	m.failRunning(s.loop.Now())
}
