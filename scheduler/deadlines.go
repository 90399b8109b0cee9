package scheduler

// deadlineTimer watches the first deadline ahead. Those behind it are found when it fires.
type deadlineTimer struct {
	grace   Time // after a deadline, in which an answer is still in time; half is left to timeouts that come late
	firesAt Time // when the timer that was set last fires
}

// check returns the containers without an outcome whose deadline has passed, by ID: no answer may depend on a message
// that can be lost. It sets the timer for the next deadline that comes before the next maintenance.
func (t *deadlineTimer) check(containers *containerRegistry, actions *actionBuffer, now Time) []*container {
	overdue, next := containers.deadlinesWithin(maintenanceInterval, t.grace/2, now)
	if next > 0 && next != t.firesAt {
		t.firesAt = next
		actions.emit(SetTimer{After: next - now, Name: deadlineTimerName})
	}
	return overdue
}
