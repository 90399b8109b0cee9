package scheduler

const (
	// notStarted stands for the start of a scheduler that has handled no batch yet.
	notStarted = Time(-1)

	// transitDivisor is the part of a slow-start window that covers how long a message may be on its way.
	transitDivisor = 8
)

// slowStartLimiter keeps all schedulers together to a budget of sends to each machine that started lately, in any
// window, without a message between them: the budget is dealt out, and each keeps to its part.
type slowStartLimiter struct {
	period          Time // after the start of a machine
	window          Time // in which the budget is spent at most once
	budget          int
	schedulerIndex  int
	schedulerCount  int
	sendsKnownSince Time // from then on everything sent to machines in slow start is known
}

func newSlowStartLimiter(config *Config) *slowStartLimiter {
	return &slowStartLimiter{
		period:          config.SlowStartPeriod,
		window:          config.SlowStartWindow,
		budget:          config.SlowStartBudget,
		schedulerIndex:  config.SchedulerIndex,
		schedulerCount:  config.SchedulerCount,
		sendsKnownSince: notStarted,
	}
}

// hasStarted reports whether the moment is known from which on all sends are.
func (l *slowStartLimiter) hasStarted() bool { return l.sendsKnownSince >= 0 }

// start is called in the first batch, or with what is restored from an earlier incarnation of the scheduler.
func (l *slowStartLimiter) start(sendsKnownSince Time) { l.sendsKnownSince = sendsKnownSince }

func (l *slowStartLimiter) saveTo(snapshot *Snapshot) { snapshot.SendsKnownSince = l.sendsKnownSince }

func (l *slowStartLimiter) inSlowStart(m *machine, now Time) bool {
	startedAt := m.listing.startedAt
	return startedAt > 0 && now < startedAt+l.period
}

// schedulerShare is the part of all schedulers that a machine's slow-start budget reaches. Those draw it with the odds of the
// rest too, so that over all schedulers it is drawn as often as any other.
func (l *slowStartLimiter) schedulerShare(m *machine, now Time) float64 {
	if l.budget >= l.schedulerCount || !l.inSlowStart(m, now) {
		return 1
	}
	return float64(max(1, l.budget)) / float64(l.schedulerCount)
}

// allows keeps this scheduler to its quota. For a window after its own start, when it does not know what an earlier
// incarnation sent, it sends nothing.
func (l *slowStartLimiter) allows(m *machine, now Time) bool {
	if !l.inSlowStart(m, now) {
		return true
	}
	sendsKnown := now >= l.sendsKnownSince+l.slidingWindow()
	return sendsKnown && len(l.recentSends(m, now)) < l.quota(m)
}

// quota is this scheduler's part of the budget, the remainder dealt out by machine: all quotas add up to the budget.
func (l *slowStartLimiter) quota(m *machine) int {
	count := max(1, l.schedulerCount)
	quota := l.budget / count
	turn := (l.schedulerIndex + int(m.hash%uint64(count))) % count
	if turn < l.budget%count {
		quota++
	}
	return quota
}

// recordSend counts an attempt or a probe against the machine's quota.
func (l *slowStartLimiter) recordSend(m *machine, now Time) {
	m.sends.dropUntil(now - l.slidingWindow())
	m.sends.record(now)
}

// recentSends returns what was sent to a machine in the last window.
func (l *slowStartLimiter) recentSends(m *machine, now Time) []Time {
	return m.sends.dropUntil(now - l.slidingWindow())
}

// transitTime covers how long a message may be on its way.
func (l *slowStartLimiter) transitTime() Time { return l.window / transitDivisor }

// slidingWindow is longer than the machine's, which begins with the arrival of what was sent.
func (l *slowStartLimiter) slidingWindow() Time { return l.window + l.transitTime() }
