package schedulerd

import (
	"glenport/internal/protocol"
	"glenport/internal/schedulerd/reconcile"
	"glenport/scheduler"
)

// applyList takes over where machines are and hands the list on to the scheduler and the reconciler.
func (s *Server) applyList(mode scheduler.UpdateMode, version int64, entries []protocol.MachineEntry) {
	update := scheduler.MachineListUpdate{
		Mode:    mode,
		Version: version,
		Entries: make([]scheduler.MachineEntry, 0, len(entries)),
	}
	listed := map[scheduler.MachineID]bool{}
	var ids []scheduler.MachineID
	var restarted []*machine
	for i := range entries {
		entry := &entries[i]
		m := s.machineFor(scheduler.MachineID(entry.Machine))
		if entry.State != protocol.MachineGone {
			listed[m.id] = true
			ids = append(ids, m.id)
		}
		if m.applyEntry(entry) {
			restarted = append(restarted, m)
		}
		update.Entries = append(update.Entries, m.schedulerEntry(entry))
	}
	s.removeGone(mode, listed)
	s.enqueueSchedulerEvent(update)
	s.noteIncarnations(restarted...)
	s.enqueueReconcilerEvent(reconcile.MachinesListed{Machines: ids, FullSnapshot: mode == scheduler.FullSnapshot})
	s.discovery.cache.merge(mode, version, entries)
}

// removeGone removes machines that an update marks as gone, or that a full list does not contain.
func (s *Server) removeGone(mode scheduler.UpdateMode, listed map[scheduler.MachineID]bool) {
	for id, m := range s.machines {
		if mode != scheduler.DeltaUpdate && !listed[id] {
			m.gone = true
		}
		if m.gone {
			s.enqueueReconcilerEvent(reconcile.MachineRemoved{Machine: id})
			m.removeIfGone()
		}
	}
}

// noteIncarnations restores and records sends in slow start, once the scheduler has the entries of the machines.
func (s *Server) noteIncarnations(machines ...*machine) {
	if s.state == nil {
		return
	}
	s.state.restorePending()
	for _, m := range machines {
		s.state.logIncarnation(m)
	}
}

// applyEntry reports whether the start of the machine's incarnation was unknown before.
func (m *machine) applyEntry(entry *protocol.MachineEntry) (restarted bool) {
	m.gone = entry.State == protocol.MachineGone
	if draining := entry.State == protocol.MachineDraining; draining != m.draining {
		m.draining = draining
		for _, a := range inOrder(m.attempts) {
			if a.accepted {
				m.server.announceRunning(a)
			}
		}
	}
	if entry.Address != "" && entry.Address != m.address {
		m.address = entry.Address
		if m.conn != nil {
			m.conn.Reset()
		}
	}
	return m.applyIncarnation(entry)
}

// applyIncarnation computes the start of a machine once for each incarnation: an age that came by another way must not
// look like another start.
func (m *machine) applyIncarnation(entry *protocol.MachineEntry) (restarted bool) {
	newer := entry.Incarnation > m.incarnation
	startUnknown := entry.Incarnation == m.incarnation && (m.startedAt == 0 || m.selfReported)
	if !newer && !startUnknown {
		return false
	}
	m.incarnation, m.startedAt, m.selfReported = entry.Incarnation, 0, false
	if entry.Age >= 0 {
		now := scheduler.Time(m.server.loop.Now())
		m.startedAt = max(1, now-scheduler.Time(entry.Age))
	}
	return true
}

// noteSelfReported takes an incarnation from the hello of a machine if no list has contained it yet. A hello has no
// age: until a list has, the incarnation counts as new.
func (s *Server) noteSelfReported(m *machine, incarnation uint64) {
	entry, listed := s.discovery.cache.entries[string(m.id)]
	if incarnation <= m.incarnation || !listed {
		return
	}
	m.incarnation, m.startedAt, m.selfReported = incarnation, scheduler.Time(s.loop.Now()), true
	s.enqueueSchedulerEvent(scheduler.MachineListUpdate{
		Mode: scheduler.SelfReported, Version: s.discovery.version,
		Entries: []scheduler.MachineEntry{m.schedulerEntry(&entry)},
	})
	s.noteIncarnations(m)
}

func (m *machine) schedulerEntry(entry *protocol.MachineEntry) scheduler.MachineEntry {
	return scheduler.MachineEntry{
		Machine:     m.id,
		Zone:        entry.Zone,
		MachineType: entry.MachineType,
		RackGroup:   entry.RackGroup,
		State:       scheduler.MachineState(entry.State),
		FreeCores:   entry.FreeCores,
		FreeMemory:  entry.FreeMemory,
		PowerHint:   entry.PowerHint,
		StartedAt:   m.startedAt,
	}
}

// machineListCache is the machine list as last received.
type machineListCache struct {
	entries map[string]protocol.MachineEntry // by machine ID
	version int64
}

func (c *machineListCache) merge(mode scheduler.UpdateMode, version int64, entries []protocol.MachineEntry) {
	if c.entries == nil || mode != scheduler.DeltaUpdate {
		c.entries = map[string]protocol.MachineEntry{}
	}
	c.version = version
	for _, entry := range entries {
		if entry.State == protocol.MachineGone {
			delete(c.entries, entry.Machine)
		} else {
			c.entries[entry.Machine] = entry
		}
	}
}
