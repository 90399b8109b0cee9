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

// ShouldKeepDelivering reports whether a scheduler that has answered all requests keeps running, because that many
// messages are unconfirmed: nothing repeats them after its exit. It exits before the platform kills it.
func ShouldKeepDelivering(elapsed Time, unconfirmed int, longestTimeout Time) bool {
	killedAt := min(longestTimeout, maxDrainTime) + killGracePeriod
	return unconfirmed > 0 && elapsed < killedAt-forceAnswersMargin
}

// ShouldForceAnswers reports whether all open requests have to be answered now, before the platform kills the
// scheduler.
func ShouldForceAnswers(elapsed, longestTimeout Time) bool {
	return elapsed >= drainTime(longestTimeout)+killGracePeriod-forceAnswersMargin
}
