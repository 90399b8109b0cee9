// Package mutants wraps the decisions of a scheduler or of a route announcer so that they break a rule on purpose: a
// check that does not see the mutant checks nothing. Only the test bed uses it.
package mutants

import (
	"fmt"
	"slices"

	"glenport/internal/schedulerd"
	"glenport/internal/testbed/audit"
	"glenport/scheduler"
)

const (
	lostRequestInterval = 25 // of this many requests one gets no reply
	hastyTimeout        = 5 * scheduler.Millisecond
)

// UnknownRuleError says that there is no rule of a number.
type UnknownRuleError struct{ Rule int }

func (e *UnknownRuleError) Error() string {
	return fmt.Sprintf("there are rules 1 to %d, no rule %d", audit.LastRule, e.Rule)
}

// Mutant stands between a scheduler's process and its decisions and breaks one rule.
type Mutant struct {
	schedulerd.Scheduler
	rule       audit.Rule
	config     scheduler.Config
	requests   int
	machines   map[scheduler.MachineID]scheduler.MachineEntry
	atMostOnce map[scheduler.ContainerID]bool // requests of that idempotency, until their end
	duplicated map[scheduler.ContainerID]bool // those of which a second copy was started
}

// New returns a mutant that breaks the rule of that number. The error is an *UnknownRuleError.
func New(rule int, config scheduler.Config, decisions schedulerd.Scheduler) (*Mutant, error) {
	broken := audit.Rule(rule)
	if broken < audit.RuleFinalReply || broken > audit.LastRule {
		return nil, &UnknownRuleError{Rule: rule}
	}
	return &Mutant{
		Scheduler:  decisions,
		rule:       broken,
		config:     config,
		machines:   map[scheduler.MachineID]scheduler.MachineEntry{},
		atMostOnce: map[scheduler.ContainerID]bool{},
		duplicated: map[scheduler.ContainerID]bool{},
	}, nil
}

// Handle withholds events from the decisions and changes the machines of their attempts, as the broken rule asks for.
func (m *Mutant) Handle(now scheduler.Time, events []scheduler.Event) []scheduler.Action {
	var duplicates []scheduler.Action
	kept := events[:0]
	for _, event := range events {
		switch event := event.(type) {
		case scheduler.MachineListUpdate:
			for _, entry := range event.Entries {
				m.machines[entry.Machine] = entry
			}
		case scheduler.RequestReceived:
			if m.losesRequest(event) {
				continue
			}
		case scheduler.AttemptEnded:
			if duplicate, ok := m.duplicate(event); ok {
				duplicates = append(duplicates, duplicate)
				continue
			}
		}
		kept = append(kept, event)
	}
	actions := append(m.Scheduler.Handle(now, kept), duplicates...)
	for i, action := range actions {
		if attempt, ok := action.(scheduler.StartAttempt); ok {
			actions[i] = m.mutate(now, attempt)
		}
	}
	return actions
}

// losesRequest takes note of a request and reports whether the decisions never hear of it.
func (m *Mutant) losesRequest(request scheduler.RequestReceived) bool {
	m.requests++
	if m.rule == audit.RuleFinalReply && m.requests%lostRequestInterval == 0 {
		return true
	}
	if m.idempotency(request.WorkloadClass) == scheduler.AtMostOnce {
		m.atMostOnce[request.ID] = true
	}
	return false
}

// duplicate starts a second copy of a container that may have run and must not run again.
func (m *Mutant) duplicate(ended scheduler.AttemptEnded) (scheduler.StartAttempt, bool) {
	id := ended.ID
	mustNotRunAgain := m.atMostOnce[id] && !ended.Final && mayHaveRun(ended.Outcome)
	if m.rule == audit.RuleDuplicateRun && mustNotRunAgain && !m.duplicated[id] {
		if machine, ok := m.firstMatching(ended.Machine, isAny); ok {
			m.duplicated[id] = true
			return scheduler.StartAttempt{ID: id, Machine: machine}, true
		}
	}
	if ended.Final {
		delete(m.atMostOnce, id)
		delete(m.duplicated, id)
	}
	return scheduler.StartAttempt{}, false
}

func mayHaveRun(outcome scheduler.Outcome) bool {
	return outcome == scheduler.OutcomeTimedOut || outcome == scheduler.OutcomeLost ||
		outcome == scheduler.OutcomeErrored
}

// mutate changes an attempt so that it breaks the rule, where a machine for that exists.
func (m *Mutant) mutate(now scheduler.Time, attempt scheduler.StartAttempt) scheduler.StartAttempt {
	switch m.rule {
	case audit.RuleDuplicateRun:
		if m.atMostOnce[attempt.ID] && !m.duplicated[attempt.ID] {
			attempt.Timeout = hastyTimeout // no machine accepts so soon
		}
	case audit.RuleDraining:
		// Each in turn: the process does not send what waits for a connection to an unreachable machine.
		if draining := m.matching("", isDraining); len(draining) > 0 {
			attempt.Machine = draining[m.requests%len(draining)]
		}
	case audit.RuleSlowStart:
		inSlowStart := func(e scheduler.MachineEntry) bool {
			return isServing(e) && e.StartedAt > 0 && now < e.StartedAt+m.config.SlowStartPeriod
		}
		if machine, ok := m.firstMatching("", inSlowStart); ok {
			attempt.Machine = machine
		}
	case audit.RuleSpread:
		if machine, ok := m.firstMatching("", isServing); ok {
			attempt.Machine = machine
		}
	case audit.RuleFinalReply: // is broken by losesRequest
	}
	return attempt
}

func isServing(entry scheduler.MachineEntry) bool { return entry.State == scheduler.MachineServing }

func isDraining(entry scheduler.MachineEntry) bool { return entry.State == scheduler.MachineDraining }

func isAny(scheduler.MachineEntry) bool { return true }

func (m *Mutant) idempotency(workload int) scheduler.Idempotency {
	if workload < len(m.config.WorkloadClasses) {
		return m.config.WorkloadClasses[workload].Idempotency
	}
	return scheduler.Idempotent
}

// firstMatching is the first machine by name that matches and is not the excluded one.
func (m *Mutant) firstMatching(
	excluded scheduler.MachineID,
	matches func(scheduler.MachineEntry) bool,
) (scheduler.MachineID, bool) {
	all := m.matching(excluded, matches)
	if len(all) == 0 {
		return "", false
	}
	return all[0], true
}

func (m *Mutant) matching(
	excluded scheduler.MachineID,
	matches func(scheduler.MachineEntry) bool,
) []scheduler.MachineID {
	var all []scheduler.MachineID
	for id, entry := range m.machines {
		if id != excluded && matches(entry) {
			all = append(all, id)
		}
	}
	slices.Sort(all)
	return all
}
