package platform

import (
	"glenport/internal/eventloop"
	"glenport/scheduler"
)

// applyUpdate passes an event of the discovery service to the scheduler, and keeps the machines' addresses and states.
func (s *Server) applyUpdate(mode scheduler.UpdateMode, event watchEvent) {
	list := scheduler.MachineListUpdate{Mode: mode, Version: event.version}
	if mode == scheduler.DeltaUpdate && event.fullSnapshot {
		list.Mode = scheduler.FullSnapshot
	}
	var touched []*machine
	if event.fullSnapshot {
		touched = s.markAllGone()
	}
	for _, update := range event.machines {
		m := s.machineByID(update.entry.Machine)
		touched = append(touched, m)
		if predecessor := s.evictPredecessor(update); predecessor != nil {
			list.Entries = append(list.Entries, predecessor.entry)
			touched = append(touched, predecessor)
		}
		m.apply(update)
		list.Entries = append(list.Entries, update.entry)
	}
	s.notifyScheduler(list)
	for _, m := range touched {
		m.finishUpdate()
	}
}

// markAllGone begins a full snapshot: what it does not name is gone.
func (s *Server) markAllGone() []*machine {
	all := make([]*machine, 0, len(s.machines))
	for _, id := range sortedKeys(s.machines) {
		m := s.machines[id]
		m.state = scheduler.MachineGone
		all = append(all, m)
	}
	return all
}

// evictPredecessor returns the machine at whose address an update names another one; nil where there is none. It is gone,
// though the list has yet to say so: what was sent to that address for it would reach its successor, and go beyond the
// successor's slow-start budget.
func (s *Server) evictPredecessor(update machineUpdate) *machine {
	old := s.machines[s.machineAtAddr[update.addr]]
	if old == nil || old.id == update.entry.Machine || update.entry.State == scheduler.MachineGone {
		return nil
	}
	old.state, old.entry.State = scheduler.MachineGone, scheduler.MachineGone
	old.closeIdleConns()
	return old
}

// apply takes in what an event says of a machine. Containers of an earlier incarnation are lost.
func (m *machine) apply(update machineUpdate) {
	entry := update.entry
	if m.addr != update.addr && update.addr != "" {
		m.releaseAddr()
	}
	if m.addr != update.addr && m.addr != "" || m.startedAt != entry.StartedAt {
		m.closeIdleConns()
	}
	if update.addr != "" {
		m.addr = update.addr
	}
	m.entry = entry
	if entry.State == scheduler.MachineGone {
		m.releaseAddr()
	} else {
		m.server.machineAtAddr[m.addr] = m.id
	}
	m.state, m.startedAt = entry.State, entry.StartedAt
	if m.startedAt > 0 {
		m.failRunning(eventloop.Tick(m.startedAt))
	}
}

// finishUpdate ends what was running at a machine that an event has shown to be gone, also by leaving it out of a full
// snapshot.
func (m *machine) finishUpdate() {
	if m.state == scheduler.MachineGone {
		m.failRunning(m.server.loop.Now())
		m.releaseAddr()
	}
	m.evictIfGone()
}

// releaseAddr notes that a machine is not at its address any more, unless another one is.
func (m *machine) releaseAddr() {
	if m.server.machineAtAddr[m.addr] == m.id {
		delete(m.server.machineAtAddr, m.addr)
	}
}
