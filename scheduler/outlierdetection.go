package scheduler

import "math"

// Outlier detection is a sequential test (Wald) between two hypotheses: the machine is an outlier, or it is healthy.
// The hypotheses differ in the failure rate of attempts on the machine. Each outcome changes the log odds between them.
const (
	outlierFailureRate = 0.6                   // share of the attempts on an outlier that fail
	healthyFailureRate = 0.05                  // share of the attempts on a healthy machine that fail
	ejectionThreshold  = 4.6                   // odds of 99 to 1; two failures in a row reach it
	maxLogOdds         = 2 * ejectionThreshold // upper bound, so that later successes still have an effect
	readmissionMargin  = 1                     // distance below the threshold: one more failure ejects again

	baseEjectionTime = 2 * Second // doubles with each ejection until the log odds are back at 0
	maxEjectionTime  = 8 * Second
)

// Changes of the log odds by one outcome.
var (
	successStep = math.Log((1 - outlierFailureRate) / (1 - healthyFailureRate))
	failureStep = math.Log(outlierFailureRate / healthyFailureRate)
)

// outlierRecord is the state of the test for one machine.
type outlierRecord struct {
	logOdds      float64
	ejectedUntil Time // 0: not ejected; a past time: still ejected until a probe succeeds
	ejectionTime Time // length of the next ejection
}

func newOutlierRecord() outlierRecord { return outlierRecord{ejectionTime: baseEjectionTime} }

func (r *outlierRecord) isEjected() bool { return r.ejectedUntil > 0 }

// ejectionIsOver reports whether the machine is ejected and its ejection time has passed, so that it may be probed.
func (r *outlierRecord) ejectionIsOver(now Time) bool { return r.isEjected() && now >= r.ejectedUntil }

func (r *outlierRecord) saveTo(s *MachineSnapshot) {
	s.OutlierLogOdds = r.logOdds
	s.EjectedUntil = r.ejectedUntil
	s.EjectionTime = r.ejectionTime
}

func (r *outlierRecord) restore(snapshot MachineSnapshot) {
	r.logOdds = snapshot.OutlierLogOdds
	r.ejectedUntil = snapshot.EjectedUntil
	r.ejectionTime = max(baseEjectionTime, snapshot.EjectionTime)
}

// outlierDetector ejects failing machines and readmits them on trial.
type outlierDetector struct{ actions *actionBuffer }

// recordSuccess records an answer of the machine, which may also be a refusal.
func (d *outlierDetector) recordSuccess(m *machine) {
	r := &m.outlier
	r.logOdds = max(0, r.logOdds+successStep)
	if r.logOdds == 0 {
		r.ejectionTime = baseEjectionTime
	}
}

// recordFailure records a failure, and ejects the machine once the log odds reach the threshold.
func (d *outlierDetector) recordFailure(m *machine, now Time) {
	r := &m.outlier
	r.logOdds = min(maxLogOdds, r.logOdds+failureStep)
	if r.logOdds < ejectionThreshold || r.ejectedUntil != 0 {
		return
	}
	r.ejectedUntil = now + r.ejectionTime
	r.ejectionTime = min(2*r.ejectionTime, maxEjectionTime)
	d.actions.logMachine("machine ejected", m, roundedAttr("log_odds", r.logOdds))
}

// readmit ends the ejection. The machine is on trial: its log odds are just below the threshold.
func (d *outlierDetector) readmit(m *machine) {
	m.outlier.ejectedUntil = 0
	m.outlier.logOdds = ejectionThreshold - readmissionMargin
	d.actions.logMachine("machine readmitted on trial", m)
}

// extendEjection prolongs the ejection of an ejected machine.
func (d *outlierDetector) extendEjection(m *machine, until Time) { m.outlier.ejectedUntil = until }
