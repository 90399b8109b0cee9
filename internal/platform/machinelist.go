package platform

import (
	"glenport/internal/eventloop"
	"glenport/scheduler"
)

// applyUpdate applies an event of the discovery service to the machines and forwards it to the scheduler.
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

// markAllGone marks all machines as gone; a full snapshot then names those that are not.
func (s *Server) markAllGone() []*machine {
	all := make([]*machine, 0, len(s.machines))
	for _, id := range sortedKeys(s.machines) {
		m := s.machines[id]
		m.state = scheduler.MachineGone
		all = append(all, m)
	}
	return all
}

// evictPredecessor marks the machine as gone at whose address an update names another one, and returns it; nil if there
// is none. The list may report it as gone only later, but offers to it would reach its successor and exceed the
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

// apply applies an update to a machine. Containers of an earlier incarnation are lost.
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

// finishUpdate ends the containers of a machine that is gone by an event, or because a full snapshot left it out.
func (m *machine) finishUpdate() {
	if m.state == scheduler.MachineGone {
		m.failRunning(m.server.loop.Now())
		m.releaseAddr()
	}
	m.evictIfGone()
}

// releaseAddr removes a machine from its address, unless another machine is there already.
func (m *machine) releaseAddr() {
	if m.server.machineAtAddr[m.addr] == m.id {
		delete(m.server.machineAtAddr, m.addr)
	}
}
