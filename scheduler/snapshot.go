package scheduler

import "slices"

// Snapshot returns what this scheduler has learned, for a later incarnation of it.
func (s *Scheduler) Snapshot() Snapshot {
	snapshot := Snapshot{TrafficClasses: s.classes.snapshot()}
	s.shedder.saveTo(&snapshot)
	s.slowStart.saveTo(&snapshot)
	for _, m := range s.machines.all() {
		snapshot.Machines = append(snapshot.Machines, m.snapshot(s.slowStart.recentSends(m, s.now)))
	}
	return snapshot
}

func (m *machine) snapshot(recentSends []Time) MachineSnapshot {
	snapshot := MachineSnapshot{
		Machine:         m.id,
		StartedAt:       m.listing.startedAt,
		FailureEvidence: m.evidence.snapshot(),
		RecentSends:     slices.Clone(recentSends),
	}
	m.outlier.saveTo(&snapshot)
	m.selfDrain.saveTo(&snapshot)
	return snapshot
}

// Restore takes in what an earlier incarnation knew, after the restored machine list and before any request. What is
// of another incarnation of a machine, or does not fit the configuration, is passed over. The slices of the snapshot
// belong to the scheduler from then on.
func (s *Scheduler) Restore(snapshot Snapshot) {
	if s.classes.fits(snapshot.TrafficClasses) {
		s.classes.restore(snapshot.TrafficClasses)
		s.shedder.restore(snapshot, s.now)
	}
	s.slowStart.start(snapshot.SendsKnownSince)
	for _, learned := range snapshot.Machines {
		m := s.machines.find(learned.Machine)
		if m != nil && m.listing.known && m.listing.startedAt == learned.StartedAt {
			m.restore(learned)
		}
	}
}

func (m *machine) restore(learned MachineSnapshot) {
	m.outlier.restore(learned)
	m.selfDrain.restore(learned)
	m.sends.restore(learned)
	m.evidence.restore(learned)
}
