package scheduler

const pollSpacing = 100 * Millisecond // mean interval between the polls of all schedulers together

// listPoller decides when to poll the machine list. Each scheduler draws a random delay, which spreads the polls of all
// schedulers. The maximum delay doubles with each failure, so that a recovering list service is not overloaded.
type listPoller struct {
	schedulerCount int
	resyncInterval Time // upper bound of delay
	random         *pcg
	pollAt         Time // 0: no poll is planned
	delay          Time // maximum delay of the next poll
}

func newListPoller(config *Config, random *pcg) *listPoller {
	return &listPoller{
		schedulerCount: config.SchedulerCount,
		resyncInterval: config.ResyncInterval,
		random:         random,
	}
}

// baseDelay returns the maximum delay if no poll has failed.
func (p *listPoller) baseDelay() Time {
	return min(pollSpacing*Time(max(1, p.schedulerCount)), p.resyncInterval/2)
}

// resetDelay resets the maximum delay to the one without failures.
func (p *listPoller) resetDelay() { p.delay = p.baseDelay() }

// schedule draws the time of the next poll.
func (p *listPoller) schedule(now Time) {
	p.pollAt = now + p.random.jitter(p.delay)
}

// recordAnswer records that the list service answered, which cancels a planned poll.
func (p *listPoller) recordAnswer() {
	p.pollAt = 0
	p.resetDelay()
}

// recordFailure plans another poll, because the watch may be lost too, and doubles the maximum delay.
func (p *listPoller) recordFailure(now Time) {
	p.schedule(now)
	p.delay = min(2*p.delay, p.resyncInterval)
}

// takeDuePoll reports whether a poll is due. If so, it marks the poll as sent.
func (p *listPoller) takeDuePoll(now Time) bool {
	if p.pollAt <= 0 || now < p.pollAt {
		return false
	}
	p.pollAt = 0
	return true
}
