package connmanager

// The platform kills a scheduler that shuts down after the longest placement timeout, at most maxDrainTime, plus
// killGracePeriod.
const (
	maxDrainTime       = 3 * Second
	killGracePeriod    = 7 * Second / 10
	forceAnswersMargin = 3 * Second / 10 // what is still open is answered so long before the kill
)

// drainTime is how long a scheduler that shuts down serves what is on its way, and notifies of terminations.
func drainTime(longestTimeout Time) Time {
	return max(killGracePeriod, min(longestTimeout, maxDrainTime))
}

// ShouldKeepDraining reports whether a scheduler that began to shut down so long ago keeps running.
func ShouldKeepDraining(elapsed Time, unanswered int, longestTimeout Time) bool {
	return elapsed < drainTime(longestTimeout) || unanswered > 0
}

// ShouldForceAnswers reports whether it is time to answer what is still open, before the platform kills the scheduler.
func ShouldForceAnswers(elapsed, longestTimeout Time) bool {
	return elapsed >= drainTime(longestTimeout)+killGracePeriod-forceAnswersMargin
}
