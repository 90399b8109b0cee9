package scheduler

import "slices"

// Snapshot returns the state that a later incarnation of this scheduler restores.
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

// Restore restores the snapshot of an earlier incarnation. It is called after the restored machine list is applied and
// before the first request. It ignores the state of machines that have restarted or are not in the machine list, and
// statistics of traffic classes that do not match the configuration. The scheduler takes ownership of the snapshot's
// slices.
func (s *Scheduler) Restore(snapshot Snapshot) {
	if s.classes.fits(snapshot.TrafficClasses) {
		s.classes.restore(snapshot.TrafficClasses)
		s.shedder.restore(snapshot, s.now)
	}
	s.slowStart.start(snapshot.SendsKnownSince)
	for _, saved := range snapshot.Machines {
		m := s.machines.find(saved.Machine)
		if m != nil && m.listing.known && m.listing.startedAt == saved.StartedAt {
			m.restore(saved)
		}
	}
}

func (m *machine) restore(snapshot MachineSnapshot) {
	m.outlier.restore(snapshot)
	m.selfDrain.restore(snapshot)
	m.sends.restore(snapshot)
	m.evidence.restore(snapshot)
}
