package scheduler

import (
	"log/slog"
	"slices"
)

const pollSpacing = 100 * Millisecond // for each scheduler: the span over which all of them poll

// applyMachineList takes in an update. A failed poll leaves the machines as they are and is repeated, as the
// watch may be lost too; with each failure over twice the span, to spare a list service that comes back.
func (s *Scheduler) applyMachineList(update MachineListUpdate) {
	if update.Mode == UpdateFailed {
		s.pollAt = s.now + s.jitter(s.pollDelay)
		s.pollDelay = min(2*s.pollDelay, s.config.ResyncInterval)
		return
	}
	if update.Mode == DeltaUpdate || update.Mode == FullSnapshot { // the list service answered
		s.pollAt = 0
		s.pollDelay = s.basePollDelay()
	}
	if update.Mode == FullSnapshot || update.Mode == RestoredSnapshot {
		for _, m := range s.machineOrder {
			m.state = MachineGone
		}
	}
	for _, e := range update.Entries {
		s.applyMachineEntry(e)
	}
	s.evictGoneMachines()
}

func (s *Scheduler) basePollDelay() Time {
	return min(pollSpacing*Time(max(1, s.config.SchedulerCount)), s.config.ResyncInterval/2)
}

func (s *Scheduler) applyMachineEntry(e MachineEntry) {
	m := s.findOrAddMachine(e.Machine)
	if e.MachineType >= len(s.config.MachineTypes) {
		s.logMachine("machine of unknown type is not used", m, slog.Int("machine_type", e.MachineType))
		m.state = MachineGone
		return
	}
	if !m.listed || m.startedAt != e.StartedAt {
		s.beginIncarnation(m, e.StartedAt)
	}
	m.listed = true
	m.zone = e.Zone
	m.rackGroup = e.RackGroup
	m.machineType = e.MachineType
	m.state = e.State
	total := s.config.MachineTypes[e.MachineType]
	m.capacity = min(total.Cores/s.config.MeanCores, total.Memory/s.config.MeanMemory)
	m.listRequested = resources{total.Cores - e.FreeCores, total.Memory - e.FreeMemory}
}

// beginIncarnation drops what was learned of an earlier start of the machine.
func (s *Scheduler) beginIncarnation(m *machine, startedAt Time) {
	m.startedAt = startedAt
	m.outlierLogOdds = 0
	m.ejectedUntil = 0
	m.ejectionTime = baseEjectionTime
	m.selfDrainingUntil = 0
	clear(m.failureEvidence)
	// What was sent just before the start may have reached this incarnation.
	for len(m.recentSends) > 0 && m.recentSends[0] < startedAt-s.transitTime() {
		m.recentSends = m.recentSends[1:]
	}
}

// evictGoneMachines drops machines that are gone once nothing refers to them: no container, no exclusion, no
// send that would count if they came back in the same incarnation.
func (s *Scheduler) evictGoneMachines() {
	for i := len(s.machineOrder) - 1; i >= 0; i-- {
		m := s.machineOrder[i]
		referred := m.reservations+m.excludedBy > 0
		if m.state == MachineGone && !referred && len(s.trimmedSends(m)) == 0 {
			delete(s.machines, m.id)
			s.machineOrder = slices.Delete(s.machineOrder, i, i+1)
		}
	}
}
