package recovery

import "glenport/scheduler"

// ContainerPhase is how far a container had come by the controller's log.
type ContainerPhase uint8

// Phases of a container.
const (
	PhasePending   ContainerPhase = iota // it was not requested, or what was is surely over
	PhaseRequested                       // a scheduler was sent the request, or was about to be: it may run
	PhaseRunning                         // a machine ran it
	PhaseFencing                         // the controller was waiting until it could no longer run
	PhaseFinished                        // it finished and is not started again
)

// ResumeStep is what is done first about a container.
type ResumeStep uint8

// Steps of a resumption.
const (
	StepRequest ResumeStep = iota // request its placement
	StepLookup                    // look the key up at the scheduler that was sent the request: it knows or finds out
	StepFence                     // begin the fencing delay anew, as nobody knows how much of it had passed
	StepNone
)

// resumeRate is how many containers a recovering controller resumes in a second. A scheduler decides on some 10,000
// requests a second, and new ones must not wait behind old ones.
const resumeRate = 2000

// Resume decides what is done first, and how long after the start, about the nth container in the controller's log. A
// container that may run is never requested elsewhere, whatever its idempotency: nobody would end the second copy.
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
