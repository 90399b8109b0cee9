package scheduler

import (
	"log/slog"
	"math"
)

// A second sequential test finds machines that fail one traffic class (a workload class or a tenant) but
// serve others. Its hypotheses are the parts of the class's attempts that a machine loses.
const (
	failingClassLossRate = 0.85        // of a machine that fails the class: nearly all
	minLossRate          = 0.02        // of any other, even where its peers lose nothing
	evidenceDecay        = 20 * Second // in which evidence falls to 1/e
	minExcessLoss        = 0.01        // bounds of the prior, for few or only lost attempts
	maxExcessLoss        = 0.9
)

// An attempt is lost without an answer from a machine that was heard of, and if the machine is full for no
// reason where the machine list has room.
const (
	answered = false
	lost     = true
)

func (f *FailureEvidence) decayed(now Time) float64 {
	return f.LogOdds * math.Exp(-float64(now-f.AsOf)/float64(evidenceDecay))
}

// trafficClassesOf returns the indexes of a container's workload class and tenant.
func (s *Scheduler) trafficClassesOf(c *container) [2]int {
	tenant := min(c.request.Tenant, len(s.config.Tenants))
	return [2]int{c.request.WorkloadClass, len(s.config.WorkloadClasses) + tenant}
}

func (s *Scheduler) recordClassOutcome(c *container, m *machine, isLost bool) {
	for _, class := range s.trafficClassesOf(c) {
		s.recordTrafficClass(class, m, isLost)
	}
}

// recordTrafficClass moves the evidence against the machine. A scheduler sees few attempts of a class on one
// machine, so the threshold is a prior from the whole fleet: the more attempts the class loses beyond its
// peers, the fewer losses suffice. Where all lose alike, a loss says little and the threshold stays high.
func (s *Scheduler) recordTrafficClass(class int, m *machine, isLost bool) {
	peers, others := s.peerLossRatio(class)
	stats, evidence := &s.trafficClasses[class], &m.failureEvidence[class]
	step := math.Log((1 - failingClassLossRate) / (1 - min(others, failingClassLossRate)))
	stats.LossRatio -= stats.LossRatio / averagingSpan
	if isLost {
		stats.LossRatio += 1.0 / averagingSpan
		step = math.Log(failingClassLossRate / min(max(others, minLossRate), failingClassLossRate))
	}
	before := evidence.decayed(s.now)
	evidence.LogOdds = min(max(0, before+step), maxLogOdds)
	evidence.AsOf = s.now
	stats.SuspicionThreshold = suspicionThreshold(stats.LossRatio-others, peers)
	if isLost && before < stats.SuspicionThreshold && evidence.LogOdds >= stats.SuspicionThreshold {
		s.logMachine("machine suspected of failing a traffic class", m, slog.Int("traffic_class", class),
			rounded("log_odds", evidence.LogOdds), rounded("loss_ratio", stats.LossRatio),
			rounded("peer_loss_ratio", others))
	}
}

// peerLossRatio returns how many workload classes, or tenants, there are, and the mean loss of the others.
func (s *Scheduler) peerLossRatio(class int) (peers int, ratio float64) {
	first, last := 0, len(s.config.WorkloadClasses)
	if class >= last {
		first, last = last, last+len(s.config.Tenants)
	}
	peers = last - first
	for i := first; i < last; i++ {
		if i != class {
			ratio += s.trafficClasses[i].LossRatio / float64(peers-1)
		}
	}
	return peers, ratio
}

// suspicionThreshold is the log odds of the prior that a machine does not fail the class.
func suspicionThreshold(excessLoss float64, peers int) float64 {
	if peers < 2 { // nothing to compare with
		return math.Inf(1)
	}
	excess := min(max(excessLoss, minExcessLoss), maxExcessLoss)
	return math.Log((1 - excess) / excess)
}

// suspectedForClass ends as the evidence decays, or once the class loses no more than its peers.
func (s *Scheduler) suspectedForClass(c *container, m *machine) bool {
	for _, class := range s.trafficClassesOf(c) {
		evidence := &m.failureEvidence[class]
		threshold := s.trafficClasses[class].SuspicionThreshold
		if evidence.LogOdds > 0 && evidence.decayed(s.now) >= threshold {
			return true
		}
	}
	return false
}
