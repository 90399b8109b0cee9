// Package sabotage breaks one of the five rules on purpose, so that an audit can prove that it sees it. Only
// the laboratory uses it.
package sabotage

import (
	"fmt"
	"sort"

	"glenport/internal/host"
	"glenport/placer"
)

// Breaker stands between a host and the decisions and breaks one rule.
type Breaker struct {
	host.Decider
	rule     int
	terms    placer.Terms
	asks     int
	machines map[placer.MachineID]placer.Entry
	open     map[placer.ContainerID]placer.Ask // at-most-once, until their end
	again    map[placer.ContainerID]bool
}

// New breaks the rule of that number.
func New(rule int, t placer.Terms, d host.Decider) (*Breaker, error) {
	if rule < 1 || rule > 5 {
		return nil, fmt.Errorf("there are rules 1 to 5, no rule %d", rule)
	}
	return &Breaker{Decider: d, rule: rule, terms: t, machines: map[placer.MachineID]placer.Entry{},
		open: map[placer.ContainerID]placer.Ask{}, again: map[placer.ContainerID]bool{}}, nil
}

func (b *Breaker) Handle(now placer.Time, events []placer.Event) []placer.Action {
	var extra []placer.Action
	kept := events[:0]
	for _, e := range events {
		switch e := e.(type) {
		case placer.ListCame:
			for _, m := range e.Entries {
				b.machines[m.Machine] = m
			}
		case placer.Asked:
			if b.asks++; b.rule == 1 && b.asks%25 == 0 {
				continue // nobody will ever answer it
			}
			if b.effect(e.Workload) == placer.AtMostOnce {
				b.open[e.ID] = e.Ask
			}
		case placer.Ended:
			_, open := b.open[e.ID]
			mayHaveRun := e.Outcome == placer.TimedOut || e.Outcome == placer.Reset || e.Outcome == placer.Erred
			if b.rule == 2 && open && !e.Over && mayHaveRun && !b.again[e.ID] {
				if m, ok := b.other(e.Machine, func(placer.Entry) bool { return true }); ok {
					b.again[e.ID] = true
					extra = append(extra, placer.Bid{ID: e.ID, Machine: m})
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
		bid, ok := a.(placer.Bid)
		if !ok {
			continue
		}
		to, found := bid.Machine, false
		switch b.rule {
		case 2:
			if _, open := b.open[bid.ID]; open && !b.again[bid.ID] {
				bid.MaxWait = 5 * placer.Millisecond // no yes comes so soon
			}
		case 3:
			// Each in turn: what waits for the link of one that cannot be reached the host does not send.
			if all := b.fitting("", func(m placer.Entry) bool { return m.State == placer.Draining }); len(all) > 0 {
				to, found = all[b.asks%len(all)], true
			}
		case 4:
			to, found = b.other("", func(m placer.Entry) bool {
				return m.State == placer.Serving && m.StartedAt > 0 && now < m.StartedAt+b.terms.ColdFor
			})
		case 5:
			to, found = b.other("", func(m placer.Entry) bool { return m.State == placer.Serving })
		}
		if found {
			bid.Machine = to
		}
		actions[i] = bid
	}
	return actions
}

func (b *Breaker) effect(workload int) placer.Effect {
	if workload < len(b.terms.Workloads) {
		return b.terms.Workloads[workload].Effect
	}
	return placer.Reissuable
}

// other is the first machine, by name, that fits and is not the one given.
func (b *Breaker) other(than placer.MachineID, fits func(placer.Entry) bool) (placer.MachineID, bool) {
	if all := b.fitting(than, fits); len(all) > 0 {
		return all[0], true
	}
	return "", false
}

func (b *Breaker) fitting(than placer.MachineID, fits func(placer.Entry) bool) []placer.MachineID {
	var all []placer.MachineID
	for id, m := range b.machines {
		if id != than && fits(m) {
			all = append(all, id)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all
}
