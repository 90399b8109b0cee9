package platform

import (
	"iter"
	"slices"

	"glenport/internal/eventloop"
	"glenport/internal/platform/adoption"
	"glenport/internal/platform/failuredetector"
	"glenport/scheduler"
)

// machineRegistry holds the machines, and the machine at each address.
type machineRegistry struct {
	env      *environment
	pool     *machineConnPool
	machines map[scheduler.MachineID]*machine // each until it is gone from the list and has no work
	atAddr   map[string]scheduler.MachineID   // the machine at each address, until the machine is gone

	largestCapacity adoption.Capacity // of all machine types
}

func newMachineRegistry(env *environment) *machineRegistry {
	r := &machineRegistry{
		env:      env,
		machines: map[scheduler.MachineID]*machine{},
		atAddr:   map[string]scheduler.MachineID{},

		largestCapacity: env.config.largestCapacity(),
	}
	r.pool = &machineConnPool{env: env, machines: r}
	return r
}

func (r *machineRegistry) lookup(id scheduler.MachineID) *machine { return r.machines[id] }

// getOrAdd returns the machine with an identifier. A machine that was never on the machine list counts as gone.
func (r *machineRegistry) getOrAdd(id scheduler.MachineID) *machine {
	m := r.machines[id]
	if m == nil {
		m = &machine{
			env:      r.env,
			registry: r,
			id:       id,
			state:    scheduler.MachineGone,
			attempts: map[scheduler.ContainerID]*attempt{},
		}
		m.conns = &machineConnSet{env: r.env, pool: r.pool, machine: m}
		r.machines[id] = m
	}
	return m
}

// claimTarget describes the machine at which a client claims that a container is running.
func (r *machineRegistry) claimTarget(id scheduler.MachineID) adoption.Machine {
	m := r.machines[id]
	if m == nil || !m.isListed() {
		unlisted := adoption.Machine{Capacity: r.largestCapacity}
		if m != nil {
			unlisted.Running = m.runningLoad
		}
		return unlisted
	}
	return adoption.Machine{
		Listed:   true,
		Capacity: r.env.config.capacity(m.entry.MachineType),
		Running:  m.runningLoad,
	}
}

func (r *machineRegistry) count() int { return len(r.machines) }

// sorted yields the machines in order of their identifiers. It skips machines that are removed during the iteration.
func (r *machineRegistry) sorted() iter.Seq[*machine] {
	return func(yield func(*machine) bool) {
		for _, id := range sortedKeys(r.machines) {
			if m := r.machines[id]; m != nil && !yield(m) {
				return
			}
		}
	}
}

// remove removes a machine, unless its identifier belongs to another machine by now.
func (r *machineRegistry) remove(m *machine) {
	if r.machines[m.id] == m {
		delete(r.machines, m.id)
	}
}

func (r *machineRegistry) claimAddr(m *machine) { r.atAddr[m.addr] = m.id }

// releaseAddr removes a machine from its address, unless another machine is there already.
func (r *machineRegistry) releaseAddr(m *machine) {
	if r.atAddr[m.addr] == m.id {
		delete(r.atAddr, m.addr)
	}
}

// applyUpdate applies an event of the discovery service to the machines and forwards it to the scheduler.
func (r *machineRegistry) applyUpdate(mode scheduler.UpdateMode, event watchEvent) {
	list := scheduler.MachineListUpdate{Mode: mode, Version: event.version}
	if mode == scheduler.DeltaUpdate && event.fullSnapshot {
		list.Mode = scheduler.FullSnapshot
	}
	var touched []*machine
	if event.fullSnapshot {
		touched = r.markAllGone()
	}
	for _, update := range event.machines {
		m := r.getOrAdd(update.entry.Machine)
		touched = append(touched, m)
		if predecessor := r.predecessor(update); predecessor != nil {
			list.Entries = append(list.Entries, predecessor.markReplaced())
			touched = append(touched, predecessor)
		}
		m.apply(update)
		list.Entries = append(list.Entries, update.entry)
	}
	r.env.notifyScheduler(list)
	for _, m := range touched {
		m.finishUpdate()
	}
}

// markAllGone marks all machines as gone. The entries of a full snapshot then update the machines that are not gone.
func (r *machineRegistry) markAllGone() []*machine {
	all := slices.Collect(r.sorted())
	for _, m := range all {
		m.markUnlisted()
	}
	return all
}

// predecessor returns the machine whose address an update assigns to another machine; nil if there is none. The list
// may report the predecessor as gone only later. Until then, offers to it would reach its successor and exceed the
// slow-start budget of the successor.
func (r *machineRegistry) predecessor(update machineUpdate) *machine {
	old := r.machines[r.atAddr[update.addr]]
	if old == nil || old.id == update.entry.Machine || update.entry.State == scheduler.MachineGone {
		return nil
	}
	return old
}

// maintainConns closes idle connections and replaces broken ones, machine by machine, and sends cancels that are due.
func (r *machineRegistry) maintainConns(now eventloop.Tick) {
	for m := range r.sorted() { // a machine may be evicted when another one needs a connection
		m.conns.maintain(now)
	}
	r.finishUnconfirmed()
	r.sendDueCancels()
}

// disconnect closes the connections to a machine that are not busy.
func (r *machineRegistry) disconnect(id scheduler.MachineID) {
	if m := r.machines[id]; m != nil {
		m.conns.closeIdle()
	}
}

// connectForLiveness opens a connection and sends nothing on it. A machine that is alive accepts it.
func (r *machineRegistry) connectForLiveness(action failuredetector.Connect) {
	if m := r.machines[scheduler.MachineID(action.Machine)]; m != nil && m.hasAddr() {
		m.conns.connect() // at the limit none is opened: the detector asks again
	}
}

// finishReclaimed ends a container whose machine had reported its end before a client reclaimed it.
func (r *machineRegistry) finishReclaimed(action failuredetector.ReportTermination) {
	at, id := scheduler.MachineID(action.Machine), scheduler.ContainerID(action.RequestID)
	m := r.machines[at]
	if m == nil {
		return
	}
	cause := terminationCause(action.Cause)
	if a := m.attempt(id); a == nil {
		r.env.notifyUnadoptedEnd(id, at, cause)
	} else {
		r.env.cancels.Discard(m.cancelFor(id))
		a.finishRunning(cause, scheduler.AttemptEnded{Outcome: cause.outcomeAfterAccept()})
	}
}

// declareLost ends the containers of a machine that is silent or refuses connections.
func (r *machineRegistry) declareLost(action failuredetector.DeclareLost) {
	if m := r.machines[scheduler.MachineID(action.Machine)]; m != nil {
		m.declareLost(eventloop.Tick(action.SilentFor))
	}
}
