package orders

import (
	"slices"

	"glenport/placer"
)

// Breaker keeps something from a placer, so that it breaks one rule: a judge that does not see it sees nothing.
type Breaker struct {
	Decider
	Rule int
}

func (b Breaker) Handle(now placer.Time, events []placer.Event) []placer.Action {
	var kept []placer.Event
	for _, e := range events {
		switch e := e.(type) {
		case placer.ListCame:
			e.Entries = slices.Clone(e.Entries) // the judge reads the true ones
			for i := range e.Entries {
				if b.Rule == 3 { // a drain is not heard
					e.Entries[i].State = placer.Serving
				}
				if b.Rule == 4 { // nor a start
					e.Entries[i].StartedAt = 0
				}
			}
			kept = append(kept, e)
			continue
		case placer.TookOver:
			if b.Rule == 5 { // what runs is forgotten
				continue
			}
		case placer.Ended:
			if b.Rule == 2 && (e.Outcome == placer.TimedOut || e.Outcome == placer.Erred) { // taken for refused
				e.Outcome = placer.Full
				kept = append(kept, e)
				continue
			}
		}
		kept = append(kept, e)
	}
	actions := b.Decider.Handle(now, kept)
	if b.Rule == 1 {
		actions = slices.DeleteFunc(actions, func(a placer.Action) bool { _, answers := a.(placer.PushBack); return answers })
	}
	return actions
}
