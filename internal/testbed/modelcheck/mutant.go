package modelcheck

import (
	"slices"

	"glenport/scheduler"
)

// Mutant keeps something from a placer, so that it breaks one rule: a judge that does not see it sees nothing.
type Mutant struct {
	Decider
	Rule int
}

func (b Mutant) Handle(now scheduler.Time, events []scheduler.Event) []scheduler.Action {
	var kept []scheduler.Event
	for _, e := range events {
		switch e := e.(type) {
		case scheduler.MachineListUpdate:
			e.Entries = slices.Clone(e.Entries) // the judge reads the true ones
			for i := range e.Entries {
				if b.Rule == 3 { // a drain is not heard
					e.Entries[i].State = scheduler.MachineServing
				}
				if b.Rule == 4 { // nor a start
					e.Entries[i].StartedAt = 0
				}
			}
			kept = append(kept, e)
			continue
		case scheduler.ContainerAdopted:
			if b.Rule == 5 { // what runs is forgotten
				continue
			}
		case scheduler.AttemptEnded:
			if b.Rule == 2 && (e.Outcome == scheduler.OutcomeTimedOut || e.Outcome == scheduler.OutcomeErrored) { // taken for refused
				e.Outcome = scheduler.OutcomeFull
				kept = append(kept, e)
				continue
			}
		}
		kept = append(kept, e)
	}
	actions := b.Decider.Handle(now, kept)
	if b.Rule == 1 {
		actions = slices.DeleteFunc(actions, func(a scheduler.Action) bool { _, answers := a.(scheduler.Reject); return answers })
	}
	return actions
}
