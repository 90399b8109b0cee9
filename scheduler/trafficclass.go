package scheduler

import (
	"log/slog"
	"math"
	"slices"
)

// A second sequential test finds machines that fail one traffic class (a workload class or a tenant) but serve others.
// Its two hypotheses differ in the share of the class's attempts that a machine loses.
const (
	failingClassLossRate = 0.85        // share of the class's attempts lost by a machine that fails it
	minLossRate          = 0.02        // least share lost on other machines, even if peer classes lose nothing
	evidenceDecay        = 20 * Second // time in which evidence falls to 1/e
	minExcessLoss        = 0.01        // bounds of the prior, for classes that lose very few or almost all attempts
	maxExcessLoss        = 0.9
)

// classOutcome is the outcome of an attempt as evidence about its traffic classes.
type classOutcome uint8

// An attempt is lost if it times out or fails on a machine that responds otherwise, or if the machine refuses it
// as full without a reason while the machine list shows room.
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

// restore restores the evidence of an earlier incarnation of the scheduler if it has the same number of classes.
func (e *classEvidence) restore(snapshot MachineSnapshot) {
	if len(snapshot.FailureEvidence) == len(*e) {
		*e = snapshot.FailureEvidence
	}
}

func (e classEvidence) snapshot() []FailureEvidence { return slices.Clone([]FailureEvidence(e)) }

// decayedLogOdds returns the log odds as of now.
func (f *FailureEvidence) decayedLogOdds(now Time) float64 {
	return f.LogOdds * math.Exp(-float64(now-f.AsOf)/float64(evidenceDecay))
}

// classFailureDetector finds machines that fail a traffic class. A scheduler sees few attempts of a class on one
// machine, so the threshold of a class is a prior from the whole fleet. The more the class's loss ratio exceeds the
// mean of its peer classes, the fewer losses are needed. If all classes lose alike, a loss says little and the
// threshold stays high.
type classFailureDetector struct {
	workloadClasses int
	tenants         int
	actions         *actionBuffer
	classes         []TrafficClass // workload classes, then tenants, then requests without a tenant
}

// trafficClassCount returns the number of traffic classes: the workload classes, the tenants, and one for requests
// without a tenant.
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

// record records the outcome of an attempt for both of its traffic classes.
func (d *classFailureDetector) record(c *container, m *machine, outcome classOutcome, now Time) {
	for _, class := range d.classesOf(c) {
		d.recordClass(class, m, outcome, now)
	}
}

// recordClass updates the evidence against the machine and the threshold of the class.
func (d *classFailureDetector) recordClass(class int, m *machine, outcome classOutcome, now Time) {
	stats := &d.classes[class]
	evidence := &m.evidence[class]
	peers, peerLoss := d.peerLossRatio(class)
	stats.recordLoss(outcome)
	before := evidence.decayedLogOdds(now)
	evidence.LogOdds = min(max(0, before+evidenceStep(outcome, peerLoss)), maxLogOdds)
	evidence.AsOf = now
	stats.SuspicionThreshold = suspicionThreshold(stats.LossRatio-peerLoss, peers)
	crossed := before < stats.SuspicionThreshold && evidence.LogOdds >= stats.SuspicionThreshold
	if outcome == attemptLost && crossed {
		d.actions.logMachine("machine suspected of failing a traffic class", m,
			slog.Int("traffic_class", class),
			roundedAttr("log_odds", evidence.LogOdds),
			roundedAttr("loss_ratio", stats.LossRatio),
			roundedAttr("peer_loss_ratio", peerLoss))
	}
}

// recordLoss updates the moving share of lost attempts.
func (t *TrafficClass) recordLoss(outcome classOutcome) {
	t.LossRatio -= t.LossRatio / averagingSpan
	if outcome == attemptLost {
		t.LossRatio += 1.0 / averagingSpan
	}
}

// evidenceStep returns the log likelihood ratio of an outcome: on a machine that fails the class, to any other machine.
func evidenceStep(outcome classOutcome, peerLoss float64) float64 {
	if outcome == attemptLost {
		return math.Log(failingClassLossRate / min(max(peerLoss, minLossRate), failingClassLossRate))
	}
	return math.Log((1 - failingClassLossRate) / (1 - min(peerLoss, failingClassLossRate)))
}

// peerLossRatio returns the number of classes of the same kind (workload classes or tenants), and the mean loss ratio
// of all except the class itself.
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

// suspicionThreshold returns the prior log odds that a machine does not fail the class.
func suspicionThreshold(excessLoss float64, peers int) float64 {
	if peers < 2 { // no other class to compare with
		return math.Inf(1)
	}
	excess := min(max(excessLoss, minExcessLoss), maxExcessLoss)
	return math.Log((1 - excess) / excess)
}

// suspects reports whether a machine is suspected of failing one of the classes. A suspicion ends when the evidence has
// decayed, or when the class does not lose more than its peers any longer.
func (d *classFailureDetector) suspects(m *machine, classes trafficClassPair, now Time) bool {
	for _, class := range classes {
		evidence := &m.evidence[class]
		if evidence.LogOdds > 0 && evidence.decayedLogOdds(now) >= d.classes[class].SuspicionThreshold {
			return true
		}
	}
	return false
}

func (d *classFailureDetector) snapshot() []TrafficClass { return slices.Clone(d.classes) }

// fits reports whether a snapshot has as many traffic classes as this configuration.
func (d *classFailureDetector) fits(classes []TrafficClass) bool {
	return len(classes) == len(d.classes)
}

func (d *classFailureDetector) restore(classes []TrafficClass) { d.classes = classes }
