package platform

import (
	"glenport/internal/platform/failuredetector"
	"glenport/internal/platform/jsonlines"
	"glenport/scheduler"
)

// handleLine handles one message. An error resets the connection.
func (mc *machineConn) handleLine(line []byte) error {
	msg, err := jsonlines.Decode(line)
	if err != nil {
		return err
	}
	mc.trace("from machine", msg)
	switch event := decodeMachineMessage(msg).(type) {
	case offerAccepted:
		return mc.handleAccept(event)
	case containerEnded:
		mc.handleEnd(event)
	case usageReported:
		mc.handleUsage(event)
	case probeAnswered:
		mc.handleProbeAnswer(event)
	}
	return nil
}

// handleAccept handles the accept of the attempt that is pending on this connection. Any other accept is ignored.
func (mc *machineConn) handleAccept(accepted offerAccepted) error {
	a := mc.machine.attempt(accepted.id)
	if a == nil || !a.awaitsAnswer() || !a.usesConn(mc) {
		return nil
	}
	return a.accept(accepted)
}

// handleEnd handles the end of a running container, which is valid on any connection, or the rejection of the attempt
// that is pending on this one.
func (mc *machineConn) handleEnd(event containerEnded) {
	mc.env.cancels.Discard(mc.machine.cancelFor(event.id))
	a := mc.machine.attempt(event.id)
	switch {
	case a == nil: // after a restart of this process a client may still reclaim the container
		mc.env.notifyUnadoptedEnd(event.id, mc.machine.id, event.cause)
		mc.env.notifyFailureDetector(failuredetector.UnclaimedTermination{
			Machine:   string(mc.machine.id),
			RequestID: string(event.id),
			Cause:     int(event.cause),
		})
	case a.isRunning() || a.usesConn(mc):
		a.handleEnd(event)
	}
}

// handleUsage forwards a measurement of a container whose offer was sent.
func (mc *machineConn) handleUsage(report usageReported) {
	a := mc.machine.attempt(report.id)
	if a == nil || !a.isOffered() {
		return
	}
	if a.isRunning() {
		mc.env.claims.Remove(string(report.id)) // the machine has confirmed it
	}
	mc.env.notifyScheduler(scheduler.UsageReported{
		ID:      report.id,
		Machine: mc.machine.id,
		Attempt: a.number,
		Metric:  report.metric,
		Value:   report.value,
	})
}

// handleProbeAnswer ends the probe that is pending on this connection.
func (mc *machineConn) handleProbeAnswer(answer probeAnswered) {
	p := mc.probes[answer.id]
	if p == nil {
		return
	}
	outcome := scheduler.OutcomeErrored
	if answer.passed {
		outcome = scheduler.OutcomeFinished
	}
	p.finish(outcome, answer.report)
}
