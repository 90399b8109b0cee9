package platform

import (
	"glenport/internal/eventloop"
	"glenport/scheduler"
)

const probeTimeout = eventloop.Second

// probe is a pending liveness test of a machine.
type probe struct {
	id     string
	conn   *machineConn
	timer  *eventloop.Timer
	sentAt eventloop.Tick
}

// startProbe tests a machine. Invariant: every probe has exactly one result, reported by finishProbe once it has a
// connection.
func (s *Server) startProbe(id scheduler.MachineID) {
	m := s.machineByID(id)
	if m.addr == "" {
		s.notifyScheduler(scheduler.ProbeCompleted{Machine: id, Outcome: scheduler.OutcomeNotSent})
		return
	}
	mc := m.acquireConn()
	if mc == nil {
		s.notifyScheduler(scheduler.ProbeCompleted{Machine: id, Outcome: scheduler.OutcomeNotSent})
		return
	}
	s.lastProbeNumber++
	p := &probe{id: probeID(s.lastProbeNumber), conn: mc, sentAt: s.loop.Now()}
	mc.probes[p.id] = p
	p.timer = s.loop.After(probeTimeout, func() { s.finishProbe(p, scheduler.OutcomeTimedOut, nil) })
	mc.whenEstablished(func() { mc.send(probeMessage(p.id)) })
}

func (s *Server) finishProbe(p *probe, outcome scheduler.Outcome, report scheduler.LoadReport) {
	if p.conn.probes[p.id] != p {
		return
	}
	delete(p.conn.probes, p.id)
	s.loop.Cancel(p.timer)
	s.notifyScheduler(scheduler.ProbeCompleted{
		Machine: p.conn.machine.id,
		Outcome: outcome,
		Elapsed: s.elapsedSince(p.sentAt),
		Report:  report,
	})
}
