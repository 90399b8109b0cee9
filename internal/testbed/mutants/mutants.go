// Package mutants wraps the decisions of a scheduler or of a route announcer so that they break a rule on purpose. They
// test the checks: a check that does not report the mutant is worthless. Only the test bed uses this package.
package mutants

import (
	"fmt"
	"slices"

	"glenport/internal/schedulerd"
	"glenport/internal/testbed/audit"
	"glenport/scheduler"
)

const (
	lostRequestInterval = 25 // one request in this many gets no reply
	prematureTimeout    = 5 * scheduler.Millisecond
)

// UnknownRuleError reports that there is no rule with a given number.
type UnknownRuleError struct{ Rule int }

func (e *UnknownRuleError) Error() string {
	return fmt.Sprintf("rules are numbered from 1 to %d; there is no rule %d", audit.LastRule, e.Rule)
}

// Mutant sits between the process of a scheduler and its decisions, and breaks one rule.
type Mutant struct {
	schedulerd.Scheduler
	rule       audit.Rule
	config     scheduler.Config
	requests   int
	machines   map[scheduler.MachineID]scheduler.MachineEntry
	atMostOnce map[scheduler.ContainerID]bool // open requests of at-most-once containers
	duplicated map[scheduler.ContainerID]bool // open requests of which a second copy has been started
}

// New returns a mutant that breaks the rule with a given number. The error is an *UnknownRuleError.
func New(rule int, config scheduler.Config, decisions schedulerd.Scheduler) (*Mutant, error) {
	brokenRule := audit.Rule(rule)
	if brokenRule < audit.RuleFinalReply || brokenRule > audit.LastRule {
		return nil, &UnknownRuleError{Rule: rule}
	}
	return &Mutant{
		Scheduler:  decisions,
		rule:       brokenRule,
		config:     config,
		machines:   map[scheduler.MachineID]scheduler.MachineEntry{},
		atMostOnce: map[scheduler.ContainerID]bool{},
		duplicated: map[scheduler.ContainerID]bool{},
	}, nil
}

// Handle passes events to the decisions and returns their actions, changed so that the rule is broken: it may drop
// requests, redirect attempts to other machines and start attempts of its own.
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
			if m.dropRequest(event) {
				continue
			}
		case scheduler.AttemptEnded:
			if duplicate, ok := m.startDuplicate(event); ok {
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

// dropRequest counts a request and reports whether it is withheld from the decisions.
func (m *Mutant) dropRequest(request scheduler.RequestReceived) bool {
	m.requests++
	if m.rule == audit.RuleFinalReply && m.requests%lostRequestInterval == 0 {
		return true
	}
	if m.idempotency(request.WorkloadClass) == scheduler.AtMostOnce {
		m.atMostOnce[request.ID] = true
	}
	return false
}

// startDuplicate returns an attempt that starts a second copy of a container that may have run and must not run again.
// It returns false if the rule or the outcome does not require a second copy.
func (m *Mutant) startDuplicate(ended scheduler.AttemptEnded) (scheduler.StartAttempt, bool) {
	id := ended.ID
	mustNotRunAgain := m.atMostOnce[id] && !ended.Final && mayHaveRun(ended.Outcome)
	if m.rule == audit.RuleDuplicateRun && mustNotRunAgain && !m.duplicated[id] {
		if machine, ok := m.firstMachine(ended.Machine, anyMachine); ok {
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

// mutate changes an attempt so that it breaks the rule, if there is a suitable machine.
func (m *Mutant) mutate(now scheduler.Time, attempt scheduler.StartAttempt) scheduler.StartAttempt {
	switch m.rule {
	case audit.RuleDuplicateRun:
		if m.atMostOnce[attempt.ID] && !m.duplicated[attempt.ID] {
			attempt.Timeout = prematureTimeout // expires before any machine accepts
		}
	case audit.RuleDraining:
		// Rotates over the draining machines: an offer to an unreachable machine waits for a connection and is never
		// sent.
		if draining := m.matchingMachines("", isDraining); len(draining) > 0 {
			attempt.Machine = draining[m.requests%len(draining)]
		}
	case audit.RuleSlowStart:
		inSlowStart := func(e scheduler.MachineEntry) bool {
			return isServing(e) && e.StartedAt > 0 && now < e.StartedAt+m.config.SlowStartPeriod
		}
		if machine, ok := m.firstMachine("", inSlowStart); ok {
			attempt.Machine = machine
		}
	case audit.RuleSpread:
		if machine, ok := m.firstMachine("", isServing); ok {
			attempt.Machine = machine
		}
	case audit.RuleFinalReply: // broken by dropRequest
	}
	return attempt
}

func isServing(entry scheduler.MachineEntry) bool { return entry.State == scheduler.MachineServing }

func isDraining(entry scheduler.MachineEntry) bool { return entry.State == scheduler.MachineDraining }

func anyMachine(scheduler.MachineEntry) bool { return true }

func (m *Mutant) idempotency(workload int) scheduler.Idempotency {
	if workload < len(m.config.WorkloadClasses) {
		return m.config.WorkloadClasses[workload].Idempotency
	}
	return scheduler.Idempotent
}

// firstMachine returns the first machine by name that matches and is not the excluded one.
func (m *Mutant) firstMachine(
	excluded scheduler.MachineID,
	matches func(scheduler.MachineEntry) bool,
) (scheduler.MachineID, bool) {
	all := m.matchingMachines(excluded, matches)
	if len(all) == 0 {
		return "", false
	}
	return all[0], true
}

func (m *Mutant) matchingMachines(
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
