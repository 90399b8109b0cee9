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
		m.probes.handleReply(f)
	case *protocol.Heartbeat:
	case *protocol.Goodbye:
		return machineGoodbyeError(f)
	default:
		return unexpectedMachineFrameError(f)
	}
	return nil
}

func (m *machine) handleHello(f *protocol.Hello) error {
	if f.Role != protocol.RoleMachine || f.Name != string(m.id) {
		return wrongMachineError(f, string(m.id))
	}
	m.registry.handleSelfReport(m, f.Incarnation)
	return nil
}

// handleInventory makes the connection ready. The reconciler receives the inventory before queued attempts are sent.
func (m *machine) handleInventory(f *protocol.Inventory) error {
	if m.ready() {
		return duplicateInventoryError()
	}
	if !m.conn.markReady() {
		return nil
	}
	reported := reconcile.MachineReported{Machine: m.id}
	for i := range f.Containers {
		item := &f.Containers[i]
		reported.Attempts = append(reported.Attempts, reconcile.Attempt{
			Machine: m.id, Incarnation: item.SchedulerIncarnation,
			Number: item.AttemptID, Running: item.Running, Request: requestFromSpec(&item.Spec),
		})
	}
	m.registry.decisions.notifyReconciler(reported)
	for _, a := range inOrder(m.attempts) {
		if a.terminating() {
			m.cancel(a.incarnation, a.number)
		}
	}
	m.registry.addNewlyReady(m)
	m.probes.sendQueued()
	return nil
}

func (m *machine) handleAccept(f *protocol.Accept) {
	if m.registry.config.Policy.AcceptMeansRunning && !f.Running {
		return
	}
	a := m.attempts[f.AttemptID]
	switch {
	case a == nil:
		m.expiredAttempts.handleAccept(f.AttemptID)
	case !a.accepted():
		m.registry.dispatcher.accept(a)
	case f.Running: // already accepted
		m.notifyUsage(a, scheduler.MetricRunning, 1)
	}
}

func (m *machine) handleResult(f *protocol.Result) {
	a := m.attempts[f.AttemptID]
	if a == nil {
		m.expiredAttempts.handleResult(f.AttemptID)
		return
	}
	outcome := f.Outcome.SchedulerOutcome()
	if !a.accepted() && outcome == scheduler.OutcomeFinished { // the container has run, although no accept was received
		m.registry.dispatcher.accept(a)
	}
	if !a.accepted() {
		m.registry.stats.countOutcome(f.Outcome.String())
	}
	m.registry.dispatcher.end(a, scheduler.AttemptEnded{
		Outcome: outcome,
		Reason:  scheduler.Reason(f.Reason),
		Report:  f.Report,
		Final:   a.accepted(),
	})
}

func (m *machine) handleUsage(f *protocol.UsageReport) {
	if a := m.attempts[f.AttemptID]; a != nil {
		m.notifyUsage(a, scheduler.UsageMetric(f.Metric), f.Value)
	}
}

func (m *machine) notifyUsage(a *attempt, metric scheduler.UsageMetric, value float64) {
	m.registry.decisions.notifyScheduler(scheduler.UsageReported{
		ID: a.request().ID, Machine: m.id, Attempt: a.ordinal, Metric: metric, Value: value,
	})
}
