package scheduler

import (
	"log/slog"
	"math"
	"slices"
)

// A second sequential test finds machines that fail one traffic class (a workload class or a tenant) but serve others.
// Its hypotheses are the parts of the class's attempts that a machine loses.
const (
	failingClassLossRate = 0.85        // of a machine that fails the class: nearly all
	minLossRate          = 0.02        // of any other, even where its peers lose nothing
	evidenceDecay        = 20 * Second // in which evidence falls to 1/e
	minExcessLoss        = 0.01        // bounds of the prior, for few or only lost attempts
	maxExcessLoss        = 0.9
)

// classOutcome is what an attempt shows of its traffic classes on a machine.
type classOutcome uint8

// An attempt is lost without an answer from a machine that was heard of, and if the machine is full for no reason where
// the machine list has room.
const (
	attemptAnswered classOutcome = iota
	attemptLost
)

// trafficClassPair holds the indexes of a request's workload class and tenant.
type trafficClassPair [2]int

// classEvidence is the evidence against a machine by traffic class.
type classEvidence []FailureEvidence

func newClassEvidence(trafficClasses int) classEvidence { return make(classEvidence, trafficClasses) }

func (e classEvidence) reset() { clear(e) }

// restore takes over the evidence of an earlier incarnation of the scheduler where it fits.
func (e *classEvidence) restore(learned MachineSnapshot) {
	if len(learned.FailureEvidence) == len(*e) {
		*e = learned.FailureEvidence
	}
}

func (e classEvidence) snapshot() []FailureEvidence { return slices.Clone([]FailureEvidence(e)) }

// decayed is the log odds as of now.
func (f *FailureEvidence) decayed(now Time) float64 {
	return f.LogOdds * math.Exp(-float64(now-f.AsOf)/float64(evidenceDecay))
}

// classFailureDetector finds machines that fail a traffic class. A scheduler sees few attempts of a class on one
// machine, so the threshold of a class is a prior from the whole fleet: the more attempts the class loses beyond its
// peers, the fewer losses suffice. Where all lose alike, a loss says little and the threshold stays high.
type classFailureDetector struct {
	workloadClasses int
	tenants         int
	actions         *actionBuffer
	classes         []TrafficClass // workload classes, then tenants, then requests without a tenant
}

// trafficClassCount counts the workload classes, the tenants and what has no tenant.
func trafficClassCount(config *Config) int {
	return len(config.WorkloadClasses) + len(config.Tenants) + 1
}

func newClassFailureDetector(config *Config, actions *actionBuffer) *classFailureDetector {
	return &classFailureDetector{
		workloadClasses: len(config.WorkloadClasses),
		tenants:         len(config.Tenants),
		actions:         actions,
		classes:         make([]TrafficClass, trafficClassCount(config)),
	}
}

// classesOf returns the traffic classes that a container belongs to.
func (d *classFailureDetector) classesOf(c *container) trafficClassPair {
	tenant := min(c.request.Tenant, d.tenants)
	return trafficClassPair{c.request.WorkloadClass, d.workloadClasses + tenant}
}

// record counts the outcome of an attempt for both of its traffic classes.
func (d *classFailureDetector) record(c *container, m *machine, outcome classOutcome, now Time) {
	for _, class := range d.classesOf(c) {
		d.recordClass(class, m, outcome, now)
	}
}

// recordClass moves the evidence against the machine, and the threshold of the class.
func (d *classFailureDetector) recordClass(class int, m *machine, outcome classOutcome, now Time) {
	stats := &d.classes[class]
	evidence := &m.evidence[class]
	peers, peerLoss := d.peerLossRatio(class)
	stats.recordLoss(outcome)
	before := evidence.decayed(now)
	evidence.LogOdds = min(max(0, before+evidenceStep(outcome, peerLoss)), maxLogOdds)
	evidence.AsOf = now
	stats.SuspicionThreshold = suspicionThreshold(stats.LossRatio-peerLoss, peers)
	crossed := before < stats.SuspicionThreshold && evidence.LogOdds >= stats.SuspicionThreshold
	if outcome == attemptLost && crossed {
		d.actions.logMachine("machine suspected of failing a traffic class", m,
			slog.Int("traffic_class", class),
			rounded("log_odds", evidence.LogOdds),
			rounded("loss_ratio", stats.LossRatio),
			rounded("peer_loss_ratio", peerLoss))
	}
}

// recordLoss moves the share of attempts that are lost.
func (t *TrafficClass) recordLoss(outcome classOutcome) {
	t.LossRatio -= t.LossRatio / averagingSpan
	if outcome == attemptLost {
		t.LossRatio += 1.0 / averagingSpan
	}
}

// evidenceStep is the log of how much likelier the outcome is on a machine that fails the class.
func evidenceStep(outcome classOutcome, peerLoss float64) float64 {
	if outcome == attemptLost {
		return math.Log(failingClassLossRate / min(max(peerLoss, minLossRate), failingClassLossRate))
	}
	return math.Log((1 - failingClassLossRate) / (1 - min(peerLoss, failingClassLossRate)))
}

// peerLossRatio returns how many workload classes, or tenants, there are, and the mean loss of the others.
func (d *classFailureDetector) peerLossRatio(class int) (peers int, ratio float64) {
	first, last := 0, d.workloadClasses
	if class >= last {
		first, last = last, last+d.tenants
	}
	peers = last - first
	for i := first; i < last; i++ {
		if i != class {
			ratio += d.classes[i].LossRatio / float64(peers-1)
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

// suspects reports whether a machine is taken to fail one of the classes. It ends as the evidence decays, or once the
// class loses no more than its peers.
func (d *classFailureDetector) suspects(m *machine, classes trafficClassPair, now Time) bool {
	for _, class := range classes {
		evidence := &m.evidence[class]
		if evidence.LogOdds > 0 && evidence.decayed(now) >= d.classes[class].SuspicionThreshold {
			return true
		}
	}
	return false
}

func (d *classFailureDetector) snapshot() []TrafficClass { return slices.Clone(d.classes) }

// fits reports whether a snapshot has the traffic classes of this configuration.
func (d *classFailureDetector) fits(learned []TrafficClass) bool {
	return len(learned) == len(d.classes)
}

func (d *classFailureDetector) restore(learned []TrafficClass) { d.classes = learned }
