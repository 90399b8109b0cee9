package scheduler

import "math"

// Outlier detection is a sequential test (Wald) of whether a machine is an outlier or healthy, by its failure rate.
// Each outcome moves the log odds between the two hypotheses.
const (
	outlierFailureRate = 0.6                   // part of its attempts that an outlier fails
	healthyFailureRate = 0.05                  // part that a healthy machine fails
	ejectionThreshold  = 4.6                   // 99 to 1; two failures in a row reach it
	maxLogOdds         = 2 * ejectionThreshold // so that later evidence still counts
	readmissionMargin  = 1                     // below the threshold: one more failure ejects again

	baseEjectionTime = 2 * Second // doubles with each ejection, until the log odds are even again
	maxEjectionTime  = 8 * Second
)

// Steps of the log odds.
var (
	successStep = math.Log((1 - outlierFailureRate) / (1 - healthyFailureRate))
	failureStep = math.Log(outlierFailureRate / healthyFailureRate)
)

// outlierRecord is the state of the test for one machine.
type outlierRecord struct {
	logOdds      float64
	ejectedUntil Time // 0: not ejected; past: it waits for a probe
	ejectionTime Time // of its next ejection
}

func newOutlierRecord() outlierRecord { return outlierRecord{ejectionTime: baseEjectionTime} }

func (r *outlierRecord) isEjected() bool { return r.ejectedUntil > 0 }

// ejectionIsOver reports whether an ejected machine may be probed.
func (r *outlierRecord) ejectionIsOver(now Time) bool { return r.isEjected() && now >= r.ejectedUntil }

func (r *outlierRecord) saveTo(s *MachineSnapshot) {
	s.OutlierLogOdds = r.logOdds
	s.EjectedUntil = r.ejectedUntil
	s.EjectionTime = r.ejectionTime
}

func (r *outlierRecord) restore(learned MachineSnapshot) {
	r.logOdds = learned.OutlierLogOdds
	r.ejectedUntil = learned.EjectedUntil
	r.ejectionTime = max(baseEjectionTime, learned.EjectionTime)
}

// outlierDetector ejects machines that fail and readmits them on trial.
type outlierDetector struct{ actions *actionBuffer }

// recordSuccess counts any answer of the machine, a refusal too, in its favor.
func (d *outlierDetector) recordSuccess(m *machine) {
	r := &m.outlier
	r.logOdds = max(0, r.logOdds+successStep)
	if r.logOdds == 0 {
		r.ejectionTime = baseEjectionTime
	}
}

// recordFailure ejects the machine once the evidence passes the threshold.
func (d *outlierDetector) recordFailure(m *machine, now Time) {
	r := &m.outlier
	r.logOdds = min(maxLogOdds, r.logOdds+failureStep)
	if r.logOdds < ejectionThreshold || r.ejectedUntil != 0 {
		return
	}
	r.ejectedUntil = now + r.ejectionTime
	r.ejectionTime = min(2*r.ejectionTime, maxEjectionTime)
	d.actions.logMachine("machine ejected", m, rounded("log_odds", r.logOdds))
}

// readmit takes a machine back on trial.
func (d *outlierDetector) readmit(m *machine) {
	m.outlier.ejectedUntil = 0
	m.outlier.logOdds = ejectionThreshold - readmissionMargin
	d.actions.logMachine("machine readmitted on trial", m)
}

// extendEjection leaves an ejected machine out for a while longer.
func (d *outlierDetector) extendEjection(m *machine, until Time) { m.outlier.ejectedUntil = until }
