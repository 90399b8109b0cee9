package controller

import "glenport/scheduler"

// Texts of Container.LastStatus. They are stored and shown by the API. They must not change, and therefore keep the
// terms of the platform: keeper for the controller, placer and door for a scheduler.
const (
	statusNotRequested            = "not asked for yet"
	statusRequested               = "asked"
	statusLookedUp                = "looked for"
	statusRunning                 = "runs"
	statusRejected                = "pushed back"
	statusFailed                  = "given up"
	statusFailedMayRun            = "given up, and it may run"
	statusRefused                 = "turned away"
	statusCancelled               = "called off"
	statusFenced                  = "made sure"
	statusNotRunning              = "nothing of it runs"
	statusMayHaveFinished         = "it may have run to its end, which nobody told"
	statusNoSchedulerConnected    = "no placer can be reached"
	statusSchedulerLost           = "its placer was lost"
	statusSchedulerLostMayRun     = "its placer was lost, and it may run"
	statusSchedulerReconnected    = "its placer is back"
	statusSchedulerNotReconnected = "its placer stays away"
	statusSchedulerRemoved        = "its placer is no longer among the doors"
	statusSchedulerRemovedMayRun  = "its placer is no longer among the doors, and it may run"
	statusControllerRestarted     = "the keeper came up: its placer is asked"
	statusMachineLost             = "lost with its machine"
	statusMachineLostMayRun       = "lost with its machine or the way to it, and it may run"
	statusOutOfMemory             = "evicted for memory"
	statusFinished                = "finished"
	statusStopped                 = "stopped"
	statusDrained                 = "sent away by its machine"
	statusPreempted               = "pushed out by other work"
)

// answerStatus returns the status after an answer other than VerdictAccepted.
func answerStatus(e PlacementAnswered) string {
	var status string
	switch e.Verdict {
	case VerdictRejected:
		status = statusRejected
	case VerdictFailed:
		status = statusFailed
	case VerdictRefused:
		status = statusRefused
	case VerdictAccepted: // handleAccepted sets statusRunning
	}
	if e.Message != "" {
		status += ": " + e.Message
	}
	return status
}

// outcomeStatus returns the status after the end of a container. It joins the texts of outcome and reason without a
// separator: a reason is expected only with OutcomeLost, which has no text.
func outcomeStatus(e ContainerEnded) string {
	var outcome, reason string
	switch e.Outcome {
	case scheduler.OutcomeFinished:
		outcome = statusFinished
	case scheduler.OutcomeStopped:
		outcome = statusStopped
	default: // no text
	}
	switch e.Reason {
	case scheduler.ReasonDrained:
		reason = statusDrained
	case scheduler.ReasonPreempted:
		reason = statusPreempted
	default: // no text
	}
	return outcome + reason
}
