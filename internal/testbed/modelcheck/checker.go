// Package modelcheck tries every order of a few events on a tiny fleet, and judges the five rules after each of them. Only
// tests use it. The judge sees what goes into placers and what comes out, never their fields, and keeps its own count.
package modelcheck

import (
	"fmt"

	"glenport/scheduler"
)

// Checker follows all placers of a fleet. Each table holds the containers, bids and machines of one order.
type Checker struct {
	config          scheduler.Config
	drainGrace      scheduler.Time // in which bids may still go to a machine that is heard to drain
	incarnations    []*incarnation
	Violations      []string
	attemptsChecked int
}

// incarnation is one life of a placer.
type incarnation struct {
	containers map[scheduler.ContainerID]*container
	machines   map[scheduler.MachineID]*machine
	sent       map[scheduler.MachineID][]recordedSend // what it sent in all its lives
}

type container struct {
	request  scheduler.PlacementRequest
	attempts []*attempt
	answered bool
	settled  bool // nothing is owed any more
	running  bool
}

type attempt struct {
	machine     scheduler.MachineID
	sentAt      scheduler.Time
	outstanding bool
	mayRun      bool
	zone        int
	rackGroup   int
	unlisted    bool
}

type machine struct {
	scheduler.MachineEntry
	listed           bool
	unavailableSince scheduler.Time // since when it is heard to drain or to be gone
	startSeenAt      scheduler.Time // when its present start was heard of
}

type recordedSend struct {
	at            scheduler.Time
	knewSlowStart bool
}

// NewChecker is for placers of the same terms, but for their number.
func NewChecker(t scheduler.Config, placers int, grace scheduler.Time) *Checker {
	j := &Checker{config: t, drainGrace: grace}
	for range placers {
		j.incarnations = append(j.incarnations, newIncarnation())
	}
	return j
}

func newIncarnation() *incarnation {
	return &incarnation{containers: map[scheduler.ContainerID]*container{}, machines: map[scheduler.MachineID]*machine{},
		sent: map[scheduler.MachineID][]recordedSend{}}
}

// Restarted begins another life of a placer; owners handle what it had open.
func (j *Checker) Restarted(who int) {
	ran := j.incarnations[who].sent
	j.incarnations[who] = newIncarnation()
	j.incarnations[who].sent = ran
}

func (j *Checker) violate(rule int, format string, a ...any) {
	j.Violations = append(j.Violations, fmt.Sprintf("rule %d: ", rule)+fmt.Sprintf(format, a...))
}

// ObserveEvent takes an event that a placer is given.
func (j *Checker) ObserveEvent(who int, now scheduler.Time, e scheduler.Event) {
	l := j.incarnations[who]
	switch e := e.(type) {
	case scheduler.MachineListUpdate:
		l.applyUpdate(now, e)
	case scheduler.RequestReceived:
		l.containers[e.ID] = &container{request: e.PlacementRequest}
	case scheduler.ContainerAdopted:
		c := &container{request: e.PlacementRequest, answered: true, settled: true, running: true}
		b := &attempt{machine: e.Machine, outstanding: true, mayRun: true}
		b.setLocation(l.machines[e.Machine])
		c.attempts = []*attempt{b}
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
		for _, b := range c.attempts {
			if b.outstanding {
				b.outstanding = false
				b.mayRun = e.Outcome != scheduler.OutcomeFull && e.Outcome != scheduler.OutcomeConnectFailed && e.Outcome != scheduler.OutcomeNotSent
			}
		}
		if e.Final {
			c.answered, c.settled = true, true
		} else if !c.settled {
			c.answered = false // a yes that crossed a withdrawal answers nothing
		}
	case scheduler.ContainerRemoved:
		if c := l.containers[e.ID]; c != nil {
			c.answered, c.settled = true, true
		}
	}
}

func (l *incarnation) applyUpdate(now scheduler.Time, e scheduler.MachineListUpdate) {
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
		if !m.listed || m.StartedAt != n.StartedAt {
			m.startSeenAt = now
		}
		if n.State == scheduler.MachineServing {
			m.unavailableSince = 0
		} else if m.unavailableSince == 0 {
			m.unavailableSince = max(1, now)
		}
		m.MachineEntry, m.listed = n, true
	}
	for id, m := range l.machines {
		if e.Mode != scheduler.DeltaUpdate && !named[id] && m.unavailableSince == 0 {
			m.State, m.unavailableSince = scheduler.MachineGone, max(1, now)
		}
	}
	for _, c := range l.containers {
		for _, b := range c.attempts {
			if named[b.machine] {
				b.setLocation(l.machines[b.machine])
			}
		}
	}
}

func (b *attempt) setLocation(m *machine) {
	if b.unlisted = m == nil; m != nil {
		b.zone, b.rackGroup = m.Zone, m.RackGroup
	}
}

func (b *attempt) sharesScope(o *attempt, p scheduler.Scope) bool {
	switch p {
	case scheduler.ScopeFleet:
		return true
	case scheduler.ScopeZone:
		return b.unlisted || o.unlisted || b.zone == o.zone
	case scheduler.ScopeRackGroup:
		return b.unlisted || o.unlisted || b.rackGroup == o.rackGroup
	}
	return b.machine == o.machine
}

// ObserveAction takes an action of a placer.
func (j *Checker) ObserveAction(who int, now scheduler.Time, a scheduler.Action) {
	l := j.incarnations[who]
	switch a := a.(type) {
	case scheduler.StartAttempt:
		j.checkAttempt(l, now, a)
	case scheduler.Probe:
		j.checkSlowStart(l, a.Machine, now)
	case scheduler.Reject:
		j.checkReply(l, a.ID, true)
	case scheduler.Fail:
		j.checkReply(l, a.ID, false)
	}
}

func (j *Checker) checkReply(l *incarnation, id scheduler.ContainerID, promises bool) {
	c := l.containers[id]
	if c == nil || c.answered {
		j.violate(1, "%s is answered and owes no answer", id)
		return
	}
	c.answered, c.settled = true, true
	w := j.config.WorkloadClasses[c.request.WorkloadClass]
	for _, b := range c.attempts {
		safe := w.Idempotency == scheduler.Idempotent || w.Idempotency == scheduler.IdempotentWithKey && w.DedupScope == scheduler.ScopeFleet
		if promises && !safe && (b.outstanding || b.mayRun) {
			j.violate(2, "%s is pushed back, and may run on %s", id, b.machine)
		}
	}
}

func (j *Checker) checkAttempt(l *incarnation, now scheduler.Time, a scheduler.StartAttempt) {
	c, m := l.containers[a.ID], l.machines[a.Machine]
	if c == nil || c.answered || c.settled {
		j.violate(1, "%s is bid to %s, and is closed", a.ID, a.Machine)
		return
	}
	if m == nil {
		j.violate(3, "%s is bid to %s, which no list has named", a.ID, a.Machine)
		return
	}
	j.attemptsChecked++
	if m.unavailableSince > 0 && now > m.unavailableSince+j.drainGrace {
		j.violate(3, "%s is bid to %s, heard %d ms ago to drain or to be gone", a.ID, a.Machine, (now-m.unavailableSince)/scheduler.Millisecond)
	}
	w := j.config.WorkloadClasses[c.request.WorkloadClass]
	n := &attempt{machine: a.Machine, sentAt: now, outstanding: true}
	n.setLocation(m)
	var first *attempt
	for _, b := range c.attempts {
		if b.machine == a.Machine {
			j.Violations = append(j.Violations, fmt.Sprintf("draw: %s is bid to %s again, which left its draw", a.ID, a.Machine))
		}
		if b.outstanding {
			j.violate(2, "%s is bid to %s while its bid to %s is out", a.ID, a.Machine, b.machine)
		}
		if b.mayRun && first == nil {
			first = b
		}
	}
	switch {
	case first == nil || w.Idempotency == scheduler.Idempotent:
	case w.Idempotency == scheduler.AtMostOnce:
		j.violate(2, "%s is bid to %s, and may have run on %s", a.ID, a.Machine, first.machine)
	case !n.sharesScope(first, w.DedupScope) || now >= first.sentAt+w.DedupWindow:
		j.violate(2, "%s is bid to %s, outside the group or window of %s", a.ID, a.Machine, first.machine)
	}
	c.attempts = append(c.attempts, n)
	j.checkSlowStart(l, a.Machine, now)
	if w.SpreadScope != scheduler.ScopeNone {
		held := 0
		for _, o := range l.containers {
			for _, b := range o.attempts {
				if o.request.Service == c.request.Service && b.outstanding && b.sharesScope(n, w.SpreadScope) {
					held++
				}
			}
		}
		if held > w.MaxPerScope {
			j.violate(5, "%s is bid to %s: %d of %s there, %d may be", a.ID, a.Machine, held, c.request.Service, w.MaxPerScope)
		}
	}
}

// checkSlowStart counts a send, and judges it by what its sender knows: it answers for all that it sent since the start that it has
// heard of, and the others for what they sent since they heard.
func (j *Checker) checkSlowStart(l *incarnation, id scheduler.MachineID, now scheduler.Time) {
	m := l.machines[id]
	knows := m != nil && m.StartedAt > 0 && now < m.StartedAt+j.config.SlowStartPeriod
	l.sent[id] = append(l.sent[id], recordedSend{now, knows})
	if !knows {
		return
	}
	n := 0
	for _, o := range j.incarnations {
		for _, s := range o.sent[id] {
			if s.at > now-j.config.SlowStartWindow && s.at >= m.StartedAt && (s.knewSlowStart || o == l) {
				n++
			}
		}
	}
	if n > j.config.SlowStartBudget {
		j.violate(4, "cold %s gets %d in a window, and bears %d", id, n, j.config.SlowStartBudget)
	}
}

// CheckDeadlines judges what time alone breaks: answers that are owed.
func (j *Checker) CheckDeadlines(now scheduler.Time) {
	for _, l := range j.incarnations {
		for id, c := range l.containers {
			if !c.answered && now > c.request.Deadline+j.config.AnswerGrace {
				j.violate(1, "%s has no answer %d ms after its hard stop", id, (now-c.request.Deadline)/scheduler.Millisecond)
				c.answered = true
			}
		}
	}
}
