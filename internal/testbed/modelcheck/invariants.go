// Package modelcheck tries every order of a few events on a tiny fleet, and judges the five rules after each of them. Only
// tests use it. The judge sees what goes into placers and what comes out, never their fields, and keeps its own count.
package modelcheck

import (
	"fmt"

	"glenport/scheduler"
)

// Judge follows all placers of a fleet. Each table holds the containers, bids and machines of one order.
type Judge struct {
	terms   scheduler.Config
	grace   scheduler.Time // in which bids may still go to a machine that is heard to drain
	lives   []*life
	Breaks  []string
	checked int
}

// life is one life of a placer.
type life struct {
	containers map[scheduler.ContainerID]*container
	machines   map[scheduler.MachineID]*machine
	ran        map[scheduler.MachineID][]send // what it sent in all its lives
}

type container struct {
	ask      scheduler.PlacementRequest
	bids     []*bid
	answered bool
	closed   bool // nothing is owed any more
	running  bool
}

type bid struct {
	to      scheduler.MachineID
	at      scheduler.Time
	out     bool
	mayRun  bool
	zone    int
	cell    int
	unnamed bool
}

type machine struct {
	scheduler.MachineEntry
	named bool
	shut  scheduler.Time // since when it is heard to drain or to be gone
	heard scheduler.Time // when its present start was heard of
}

type send struct {
	at       scheduler.Time
	informed bool
}

// NewJudge is for placers of the same terms, but for their number.
func NewJudge(t scheduler.Config, placers int, grace scheduler.Time) *Judge {
	j := &Judge{terms: t, grace: grace}
	for range placers {
		j.lives = append(j.lives, newLife())
	}
	return j
}

func newLife() *life {
	return &life{containers: map[scheduler.ContainerID]*container{}, machines: map[scheduler.MachineID]*machine{},
		ran: map[scheduler.MachineID][]send{}}
}

// Restarted begins another life of a placer; owners handle what it had open.
func (j *Judge) Restarted(who int) {
	ran := j.lives[who].ran
	j.lives[who] = newLife()
	j.lives[who].ran = ran
}

func (j *Judge) broken(rule int, format string, a ...any) {
	j.Breaks = append(j.Breaks, fmt.Sprintf("rule %d: ", rule)+fmt.Sprintf(format, a...))
}

// In takes an event that a placer is given.
func (j *Judge) In(who int, now scheduler.Time, e scheduler.Event) {
	l := j.lives[who]
	switch e := e.(type) {
	case scheduler.MachineListUpdate:
		l.listed(now, e)
	case scheduler.RequestReceived:
		l.containers[e.ID] = &container{ask: e.PlacementRequest}
	case scheduler.ContainerAdopted:
		c := &container{ask: e.PlacementRequest, answered: true, closed: true, running: true}
		b := &bid{to: e.Machine, out: true, mayRun: true}
		b.stands(l.machines[e.Machine])
		c.bids = []*bid{b}
		l.containers[e.ID] = c
	case scheduler.AttemptAccepted:
		if c := l.containers[e.ID]; c != nil {
			c.answered, c.running = true, true
		}
	case scheduler.AttemptEnded:
		c := l.containers[e.ID]
		if c == nil {
			return
		}
		c.running = false
		for _, b := range c.bids {
			if b.out {
				b.out = false
				b.mayRun = e.Outcome != scheduler.OutcomeFull && e.Outcome != scheduler.OutcomeConnectFailed && e.Outcome != scheduler.OutcomeNotSent
			}
		}
		if e.Final {
			c.answered, c.closed = true, true
		} else if !c.closed {
			c.answered = false // a yes that crossed a withdrawal answers nothing
		}
	case scheduler.ContainerRemoved:
		if c := l.containers[e.ID]; c != nil {
			c.answered, c.closed = true, true
		}
	}
}

func (l *life) listed(now scheduler.Time, e scheduler.MachineListUpdate) {
	if e.Mode == scheduler.UpdateFailed {
		return
	}
	named := map[scheduler.MachineID]bool{}
	for _, n := range e.Entries {
		named[n.Machine] = true
		m := l.machines[n.Machine]
		if m == nil {
			m = &machine{}
			l.machines[n.Machine] = m
		}
		if !m.named || m.StartedAt != n.StartedAt {
			m.heard = now
		}
		if n.State == scheduler.MachineServing {
			m.shut = 0
		} else if m.shut == 0 {
			m.shut = max(1, now)
		}
		m.MachineEntry, m.named = n, true
	}
	for id, m := range l.machines {
		if e.Mode != scheduler.DeltaUpdate && !named[id] && m.shut == 0 {
			m.State, m.shut = scheduler.MachineGone, max(1, now)
		}
	}
	for _, c := range l.containers {
		for _, b := range c.bids {
			if named[b.to] {
				b.stands(l.machines[b.to])
			}
		}
	}
}

func (b *bid) stands(m *machine) {
	if b.unnamed = m == nil; m != nil {
		b.zone, b.cell = m.Zone, m.RackGroup
	}
}

func (b *bid) shares(o *bid, p scheduler.Scope) bool {
	switch p {
	case scheduler.ScopeFleet:
		return true
	case scheduler.ScopeZone:
		return b.unnamed || o.unnamed || b.zone == o.zone
	case scheduler.ScopeRackGroup:
		return b.unnamed || o.unnamed || b.cell == o.cell
	}
	return b.to == o.to
}

// Out takes an action of a placer.
func (j *Judge) Out(who int, now scheduler.Time, a scheduler.Action) {
	l := j.lives[who]
	switch a := a.(type) {
	case scheduler.StartAttempt:
		j.bid(l, now, a)
	case scheduler.Probe:
		j.cold(l, a.Machine, now)
	case scheduler.Reject:
		j.answer(l, a.ID, true)
	case scheduler.Fail:
		j.answer(l, a.ID, false)
	}
}

func (j *Judge) answer(l *life, id scheduler.ContainerID, promises bool) {
	c := l.containers[id]
	if c == nil || c.answered {
		j.broken(1, "%s is answered and owes no answer", id)
		return
	}
	c.answered, c.closed = true, true
	w := j.terms.WorkloadClasses[c.ask.WorkloadClass]
	for _, b := range c.bids {
		safe := w.Idempotency == scheduler.Idempotent || w.Idempotency == scheduler.IdempotentWithKey && w.DedupScope == scheduler.ScopeFleet
		if promises && !safe && (b.out || b.mayRun) {
			j.broken(2, "%s is pushed back, and may run on %s", id, b.to)
		}
	}
}

func (j *Judge) bid(l *life, now scheduler.Time, a scheduler.StartAttempt) {
	c, m := l.containers[a.ID], l.machines[a.Machine]
	if c == nil || c.answered || c.closed {
		j.broken(1, "%s is bid to %s, and is closed", a.ID, a.Machine)
		return
	}
	if m == nil {
		j.broken(3, "%s is bid to %s, which no list has named", a.ID, a.Machine)
		return
	}
	j.checked++
	if m.shut > 0 && now > m.shut+j.grace {
		j.broken(3, "%s is bid to %s, heard %d ms ago to drain or to be gone", a.ID, a.Machine, (now-m.shut)/scheduler.Millisecond)
	}
	w := j.terms.WorkloadClasses[c.ask.WorkloadClass]
	n := &bid{to: a.Machine, at: now, out: true}
	n.stands(m)
	var first *bid
	for _, b := range c.bids {
		if b.to == a.Machine {
			j.Breaks = append(j.Breaks, fmt.Sprintf("draw: %s is bid to %s again, which left its draw", a.ID, a.Machine))
		}
		if b.out {
			j.broken(2, "%s is bid to %s while its bid to %s is out", a.ID, a.Machine, b.to)
		}
		if b.mayRun && first == nil {
			first = b
		}
	}
	switch {
	case first == nil || w.Idempotency == scheduler.Idempotent:
	case w.Idempotency == scheduler.AtMostOnce:
		j.broken(2, "%s is bid to %s, and may have run on %s", a.ID, a.Machine, first.to)
	case !n.shares(first, w.DedupScope) || now >= first.at+w.DedupWindow:
		j.broken(2, "%s is bid to %s, outside the group or window of %s", a.ID, a.Machine, first.to)
	}
	c.bids = append(c.bids, n)
	j.cold(l, a.Machine, now)
	if w.SpreadScope != scheduler.ScopeNone {
		held := 0
		for _, o := range l.containers {
			for _, b := range o.bids {
				if o.ask.Service == c.ask.Service && b.out && b.shares(n, w.SpreadScope) {
					held++
				}
			}
		}
		if held > w.MaxPerScope {
			j.broken(5, "%s is bid to %s: %d of %s there, %d may be", a.ID, a.Machine, held, c.ask.Service, w.MaxPerScope)
		}
	}
}

// cold counts a send, and judges it by what its sender knows: it answers for all that it sent since the start that it has
// heard of, and the others for what they sent since they heard.
func (j *Judge) cold(l *life, id scheduler.MachineID, now scheduler.Time) {
	m := l.machines[id]
	knows := m != nil && m.StartedAt > 0 && now < m.StartedAt+j.terms.SlowStartPeriod
	l.ran[id] = append(l.ran[id], send{now, knows})
	if !knows {
		return
	}
	n := 0
	for _, o := range j.lives {
		for _, s := range o.ran[id] {
			if s.at > now-j.terms.SlowStartWindow && s.at >= m.StartedAt && (s.informed || o == l) {
				n++
			}
		}
	}
	if n > j.terms.SlowStartBudget {
		j.broken(4, "cold %s gets %d in a window, and bears %d", id, n, j.terms.SlowStartBudget)
	}
}

// At judges what time alone breaks: answers that are owed.
func (j *Judge) At(now scheduler.Time) {
	for _, l := range j.lives {
		for id, c := range l.containers {
			if !c.answered && now > c.ask.Deadline+j.terms.AnswerGrace {
				j.broken(1, "%s has no answer %d ms after its hard stop", id, (now-c.ask.Deadline)/scheduler.Millisecond)
				c.answered = true
			}
		}
	}
}
