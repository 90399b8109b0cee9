package modelcheck

import (
	"slices"

	"glenport/internal/testbed/audit"
	"glenport/scheduler"
)

// Mutant withholds or changes events or actions of a scheduler so that it breaks one rule. The tests use it to show
// that the checker detects a violation of each rule.
type Mutant struct {
	Decider
	Rule int // an audit.Rule
}

func (m Mutant) breaks(rule audit.Rule) bool { return audit.Rule(m.Rule) == rule }

// Handle changes the events of the scheduler. To break the first rule it drops the scheduler's rejections.
func (m Mutant) Handle(now scheduler.Time, events []scheduler.Event) []scheduler.Action {
	var kept []scheduler.Event
	for _, event := range events {
		switch event := event.(type) {
		case scheduler.MachineListUpdate:
			kept = append(kept, m.mutateList(event))
		case scheduler.AttemptEnded:
			kept = append(kept, m.mutateOutcome(event))
		case scheduler.ContainerAdopted:
			if !m.breaks(audit.RuleSpread) { // without the event the scheduler does not count the container
				kept = append(kept, event)
			}
		default:
			kept = append(kept, event)
		}
	}
	actions := m.Decider.Handle(now, kept)
	if m.breaks(audit.RuleFinalReply) {
		actions = slices.DeleteFunc(actions, func(action scheduler.Action) bool {
			_, isReject := action.(scheduler.Reject)
			return isReject
		})
	}
	return actions
}

// mutateList hides drains or the starts of machines. It changes a copy, as the checker needs the true entries.
func (m Mutant) mutateList(update scheduler.MachineListUpdate) scheduler.MachineListUpdate {
	update.Entries = slices.Clone(update.Entries)
	for i := range update.Entries {
		if m.breaks(audit.RuleDraining) {
			update.Entries[i].State = scheduler.MachineServing
		}
		if m.breaks(audit.RuleSlowStart) {
			update.Entries[i].StartedAt = 0
		}
	}
	return update
}

// mutateOutcome reports an attempt whose container may run as one that the machine rejected.
func (m Mutant) mutateOutcome(ended scheduler.AttemptEnded) scheduler.AttemptEnded {
	mayRun := ended.Outcome == scheduler.OutcomeTimedOut || ended.Outcome == scheduler.OutcomeErrored
	if m.breaks(audit.RuleDuplicateRun) && mayRun {
		ended.Outcome = scheduler.OutcomeFull
	}
	return ended
}
