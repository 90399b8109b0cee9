package scheduler

func (s *Scheduler) inSlowStart(m *machine) bool {
	return m.startedAt > 0 && s.now < m.startedAt+s.config.SlowStartPeriod
}

// slowStartShare is the part of all schedulers that a machine's slow-start budget reaches. Those draw it with
// the odds of the rest too, so that over all schedulers it is drawn as often as any other.
func (s *Scheduler) slowStartShare(m *machine) float64 {
	if s.config.SlowStartBudget >= s.config.SchedulerCount || !s.inSlowStart(m) {
		return 1
	}
	return float64(max(1, s.config.SlowStartBudget)) / float64(s.config.SchedulerCount)
}

// slowStartAllows keeps this scheduler to its quota. For a window after its own start, when it does not know
// what an earlier incarnation sent, it sends nothing.
func (s *Scheduler) slowStartAllows(m *machine) bool {
	if !s.inSlowStart(m) {
		return true
	}
	sendsKnown := s.now >= s.sendsKnownSince+s.slowStartWindow()
	return sendsKnown && len(s.trimmedSends(m)) < s.slowStartQuota(m)
}

// slowStartQuota is this scheduler's part of the budget, the remainder dealt out by machine: all quotas add
// up to the budget, without a message between schedulers.
func (s *Scheduler) slowStartQuota(m *machine) int {
	count := max(1, s.config.SchedulerCount)
	quota := s.config.SlowStartBudget / count
	turn := (s.config.SchedulerIndex + int(m.hash%uint64(count))) % count
	if turn < s.config.SlowStartBudget%count {
		quota++
	}
	return quota
}

// transitTime covers how long a message may be on its way.
func (s *Scheduler) transitTime() Time { return s.config.SlowStartWindow / 8 }

func (s *Scheduler) slowStartWindow() Time { return s.config.SlowStartWindow + s.transitTime() }

// trimmedSends returns what was sent to a machine in the last window. It counts for every machine, as any may
// have restarted unnoticed.
func (s *Scheduler) trimmedSends(m *machine) []Time {
	for len(m.recentSends) > 0 && m.recentSends[0] <= s.now-s.slowStartWindow() {
		m.recentSends = m.recentSends[1:]
	}
	return m.recentSends
}
