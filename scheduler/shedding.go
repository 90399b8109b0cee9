package scheduler

const (
	sheddingThreshold = 0.3 // share of attempts on full machines above which requests of low priority are shed
	sheddingGain      = 4   // at a share of 1/4, a request of half the mean weight is shed with probability 1/2
	clientRetryWeight = 0.5 // factor on the weight of a client retry, as it cannot start in time any more

	// fullRatioMaxAge is how long fullRatio is valid after the last attempt. Shed requests make no attempts, so without
	// this limit a scheduler with few requests might shed all of them forever.
	fullRatioMaxAge = Second
)

// loadShedder rejects requests of low priority while many attempts find their machine full.
type loadShedder struct {
	overQuotaWeight float64
	quotas          *tenantQuotas
	random          *pcg
	fullRatio       float64 // moving share of attempts that found their machine full
	rejectedWeight  float64 // moving average over attempts: priority weight if the machine was full, 0 if accepted
	recordedAt      Time    // time of the last attempt recorded in fullRatio and rejectedWeight
}

// isShedding reports whether so many attempts find their machine full that requests may be shed.
func (s *loadShedder) isShedding(now Time) bool { return s.currentFullRatio(now) > sheddingThreshold }

// shouldShed decides at random whether to reject a container in favor of others. The probability grows with the share
// of attempts on full machines. It also grows as the container's priority falls below the mean priority of those
// attempts.
func (s *loadShedder) shouldShed(c *container, now Time) bool {
	if !s.isShedding(now) {
		return false
	}
	chance := s.random.uniform()
	return chance < sheddingGain*s.fullRatio*(1-s.priorityWeight(c)*s.fullRatio/s.rejectedWeight)
}

// priorityWeight returns the weight of the container's class, reduced for client retries and for tenants over their
// quota.
func (s *loadShedder) priorityWeight(c *container) float64 {
	weight := c.class.PriorityWeight
	if c.request.ClientRetry {
		weight *= clientRetryWeight
	}
	if ratio := s.quotas.quotaToUseRatio(c.request.Tenant); ratio < 1 {
		weight *= ratio + (1-ratio)*s.overQuotaWeight
	}
	return weight
}

// recordRoom records an attempt that was accepted.
func (s *loadShedder) recordRoom(now Time) {
	s.resetIfOutdated(now)
	s.fullRatio -= s.fullRatio / averagingSpan
	s.rejectedWeight -= s.rejectedWeight / averagingSpan
}

// recordNoRoom records an attempt that found its machine full.
func (s *loadShedder) recordNoRoom(c *container, now Time) {
	s.resetIfOutdated(now)
	s.fullRatio += (1 - s.fullRatio) / averagingSpan
	s.rejectedWeight += (s.priorityWeight(c) - s.rejectedWeight) / averagingSpan
}

// resetIfOutdated resets fullRatio and rejectedWeight if the last attempt is too long ago. It also records the time of
// a new attempt.
func (s *loadShedder) resetIfOutdated(now Time) {
	if s.isOutdated(now) {
		s.fullRatio = 0
		s.rejectedWeight = 0
	}
	s.recordedAt = now
}

func (s *loadShedder) isOutdated(now Time) bool { return now-s.recordedAt > fullRatioMaxAge }

// currentFullRatio returns the moving share of attempts that found their machine full. It is 0 if there was no attempt
// for fullRatioMaxAge.
func (s *loadShedder) currentFullRatio(now Time) float64 {
	if s.isOutdated(now) {
		return 0
	}
	return s.fullRatio
}

func (s *loadShedder) saveTo(snapshot *Snapshot) {
	snapshot.FullRatio = s.fullRatio
	snapshot.RejectedWeight = s.rejectedWeight
}

// restore restores fullRatio and rejectedWeight of an earlier incarnation as if its last attempt had been made now.
func (s *loadShedder) restore(snapshot Snapshot, now Time) {
	s.fullRatio = snapshot.FullRatio
	s.rejectedWeight = snapshot.RejectedWeight
	s.recordedAt = now
}
