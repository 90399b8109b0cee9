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
	schedulerd.Decider
	rule     int
	terms    scheduler.Terms
	asks     int
	machines map[scheduler.MachineID]scheduler.Entry
	open     map[scheduler.ContainerID]scheduler.Ask // at-most-once, until their end
	again    map[scheduler.ContainerID]bool
}

// New breaks the rule of that number.
func New(rule int, t scheduler.Terms, d schedulerd.Decider) (*Breaker, error) {
	if rule < 1 || rule > 5 {
		return nil, fmt.Errorf("there are rules 1 to 5, no rule %d", rule)
	}
	return &Breaker{Decider: d, rule: rule, terms: t, machines: map[scheduler.MachineID]scheduler.Entry{},
		open: map[scheduler.ContainerID]scheduler.Ask{}, again: map[scheduler.ContainerID]bool{}}, nil
}

func (b *Breaker) Handle(now scheduler.Time, events []scheduler.Event) []scheduler.Action {
	var extra []scheduler.Action
	kept := events[:0]
	for _, e := range events {
		switch e := e.(type) {
		case scheduler.ListCame:
			for _, m := range e.Entries {
				b.machines[m.Machine] = m
			}
		case scheduler.Asked:
			if b.asks++; b.rule == 1 && b.asks%25 == 0 {
				continue // nobody will ever answer it
			}
			if b.effect(e.Workload) == scheduler.AtMostOnce {
				b.open[e.ID] = e.Ask
			}
		case scheduler.Ended:
			_, open := b.open[e.ID]
			mayHaveRun := e.Outcome == scheduler.TimedOut || e.Outcome == scheduler.Reset || e.Outcome == scheduler.Erred
			if b.rule == 2 && open && !e.Over && mayHaveRun && !b.again[e.ID] {
				if m, ok := b.other(e.Machine, func(scheduler.Entry) bool { return true }); ok {
					b.again[e.ID] = true
					extra = append(extra, scheduler.Bid{ID: e.ID, Machine: m})
					continue
				}
			}
			if e.Over {
				delete(b.open, e.ID)
				delete(b.again, e.ID)
			}
		}
		kept = append(kept, e)
	}
	actions := append(b.Decider.Handle(now, kept), extra...)
	for i, a := range actions {
		bid, ok := a.(scheduler.Bid)
		if !ok {
			continue
		}
		to, found := bid.Machine, false
		switch b.rule {
		case 2:
			if _, open := b.open[bid.ID]; open && !b.again[bid.ID] {
				bid.MaxWait = 5 * scheduler.Millisecond // no yes comes so soon
			}
		case 3:
			// Each in turn: what waits for the link of one that cannot be reached the host does not send.
			if all := b.fitting("", func(m scheduler.Entry) bool { return m.State == scheduler.Draining }); len(all) > 0 {
				to, found = all[b.asks%len(all)], true
			}
		case 4:
			to, found = b.other("", func(m scheduler.Entry) bool {
				return m.State == scheduler.Serving && m.StartedAt > 0 && now < m.StartedAt+b.terms.ColdFor
			})
		case 5:
			to, found = b.other("", func(m scheduler.Entry) bool { return m.State == scheduler.Serving })
		}
		if found {
			bid.Machine = to
		}
		actions[i] = bid
	}
	return actions
}

func (b *Breaker) effect(workload int) scheduler.Effect {
	if workload < len(b.terms.Workloads) {
		return b.terms.Workloads[workload].Effect
	}
	return scheduler.Reissuable
}

// other is the first machine, by name, that fits and is not the one given.
func (b *Breaker) other(than scheduler.MachineID, fits func(scheduler.Entry) bool) (scheduler.MachineID, bool) {
	if all := b.fitting(than, fits); len(all) > 0 {
		return all[0], true
	}
	return "", false
}

func (b *Breaker) fitting(than scheduler.MachineID, fits func(scheduler.Entry) bool) []scheduler.MachineID {
	var all []scheduler.MachineID
	for id, m := range b.machines {
		if id != than && fits(m) {
			all = append(all, id)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all
}
