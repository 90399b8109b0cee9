package platform

import (
	"errors"
	"slices"

	"glenport/internal/eventloop"
	"glenport/internal/platform/connmanager"
	"glenport/internal/platform/failuredetector"
	"glenport/internal/platform/jsonlines"
	"glenport/scheduler"

	"golang.org/x/sys/unix"
)

const (
	machineOutputLimit = 256 << 10        // bytes that may wait to be written to a machine
	halfCloseTimeout   = eventloop.Second // a machine closes a connection that was half-closed here
)

// errNoDescription resets a connection on which an accept is incomplete.
var errNoDescription = errors.New("accept without a description")

// machineConn is one connection to a machine.
type machineConn struct {
	machine       *machine
	conn          *eventloop.Conn
	lines         jsonlines.LineSplitter
	established   bool
	attempts      map[scheduler.ContainerID]*attempt // that wait for it or are pending on it
	probes        map[string]*probe                  // by their identifier, until their result
	onEstablished []func()                           // what waits for the connection to be established
	running       int                                // running containers whose offers it carried
	closing       bool                               // half-closed, as nothing is awaited on it
	lastUsedAt    eventloop.Tick
}

// idle reports whether no attempt or probe waits for the connection or for an answer on it.
func (mc *machineConn) idle() bool {
	return len(mc.attempts)+len(mc.probes)+len(mc.onEstablished) == 0
}

// whenEstablished calls do once the connection is established, and never where it fails.
func (mc *machineConn) whenEstablished(do func()) {
	if mc.established {
		do()
	} else {
		mc.onEstablished = append(mc.onEstablished, do)
	}
}

// closeGracefully half-closes an idle connection. The machine may be reporting the end of a container on it at this
// moment, so reading continues until the machine has closed it too, or halfCloseTimeout has passed.
func (mc *machineConn) closeGracefully() {
	if mc.closing {
		return
	}
	mc.closing = true
	mc.conn.CloseWrite()
	mc.machine.server.loop.After(halfCloseTimeout, mc.conn.Close)
}

// send writes a message to the machine, and reports whether it will go out.
func (mc *machineConn) send(msg *jsonlines.Message) bool {
	m, s := mc.machine, mc.machine.server
	line, err := s.encode(msg)
	if err != nil {
		s.log.Error("message not sent", "machine", m.id, "error", err)
		return false
	}
	s.traceMessage("to machine", string(m.id), msg)
	mc.lastUsedAt = s.loop.Now()
	return mc.conn.Write(line) == nil
}

// Opened implements eventloop.Handler.
func (mc *machineConn) Opened(*eventloop.Conn) {
	mc.established = true
	mc.machine.recordActivity()
	waiting := mc.onEstablished
	mc.onEstablished = nil
	for _, do := range waiting {
		do()
	}
}

// Read implements eventloop.Handler.
func (mc *machineConn) Read(conn *eventloop.Conn, data []byte) {
	mc.machine.recordActivity()
	if err := mc.lines.Feed(data, mc.handleLine); err != nil {
		mc.machine.server.log.Debug("machine connection reset", "machine", mc.machine.id, "error", err)
		conn.Reset()
	}
}

// Closed implements eventloop.Handler: it ends the attempts and probes on the connection.
func (mc *machineConn) Closed(_ *eventloop.Conn, err error) {
	m, s := mc.machine, mc.machine.server
	m.conns = slices.DeleteFunc(m.conns, func(other *machineConn) bool { return other == mc })
	s.machineConnCount--
	mc.onEstablished = nil
	m.connLost = m.connLost || mc.established && !mc.closing
	notSent := scheduler.OutcomeConnectFailed
	if errors.Is(err, eventloop.ErrLocalResources) { // not the fault of the machine
		notSent = scheduler.OutcomeNotSent
	}
	if !mc.established && errors.Is(err, unix.ECONNREFUSED) {
		s.notifyFailureDetector(failuredetector.ConnectionRefused{Machine: string(m.id)})
	}
	mc.finishAttempts(notSent, err)
	mc.finishProbes(notSent)
	m.evictIfGone()
}

// finishAttempts ends the attempts on a closed connection. A container whose offer was never sent never ran; one whose
// offer was sent may have run.
func (mc *machineConn) finishAttempts(notSent scheduler.Outcome, err error) {
	s := mc.machine.server
	for _, id := range sortedKeys(mc.attempts) {
		a, outcome := mc.attempts[id], notSent
		if a.sent {
			s.log.Debug("attempt lost with its connection", "request_id", id, "machine", mc.machine.id, "error", err)
			outcome = scheduler.OutcomeLost
		}
		s.finishAttempt(a, scheduler.AttemptEnded{Outcome: outcome, Final: a.container.answered})
	}
}

// finishProbes ends the probes on a closed connection.
func (mc *machineConn) finishProbes(notSent scheduler.Outcome) {
	outcome := notSent
	if mc.established {
		outcome = scheduler.OutcomeLost
	}
	for _, id := range sortedKeys(mc.probes) {
		mc.machine.server.finishProbe(mc.probes[id], outcome, nil)
	}
}

// handleLine handles one message. An error resets the connection.
func (mc *machineConn) handleLine(line []byte) error {
	msg, err := jsonlines.Decode(line)
	if err != nil {
		return err
	}
	mc.machine.server.traceMessage("from machine", string(mc.machine.id), msg)
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
	a := mc.machine.attempts[accepted.id]
	if a == nil || a.running || a.conn != mc {
		return nil
	}
	return mc.machine.server.acceptAttempt(a, accepted)
}

// handleEnd handles the end of a running container, which is valid on any connection, or the rejection of the attempt
// that is pending on this one.
func (mc *machineConn) handleEnd(event containerEnded) {
	m, s := mc.machine, mc.machine.server
	a := m.attempts[event.id]
	if a == nil {
		// After a start of this process a client may still reclaim the container.
		s.notifyFailureDetector(failuredetector.UnclaimedTermination{
			Machine:   string(m.id),
			RequestID: string(event.id),
			Cause:     int(event.cause),
		})
		return
	}
	ended := scheduler.AttemptEnded{Reason: event.reason, Report: event.report}
	if a.running {
		ended.Outcome = event.cause.outcomeAfterAccept()
		s.finishRunning(a, event.cause, ended)
		return
	}
	if a.conn != mc {
		return
	}
	ended.Outcome = event.cause.outcomeBeforeAccept()
	if ended.Outcome == scheduler.OutcomeLost && ended.Reason >= scheduler.ReasonOutOfMemory {
		s.finishUnaccepted(a, ended)
		return
	}
	s.finishAttempt(a, ended)
}

// handleUsage forwards a measurement of a container whose offer was sent.
func (mc *machineConn) handleUsage(report usageReported) {
	a := mc.machine.attempts[report.id]
	if a == nil || !a.sent {
		return
	}
	mc.machine.server.notifyScheduler(scheduler.UsageReported{
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
	mc.machine.server.finishProbe(p, outcome, answer.report)
}

// poolState is the state of the connection by which the connection manager decides.
func (mc *machineConn) poolState(now eventloop.Tick, primary bool) connmanager.MachineConn {
	return connmanager.MachineConn{
		Primary:            primary,
		MachineHasRunning:  mc.machine.running > 0,
		CarriesRunning:     mc.running > 0,
		IdleFor:            connmanager.Time(now - mc.lastUsedAt),
		MachineIdleTimeout: connmanager.Time(mc.machine.server.config.MachineIdleTimeout),
	}
}
