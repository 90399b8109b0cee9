package scheduler

const (
	sheddingThreshold = 0.3 // share of attempts without room from which low priority is shed
	sheddingGain      = 4   // at a share of a quarter, half the weight is shed every second time
	clientRetryWeight = 0.5 // left to a request that the client retried: it cannot start in time
)

// shed decides at random whether a container makes way for others. The odds grow with the share of attempts
// without room and with what its priority lacks to the mean of those that found none.
func (s *Scheduler) shed(c *container) bool {
	if s.fullRatio <= sheddingThreshold {
		return false
	}
	chance := s.random.uniform()
	return chance < sheddingGain*s.fullRatio*(1-s.priorityWeight(c)*s.fullRatio/s.rejectedWeight)
}

// priorityWeight lowers the weight of client retries, and of what a tenant holds beyond its quota.
func (s *Scheduler) priorityWeight(c *container) float64 {
	weight := c.class.PriorityWeight
	if c.request.ClientRetry {
		weight *= clientRetryWeight
	}
	if share := s.quotaShare(c.request.Tenant); share < 1 {
		weight *= share + (1-share)*s.config.OverQuotaWeight
	}
	return weight
}

// quotaShare is a tenant's part of all quotas over its part of own containers' cores: below 1 over its quota.
func (s *Scheduler) quotaShare(tenant int) float64 {
	if tenant >= len(s.tenantCores) || s.tenantCores[tenant] <= 0 {
		return 1
	}
	var quotas, requested float64
	for i, t := range s.config.Tenants {
		quotas += t.QuotaCores
		requested += s.tenantCores[i]
	}
	if quotas <= 0 {
		return 1
	}
	return s.config.Tenants[tenant].QuotaCores / quotas / (s.tenantCores[tenant] / requested)
}

func (s *Scheduler) recordRoom() {
	s.fullRatio -= s.fullRatio / averagingSpan
	s.rejectedWeight -= s.rejectedWeight / averagingSpan
}

func (s *Scheduler) recordNoRoom(c *container) {
	s.fullRatio += (1 - s.fullRatio) / averagingSpan
	s.rejectedWeight += (s.priorityWeight(c) - s.rejectedWeight) / averagingSpan
}
