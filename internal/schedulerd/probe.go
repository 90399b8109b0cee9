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
	incarnation uint64 // incarnation of the machine when the probe was decided
	sent        bool
	awaitingLog bool // not sent before the log holds the send, because the machine is in slow start
	timer       *eventloop.Timer
	requestedAt eventloop.Tick
}

// probeTable holds the pending probes of a machine. Each probe ends in exactly one ProbeCompleted.
type probeTable struct {
	machine *machine
	pending map[uint64]*pendingProbe // by sequence number
}

func (t *probeTable) empty() bool { return len(t.pending) == 0 }

// start starts a probe.
func (t *probeTable) start(seq uint64) {
	registry := t.machine.registry
	p := &pendingProbe{seq: seq, incarnation: t.machine.machineStart().Incarnation, requestedAt: registry.loop.Now()}
	t.pending[seq] = p
	p.timer = registry.loop.After(probeTimeout, func() { t.end(p, scheduler.OutcomeTimedOut, nil) })
	if registry.state != nil && registry.state.logSend(t.machine.id, t.machine.machineStart()) {
		p.awaitingLog = true
		registry.state.afterCommit(func(err error) { t.handleLogged(p, err) })
		return
	}
	t.send(p)
}

// handleLogged sends a probe that waited for the log. A probe that could not be logged is never sent.
func (t *probeTable) handleLogged(p *pendingProbe, err error) {
	p.awaitingLog = false
	switch {
	case err != nil:
		t.end(p, scheduler.OutcomeNotSent, nil)
	case t.pending[p.seq] == p:
		t.send(p)
	}
}

// send sends a probe if the connection is ready; otherwise it connects, and the probe is sent later. A probe that was
// decided for another incarnation of the machine is not sent, because the current one was not charged for it.
func (t *probeTable) send(p *pendingProbe) {
	switch {
	case !t.machine.ready():
		t.machine.connect()
	case t.machine.machineStart().Incarnation != p.incarnation:
		t.end(p, scheduler.OutcomeNotSent, nil)
	default:
		p.sent = t.machine.send(&protocol.Probe{Seq: p.seq})
	}
}

// sendQueued sends the probes that wait for the connection.
func (t *probeTable) sendQueued() {
	for _, p := range t.pending {
		if !p.sent && !p.awaitingLog {
			t.send(p)
		}
	}
}

func (t *probeTable) handleReply(f *protocol.ProbeReply) {
	if p := t.pending[f.Seq]; p != nil {
		t.end(p, scheduler.OutcomeFinished, f.Report)
	}
}

// failAll ends all probes after a connection loss.
func (t *probeTable) failAll(loss connectionLoss) {
	outcome := scheduler.OutcomeConnectFailed
	switch loss {
	case lossAfterInventory:
		outcome = scheduler.OutcomeLost
	case lossLocalShortage:
		outcome = scheduler.OutcomeNotSent
	case lossConnectFailed:
	}
	for _, p := range t.pending {
		t.end(p, outcome, nil)
	}
}

func (t *probeTable) end(p *pendingProbe, outcome scheduler.Outcome, report map[string]float64) {
	if t.pending[p.seq] != p {
		return
	}
	delete(t.pending, p.seq)
	registry := t.machine.registry
	registry.loop.Cancel(p.timer)
	registry.decisions.notifyScheduler(scheduler.ProbeCompleted{
		Machine: t.machine.id, Outcome: outcome,
		Elapsed: scheduler.Time(registry.loop.Now() - p.requestedAt), Report: report,
	})
}
