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
	outputOfLink = 256 << 10
	leaveWithin  = eventloop.Second // a machine closes a link that was left
)

// machine is one that the bus has named, with its links. A set-up has a link of its own as long as there are
// enough, so that a spoilt answer harms no other.
type machine struct {
	p       *Platform
	id      scheduler.MachineID
	addr    string
	entry   scheduler.MachineEntry // as told last; without an id where the bus never named it
	state   scheduler.MachineState
	started scheduler.Time
	links   []*link
	bids    map[scheduler.ContainerID]*bid // out, or standing there

	standing int
	broke    bool // a link was lost since something stands: the machine tells on the next one what it said on that
}

// stand counts what stands at a machine.
func (m *machine) stand(n int) {
	m.standing += n
	m.p.notice(failuredetector.RunningCountChanged{Machine: string(m.id), Count: m.standing})
}

// heard is a sign of life of a machine.
func (m *machine) heard() {
	if m.standing > 0 {
		m.p.notice(failuredetector.ActivityObserved{Machine: string(m.id)})
	}
}

// lose ends what has stood at a machine since before a moment: it is gone with the machine, or with that start of it.
func (m *machine) lose(before eventloop.Tick) {
	for _, id := range slices.Sorted(maps.Keys(m.bids)) {
		if b := m.bids[id]; b.stands && b.sentAt <= before {
			m.p.released(b, jsonlines.CauseTemporaryFailure, scheduler.AttemptEnded{Outcome: scheduler.OutcomeLost})
		}
	}
}

// link is one connection to a machine.
type link struct {
	m       *machine
	conn    *eventloop.Conn
	lines   jsonlines.LineSplitter
	opened  bool
	bids    map[scheduler.ContainerID]*bid // waiting for it or out on it, until their answer
	probes  map[string]*probing            // by their call, until their answer or time-out
	waiting []func()                       // what goes out once it stands
	stands  int                            // containers that stand and whose set-ups it carried
	left    bool                           // closed as nothing is awaited on it
	usedAt  eventloop.Tick
}

type probing struct {
	call   string
	link   *link
	timer  *eventloop.Timer
	sentAt eventloop.Tick
}

func (p *Platform) machine(id scheduler.MachineID) *machine {
	m := p.machines[id]
	if m == nil {
		m = &machine{p: p, id: id, state: scheduler.MachineGone, bids: map[scheduler.ContainerID]*bid{}}
		p.machines[id] = m
	}
	return m
}

// learn hands an event of the bus to the module and keeps the addresses.
func (p *Platform) learn(mode scheduler.UpdateMode, e busEvent) {
	list := scheduler.MachineListUpdate{Mode: mode, Version: e.version}
	var touched []*machine
	if mode == scheduler.DeltaUpdate && e.whole {
		list.Mode = scheduler.FullSnapshot
	}
	if e.whole {
		for _, id := range slices.Sorted(maps.Keys(p.machines)) {
			m := p.machines[id]
			m.state = scheduler.MachineGone
			touched = append(touched, m)
		}
	}
	for _, h := range e.hosts {
		m := p.machine(h.entry.Machine)
		touched = append(touched, m)
		if old := p.succeeded(h); old != nil {
			list.Entries = append(list.Entries, old.entry)
			touched = append(touched, old)
		}
		if p.at[m.addr] == m.id && m.addr != h.addr && h.addr != "" {
			delete(p.at, m.addr)
		}
		if m.addr != h.addr && m.addr != "" || m.started != h.entry.StartedAt {
			m.closeIdle()
		}
		if h.addr != "" {
			m.addr = h.addr
		}
		if m.entry = h.entry; h.entry.State != scheduler.MachineGone {
			p.at[m.addr] = m.id
		} else if p.at[m.addr] == m.id {
			delete(p.at, m.addr)
		}
		if m.state, m.started = h.entry.State, h.entry.StartedAt; m.started > 0 {
			m.lose(eventloop.Tick(m.started))
		}
		list.Entries = append(list.Entries, h.entry)
	}
	p.feed(list)
	for _, m := range touched {
		if m.state == scheduler.MachineGone {
			m.lose(p.loop.Now())
			if p.at[m.addr] == m.id { // left out of a whole list
				delete(p.at, m.addr)
			}
		}
		m.settle()
	}
}

// succeeded finds the machine at whose address the bus names another one. It is gone, though the bus has yet to say so:
// what was sent to that address for it would reach its successor, and go beyond what that bears while it is cold.
func (p *Platform) succeeded(h busHost) *machine {
	old := p.machines[p.at[h.addr]]
	if old == nil || old.id == h.entry.Machine || h.entry.State == scheduler.MachineGone {
		return nil
	}
	old.state, old.entry.State = scheduler.MachineGone, scheduler.MachineGone
	old.closeIdle()
	return old
}

// settle lets go of a machine that is gone and empty.
func (m *machine) settle() {
	if m.state != scheduler.MachineGone || len(m.bids) > 0 {
		return
	}
	for _, l := range m.links {
		if !l.idle() {
			return
		}
	}
	m.closeIdle()
	if m.p.machines[m.id] == m {
		delete(m.p.machines, m.id)
	}
}

// leave ends this side of a link on which nothing is awaited. The machine may be saying on it right now that something is
// over, so it is read until the machine has closed it too, or has had a while to.
func (l *link) leave() {
	if l.left {
		return
	}
	l.left = true
	l.conn.CloseWrite()
	l.m.p.loop.After(leaveWithin, l.conn.Close)
}

func (l *link) idle() bool { return len(l.bids)+len(l.probes)+len(l.waiting) == 0 }

func (m *machine) closeIdle() {
	for _, l := range m.kept() {
		if l.idle() {
			l.leave()
		}
	}
}

// kept are the links that are not being left.
func (m *machine) kept() []*link {
	return slices.DeleteFunc(slices.Clone(m.links), func(l *link) bool { return l.left })
}

// take finds a link that carries no set-up, opens one, or shares the one that carries least. It returns nil where there
// is none and none may be opened.
func (m *machine) take() *link {
	var best *link
	links := m.kept()
	for _, l := range links {
		if !l.opened && len(l.bids) > 0 || l.idle() && !l.state(m.p.loop.Now(), false).CanCarryAttempt() {
			continue
		}
		if best == nil || len(l.bids) < len(best.bids) {
			best = l
		}
	}
	if best != nil && (len(best.bids) == 0 || len(links) >= connmanager.MaxConnsPerMachine(m.p.d.Sockets, len(m.p.machines)) || !m.p.room()) {
		return best
	}
	return m.reach()
}

// short tells whether there may be no more links. Each holds a descriptor, and callers and bus need theirs.
func (p *Platform) short() bool { return p.links >= connmanager.MaxMachineConns(p.d.Sockets) }

// room tells whether a link may be opened; where there may be no more, one that carries nothing makes way.
func (p *Platform) room() bool {
	if !p.short() {
		return true
	}
	if !connmanager.CanOpenBeforeClose(p.d.Sockets, p.loop.ConnCount()) {
		return false
	}
	now, least := p.loop.Now(), 0
	var worst *link
	for _, id := range slices.Sorted(maps.Keys(p.machines)) {
		for i, l := range p.machines[id].links {
			if !l.idle() {
				continue
			}
			if n := l.state(now, i == 0).EvictionRank(); n >= 0 && (worst == nil || n < least || n == least && l.usedAt < worst.usedAt) {
				worst, least = l, n
			}
		}
	}
	if worst != nil {
		worst.left = true
		worst.conn.Close()
	}
	return !p.short()
}

// reach opens a link; nil where there may be no more.
func (m *machine) reach() *link {
	if !m.p.room() {
		return nil
	}
	m.p.links++
	l := &link{m: m, lines: jsonlines.LineSplitter{MaxBytes: jsonlines.MaxLineBytes}, bids: map[scheduler.ContainerID]*bid{}, probes: map[string]*probing{},
		usedAt: m.p.loop.Now()}
	l.conn = m.p.loop.Dial(m.addr, l, outputOfLink, m.p.d.Connect)
	m.links = append(m.links, l)
	return l
}

// state is what the porter is asked about.
func (l *link) state(now eventloop.Tick, first bool) connmanager.MachineConn {
	return connmanager.MachineConn{Primary: first, MachineHasRunning: l.m.standing > 0, CarriesRunning: l.stands > 0, IdleFor: connmanager.Time(now - l.usedAt),
		MachineIdleTimeout: connmanager.Time(l.m.p.d.IdleLinks)}
}

// when runs do once the link stands.
func (l *link) when(do func()) {
	if l.opened {
		do()
	} else {
		l.waiting = append(l.waiting, do)
	}
}

func (l *link) Opened(*eventloop.Conn) {
	l.opened = true
	l.m.heard()
	waiting := l.waiting
	l.waiting = nil
	for _, do := range waiting {
		do()
	}
}

func (l *link) Read(c *eventloop.Conn, b []byte) {
	l.m.heard()
	if err := l.lines.Feed(b, l.line); err != nil {
		l.m.p.log.Debug("link broken", "machine", l.m.id, "why", err)
		c.Reset()
	}
}

// Closed ends what was under way on a link. A bid that was never sent never ran; one that was may have.
func (l *link) Closed(_ *eventloop.Conn, why error) {
	m, p := l.m, l.m.p
	m.links = slices.DeleteFunc(m.links, func(x *link) bool { return x == l })
	p.links--
	l.waiting = nil
	m.broke = m.broke || l.opened && !l.left
	never := scheduler.OutcomeConnectFailed
	if errors.Is(why, eventloop.ErrLocalResources) {
		never = scheduler.OutcomeNotSent
	}
	if !l.opened && errors.Is(why, unix.ECONNREFUSED) {
		p.notice(failuredetector.ConnectionRefused{Machine: string(m.id)})
	}
	for _, id := range slices.Sorted(maps.Keys(l.bids)) {
		b, outcome := l.bids[id], never
		if b.sent {
			p.log.Debug("bid reset", "call", id, "machine", m.id, "why", why)
			outcome = scheduler.OutcomeLost
		}
		p.over(b, scheduler.AttemptEnded{Outcome: outcome, Final: b.c.answered})
	}
	for _, call := range slices.Sorted(maps.Keys(l.probes)) {
		outcome := never
		if l.opened {
			outcome = scheduler.OutcomeLost
		}
		p.probed(l.probes[call], outcome, nil)
	}
	m.settle()
}

func (l *link) write(m *jsonlines.Message) bool {
	line, err := l.m.p.line(m)
	if err != nil {
		l.m.p.log.Error("message not sent", "machine", l.m.id, "why", err)
		return false
	}
	l.m.p.show("to machine", string(l.m.id), m)
	l.usedAt = l.m.p.loop.Now()
	return l.conn.Write(line) == nil
}

// offer carries out a bid.
func (p *Platform) offer(a scheduler.StartAttempt) {
	c := p.containers[a.ID]
	if c == nil || c.answered || c.bid != nil {
		// Its owner went in the same batch, with the answer to another container of it that could not be written. Each bid has
		// its outcome all the same, or the module would count it for good.
		p.log.Info("bid on a container that is not open", "id", a.ID)
		p.feed(scheduler.AttemptEnded{ID: a.ID, Machine: a.Machine, Outcome: scheduler.OutcomeNotSent, Final: true})
		return
	}
	now := p.loop.Now()
	until := eventloop.Tick(c.ask.Deadline)
	if a.Timeout != 0 {
		until = min(until, now+eventloop.Tick(a.Timeout))
	}
	b := &bid{c: c, nth: c.bids, at: p.machine(a.Machine), sentAt: now, until: until}
	c.bids++
	c.bid = b
	b.at.bids[a.ID] = b
	if b.at.addr == "" {
		p.over(b, scheduler.AttemptEnded{Outcome: scheduler.OutcomeNotSent})
		return
	}
	b.timer = p.loop.After(until-now, func() {
		if b.sent {
			p.callOff(b)
			p.over(b, scheduler.AttemptEnded{Outcome: scheduler.OutcomeTimedOut})
		} else {
			p.over(b, scheduler.AttemptEnded{Outcome: scheduler.OutcomeConnectFailed})
		}
	})
	if b.link = b.at.take(); b.link == nil {
		p.over(b, scheduler.AttemptEnded{Outcome: scheduler.OutcomeNotSent})
		return
	}
	b.link.bids[a.ID] = b
	b.link.when(func() {
		if c.bid == b {
			p.send(b)
		}
	})
}

// send puts a bid on its link, unless the machine takes nothing new by now.
func (p *Platform) send(b *bid) {
	if b.at.state != scheduler.MachineServing {
		p.over(b, scheduler.AttemptEnded{Outcome: scheduler.OutcomeNotSent})
		return
	}
	c := b.c
	with := jsonlines.Fields{"class": c.class, "key": c.ask.IdempotencyKey,
		"left": strconv.FormatInt(int64((b.until-p.loop.Now())/eventloop.Millisecond), 10)}
	if c.idem != "" {
		with["idem"] = c.idem
	}
	if b.sent = b.link.write(&jsonlines.Message{Op: jsonlines.OpOffer, RequestID: string(c.ask.ID), Fields: with, Description: c.desc}); !b.sent {
		p.over(b, scheduler.AttemptEnded{Outcome: scheduler.OutcomeNotSent})
	}
}

// cancelAttempt tells the machine that a bid is waited for no longer.
func (p *Platform) callOff(b *bid) {
	if b.sent && b.link != nil {
		b.link.write(&jsonlines.Message{Op: jsonlines.OpEnd, RequestID: string(b.c.ask.ID), Cause: jsonlines.CausePtr(jsonlines.CauseNormal)})
	}
}

// endStanding passes on that an owner ends what stands; the machine then says that it is over.
func (p *Platform) endStanding(c *container, cause int) {
	b := c.bid
	if b.ended {
		return
	}
	b.ended = true
	p.passOn(b, cause)
}

// passOn tells a machine that an owner ends what stands there, on a link of its own where the set-up's is gone; where there
// is none to be had, once there is.
func (p *Platform) passOn(b *bid, cause int) {
	c := b.c
	if b.at.addr == "" || c.bid != b {
		return
	}
	l := b.at.take()
	if l == nil {
		p.loop.After(houseEvery, func() { p.passOn(b, cause) })
		return
	}
	l.when(func() {
		l.write(&jsonlines.Message{Op: jsonlines.OpEnd, RequestID: string(c.ask.ID), Cause: jsonlines.CausePtr(max(cause, 0))})
	})
}

// outcomes of a bid by the cause of its end. VerdictFailed comes before a yes where the container's own time has passed: it may
// have run, as after a reset, but the machine is well.
var outcomes = map[int]scheduler.Outcome{jsonlines.CauseNoCapacity: scheduler.OutcomeFull, jsonlines.CauseError: scheduler.OutcomeErrored,
	jsonlines.CauseNotSent: scheduler.OutcomeNotSent, jsonlines.CauseNormal: scheduler.OutcomeFinished}

// fate is what became of a container that stood, by the cause of its end.
func fate(cause int) scheduler.Outcome {
	switch cause {
	case jsonlines.CauseNormal:
		return scheduler.OutcomeFinished
	case jsonlines.CauseCancelled:
		return scheduler.OutcomeStopped
	}
	return scheduler.OutcomeLost
}

var reasons = map[string]scheduler.Reason{"cpu_full": scheduler.ReasonNoCores, "mem_full": scheduler.ReasonNoMemory, "busy": scheduler.ReasonQueueTooLong,
	"wrong_host": scheduler.ReasonWrongMachine, "oom": scheduler.ReasonOutOfMemory, "preempted": scheduler.ReasonPreempted, "drained": scheduler.ReasonDrained}

var sorts = map[string]scheduler.UsageMetric{"up": scheduler.MetricRunning, "cpu": scheduler.MetricCoresUsed, "mem": scheduler.MetricMemoryUsed,
	"share": scheduler.MetricServedShare, "tight": scheduler.MetricMachineMemory}

func (l *link) line(line []byte) error {
	msg, err := jsonlines.Decode(line)
	if err != nil {
		return err
	}
	m, p := l.m, l.m.p
	p.show("of machine", string(m.id), msg)
	b := m.bids[scheduler.ContainerID(msg.RequestID)]
	switch msg.Op {
	case jsonlines.OpAccept:
		if b != nil && !b.stands && b.link == l {
			return p.accepted(b, msg)
		}
	case jsonlines.OpEnd:
		if b == nil {
			p.notice(failuredetector.UnclaimedTermination{Machine: string(m.id), RequestID: msg.RequestID, Cause: msg.CauseOrNone()})
		}
		if b == nil || !b.stands && b.link != l {
			return nil
		}
		e := scheduler.AttemptEnded{Reason: reasons[msg.Fields["note"]], Report: report(msg.Fields["load"]), Outcome: scheduler.OutcomeLost}
		if b.stands {
			e.Outcome = fate(msg.CauseOrNone())
			p.released(b, msg.CauseOrNone(), e)
			return nil
		}
		if o, ok := outcomes[msg.CauseOrNone()]; ok {
			e.Outcome = o
		}
		if e.Outcome == scheduler.OutcomeLost && e.Reason >= scheduler.ReasonOutOfMemory {
			p.endedUnheard(b, e)
		} else {
			p.over(b, e)
		}
	case jsonlines.OpInfo:
		if v, err := strconv.ParseFloat(msg.Fields["value"], 64); err == nil && b != nil && b.sent && sorts[msg.Fields["note"]] != 0 {
			p.feed(scheduler.UsageReported{ID: b.c.ask.ID, Machine: m.id, Attempt: b.nth, Metric: sorts[msg.Fields["note"]], Value: v})
		}
	case jsonlines.OpTested:
		if q := l.probes[msg.RequestID]; q != nil {
			outcome := scheduler.OutcomeErrored
			if msg.CauseOrNone() == jsonlines.CauseTestPassed {
				outcome = scheduler.OutcomeFinished
			}
			p.probed(q, outcome, report(msg.Fields["load"]))
		}
	}
	return nil
}

// endedUnheard ends a container that stood at a machine whose yes is late or lost: only what stood is evicted, pushed out or
// sent away with such a release. Its owner is owed that end; a further bid would go on with what the machine and the
// platform count as over.
func (p *Platform) endedUnheard(b *bid, e scheduler.AttemptEnded) {
	e.Final = true
	p.over(b, e)
	p.answer(b.c.ask.ID, &jsonlines.Message{Op: jsonlines.OpEnd, Cause: jsonlines.CausePtr(jsonlines.CauseTemporaryFailure)})
}

// accepted passes a machine's yes to the owner.
func (p *Platform) accepted(b *bid, msg *jsonlines.Message) error {
	c := b.c
	if len(msg.Description) == 0 {
		return errors.New("a yes without a description")
	}
	if b.at.state == scheduler.MachineGone { // said before it went: nothing is taken to stand at a machine that is gone
		p.callOff(b)
		p.over(b, scheduler.AttemptEnded{Outcome: scheduler.OutcomeLost})
		return nil
	}
	p.loop.Cancel(b.timer)
	delete(b.link.bids, c.ask.ID)
	b.stands = true
	b.link.stands++
	b.at.stand(1)
	p.feed(scheduler.AttemptAccepted{ID: c.ask.ID, Attempt: b.nth, Machine: b.at.id, Elapsed: scheduler.Time(p.loop.Now() - b.sentAt)})
	p.answer(c.ask.ID, &jsonlines.Message{Op: jsonlines.OpAccept, Description: msg.Description})
	return nil
}

func report(s string) scheduler.LoadReport {
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

func (p *Platform) probe(id scheduler.MachineID) {
	m := p.machine(id)
	if m.addr == "" {
		p.feed(scheduler.ProbeCompleted{Machine: id, Outcome: scheduler.OutcomeNotSent})
		return
	}
	l := m.take()
	if l == nil {
		p.feed(scheduler.ProbeCompleted{Machine: id, Outcome: scheduler.OutcomeNotSent})
		return
	}
	p.lastProbe++
	q := &probing{call: fmt.Sprintf("%016x", p.lastProbe), link: l, sentAt: p.loop.Now()}
	l.probes[q.call] = q
	q.timer = p.loop.After(probeWithin, func() { p.probed(q, scheduler.OutcomeTimedOut, nil) })
	l.when(func() {
		l.write(&jsonlines.Message{Op: jsonlines.OpTest, RequestID: q.call, Cause: jsonlines.CausePtr(jsonlines.CauseTestPassed)})
	})
}

func (p *Platform) probed(q *probing, o scheduler.Outcome, r scheduler.LoadReport) {
	if q.link.probes[q.call] != q {
		return
	}
	delete(q.link.probes, q.call)
	p.loop.Cancel(q.timer)
	p.feed(scheduler.ProbeCompleted{Machine: q.link.m.id, Outcome: o, Elapsed: scheduler.Time(p.loop.Now() - q.sentAt), Report: r})
}

// house closes links before the machine does, and keeps one where something stands: its end is told there. Where one broke,
// a new one is opened, as an end that was on its way is told again on that.
func (m *machine) house(now eventloop.Tick) {
	for i, l := range m.kept() {
		if l.idle() && !l.state(now, i == 0).ShouldKeep() {
			l.leave()
		}
	}
	if m.standing == 0 || m.addr == "" || m.state == scheduler.MachineGone {
		m.broke = false
	} else if m.broke || len(m.kept()) == 0 && !m.p.short() {
		m.broke = m.reach() == nil
	}
}
