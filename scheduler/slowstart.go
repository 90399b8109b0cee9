package scheduler

const (
	// notStarted is the value of sendsKnownSince before the first batch.
	notStarted = Time(-1)

	// transitDivisor sets the allowance for message transit to 1/transitDivisor of the slow-start window.
	transitDivisor = 8
)

// slowStartLimiter limits the sends (attempts and probes) to each recently started machine. In any window, all
// schedulers together stay within a budget. They exchange no messages for this: each scheduler has a fixed quota, and
// the quotas add up to the budget.
type slowStartLimiter struct {
	period          Time // length of slow start after the start of a machine
	window          Time // window to which the budget applies
	budget          int  // sends to a machine in each window, by all schedulers
	schedulerIndex  int
	schedulerCount  int
	sendsKnownSince Time // all sends since this time are in the ledgers
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

// hasStarted reports whether start was called.
func (l *slowStartLimiter) hasStarted() bool { return l.sendsKnownSince >= 0 }

// start sets the time from which on all sends are known: the time of the first batch, or a restored time.
func (l *slowStartLimiter) start(sendsKnownSince Time) { l.sendsKnownSince = sendsKnownSince }

func (l *slowStartLimiter) saveTo(snapshot *Snapshot) { snapshot.SendsKnownSince = l.sendsKnownSince }

func (l *slowStartLimiter) inSlowStart(m *machine, now Time) bool {
	startedAt := m.listing.startedAt
	return startedAt > 0 && now < startedAt+l.period
}

// schedulerShare returns the fraction of the schedulers that have a quota for the machine. These schedulers draw the
// machine with higher odds, so that all schedulers together draw it as often as any other machine.
func (l *slowStartLimiter) schedulerShare(m *machine, now Time) float64 {
	if l.budget >= l.schedulerCount || !l.inSlowStart(m, now) {
		return 1
	}
	return float64(max(1, l.budget)) / float64(l.schedulerCount)
}

// allows reports whether this scheduler may send to the machine within its quota. For one window after sendsKnownSince
// it returns false, because the sends of an earlier incarnation of the scheduler are unknown.
func (l *slowStartLimiter) allows(m *machine, now Time) bool {
	if !l.inSlowStart(m, now) {
		return true
	}
	sendsKnown := now >= l.sendsKnownSince+l.slidingWindow()
	return sendsKnown && len(l.recentSends(m, now)) < l.quota(m)
}

// quota returns this scheduler's part of the budget. The machine's hash decides which schedulers share the remainder of
// the division, so that all quotas add up to the budget.
func (l *slowStartLimiter) quota(m *machine) int {
	count := max(1, l.schedulerCount)
	quota := l.budget / count
	rank := (l.schedulerIndex + int(m.hash%uint64(count))) % count
	if rank < l.budget%count {
		quota++
	}
	return quota
}

// recordSend counts an attempt or a probe against the machine's quota.
func (l *slowStartLimiter) recordSend(m *machine, now Time) {
	m.sends.dropUntil(now - l.slidingWindow())
	m.sends.record(now)
}

// recentSends returns the times of the sends to a machine in the last window.
func (l *slowStartLimiter) recentSends(m *machine, now Time) []Time {
	return m.sends.dropUntil(now - l.slidingWindow())
}

// transitTime is the longest time that a message is assumed to be in transit.
func (l *slowStartLimiter) transitTime() Time { return l.window / transitDivisor }

// slidingWindow is the length of the window in which sends are counted by send time. It is longer than the configured
// window, which counts sends by their arrival time at the machine.
func (l *slowStartLimiter) slidingWindow() Time { return l.window + l.transitTime() }
