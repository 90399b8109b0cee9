package platform

import (
	"glenport/internal/eventloop"
	"glenport/scheduler"
)

const probeTimeout = eventloop.Second

// prober starts liveness tests of machines.
type prober struct {
	env        *environment
	machines   *machineRegistry
	lastNumber uint64
}

// start tests a machine. Invariant: every probe has exactly one result. For a probe that got a connection, probe.finish
// reports it.
func (p *prober) start(id scheduler.MachineID) {
	m := p.machines.getOrAdd(id)
	var mc *machineConn
	if m.hasAddr() {
		mc = m.conns.acquire()
	}
	if mc == nil {
		p.env.notifyScheduler(scheduler.ProbeCompleted{Machine: id, Outcome: scheduler.OutcomeNotSent})
		return
	}
	p.lastNumber++
	mc.startProbe(probeID(p.lastNumber))
}

// probe is a pending liveness test of a machine.
type probe struct {
	id     string
	conn   *machineConn
	timer  *eventloop.Timer
	sentAt eventloop.Tick
}

// startProbe sends a probe once the connection is established.
func (mc *machineConn) startProbe(id string) {
	p := &probe{id: id, conn: mc, sentAt: mc.env.loop.Now()}
	mc.probes[id] = p
	p.timer = mc.env.loop.After(probeTimeout, func() { p.finish(scheduler.OutcomeTimedOut, nil) })
	mc.whenEstablished(func() { mc.send(probeMessage(id)) })
}

// finish ends the probe with its only result.
func (p *probe) finish(outcome scheduler.Outcome, report scheduler.LoadReport) {
	env, mc := p.conn.env, p.conn
	if mc.probes[p.id] != p {
		return
	}
	delete(mc.probes, p.id)
	env.loop.Cancel(p.timer)
	env.notifyScheduler(scheduler.ProbeCompleted{
		Machine: mc.machine.id,
		Outcome: outcome,
		Elapsed: env.elapsedSince(p.sentAt),
		Report:  report,
	})
}
