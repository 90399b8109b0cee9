package platform

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"glenport/internal/eventloop"
	"glenport/internal/platform/connmanager"
	"glenport/internal/platform/failuredetector"
	"glenport/internal/platform/jsonlines"
	"glenport/scheduler"

	"golang.org/x/sys/unix"
)

const (
	machineOutputLimit = 256 << 10
	halfCloseTimeout   = eventloop.Second // a machine closes a link that was left
)

// machine is one that the bus has named, with its links. A set-up has a link of its own as long as there are
// enough, so that a spoilt answer harms no other.
type machine struct {
	server    *Server
	id        scheduler.MachineID
	addr      string
	entry     scheduler.MachineEntry // as told last; without an id where the bus never named it
	state     scheduler.MachineState
	startedAt scheduler.Time
	conns     []*machineConn
	attempts  map[scheduler.ContainerID]*attempt // out, or standing there

	running  int
	connLost bool // a link was lost since something stands: the machine tells on the next one what it said on that
}

// addRunning counts what stands at a machine.
func (m *machine) addRunning(n int) {
	m.running += n
	m.server.notifyFailureDetector(failuredetector.RunningCountChanged{Machine: string(m.id), Count: m.running})
}

// recordActivity is a sign of life of a machine.
func (m *machine) recordActivity() {
	if m.running > 0 {
		m.server.notifyFailureDetector(failuredetector.ActivityObserved{Machine: string(m.id)})
	}
}

// failRunning ends what has stood at a machine since before a moment: it is gone with the machine, or with that start of it.
func (m *machine) failRunning(before eventloop.Tick) {
	for _, id := range slices.Sorted(maps.Keys(m.attempts)) {
		if a := m.attempts[id]; a.running && a.createdAt <= before {
			m.server.finishRunning(a, jsonlines.CauseTemporaryFailure, scheduler.AttemptEnded{Outcome: scheduler.OutcomeLost})
		}
	}
}

// machineConn is one connection to a machine.
type machineConn struct {
	machine       *machine
	conn          *eventloop.Conn
	lines         jsonlines.LineSplitter
	established   bool
	attempts      map[scheduler.ContainerID]*attempt // waiting for it or out on it, until their answer
	probes        map[string]*probe                  // by their call, until their answer or time-out
	onEstablished []func()                           // what goes out once it stands
	running       int                                // containers that stand and whose set-ups it carried
	closing       bool                               // closed as nothing is awaited on it
	lastUsedAt    eventloop.Tick
}

type probe struct {
	id     string
	conn   *machineConn
	timer  *eventloop.Timer
	sentAt eventloop.Tick
}

func (s *Server) machineByID(id scheduler.MachineID) *machine {
	m := s.machines[id]
	if m == nil {
		m = &machine{server: s, id: id, state: scheduler.MachineGone, attempts: map[scheduler.ContainerID]*attempt{}}
		s.machines[id] = m
	}
	return m
}

// applyUpdate hands an event of the bus to the module and keeps the addresses.
func (s *Server) applyUpdate(mode scheduler.UpdateMode, e watchEvent) {
	list := scheduler.MachineListUpdate{Mode: mode, Version: e.version}
	var touched []*machine
	if mode == scheduler.DeltaUpdate && e.fullSnapshot {
		list.Mode = scheduler.FullSnapshot
	}
	if e.fullSnapshot {
		for _, id := range slices.Sorted(maps.Keys(s.machines)) {
			m := s.machines[id]
			m.state = scheduler.MachineGone
			touched = append(touched, m)
		}
	}
	for _, update := range e.machines {
		m := s.machineByID(update.entry.Machine)
		touched = append(touched, m)
		if old := s.evictPredecessor(update); old != nil {
			list.Entries = append(list.Entries, old.entry)
			touched = append(touched, old)
		}
		if s.machineAtAddr[m.addr] == m.id && m.addr != update.addr && update.addr != "" {
			delete(s.machineAtAddr, m.addr)
		}
		if m.addr != update.addr && m.addr != "" || m.startedAt != update.entry.StartedAt {
			m.closeIdleConns()
		}
		if update.addr != "" {
			m.addr = update.addr
		}
		if m.entry = update.entry; update.entry.State != scheduler.MachineGone {
			s.machineAtAddr[m.addr] = m.id
		} else if s.machineAtAddr[m.addr] == m.id {
			delete(s.machineAtAddr, m.addr)
		}
		if m.state, m.startedAt = update.entry.State, update.entry.StartedAt; m.startedAt > 0 {
			m.failRunning(eventloop.Tick(m.startedAt))
		}
		list.Entries = append(list.Entries, update.entry)
	}
	s.notifyScheduler(list)
	for _, m := range touched {
		if m.state == scheduler.MachineGone {
			m.failRunning(s.loop.Now())
			if s.machineAtAddr[m.addr] == m.id { // left out of a whole list
				delete(s.machineAtAddr, m.addr)
			}
		}
		m.evictIfGone()
	}
}

// evictPredecessor finds the machine at whose address the bus names another one. It is gone, though the bus has yet to say so:
// what was sent to that address for it would reach its successor, and go beyond what that bears while it is cold.
func (s *Server) evictPredecessor(update machineUpdate) *machine {
	old := s.machines[s.machineAtAddr[update.addr]]
	if old == nil || old.id == update.entry.Machine || update.entry.State == scheduler.MachineGone {
		return nil
	}
	old.state, old.entry.State = scheduler.MachineGone, scheduler.MachineGone
	old.closeIdleConns()
	return old
}

// evictIfGone lets go of a machine that is gone and empty.
func (m *machine) evictIfGone() {
	if m.state != scheduler.MachineGone || len(m.attempts) > 0 {
		return
	}
	for _, mc := range m.conns {
		if !mc.idle() {
			return
		}
	}
	m.closeIdleConns()
	if m.server.machines[m.id] == m {
		delete(m.server.machines, m.id)
	}
}

// closeGracefully ends this side of a link on which nothing is awaited. The machine may be saying on it right now that something is
// over, so it is read until the machine has closed it too, or has had a while to.
func (mc *machineConn) closeGracefully() {
	if mc.closing {
		return
	}
	mc.closing = true
	mc.conn.CloseWrite()
	mc.machine.server.loop.After(halfCloseTimeout, mc.conn.Close)
}

func (mc *machineConn) idle() bool { return len(mc.attempts)+len(mc.probes)+len(mc.onEstablished) == 0 }

func (m *machine) closeIdleConns() {
	for _, mc := range m.activeConns() {
		if mc.idle() {
			mc.closeGracefully()
		}
	}
}

// activeConns are the links that are not being left.
func (m *machine) activeConns() []*machineConn {
	return slices.DeleteFunc(slices.Clone(m.conns), func(mc *machineConn) bool { return mc.closing })
}

// acquireConn finds a link that carries no set-up, opens one, or shares the one that carries least. It returns nil where there
// is none and none may be opened.
func (m *machine) acquireConn() *machineConn {
	var best *machineConn
	links := m.activeConns()
	for _, mc := range links {
		if !mc.established && len(mc.attempts) > 0 || mc.idle() && !mc.connState(m.server.loop.Now(), false).CanCarryAttempt() {
			continue
		}
		if best == nil || len(mc.attempts) < len(best.attempts) {
			best = mc
		}
	}
	if best != nil && (len(best.attempts) == 0 || len(links) >= connmanager.MaxConnsPerMachine(m.server.config.MaxDescriptors, len(m.server.machines)) || !m.server.makeRoomForMachineConn()) {
		return best
	}
	return m.connect()
}

// atMachineConnLimit tells whether there may be no more links. Each holds a descriptor, and callers and bus need theirs.
func (s *Server) atMachineConnLimit() bool {
	return s.machineConnCount >= connmanager.MaxMachineConns(s.config.MaxDescriptors)
}

// makeRoomForMachineConn tells whether a link may be opened; where there may be no more, one that carries nothing makes way.
func (s *Server) makeRoomForMachineConn() bool {
	if !s.atMachineConnLimit() {
		return true
	}
	if !connmanager.CanOpenBeforeClose(s.config.MaxDescriptors, s.loop.ConnCount()) {
		return false
	}
	now, least := s.loop.Now(), 0
	var worst *machineConn
	for _, id := range slices.Sorted(maps.Keys(s.machines)) {
		for i, mc := range s.machines[id].conns {
			if !mc.idle() {
				continue
			}
			if n := mc.connState(now, i == 0).EvictionRank(); n >= 0 && (worst == nil || n < least || n == least && mc.lastUsedAt < worst.lastUsedAt) {
				worst, least = mc, n
			}
		}
	}
	if worst != nil {
		worst.closing = true
		worst.conn.Close()
	}
	return !s.atMachineConnLimit()
}

// connect opens a link; nil where there may be no more.
func (m *machine) connect() *machineConn {
	if !m.server.makeRoomForMachineConn() {
		return nil
	}
	m.server.machineConnCount++
	mc := &machineConn{machine: m, lines: jsonlines.LineSplitter{MaxBytes: jsonlines.MaxLineBytes}, attempts: map[scheduler.ContainerID]*attempt{}, probes: map[string]*probe{},
		lastUsedAt: m.server.loop.Now()}
	mc.conn = m.server.loop.Dial(m.addr, mc, machineOutputLimit, m.server.config.ConnectTimeout)
	m.conns = append(m.conns, mc)
	return mc
}

// connState is what the porter is asked about.
func (mc *machineConn) connState(now eventloop.Tick, first bool) connmanager.MachineConn {
	return connmanager.MachineConn{Primary: first, MachineHasRunning: mc.machine.running > 0, CarriesRunning: mc.running > 0, IdleFor: connmanager.Time(now - mc.lastUsedAt),
		MachineIdleTimeout: connmanager.Time(mc.machine.server.config.MachineIdleTimeout)}
}

// whenEstablished runs do once the link stands.
func (mc *machineConn) whenEstablished(do func()) {
	if mc.established {
		do()
	} else {
		mc.onEstablished = append(mc.onEstablished, do)
	}
}

func (mc *machineConn) Opened(*eventloop.Conn) {
	mc.established = true
	mc.machine.recordActivity()
	waiting := mc.onEstablished
	mc.onEstablished = nil
	for _, do := range waiting {
		do()
	}
}

func (mc *machineConn) Read(conn *eventloop.Conn, b []byte) {
	mc.machine.recordActivity()
	if err := mc.lines.Feed(b, mc.handleLine); err != nil {
		mc.machine.server.log.Debug("link broken", "machine", mc.machine.id, "why", err)
		conn.Reset()
	}
}

// Closed ends what was under way on a link. A bid that was never sent never ran; one that was may have.
func (mc *machineConn) Closed(_ *eventloop.Conn, err error) {
	m, s := mc.machine, mc.machine.server
	m.conns = slices.DeleteFunc(m.conns, func(other *machineConn) bool { return other == mc })
	s.machineConnCount--
	mc.onEstablished = nil
	m.connLost = m.connLost || mc.established && !mc.closing
	never := scheduler.OutcomeConnectFailed
	if errors.Is(err, eventloop.ErrLocalResources) {
		never = scheduler.OutcomeNotSent
	}
	if !mc.established && errors.Is(err, unix.ECONNREFUSED) {
		s.notifyFailureDetector(failuredetector.ConnectionRefused{Machine: string(m.id)})
	}
	for _, id := range slices.Sorted(maps.Keys(mc.attempts)) {
		a, outcome := mc.attempts[id], never
		if a.sent {
			s.log.Debug("bid reset", "call", id, "machine", m.id, "why", err)
			outcome = scheduler.OutcomeLost
		}
		s.finishAttempt(a, scheduler.AttemptEnded{Outcome: outcome, Final: a.container.answered})
	}
	for _, call := range slices.Sorted(maps.Keys(mc.probes)) {
		outcome := never
		if mc.established {
			outcome = scheduler.OutcomeLost
		}
		s.finishProbe(mc.probes[call], outcome, nil)
	}
	m.evictIfGone()
}

func (mc *machineConn) send(msg *jsonlines.Message) bool {
	line, err := mc.machine.server.encode(msg)
	if err != nil {
		mc.machine.server.log.Error("message not sent", "machine", mc.machine.id, "why", err)
		return false
	}
	mc.machine.server.traceMessage("to machine", string(mc.machine.id), msg)
	mc.lastUsedAt = mc.machine.server.loop.Now()
	return mc.conn.Write(line) == nil
}

// startAttempt carries out a bid.
func (s *Server) startAttempt(action scheduler.StartAttempt) {
	c := s.containers[action.ID]
	if c == nil || c.answered || c.attempt != nil {
		// Its owner went in the same batch, with the answer to another container of it that could not be written. Each bid has
		// its outcome all the same, or the module would count it for good.
		s.log.Info("bid on a container that is not open", "id", action.ID)
		s.notifyScheduler(scheduler.AttemptEnded{ID: action.ID, Machine: action.Machine, Outcome: scheduler.OutcomeNotSent, Final: true})
		return
	}
	now := s.loop.Now()
	until := eventloop.Tick(c.request.Deadline)
	if action.Timeout != 0 {
		until = min(until, now+eventloop.Tick(action.Timeout))
	}
	a := &attempt{container: c, number: c.attemptsMade, machine: s.machineByID(action.Machine), createdAt: now, deadline: until}
	c.attemptsMade++
	c.attempt = a
	a.machine.attempts[action.ID] = a
	if a.machine.addr == "" {
		s.finishAttempt(a, scheduler.AttemptEnded{Outcome: scheduler.OutcomeNotSent})
		return
	}
	a.timer = s.loop.After(until-now, func() {
		if a.sent {
			s.cancelOffer(a)
			s.finishAttempt(a, scheduler.AttemptEnded{Outcome: scheduler.OutcomeTimedOut})
		} else {
			s.finishAttempt(a, scheduler.AttemptEnded{Outcome: scheduler.OutcomeConnectFailed})
		}
	})
	if a.conn = a.machine.acquireConn(); a.conn == nil {
		s.finishAttempt(a, scheduler.AttemptEnded{Outcome: scheduler.OutcomeNotSent})
		return
	}
	a.conn.attempts[action.ID] = a
	a.conn.whenEstablished(func() {
		if c.attempt == a {
			s.sendOffer(a)
		}
	})
}

// sendOffer puts a bid on its link, unless the machine takes nothing new by now.
func (s *Server) sendOffer(a *attempt) {
	if a.machine.state != scheduler.MachineServing {
		s.finishAttempt(a, scheduler.AttemptEnded{Outcome: scheduler.OutcomeNotSent})
		return
	}
	c := a.container
	with := jsonlines.Fields{"class": c.className, "key": c.request.IdempotencyKey,
		"left": strconv.FormatInt(int64((a.deadline-s.loop.Now())/eventloop.Millisecond), 10)}
	if c.idempotencyKey != "" {
		with["idem"] = c.idempotencyKey
	}
	if a.sent = a.conn.send(&jsonlines.Message{Op: jsonlines.OpOffer, RequestID: string(c.request.ID), Fields: with, Description: c.description}); !a.sent {
		s.finishAttempt(a, scheduler.AttemptEnded{Outcome: scheduler.OutcomeNotSent})
	}
}

// cancelAttempt tells the machine that a bid is waited for no longer.
func (s *Server) cancelOffer(a *attempt) {
	if a.sent && a.conn != nil {
		a.conn.send(&jsonlines.Message{Op: jsonlines.OpEnd, RequestID: string(a.container.request.ID), Cause: jsonlines.CausePtr(jsonlines.CauseNormal)})
	}
}

// terminateRunning passes on that an owner ends what stands; the machine then says that it is over.
func (s *Server) terminateRunning(c *container, cause int) {
	a := c.attempt
	if a.endedByClient {
		return
	}
	a.endedByClient = true
	s.sendTermination(a, cause)
}

// sendTermination tells a machine that an owner ends what stands there, on a link of its own where the set-up's is gone; where there
// is none to be had, once there is.
func (s *Server) sendTermination(a *attempt, cause int) {
	c := a.container
	if a.machine.addr == "" || c.attempt != a {
		return
	}
	mc := a.machine.acquireConn()
	if mc == nil {
		s.loop.After(maintenanceInterval, func() { s.sendTermination(a, cause) })
		return
	}
	mc.whenEstablished(func() {
		mc.send(&jsonlines.Message{Op: jsonlines.OpEnd, RequestID: string(c.request.ID), Cause: jsonlines.CausePtr(max(cause, 0))})
	})
}

// outcomesBeforeAccept of a bid by the cause of its end. VerdictFailed comes before a yes where the container's own time has passed: it may
// have run, as after a reset, but the machine is well.
var outcomesBeforeAccept = map[int]scheduler.Outcome{jsonlines.CauseNoCapacity: scheduler.OutcomeFull, jsonlines.CauseError: scheduler.OutcomeErrored,
	jsonlines.CauseNotSent: scheduler.OutcomeNotSent, jsonlines.CauseNormal: scheduler.OutcomeFinished}

// outcomeAfterAccept is what became of a container that stood, by the cause of its end.
func outcomeAfterAccept(cause int) scheduler.Outcome {
	switch cause {
	case jsonlines.CauseNormal:
		return scheduler.OutcomeFinished
	case jsonlines.CauseCancelled:
		return scheduler.OutcomeStopped
	}
	return scheduler.OutcomeLost
}

var rejectReasons = map[string]scheduler.Reason{"cpu_full": scheduler.ReasonNoCores, "mem_full": scheduler.ReasonNoMemory, "busy": scheduler.ReasonQueueTooLong,
	"wrong_host": scheduler.ReasonWrongMachine, "oom": scheduler.ReasonOutOfMemory, "preempted": scheduler.ReasonPreempted, "drained": scheduler.ReasonDrained}

var usageKinds = map[string]scheduler.UsageMetric{"up": scheduler.MetricRunning, "cpu": scheduler.MetricCoresUsed, "mem": scheduler.MetricMemoryUsed,
	"share": scheduler.MetricServedShare, "tight": scheduler.MetricMachineMemory}

func (mc *machineConn) handleLine(line []byte) error {
	msg, err := jsonlines.Decode(line)
	if err != nil {
		return err
	}
	m, s := mc.machine, mc.machine.server
	s.traceMessage("of machine", string(m.id), msg)
	a := m.attempts[scheduler.ContainerID(msg.RequestID)]
	switch msg.Op {
	case jsonlines.OpAccept:
		if a != nil && !a.running && a.conn == mc {
			return s.accepted(a, msg)
		}
	case jsonlines.OpEnd:
		if a == nil {
			s.notifyFailureDetector(failuredetector.UnclaimedTermination{Machine: string(m.id), RequestID: msg.RequestID, Cause: msg.CauseOrNone()})
		}
		if a == nil || !a.running && a.conn != mc {
			return nil
		}
		e := scheduler.AttemptEnded{Reason: rejectReasons[msg.Fields["note"]], Report: decodeLoadReport(msg.Fields["load"]), Outcome: scheduler.OutcomeLost}
		if a.running {
			e.Outcome = outcomeAfterAccept(msg.CauseOrNone())
			s.finishRunning(a, msg.CauseOrNone(), e)
			return nil
		}
		if o, ok := outcomesBeforeAccept[msg.CauseOrNone()]; ok {
			e.Outcome = o
		}
		if e.Outcome == scheduler.OutcomeLost && e.Reason >= scheduler.ReasonOutOfMemory {
			s.finishUnacknowledged(a, e)
		} else {
			s.finishAttempt(a, e)
		}
	case jsonlines.OpInfo:
		if v, err := strconv.ParseFloat(msg.Fields["value"], 64); err == nil && a != nil && a.sent && usageKinds[msg.Fields["note"]] != 0 {
			s.notifyScheduler(scheduler.UsageReported{ID: a.container.request.ID, Machine: m.id, Attempt: a.number, Metric: usageKinds[msg.Fields["note"]], Value: v})
		}
	case jsonlines.OpTested:
		if p := mc.probes[msg.RequestID]; p != nil {
			outcome := scheduler.OutcomeErrored
			if msg.CauseOrNone() == jsonlines.CauseTestPassed {
				outcome = scheduler.OutcomeFinished
			}
			s.finishProbe(p, outcome, decodeLoadReport(msg.Fields["load"]))
		}
	}
	return nil
}

// finishUnacknowledged ends a container that stood at a machine whose yes is late or lost: only what stood is evicted, pushed out or
// sent away with such a release. Its owner is owed that end; a further bid would go on with what the machine and the
// platform count as over.
func (s *Server) finishUnacknowledged(a *attempt, e scheduler.AttemptEnded) {
	e.Final = true
	s.finishAttempt(a, e)
	s.answer(a.container.request.ID, &jsonlines.Message{Op: jsonlines.OpEnd, Cause: jsonlines.CausePtr(jsonlines.CauseTemporaryFailure)})
}

// accepted passes a machine's yes to the owner.
func (s *Server) accepted(a *attempt, msg *jsonlines.Message) error {
	c := a.container
	if len(msg.Description) == 0 {
		return errors.New("a yes without a description")
	}
	if a.machine.state == scheduler.MachineGone { // said before it went: nothing is taken to stand at a machine that is gone
		s.cancelOffer(a)
		s.finishAttempt(a, scheduler.AttemptEnded{Outcome: scheduler.OutcomeLost})
		return nil
	}
	s.loop.Cancel(a.timer)
	delete(a.conn.attempts, c.request.ID)
	a.running = true
	a.conn.running++
	a.machine.addRunning(1)
	s.notifyScheduler(scheduler.AttemptAccepted{ID: c.request.ID, Attempt: a.number, Machine: a.machine.id, Elapsed: scheduler.Time(s.loop.Now() - a.createdAt)})
	s.answer(c.request.ID, &jsonlines.Message{Op: jsonlines.OpAccept, Description: msg.Description})
	return nil
}

func decodeLoadReport(s string) scheduler.LoadReport {
	if s == "" {
		return nil
	}
	r := scheduler.LoadReport{}
	for _, f := range strings.Split(s, ";") {
		k, v, _ := strings.Cut(f, ":")
		if x, err := strconv.ParseFloat(v, 64); err == nil {
			r[k] = x
		}
	}
	return r
}

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
	p := &probe{id: fmt.Sprintf("%016x", s.lastProbeNumber), conn: mc, sentAt: s.loop.Now()}
	mc.probes[p.id] = p
	p.timer = s.loop.After(probeTimeout, func() { s.finishProbe(p, scheduler.OutcomeTimedOut, nil) })
	mc.whenEstablished(func() {
		mc.send(&jsonlines.Message{Op: jsonlines.OpTest, RequestID: p.id, Cause: jsonlines.CausePtr(jsonlines.CauseTestPassed)})
	})
}

func (s *Server) finishProbe(p *probe, o scheduler.Outcome, r scheduler.LoadReport) {
	if p.conn.probes[p.id] != p {
		return
	}
	delete(p.conn.probes, p.id)
	s.loop.Cancel(p.timer)
	s.notifyScheduler(scheduler.ProbeCompleted{Machine: p.conn.machine.id, Outcome: o, Elapsed: scheduler.Time(s.loop.Now() - p.sentAt), Report: r})
}

// maintainConns closes links before the machine does, and keeps one where something stands: its end is told there. Where one broke,
// a new one is opened, as an end that was on its way is told again on that.
func (m *machine) maintainConns(now eventloop.Tick) {
	for i, mc := range m.activeConns() {
		if mc.idle() && !mc.connState(now, i == 0).ShouldKeep() {
			mc.closeGracefully()
		}
	}
	if m.running == 0 || m.addr == "" || m.state == scheduler.MachineGone {
		m.connLost = false
	} else if m.connLost || len(m.activeConns()) == 0 && !m.server.atMachineConnLimit() {
		m.connLost = m.connect() == nil
	}
}
