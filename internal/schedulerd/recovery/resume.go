package recovery

import "glenport/scheduler"

// ContainerPhase is the last phase of a container that the controller's log records.
type ContainerPhase uint8

// Phases of a container.
const (
	PhasePending   ContainerPhase = iota // not requested, or the last request is known to have ended
	PhaseRequested                       // a request was sent or about to be sent: the container may run
	PhaseRunning                         // the container ran on a machine
	PhaseFencing                         // waiting for the fencing delay, after which the container cannot run
	PhaseFinished                        // the container finished and is not started again
)

// ResumeStep is the first step for a container after a restart of the controller.
type ResumeStep uint8

// Steps after a restart.
const (
	StepRequest ResumeStep = iota // request its placement
	StepLookup                    // look up its key at the scheduler that got the request, which knows or finds out
	StepFence                     // restart the fencing delay, because its elapsed part is not known
	StepNone
)

// resumeRate is the number of containers that a recovering controller resumes per second. A scheduler decides about
// 10,000 requests per second, and new requests must not queue behind resumed ones.
const resumeRate = 2000

// Resume returns the first step for the nth container in the controller's log, and its delay after the start. A
// container that may run is never requested elsewhere, whatever its idempotency: a second copy would never be
// terminated.
func Resume(phase ContainerPhase, n int) (ResumeStep, scheduler.Time) {
	delay := scheduler.Time(n) * scheduler.Second / resumeRate
	switch phase {
	case PhaseRequested, PhaseRunning:
		return StepLookup, delay
	case PhaseFencing:
		return StepFence, 0
	case PhaseFinished:
		return StepNone, 0
	default:
		return StepRequest, delay
	}
}
