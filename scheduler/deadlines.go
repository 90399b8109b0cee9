package scheduler

// deadlineTimer keeps a timer for the next deadline only. When it fires, check sets the timer for the one after.
type deadlineTimer struct {
	grace   Time // after a deadline, while an answer is still in time; half of it allows for late timer events
	firesAt Time // of the timer set last
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
