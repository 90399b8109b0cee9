// Package mutants breaks one of the five rules on purpose, so that an audit can prove that it sees it. Only
// the laboratory uses it.
package mutants

import (
	"fmt"
	"sort"

	"glenport/internal/schedulerd"
	"glenport/scheduler"
)

// Mutant stands between a host and the decisions and breaks one rule.
type Mutant struct {
	schedulerd.Scheduler
	rule       int
	config     scheduler.Config
	requests   int
	machines   map[scheduler.MachineID]scheduler.MachineEntry
	atMostOnce map[scheduler.ContainerID]scheduler.PlacementRequest // at-most-once, until their end
	duplicated map[scheduler.ContainerID]bool
}

// New breaks the rule of that number.
func New(rule int, t scheduler.Config, d schedulerd.Scheduler) (*Mutant, error) {
	if rule < 1 || rule > 5 {
		return nil, fmt.Errorf("there are rules 1 to 5, no rule %d", rule)
	}
	return &Mutant{Scheduler: d, rule: rule, config: t, machines: map[scheduler.MachineID]scheduler.MachineEntry{},
		atMostOnce: map[scheduler.ContainerID]scheduler.PlacementRequest{}, duplicated: map[scheduler.ContainerID]bool{}}, nil
}

func (b *Mutant) Handle(now scheduler.Time, events []scheduler.Event) []scheduler.Action {
	var extra []scheduler.Action
	kept := events[:0]
	for _, e := range events {
		switch e := e.(type) {
		case scheduler.MachineListUpdate:
			for _, m := range e.Entries {
				b.machines[m.Machine] = m
			}
		case scheduler.RequestReceived:
			if b.requests++; b.rule == 1 && b.requests%25 == 0 {
				continue // nobody will ever answer it
			}
			if b.idempotency(e.WorkloadClass) == scheduler.AtMostOnce {
				b.atMostOnce[e.ID] = e.PlacementRequest
			}
		case scheduler.AttemptEnded:
			_, open := b.atMostOnce[e.ID]
			mayHaveRun := e.Outcome == scheduler.OutcomeTimedOut || e.Outcome == scheduler.OutcomeLost || e.Outcome == scheduler.OutcomeErrored
			if b.rule == 2 && open && !e.Final && mayHaveRun && !b.duplicated[e.ID] {
				if m, ok := b.firstMatching(e.Machine, func(scheduler.MachineEntry) bool { return true }); ok {
					b.duplicated[e.ID] = true
					extra = append(extra, scheduler.StartAttempt{ID: e.ID, Machine: m})
					continue
				}
			}
			if e.Final {
				delete(b.atMostOnce, e.ID)
				delete(b.duplicated, e.ID)
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
			if _, open := b.atMostOnce[bid.ID]; open && !b.duplicated[bid.ID] {
				bid.Timeout = 5 * scheduler.Millisecond // no yes comes so soon
			}
		case 3:
			// Each in turn: what waits for the link of one that cannot be reached the host does not send.
			if all := b.matching("", func(m scheduler.MachineEntry) bool { return m.State == scheduler.MachineDraining }); len(all) > 0 {
				to, found = all[b.requests%len(all)], true
			}
		case 4:
			to, found = b.firstMatching("", func(m scheduler.MachineEntry) bool {
				return m.State == scheduler.MachineServing && m.StartedAt > 0 && now < m.StartedAt+b.config.SlowStartPeriod
			})
		case 5:
			to, found = b.firstMatching("", func(m scheduler.MachineEntry) bool { return m.State == scheduler.MachineServing })
		}
		if found {
			bid.Machine = to
		}
		actions[i] = bid
	}
	return actions
}

func (b *Mutant) idempotency(workload int) scheduler.Idempotency {
	if workload < len(b.config.WorkloadClasses) {
		return b.config.WorkloadClasses[workload].Idempotency
	}
	return scheduler.Idempotent
}

// firstMatching is the first machine, by name, that fits and is not the one given.
func (b *Mutant) firstMatching(than scheduler.MachineID, fits func(scheduler.MachineEntry) bool) (scheduler.MachineID, bool) {
	if all := b.matching(than, fits); len(all) > 0 {
		return all[0], true
	}
	return "", false
}

func (b *Mutant) matching(than scheduler.MachineID, fits func(scheduler.MachineEntry) bool) []scheduler.MachineID {
	var all []scheduler.MachineID
	for id, m := range b.machines {
		if id != than && fits(m) {
			all = append(all, id)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all
}
