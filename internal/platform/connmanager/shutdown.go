package connmanager

// During shutdown the platform kills the scheduler after the longest placement timeout (at most maxDrainTime) plus
// killGracePeriod.
const (
	maxDrainTime       = 3 * Second
	killGracePeriod    = 7 * Second / 10
	forceAnswersMargin = 3 * Second / 10 // open requests are answered this long before the kill
)

// drainTime returns how long a scheduler that shuts down serves requests in transit and notifies owners of
// terminations.
func drainTime(longestTimeout Time) Time {
	return max(killGracePeriod, min(longestTimeout, maxDrainTime))
}

// ShouldKeepDraining reports whether a scheduler keeps running when the given time has elapsed since its shutdown
// began.
func ShouldKeepDraining(elapsed Time, unanswered int, longestTimeout Time) bool {
	return elapsed < drainTime(longestTimeout) || unanswered > 0
}

// ShouldForceAnswers reports whether all open requests have to be answered now, before the platform kills the
// scheduler.
func ShouldForceAnswers(elapsed, longestTimeout Time) bool {
	return elapsed >= drainTime(longestTimeout)+killGracePeriod-forceAnswersMargin
}
