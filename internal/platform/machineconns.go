package platform

import (
	"errors"

	"glenport/internal/eventloop"
	"glenport/internal/platform/connmanager"
	"glenport/internal/platform/failuredetector"
	"glenport/internal/platform/jsonlines"
	"glenport/scheduler"

	"golang.org/x/sys/unix"
)

const (
	machineOutputLimit = 256 << 10        // bytes of output that may be pending for a machine
	halfCloseTimeout   = eventloop.Second // time within which a machine closes a half-closed connection
)

// errNoDescription resets the connection on which an incomplete accept was received.
var errNoDescription = errors.New("accept without a description")

// machineConn is one connection to a machine.
type machineConn struct {
	env               *environment
	id                connmanager.MachineConnID
	machine           *machine
	conn              *eventloop.Conn
	state             machineConnState
	lines             jsonlines.LineSplitter
	attempts          map[scheduler.ContainerID]*attempt // by ID; each waits for the connection or for an answer
	probes            map[string]*probe                  // pending probes by identifier
	onEstablished     []func()                           // called once the connection is established
	runningContainers int                                // number of running containers that were offered on it
	dialedAt          eventloop.Tick
	lastUsedAt        eventloop.Tick
}

// dialMachine opens a connection to a machine.
func dialMachine(m *machine, id connmanager.MachineConnID) *machineConn {
	mc := &machineConn{
		env:        m.env,
		id:         id,
		machine:    m,
		state:      machineConnecting,
		lines:      jsonlines.LineSplitter{MaxBytes: jsonlines.MaxLineBytes},
		attempts:   map[scheduler.ContainerID]*attempt{},
		probes:     map[string]*probe{},
		dialedAt:   m.env.loop.Now(),
		lastUsedAt: m.env.loop.Now(),
	}
	mc.conn = m.env.loop.Dial(m.addr, mc, machineOutputLimit, m.env.config.ConnectTimeout)
	return mc
}

// isBusy reports whether an attempt or a probe waits for the connection or for an answer on it.
func (mc *machineConn) isBusy() bool {
	return len(mc.attempts)+len(mc.probes)+len(mc.onEstablished) > 0
}

// offerCount is the number of attempts that wait for the connection or are pending on it.
func (mc *machineConn) offerCount() int { return len(mc.attempts) }

func (mc *machineConn) addAttempt(a *attempt) { mc.attempts[a.id()] = a }

func (mc *machineConn) removeAttempt(id scheduler.ContainerID) { delete(mc.attempts, id) }

// attemptAccepted counts a running container that was offered on the connection.
func (mc *machineConn) attemptAccepted(id scheduler.ContainerID) {
	delete(mc.attempts, id)
	mc.runningContainers++
}

// containerEnded counts the end of a running container that was offered on the connection.
func (mc *machineConn) containerEnded() { mc.runningContainers-- }

// whenEstablished calls do once the connection is established. If it cannot be established, do is never called.
func (mc *machineConn) whenEstablished(do func()) {
	if mc.isEstablished() {
		do()
	} else {
		mc.onEstablished = append(mc.onEstablished, do)
	}
}

// closeGracefully half-closes an idle connection. The machine may be reporting the end of a container on it, so reading
// continues until the machine has closed it too, or until halfCloseTimeout has passed.
func (mc *machineConn) closeGracefully() {
	if !mc.isActive() || mc.transition(machineCloseRequested) != nil {
		return
	}
	mc.conn.CloseWrite()
	mc.env.loop.After(halfCloseTimeout, mc.conn.Close)
}

// evict closes an idle connection at once to free its descriptor.
func (mc *machineConn) evict() {
	if mc.transition(machineCloseRequested) == nil {
		mc.conn.Close()
	}
}

// send writes a message to the machine, and reports whether it was accepted for sending.
func (mc *machineConn) send(msg *jsonlines.Message) bool {
	line, err := mc.env.encode(msg)
	if err != nil {
		mc.env.log.Error("message not sent", "machine", mc.machine.id, "error", err)
		return false
	}
	mc.trace("to machine", msg)
	mc.lastUsedAt = mc.env.loop.Now()
	return mc.conn.Write(line) == nil
}

// trace logs a message on the connection if tracing is on.
func (mc *machineConn) trace(direction string, msg *jsonlines.Message) {
	if mc.env.tracing {
		mc.env.trace(direction, string(mc.machine.id), msg, "connection", uint64(mc.id))
	}
}

// traceEnd logs the end of the connection if tracing is on. lastState is the state in which it ended.
func (mc *machineConn) traceEnd(lastState machineConnState, err error) {
	if mc.env.tracing {
		mc.env.log.Info("machine connection ended", "time", mc.env.loop.Now(), "machine", mc.machine.id,
			"connection", uint64(mc.id), "state", lastState.String(), "waiting", len(mc.onEstablished), "error", err)
	}
}

// recordActivity handles a sign that the machine is alive.
func (mc *machineConn) recordActivity() {
	mc.machine.recordActivity()
	mc.machine.cancelLostWhileSilent(mc)
}

// Opened implements eventloop.Handler.
func (mc *machineConn) Opened(*eventloop.Conn) {
	if mc.transition(machineConnOpened) != nil {
		return
	}
	mc.recordActivity()
	mc.machine.sendWaitingTerminations()
	waiting := mc.onEstablished
	mc.onEstablished = nil
	for _, do := range waiting {
		do()
	}
}

// Read implements eventloop.Handler.
func (mc *machineConn) Read(conn *eventloop.Conn, data []byte) {
	mc.recordActivity()
	if err := mc.lines.Feed(data, mc.handleLine); err != nil {
		mc.env.log.Debug("machine connection reset", "machine", mc.machine.id, "error", err)
		conn.Reset()
	}
}

// Closed implements eventloop.Handler: it ends the attempts and probes on the connection.
func (mc *machineConn) Closed(_ *eventloop.Conn, err error) {
	lastState := mc.state
	if mc.transition(machineConnEnded) != nil {
		return
	}
	mc.traceEnd(lastState, err)
	mc.onEstablished = nil
	mc.machine.conns.remove(mc)
	unsentOutcome := scheduler.OutcomeConnectFailed
	if errors.Is(err, eventloop.ErrLocalResources) { // not the fault of the machine
		unsentOutcome = scheduler.OutcomeNotSent
	}
	switch lastState {
	case machineEstablished:
		mc.machine.conns.recordLoss()
	case machineConnecting, machineAbandoned:
		mc.reportIfRefused(err)
	default: // closed by this process
	}
	mc.finishCancels(lastState, err)
	mc.finishAttempts(unsentOutcome, err)
	if lastState == machineEstablished || lastState == machineClosing {
		unsentOutcome = scheduler.OutcomeLost
	}
	mc.finishProbes(unsentOutcome)
	mc.machine.evictIfGone()
}

// reportIfRefused reports a refused connection: no process listens at the machine's address any more.
func (mc *machineConn) reportIfRefused(err error) {
	if errors.Is(err, unix.ECONNREFUSED) {
		mc.env.notifyFailureDetector(failuredetector.ConnectionRefused{Machine: string(mc.machine.id)})
	}
}

// finishAttempts ends the attempts on the closed connection.
func (mc *machineConn) finishAttempts(unsentOutcome scheduler.Outcome, err error) {
	for _, id := range sortedKeys(mc.attempts) {
		mc.attempts[id].connClosed(unsentOutcome, err)
	}
}

// finishProbes ends the probes on the closed connection.
func (mc *machineConn) finishProbes(outcome scheduler.Outcome) {
	for _, id := range sortedKeys(mc.probes) {
		mc.probes[id].finish(outcome, nil)
	}
}

// poolState describes the connection for the decision whether to keep, use or evict it.
func (mc *machineConn) poolState(now eventloop.Tick, primary bool) connmanager.MachineConn {
	return connmanager.MachineConn{
		Primary:                 primary,
		MachineRunsContainers:   mc.machine.hasRunningContainers(),
		CarriesRunningContainer: mc.runningContainers > 0,
		IdleFor:                 connmanager.Time(now - mc.lastUsedAt),
		MachineIdleTimeout:      connmanager.Time(mc.env.config.MachineIdleTimeout),
	}
}

// evictionCandidate returns the connection as a candidate if it may be evicted, and an empty candidate otherwise.
func (mc *machineConn) evictionCandidate(now eventloop.Tick, primary bool) evictionCandidate {
	if mc.isBusy() {
		return evictionCandidate{}
	}
	rank := mc.poolState(now, primary).EvictionRank()
	if rank < 0 {
		return evictionCandidate{}
	}
	return evictionCandidate{conn: mc, rank: rank, lastUsedAt: mc.lastUsedAt}
}
