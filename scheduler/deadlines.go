package scheduler

// deadlineTimer keeps a timer for the next deadline only. When the timer fires, check sets one for the deadline after.
type deadlineTimer struct {
	grace   Time // time after a deadline in which an answer counts; half of it is left for late timer events
	firesAt Time // time at which the timer that was set last fires
}

// check returns the unanswered containers whose deadline has passed, ordered by ID. The scheduler answers them itself,
// because the message with their outcome may be lost. If another deadline comes before the next maintenance, check sets
// a timer for it.
func (t *deadlineTimer) check(containers *containerRegistry, actions *actionBuffer, now Time) []*container {
	overdue, next := containers.deadlinesWithin(maintenanceInterval, t.grace/2, now)
	if next > 0 && next != t.firesAt {
		t.firesAt = next
		actions.emit(SetTimer{After: next - now, Name: deadlineTimerName})
	}
	return overdue
}
