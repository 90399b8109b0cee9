package scheduler

const pollSpacing = 100 * Millisecond // for each scheduler: the span over which all of them poll

// listPoller decides when the machine list is polled. The polls of all schedulers are spread over a span, which doubles
// with each failure to spare a list service that comes back.
type listPoller struct {
	schedulerCount int
	resyncInterval Time // within which the list has to be polled
	random         *pcg
	pollAt         Time // 0: none is due
	delay          Time // the span from which the next poll is drawn
}

func newListPoller(config *Config, random *pcg) *listPoller {
	return &listPoller{
		schedulerCount: config.SchedulerCount,
		resyncInterval: config.ResyncInterval,
		random:         random,
	}
}

// baseDelay spreads the polls of all schedulers.
func (p *listPoller) baseDelay() Time {
	return min(pollSpacing*Time(max(1, p.schedulerCount)), p.resyncInterval/2)
}

// resetDelay makes the next poll come after the span without failures.
func (p *listPoller) resetDelay() { p.delay = p.baseDelay() }

// schedule draws the moment of the next poll.
func (p *listPoller) schedule(now Time) {
	p.pollAt = now + p.random.jitter(p.delay)
}

// recordAnswer ends the poll that is due.
func (p *listPoller) recordAnswer() {
	p.pollAt = 0
	p.resetDelay()
}

// recordFailure repeats the poll, as the watch may be lost too.
func (p *listPoller) recordFailure(now Time) {
	p.schedule(now)
	p.delay = min(2*p.delay, p.resyncInterval)
}

// takeDuePoll reports whether a poll is to be sent now, and counts it as sent.
func (p *listPoller) takeDuePoll(now Time) bool {
	if p.pollAt <= 0 || now < p.pollAt {
		return false
	}
	p.pollAt = 0
	return true
}
