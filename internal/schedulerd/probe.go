package schedulerd

import (
	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/scheduler"
)

const probeTimeout = eventloop.Second

// pendingProbe is a probe without an outcome yet.
type pendingProbe struct {
	seq         uint64
	incarnation uint64 // of the machine when the probe was decided
	sent        bool
	awaitingLog bool // it must not be sent before the log holds that a machine in slow start gets it
	timer       *eventloop.Timer
	requestedAt eventloop.Tick
}

// probe asks a machine whether it answers. Each probe ends in one ProbeCompleted.
func (s *Server) probe(id scheduler.MachineID) {
	m := s.machines[id]
	if m == nil {
		s.enqueueSchedulerEvent(scheduler.ProbeCompleted{Machine: id, Outcome: scheduler.OutcomeConnectFailed})
		return
	}
	s.lastProbe++
	p := &pendingProbe{seq: s.lastProbe, incarnation: m.incarnation, requestedAt: s.loop.Now()}
	m.probes[p.seq] = p
	p.timer = s.loop.After(probeTimeout, func() { m.endProbe(p, scheduler.OutcomeTimedOut, nil) })
	if s.state != nil && s.state.logSend(m) {
		p.awaitingLog = true
		s.state.afterCommit(false, func(err error) { m.probeLogged(p, err) })
		return
	}
	m.sendProbe(p)
}

// probeLogged sends a probe that waited for the log. One that could not be logged is never sent.
func (m *machine) probeLogged(p *pendingProbe, err error) {
	p.awaitingLog = false
	switch {
	case err != nil:
		m.endProbe(p, scheduler.OutcomeNotSent, nil)
	case m.probes[p.seq] == p:
		m.sendProbe(p)
	}
}

// sendProbe sends a probe, at once or as soon as the connection is ready. One that was decided on another incarnation
// of the machine is not sent, as it is not counted for this one.
func (m *machine) sendProbe(p *pendingProbe) {
	switch {
	case !m.ready:
		m.server.connect(m)
	case m.incarnation != p.incarnation:
		m.endProbe(p, scheduler.OutcomeNotSent, nil)
	default:
		p.sent = m.send(&protocol.Probe{Seq: p.seq})
	}
}

func (m *machine) failProbes(outcome scheduler.Outcome) {
	for _, p := range m.probes {
		m.endProbe(p, outcome, nil)
	}
}

func (m *machine) endProbe(p *pendingProbe, outcome scheduler.Outcome, report map[string]float64) {
	if m.probes[p.seq] != p {
		return
	}
	delete(m.probes, p.seq)
	m.server.loop.Cancel(p.timer)
	m.server.enqueueSchedulerEvent(scheduler.ProbeCompleted{
		Machine: m.id, Outcome: outcome,
		Elapsed: scheduler.Time(m.server.loop.Now() - p.requestedAt), Report: report,
	})
}
