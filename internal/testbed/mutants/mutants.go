// Package mutants breaks one of the five rules on purpose, so that an audit can prove that it sees it. Only
// the laboratory uses it.
package mutants

import (
	"fmt"
	"sort"

	"glenport/internal/schedulerd"
	"glenport/scheduler"
)

// Breaker stands between a host and the decisions and breaks one rule.
type Breaker struct {
	schedulerd.Scheduler
	rule     int
	terms    scheduler.Config
	asks     int
	machines map[scheduler.MachineID]scheduler.MachineEntry
	open     map[scheduler.ContainerID]scheduler.PlacementRequest // at-most-once, until their end
	again    map[scheduler.ContainerID]bool
}

// New breaks the rule of that number.
func New(rule int, t scheduler.Config, d schedulerd.Scheduler) (*Breaker, error) {
	if rule < 1 || rule > 5 {
		return nil, fmt.Errorf("there are rules 1 to 5, no rule %d", rule)
	}
	return &Breaker{Scheduler: d, rule: rule, terms: t, machines: map[scheduler.MachineID]scheduler.MachineEntry{},
		open: map[scheduler.ContainerID]scheduler.PlacementRequest{}, again: map[scheduler.ContainerID]bool{}}, nil
}

func (b *Breaker) Handle(now scheduler.Time, events []scheduler.Event) []scheduler.Action {
	var extra []scheduler.Action
	kept := events[:0]
	for _, e := range events {
		switch e := e.(type) {
		case scheduler.MachineListUpdate:
			for _, m := range e.Entries {
				b.machines[m.Machine] = m
			}
		case scheduler.RequestReceived:
			if b.asks++; b.rule == 1 && b.asks%25 == 0 {
				continue // nobody will ever answer it
			}
			if b.effect(e.WorkloadClass) == scheduler.AtMostOnce {
				b.open[e.ID] = e.PlacementRequest
			}
		case scheduler.AttemptEnded:
			_, open := b.open[e.ID]
			mayHaveRun := e.Outcome == scheduler.OutcomeTimedOut || e.Outcome == scheduler.OutcomeLost || e.Outcome == scheduler.OutcomeErrored
			if b.rule == 2 && open && !e.Final && mayHaveRun && !b.again[e.ID] {
				if m, ok := b.other(e.Machine, func(scheduler.MachineEntry) bool { return true }); ok {
					b.again[e.ID] = true
					extra = append(extra, scheduler.StartAttempt{ID: e.ID, Machine: m})
					continue
				}
			}
			if e.Final {
				delete(b.open, e.ID)
				delete(b.again, e.ID)
			}
		}
		kept = append(kept, e)
	}
	actions := append(b.Scheduler.Handle(now, kept), extra...)
	for i, a := range actions {
		bid, ok := a.(scheduler.StartAttempt)
		if !ok {
			continue
		}
		to, found := bid.Machine, false
		switch b.rule {
		case 2:
			if _, open := b.open[bid.ID]; open && !b.again[bid.ID] {
				bid.Timeout = 5 * scheduler.Millisecond // no yes comes so soon
			}
		case 3:
			// Each in turn: what waits for the link of one that cannot be reached the host does not send.
			if all := b.fitting("", func(m scheduler.MachineEntry) bool { return m.State == scheduler.MachineDraining }); len(all) > 0 {
				to, found = all[b.asks%len(all)], true
			}
		case 4:
			to, found = b.other("", func(m scheduler.MachineEntry) bool {
				return m.State == scheduler.MachineServing && m.StartedAt > 0 && now < m.StartedAt+b.terms.SlowStartPeriod
			})
		case 5:
			to, found = b.other("", func(m scheduler.MachineEntry) bool { return m.State == scheduler.MachineServing })
		}
		if found {
			bid.Machine = to
		}
		actions[i] = bid
	}
	return actions
}

func (b *Breaker) effect(workload int) scheduler.Idempotency {
	if workload < len(b.terms.WorkloadClasses) {
		return b.terms.WorkloadClasses[workload].Idempotency
	}
	return scheduler.Idempotent
}

// other is the first machine, by name, that fits and is not the one given.
func (b *Breaker) other(than scheduler.MachineID, fits func(scheduler.MachineEntry) bool) (scheduler.MachineID, bool) {
	if all := b.fitting(than, fits); len(all) > 0 {
		return all[0], true
	}
	return "", false
}

func (b *Breaker) fitting(than scheduler.MachineID, fits func(scheduler.MachineEntry) bool) []scheduler.MachineID {
	var all []scheduler.MachineID
	for id, m := range b.machines {
		if id != than && fits(m) {
			all = append(all, id)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all
}
