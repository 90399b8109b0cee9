package link

import "glenport/placer"

var decided = [...]placer.Outcome{Finished: placer.Finished, Erred: placer.Erred, Full: placer.Full, Stopped: placer.Stopped,
	Lost: placer.Reset}

// Decided is the outcome in the words of the decisions.
func (o Outcome) Decided() placer.Outcome { return decided[o] }

// OutcomeOf is the outcome that an owner is told; what has no like on the wire was lost.
func OutcomeOf(p placer.Outcome) Outcome {
	for o, x := range decided {
		if x == p {
			return Outcome(o)
		}
	}
	return Lost
}
