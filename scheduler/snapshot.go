package scheduler

import "slices"

// Snapshot returns what this scheduler has learned, for a later incarnation of it.
func (s *Scheduler) Snapshot() Snapshot {
	snapshot := Snapshot{TrafficClasses: slices.Clone(s.trafficClasses), FullRatio: s.fullRatio,
		RejectedWeight: s.rejectedWeight, SendsKnownSince: s.sendsKnownSince}
	for _, m := range s.machineOrder {
		snapshot.Machines = append(snapshot.Machines, s.machineSnapshot(m))
	}
	return snapshot
}

func (s *Scheduler) machineSnapshot(m *machine) MachineSnapshot {
	return MachineSnapshot{Machine: m.id, StartedAt: m.startedAt, OutlierLogOdds: m.outlierLogOdds,
		EjectedUntil: m.ejectedUntil, EjectionTime: m.ejectionTime, SelfDrainingUntil: m.selfDrainingUntil,
		FailureEvidence: slices.Clone(m.failureEvidence), RecentSends: slices.Clone(s.trimmedSends(m))}
}

// Restore takes in what an earlier incarnation knew, after the restored machine list and before any request.
// What is of another incarnation of a machine, or does not fit the configuration, is passed over.
func (s *Scheduler) Restore(snapshot Snapshot) {
	if len(snapshot.TrafficClasses) == len(s.trafficClasses) {
		s.trafficClasses = snapshot.TrafficClasses
		s.fullRatio = snapshot.FullRatio
		s.rejectedWeight = snapshot.RejectedWeight
	}
	s.sendsKnownSince = snapshot.SendsKnownSince
	for _, learned := range snapshot.Machines {
		m := s.machines[learned.Machine]
		if m != nil && m.listed && m.startedAt == learned.StartedAt {
			m.restore(learned)
		}
	}
}

func (m *machine) restore(learned MachineSnapshot) {
	m.outlierLogOdds = learned.OutlierLogOdds
	m.ejectedUntil = learned.EjectedUntil
	m.ejectionTime = max(baseEjectionTime, learned.EjectionTime)
	m.selfDrainingUntil = learned.SelfDrainingUntil
	m.recentSends = append(learned.RecentSends, m.recentSends...)
	if len(learned.FailureEvidence) == len(m.failureEvidence) {
		m.failureEvidence = learned.FailureEvidence
	}
}
