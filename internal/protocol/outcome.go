package protocol

import "glenport/scheduler"

var schedulerOutcomes = [...]scheduler.Outcome{OutcomeFinished: scheduler.OutcomeFinished, OutcomeErrored: scheduler.OutcomeErrored, OutcomeFull: scheduler.OutcomeFull, OutcomeStopped: scheduler.OutcomeStopped,
	OutcomeLost: scheduler.OutcomeLost}

// SchedulerOutcome is the outcome in the words of the decisions.
func (o Outcome) SchedulerOutcome() scheduler.Outcome { return schedulerOutcomes[o] }

// OutcomeFromScheduler is the outcome that an owner is told; what has no like on the wire was lost.
func OutcomeFromScheduler(p scheduler.Outcome) Outcome {
	for o, x := range schedulerOutcomes {
		if x == p {
			return Outcome(o)
		}
	}
	return OutcomeLost
}
