package platform

import (
	"glenport/internal/platform/jsonlines"
	"glenport/scheduler"
)

// terminationCause is the reason why a container or an attempt ended. Its values are those on the wire; unknown values
// are forwarded from machines to clients unchanged.
type terminationCause int

const (
	causeFinished  terminationCause = jsonlines.CauseNormal    // for an open request: cancelled
	causeCancelled terminationCause = jsonlines.CauseCancelled // moved, or ended by its client
	causeLost      terminationCause = jsonlines.CauseTemporaryFailure
)

// outcomeAfterAccept is the outcome of a container that was running.
func (c terminationCause) outcomeAfterAccept() scheduler.Outcome {
	switch c {
	case causeFinished:
		return scheduler.OutcomeFinished
	case causeCancelled:
		return scheduler.OutcomeStopped
	default:
		return scheduler.OutcomeLost
	}
}

// outcomeBeforeAccept is the outcome of an attempt that a machine did not accept.
func (c terminationCause) outcomeBeforeAccept() scheduler.Outcome {
	switch c {
	case jsonlines.CauseNoCapacity:
		return scheduler.OutcomeFull
	case jsonlines.CauseError:
		return scheduler.OutcomeErrored
	case jsonlines.CauseNotSent:
		return scheduler.OutcomeNotSent
	case causeFinished:
		// The deadline of the request has passed. The container may have run, as after a loss, but the machine is
		// healthy.
		return scheduler.OutcomeFinished
	default:
		return scheduler.OutcomeLost
	}
}

// endMessage returns a message that reports or orders the end of a container or an offer.
func endMessage(id scheduler.ContainerID, cause int) *jsonlines.Message {
	return &jsonlines.Message{Op: jsonlines.OpEnd, RequestID: string(id), Cause: new(cause)}
}
