package controller

import "glenport/scheduler"

// Texts of Container.LastStatus. They are stored and shown by the API, so they keep the platform's words.
const (
	statusNotRequested           = "not asked for yet"
	statusRequested              = "asked"
	statusLookedUp               = "looked for"
	statusRunning                = "runs"
	statusRejected               = "pushed back"
	statusFailed                 = "given up"
	statusFailedMayRun           = "given up, and it may run"
	statusRefused                = "turned away"
	statusCancelled              = "called off"
	statusFenced                 = "made sure"
	statusNotRunning             = "nothing of it runs"
	statusMayHaveFinished        = "it may have run to its end, which nobody told"
	statusNoSchedulerConnected   = "no placer can be reached"
	statusSchedulerLost          = "its placer was lost"
	statusSchedulerLostMayRun    = "its placer was lost, and it may run"
	statusSchedulerBack          = "its placer is back"
	statusSchedulerStaysAway     = "its placer stays away"
	statusSchedulerRemoved       = "its placer is no longer among the doors"
	statusSchedulerRemovedMayRun = "its placer is no longer among the doors, and it may run"
	statusControllerRestarted    = "the keeper came up: its placer is asked"
	statusMachineLost            = "lost with its machine"
	statusMachineLostMayRun      = "lost with its machine or the way to it, and it may run"
	statusOutOfMemory            = "evicted for memory"
	statusFinished               = "finished"
	statusStopped                = "stopped"
	statusDrained                = "sent away by its machine"
	statusPreempted              = "pushed out by other work"
)

// answerStatus is the status after an answer that is no accept.
func answerStatus(e PlacementAnswered) string {
	var status string
	switch e.Verdict {
	case VerdictRejected:
		status = statusRejected
	case VerdictFailed:
		status = statusFailed
	case VerdictRefused:
		status = statusRefused
	case VerdictAccepted: // has a status of its own
	}
	if e.Message != "" {
		status += ": " + e.Message
	}
	return status
}

// outcomeStatus is the status after the end of a container. The texts of outcome and reason are joined as they are: a
// reason is expected with OutcomeLost alone, which has no text here.
func outcomeStatus(e ContainerEnded) string {
	var outcome, reason string
	switch e.Outcome {
	case scheduler.OutcomeFinished:
		outcome = statusFinished
	case scheduler.OutcomeStopped:
		outcome = statusStopped
	default: // without a text
	}
	switch e.Reason {
	case scheduler.ReasonDrained:
		reason = statusDrained
	case scheduler.ReasonPreempted:
		reason = statusPreempted
	default: // without a text
	}
	return outcome + reason
}
