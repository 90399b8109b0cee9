// Package modelcheck plays every sequence of a few events against the schedulers of a tiny fleet, and checks the five
// rules after each event. Only tests use it. The checker sees only the events that schedulers are given and the actions
// that they return, never their fields, and keeps its own state.
package modelcheck

import (
	"fmt"

	"glenport/internal/testbed/audit"
	"glenport/scheduler"
)

// Checker checks the rules on all schedulers of a fleet through one sequence of events.
type Checker struct {
	// Violations lists the violations in order. Each begins with "rule N: ", or with "placement: " for an offer to a
	// machine to which the container was offered before.
	Violations []string

	config          scheduler.Config
	drainGrace      scheduler.Time // how long offers to a machine are allowed after it is known to be draining or gone
	incarnations    []*incarnation // by scheduler index
	attemptsChecked int
}

// incarnation is the state of one incarnation of a scheduler, reconstructed from its events and actions.
type incarnation struct {
	containers map[scheduler.ContainerID]*container
	machines   map[scheduler.MachineID]*machine
	sent       map[scheduler.MachineID][]recordedSend // offers and probes of all incarnations of the scheduler
}

type container struct {
	request  scheduler.PlacementRequest
	attempts []*attempt
	replied  bool
	closed   bool // no further reply or attempt is due
	running  bool
}

type attempt struct {
	machine         scheduler.MachineID
	sentAt          scheduler.Time
	outstanding     bool
	mayRun          bool
	zone            int
	rackGroup       int
	locationUnknown bool // no machine list has named its machine, so its zone and rack group are unknown
}

type machine struct {
	scheduler.MachineEntry
	unavailableSince scheduler.Time // when the scheduler learned that the machine is draining or gone; 0: available
}

// recordedSend is an offer or a probe that a scheduler sent to a machine.
type recordedSend struct {
	at            scheduler.Time
	knewSlowStart bool // the scheduler knew that the machine was in slow start
}

// NewChecker returns a checker for schedulers whose configurations differ only in the index.
func NewChecker(config scheduler.Config, schedulers int, drainGrace scheduler.Time) *Checker {
	c := &Checker{config: config, drainGrace: drainGrace}
	for range schedulers {
		c.incarnations = append(c.incarnations, newIncarnation())
	}
	return c
}

func newIncarnation() *incarnation {
	return &incarnation{
		containers: map[scheduler.ContainerID]*container{},
		machines:   map[scheduler.MachineID]*machine{},
		sent:       map[scheduler.MachineID][]recordedSend{},
	}
}

// ObserveRestart begins the next incarnation of a scheduler. No replies are due to the open requests of the previous
// incarnation: their clients handle the restart.
func (c *Checker) ObserveRestart(index int) {
	sent := c.incarnations[index].sent
	c.incarnations[index] = newIncarnation()
	c.incarnations[index].sent = sent
}

func (c *Checker) violate(rule audit.Rule, format string, arguments ...any) {
	c.Violations = append(c.Violations, fmt.Sprintf("rule %d: ", rule)+fmt.Sprintf(format, arguments...))
}

// ObserveEvent updates the state by an event that a scheduler is given.
func (c *Checker) ObserveEvent(index int, now scheduler.Time, event scheduler.Event) {
	in := c.incarnations[index]
	switch event := event.(type) {
	case scheduler.MachineListUpdate:
		in.applyUpdate(now, event)
	case scheduler.RequestReceived:
		in.containers[event.ID] = &container{request: event.PlacementRequest}
	case scheduler.ContainerAdopted:
		in.adopt(event)
	case scheduler.AttemptAccepted:
		if container := in.containers[event.ID]; container != nil {
			container.replied, container.running = true, true
		}
	case scheduler.AttemptEnded:
		if container := in.containers[event.ID]; container != nil {
			container.attemptEnded(event)
		}
	case scheduler.ContainerRemoved:
		if container := in.containers[event.ID]; container != nil {
			container.replied, container.closed = true, true
		}
	}
}

func (in *incarnation) adopt(event scheduler.ContainerAdopted) {
	running := &attempt{machine: event.Machine, outstanding: true, mayRun: true}
	running.setLocation(in.machines[event.Machine])
	in.containers[event.ID] = &container{
		request: event.PlacementRequest, attempts: []*attempt{running},
		replied: true, closed: true, running: true,
	}
}

func (c *container) attemptEnded(event scheduler.AttemptEnded) {
	c.running = false
	for _, attempt := range c.attempts {
		if attempt.outstanding {
			attempt.outstanding = false
			attempt.mayRun = !neverRan(event.Outcome)
		}
	}
	if event.Final {
		c.replied, c.closed = true, true
	} else if !c.closed {
		c.replied = false // an accept that crossed the cancel of its attempt does not count as the reply
	}
}

func neverRan(outcome scheduler.Outcome) bool {
	return outcome == scheduler.OutcomeFull || outcome == scheduler.OutcomeConnectFailed ||
		outcome == scheduler.OutcomeNotSent
}

func (in *incarnation) applyUpdate(now scheduler.Time, update scheduler.MachineListUpdate) {
	if update.Mode == scheduler.UpdateFailed {
		return
	}
	listed := map[scheduler.MachineID]bool{}
	for _, entry := range update.Entries {
		listed[entry.Machine] = true
		in.applyEntry(now, entry)
	}
	if update.Mode != scheduler.DeltaUpdate {
		for id, m := range in.machines {
			if !listed[id] && m.unavailableSince == 0 {
				m.State, m.unavailableSince = scheduler.MachineGone, max(1, now)
			}
		}
	}
	for _, container := range in.containers {
		for _, attempt := range container.attempts {
			if listed[attempt.machine] {
				attempt.setLocation(in.machines[attempt.machine])
			}
		}
	}
}

func (in *incarnation) applyEntry(now scheduler.Time, entry scheduler.MachineEntry) {
	m := in.machines[entry.Machine]
	if m == nil {
		m = &machine{}
		in.machines[entry.Machine] = m
	}
	if entry.State == scheduler.MachineServing {
		m.unavailableSince = 0
	} else if m.unavailableSince == 0 {
		m.unavailableSince = max(1, now)
	}
	m.MachineEntry = entry
}

func (a *attempt) setLocation(m *machine) {
	a.locationUnknown = m == nil
	if m != nil {
		a.zone, a.rackGroup = m.Zone, m.RackGroup
	}
}

// sharesScope reports whether two attempts went to machines in one scope. It also returns true if they may have,
// because a location is unknown.
func (a *attempt) sharesScope(other *attempt, scope scheduler.Scope) bool {
	unknown := a.locationUnknown || other.locationUnknown
	switch scope {
	case scheduler.ScopeFleet:
		return true
	case scheduler.ScopeZone:
		return unknown || a.zone == other.zone
	case scheduler.ScopeRackGroup:
		return unknown || a.rackGroup == other.rackGroup
	case scheduler.ScopeNone, scheduler.ScopeMachine:
	}
	return a.machine == other.machine
}
