package scheduler

import (
	"log/slog"
	"math"
)

// Outlier detection is a sequential test of whether a machine is an outlier or healthy, by its failure rate.
// Each outcome moves the log odds between the two.
const (
	outlierFailureRate = 0.6                   // part of its attempts that an outlier fails
	healthyFailureRate = 0.05                  // part that a healthy machine fails
	ejectionThreshold  = 4.6                   // 99 to 1; two failures in a row reach it
	maxLogOdds         = 2 * ejectionThreshold // so that later evidence still counts
	readmissionMargin  = 1                     // below the threshold: one more failure ejects again

	baseEjectionTime   = 2 * Second // doubles with each ejection, until the log odds are even again
	maxEjectionTime    = 8 * Second
	probeRetryInterval = baseEjectionTime / 2 // after a probe of an ejected machine that failed
	silenceBeforeProbe = Second / 2           // age of an attempt on a machine that was not heard of since
	selfDrainingTime   = 5 * Second           // after the last sign of it
)

func (m *machine) isEjected() bool { return m.ejectedUntil > 0 }

// recordSuccess counts any answer of the machine, a refusal too, in its favor.
func (s *Scheduler) recordSuccess(m *machine) {
	m.outlierLogOdds = max(0, m.outlierLogOdds+math.Log((1-outlierFailureRate)/(1-healthyFailureRate)))
	if m.outlierLogOdds == 0 {
		m.ejectionTime = baseEjectionTime
	}
}

// recordFailure ejects the machine once the evidence passes the threshold.
func (s *Scheduler) recordFailure(m *machine) {
	m.outlierLogOdds = min(maxLogOdds, m.outlierLogOdds+math.Log(outlierFailureRate/healthyFailureRate))
	if m.outlierLogOdds >= ejectionThreshold && m.ejectedUntil == 0 {
		m.ejectedUntil = s.now + m.ejectionTime
		m.ejectionTime = min(2*m.ejectionTime, maxEjectionTime)
		s.logMachine("machine ejected", m, rounded("log_odds", m.outlierLogOdds))
	}
}

// readmit takes a machine back on trial.
func (s *Scheduler) readmit(m *machine) {
	m.ejectedUntil = 0
	m.outlierLogOdds = ejectionThreshold - readmissionMargin
	s.logMachine("machine readmitted on trial", m)
}

// markSelfDraining excludes a machine from every draw for a while, even if it sent away one container only.
func (s *Scheduler) markSelfDraining(m *machine) {
	if s.now >= m.selfDrainingUntil {
		s.logMachine("machine drains itself", m, slog.Int64("excluded_ms", int64(selfDrainingTime/Millisecond)))
	}
	m.selfDrainingUntil = s.now + selfDrainingTime
}

// recordAttempt takes the outcome of an attempt as evidence on its machine.
func (s *Scheduler) recordAttempt(c *container, m *machine, e AttemptEnded, accepted, silent bool) {
	switch e.Outcome {
	case OutcomeFinished:
		m.lastHeardAt = s.now
	case OutcomeFull:
		m.lastHeardAt = s.now
		if e.Reason == ReasonNoCores || e.Reason == ReasonNoMemory {
			s.recordNoRoom(c)
		}
		s.recordSuccess(m)
		if e.Reason == ReasonNone && s.listHasRoom(c, m) {
			s.recordClassOutcome(c, m, lost)
		}
	case OutcomeConnectFailed:
		s.recordFailure(m)
	case OutcomeErrored:
		if !accepted {
			c.failures = append(c.failures, unattributedFailure{m, c.sentAt, silent})
		}
	case OutcomeTimedOut:
		if silent && !accepted {
			s.recordFailure(m)
		} else if !accepted {
			s.recordClassOutcome(c, m, lost)
		}
	case OutcomeLost:
		if silent && !accepted || e.Reason == ReasonNone {
			s.recordFailure(m)
		}
	}
}

// attributeFailures counts a container's errors against the machines. It is called once the container ran
// elsewhere, or is closed with a single error: one that failed on several machines is itself taken as faulty.
func (s *Scheduler) attributeFailures(c *container) {
	for _, f := range c.failures {
		switch {
		case f.sentAt < f.machine.startedAt: // an earlier incarnation
		case f.silent:
			s.recordFailure(f.machine)
		default:
			s.recordClassOutcome(c, f.machine, lost)
		}
	}
	c.failures = nil
}

// probeMachines probes machines whose ejection time is over, and those that are silent.
func (s *Scheduler) probeMachines() {
	silent := s.silentMachines()
	for _, m := range s.machineOrder {
		ejectionOver := m.isEjected() && s.now >= m.ejectedUntil
		suspect := ejectionOver || !m.isEjected() && silent[m]
		switch {
		case m.state != MachineServing || m.probeSentAt > 0 || !suspect:
		case !s.config.ProbesAllowed:
			if ejectionOver {
				s.readmit(m)
			}
		case s.slowStartAllows(m):
			m.probeSentAt = s.now
			m.recentSends = append(s.trimmedSends(m), s.now)
			s.emit(Probe{m.id})
		}
	}
}

func (s *Scheduler) silentMachines() map[*machine]bool {
	silent := map[*machine]bool{}
	for _, c := range s.containers {
		m := c.machine
		if m != nil && !c.accepted && m.lastHeardAt < c.sentAt && s.now-c.sentAt > silenceBeforeProbe {
			silent[m] = true
		}
	}
	return silent
}

func (s *Scheduler) probeCompleted(e ProbeCompleted) {
	m := s.machines[e.Machine]
	if m == nil {
		return
	}
	sentAt := m.probeSentAt
	m.probeSentAt = 0
	switch {
	case sentAt < m.startedAt: // to an earlier incarnation
	case e.Outcome == OutcomeFinished:
		m.lastHeardAt = s.now
		if m.isEjected() {
			s.readmit(m)
		}
	case m.isEjected():
		m.ejectedUntil = s.now + probeRetryInterval
	case e.Outcome != OutcomeNotSent: // else the fault is this scheduler's own
		s.recordFailure(m)
	}
}
