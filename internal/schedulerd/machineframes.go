package schedulerd

import (
	"glenport/internal/protocol"
	"glenport/internal/schedulerd/reconcile"
	"glenport/scheduler"
)

func (m *machine) handleFrame(f protocol.Frame) error {
	switch f := f.(type) {
	case *protocol.Hello:
		return m.handleHello(f)
	case *protocol.Inventory:
		return m.handleInventory(f)
	case *protocol.Accept:
		m.handleAccept(f)
	case *protocol.Result:
		m.handleResult(f)
	case *protocol.UsageReport:
		m.handleUsage(f)
	case *protocol.ProbeReply:
		m.handleProbeReply(f)
	case *protocol.Heartbeat:
	case *protocol.Goodbye:
		return machineGoodbye(f)
	default:
		return unexpectedFromMachine(f)
	}
	return nil
}

func (m *machine) handleHello(f *protocol.Hello) error {
	if f.Role != protocol.RoleMachine || f.Name != string(m.id) {
		return wrongMachine(f, string(m.id))
	}
	m.server.noteSelfReported(m, f.Incarnation)
	return nil
}

// handleInventory makes the connection ready. The reconciler sees the inventory before anything queued is sent.
func (m *machine) handleInventory(f *protocol.Inventory) error {
	if m.ready {
		return duplicateInventory()
	}
	reported := reconcile.MachineReported{Machine: m.id}
	for i := range f.Containers {
		item := &f.Containers[i]
		reported.Attempts = append(reported.Attempts, reconcile.Attempt{
			Machine: m.id, Incarnation: item.SchedulerIncarnation,
			Number: item.AttemptID, Running: item.Running, Request: requestOf(&item.Spec),
		})
	}
	m.server.enqueueReconcilerEvent(reported)
	m.ready = true
	for _, a := range inOrder(m.attempts) {
		if a.cancelRequested {
			m.send(&protocol.CancelAttempt{SchedulerIncarnation: a.incarnation, AttemptID: a.number})
		}
	}
	m.server.newlyReady = append(m.server.newlyReady, m)
	for _, p := range m.probes {
		if !p.sent && !p.awaitingLog {
			m.sendProbe(p)
		}
	}
	return nil
}

func (m *machine) handleAccept(f *protocol.Accept) {
	if m.server.config.Policy.AcceptMeansRunning && !f.Running {
		return
	}
	a := m.attempts[f.AttemptID]
	switch {
	case a == nil:
		m.handleLateAccept(f)
	case !a.accepted:
		m.server.attemptAccepted(a)
	case f.Running: // it was accepted before
		m.server.enqueueSchedulerEvent(scheduler.UsageReported{
			ID: a.container.request.ID, Machine: m.id, Attempt: a.ordinal,
			Metric: scheduler.MetricRunning, Value: 1,
		})
	}
}

func (m *machine) handleLateAccept(f *protocol.Accept) {
	request, ok := m.expired[f.AttemptID]
	if !ok {
		return
	}
	delete(m.expired, f.AttemptID)
	m.server.stats.countOutcome(statLateAccept)
	m.server.enqueueReconcilerEvent(reconcile.LateAccept{Attempt: reconcile.Attempt{
		Request: request, Machine: m.id,
		Incarnation: m.server.incarnation, Number: f.AttemptID, Running: true,
	}})
}

func (m *machine) handleResult(f *protocol.Result) {
	a := m.attempts[f.AttemptID]
	if a == nil {
		m.handleLateResult(f)
		return
	}
	outcome := f.Outcome.SchedulerOutcome()
	if !a.accepted && outcome == scheduler.OutcomeFinished { // it has run, whatever became of the accept
		m.server.attemptAccepted(a)
	}
	if !a.accepted {
		m.server.stats.countOutcome(f.Outcome.String())
	}
	m.server.endAttempt(
		a,
		scheduler.AttemptEnded{
			Outcome: outcome,
			Reason:  scheduler.Reason(f.Reason),
			Report:  f.Report,
			Final:   a.accepted,
		},
	)
}

func (m *machine) handleLateResult(f *protocol.Result) {
	request, ok := m.expired[f.AttemptID]
	if !ok {
		return
	}
	delete(m.expired, f.AttemptID)
	m.server.enqueueReconcilerEvent(reconcile.AttemptNotRunning{Attempt: reconcile.Attempt{
		Request: request, Machine: m.id,
		Incarnation: m.server.incarnation, Number: f.AttemptID,
	}})
}

func (m *machine) handleUsage(f *protocol.UsageReport) {
	if a := m.attempts[f.AttemptID]; a != nil {
		m.server.enqueueSchedulerEvent(scheduler.UsageReported{
			ID: a.container.request.ID, Machine: m.id, Attempt: a.ordinal,
			Metric: scheduler.UsageMetric(f.Metric), Value: f.Value,
		})
	}
}

func (m *machine) handleProbeReply(f *protocol.ProbeReply) {
	if p := m.probes[f.Seq]; p != nil {
		m.endProbe(p, scheduler.OutcomeFinished, f.Report)
	}
}
