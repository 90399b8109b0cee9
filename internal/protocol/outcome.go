package protocol

import "glenport/scheduler"

var decided = [...]scheduler.Outcome{Finished: scheduler.OutcomeFinished, Erred: scheduler.OutcomeErrored, Full: scheduler.OutcomeFull, Stopped: scheduler.OutcomeStopped,
	Lost: scheduler.OutcomeLost}

// Decided is the outcome in the words of the decisions.
func (o Outcome) Decided() scheduler.Outcome { return decided[o] }

// OutcomeOf is the outcome that an owner is told; what has no like on the wire was lost.
func OutcomeOf(p scheduler.Outcome) Outcome {
	for o, x := range decided {
		if x == p {
			return Outcome(o)
		}
	}
	return Lost
}
