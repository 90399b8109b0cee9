package scheduler

const (
	sheddingThreshold = 0.3 // share of attempts without room from which low priority is shed
	sheddingGain      = 4   // at a share of a quarter, half the weight is shed every second time
	clientRetryWeight = 0.5 // left to a request that the client retried: it cannot start in time

	// fullRatioMaxAge is the time after the last attempt for which its result is taken as true. A request that is shed makes
	// no attempt, so that without a limit a scheduler with few requests would shed them for good.
	fullRatioMaxAge = Second
)

// loadShedder rejects requests of low priority while attempts find no room.
type loadShedder struct {
	overQuotaWeight float64
	quotas          *tenantQuotas
	random          *pcg
	fullRatio       float64 // moving share of attempts that found no room
	rejectedWeight  float64 // the same, of attempts by priority weight
	recordedAt      Time    // the last attempt that these count
}

// isShedding reports whether attempts find so little room that requests may be shed.
func (s *loadShedder) isShedding(now Time) bool { return s.currentFullRatio(now) > sheddingThreshold }

// shed decides at random whether a container makes way for others. The odds grow with the share of attempts without
// room and with what its priority lacks to the mean of those that found none.
func (s *loadShedder) shed(c *container, now Time) bool {
	if !s.isShedding(now) {
		return false
	}
	chance := s.random.uniform()
	return chance < sheddingGain*s.fullRatio*(1-s.priorityWeight(c)*s.fullRatio/s.rejectedWeight)
}

// priorityWeight lowers the weight of client retries, and of what a tenant holds beyond its quota.
func (s *loadShedder) priorityWeight(c *container) float64 {
	weight := c.class.PriorityWeight
	if c.request.ClientRetry {
		weight *= clientRetryWeight
	}
	if share := s.quotas.quotaToUseRatio(c.request.Tenant); share < 1 {
		weight *= share + (1-share)*s.overQuotaWeight
	}
	return weight
}

// recordRoom counts an attempt that was accepted.
func (s *loadShedder) recordRoom(now Time) {
	s.resetIfOutdated(now)
	s.fullRatio -= s.fullRatio / averagingSpan
	s.rejectedWeight -= s.rejectedWeight / averagingSpan
}

// recordNoRoom counts an attempt that found its machine full.
func (s *loadShedder) recordNoRoom(c *container, now Time) {
	s.resetIfOutdated(now)
	s.fullRatio += (1 - s.fullRatio) / averagingSpan
	s.rejectedWeight += (s.priorityWeight(c) - s.rejectedWeight) / averagingSpan
}

// resetIfOutdated begins anew where the last attempt is too long ago, and notes that another is counted.
func (s *loadShedder) resetIfOutdated(now Time) {
	if s.isOutdated(now) {
		s.fullRatio = 0
		s.rejectedWeight = 0
	}
	s.recordedAt = now
}

func (s *loadShedder) isOutdated(now Time) bool { return now-s.recordedAt > fullRatioMaxAge }

// currentFullRatio is the moving share of attempts that found no room; 0 where none was made for roomMemory.
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

// restore takes what an earlier incarnation knew as true at this time.
func (s *loadShedder) restore(snapshot Snapshot, now Time) {
	s.fullRatio = snapshot.FullRatio
	s.rejectedWeight = snapshot.RejectedWeight
	s.recordedAt = now
}
