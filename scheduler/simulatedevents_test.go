package scheduler

import "fmt"

// This file holds the events that occur in the simulated cluster without an action of the scheduler.

// machineEntries returns the machine list entries of some machines.
func (sim *simulatedCluster) machineEntries(machines []*simulatedMachine) []MachineEntry {
	var all []MachineEntry
	for _, m := range machines {
		e := m.entry
		k := sim.config.MachineTypes[e.MachineType]
		e.FreeCores, e.FreeMemory = k.Cores-m.usedCores, k.Memory-m.usedMemory
		if sim.random.chance(0.1) {
			e.FreeCores -= 3 // requests of other schedulers
		}
		all = append(all, e)
	}
	return all
}

func (sim *simulatedCluster) fullUpdate(mode UpdateMode) MachineListUpdate {
	var present []*simulatedMachine
	for _, m := range sim.machines {
		if m.entry.State != MachineGone || sim.random.chance(0.5) {
			present = append(present, m)
		}
	}
	sim.version++
	return MachineListUpdate{Mode: mode, Version: sim.version, Entries: sim.machineEntries(present)}
}

// start sends a new scheduler the events that a starting process sends.
func (sim *simulatedCluster) start() {
	var events []Event
	if sim.random.chance(0.9) {
		events = append(events, sim.fullUpdate(RestoredSnapshot))
	}
	sim.handle(events)
	for range sim.random.below(4) {
		sim.handle([]Event{sim.adopt()})
	}
	if sim.random.chance(0.8) {
		sim.handle([]Event{sim.fullUpdate(FullSnapshot)})
	}
}

func (sim *simulatedCluster) adopt() Event {
	request := sim.request()
	m := pick(sim.random, sim.machines...)
	sim.containers[request.ID] = &simulatedContainer{request: request, machine: m, running: true, attempt: 1}
	sim.ids = append(sim.ids, request.ID)
	sim.reserve(sim.containers[request.ID], 1)
	sim.run(sim.containers[request.ID])
	id := m.entry.Machine
	if sim.random.chance(0.3) {
		id = "unlisted"
		c := sim.containers[request.ID]
		sim.after(sim.random.span(0, Second), func() []Event {
			return sim.end(c, 1, AttemptEnded{Outcome: OutcomeLost})
		})
	}
	return ContainerAdopted{PlacementRequest: request, Machine: id}
}

func (sim *simulatedCluster) request() PlacementRequest {
	r := sim.random
	class := r.below(len(sim.config.WorkloadClasses))
	service := fmt.Sprint("s", r.below(sim.services))
	size := sim.size * (0.3 + 1.4*r.float())
	if r.chance(0.02) {
		size *= 30
	}
	request := PlacementRequest{
		ID:             ContainerID(fmt.Sprint("c", len(sim.ids), "-", r.below(10))),
		IdempotencyKey: service,
		Service:        service,
		WorkloadClass:  class,
		Tenant:         r.below(len(sim.config.Tenants) + 1),
		Cores:          size,
		Memory:         size * (0.5 + 2*r.float()),
		Deadline:       sim.now + sim.config.WorkloadClasses[class].PlacementTimeout,
		ClientRetry:    r.chance(0.05),
	}
	if r.chance(0.03) {
		request.Deadline = sim.now + Time(r.below(50)) // around deadlineMargin
	}
	if r.chance(0.3) {
		request.ExpectedRuntime = r.span(0, 2*sim.runtime)
	}
	return request
}

func (sim *simulatedCluster) arrive() []Event {
	sim.after(sim.random.span(0, 2*sim.arrivalInterval), sim.arrive)
	var events []Event
	for range pick(sim.random, 1, 1, 1, 3) {
		events = append(events, sim.submit(sim.request()))
	}
	return events
}

func (sim *simulatedCluster) submit(request PlacementRequest) Event {
	sim.containers[request.ID] = &simulatedContainer{request: request}
	sim.ids = append(sim.ids, request.ID)
	if sim.random.chance(0.04) {
		sim.after(sim.random.span(0, 4*Second), func() []Event { return sim.remove(request.ID) })
	}
	return RequestReceived{PlacementRequest: request}
}

// remove removes a container. Its open attempt ends later.
func (sim *simulatedCluster) remove(id ContainerID) []Event {
	c := sim.containers[id]
	if c.ended {
		return nil
	}
	if c.machine != nil {
		attempt := c.attempt
		sim.after(sim.random.span(0, 300*Millisecond), func() []Event {
			return sim.end(c, attempt, AttemptEnded{Final: true, Outcome: OutcomeStopped})
		})
	}
	return []Event{ContainerRemoved{ID: id}}
}

// change changes the fleet at random and returns the update of the machine list.
func (sim *simulatedCluster) change() []Event {
	r := sim.random
	sim.after(r.span(0, 2*sim.changeInterval), sim.change)
	m := pick(r, sim.machines...)
	changed := []*simulatedMachine{m}
	switch r.below(8) {
	case 0:
		m.entry.State = MachineDraining
	case 1:
		m.entry.State = MachineGone
	case 2, 3: // a new incarnation
		m.entry.State, m.entry.StartedAt = MachineServing, sim.now-r.span(0, Second/2)
		sim.setFault(m)
	case 4:
		m.entry.State = MachineServing
	case 5:
		changed = []*simulatedMachine{sim.addMachine(sim.now - r.span(0, Second))}
	case 6:
		sim.setFault(m)
		return nil
	default:
		changed = append(changed, pick(r, sim.machines...))
	}
	if sim.selfReports && r.chance(0.7) {
		return []Event{MachineListUpdate{Mode: SelfReported, Entries: sim.machineEntries(changed)}}
	}
	if r.chance(0.1) {
		return nil // reported with the next full update only
	}
	if r.chance(0.15) {
		return []Event{sim.fullUpdate(FullSnapshot)}
	}
	sim.version++
	return []Event{MachineListUpdate{Mode: DeltaUpdate, Version: sim.version, Entries: sim.machineEntries(changed)}}
}

// restart replaces the scheduler by a new one, which restores the snapshot of the old one. Some snapshots are altered.
func (sim *simulatedCluster) restart() []Event {
	r := sim.random
	sim.after(r.span(Second, 10*Second), sim.restart)
	snapshot := sim.scheduler.Snapshot()
	sim.digest.fold(snapshotOrdinal, snapshot)
	sim.incarnation++
	sim.scheduler = New(sim.config)
	sim.handle([]Event{sim.fullUpdate(RestoredSnapshot)})
	switch r.below(8) {
	case 0:
		snapshot.TrafficClasses = nil
	case 1:
		for i := range snapshot.Machines {
			m := &snapshot.Machines[i]
			m.FailureEvidence = append(m.FailureEvidence, FailureEvidence{LogOdds: 5, AsOf: sim.now})
		}
	case 4:
		for i := range snapshot.Machines {
			snapshot.Machines[i].OutlierLogOdds, snapshot.Machines[i].EjectionTime = 4, 0
		}
	case 2:
		snapshot.SendsKnownSince = sim.now
	case 3:
		snapshot.Machines = append(snapshot.Machines, MachineSnapshot{
			Machine: "m0", StartedAt: 77, OutlierLogOdds: 9,
			EjectedUntil: sim.now + Second,
		})
	}
	if r.chance(0.9) {
		sim.scheduler.Restore(snapshot)
	}
	sim.afterUnlessRestarted(r.span(0, Second), func() []Event { // for machines that enter the list late
		late := Snapshot{SendsKnownSince: snapshot.SendsKnownSince, Machines: snapshot.Machines}
		if r.chance(0.5) {
			sim.scheduler.Restore(late)
		}
		return nil
	})
	var events []Event
	for _, id := range sim.ids {
		if c := sim.containers[id]; c.running && !c.ended {
			events = append(events, ContainerAdopted{PlacementRequest: c.request, Machine: c.machine.entry.Machine})
		} else {
			c.ended = true
		}
	}
	return events
}

// invalidEvents returns events that a correct process would not send.
func (sim *simulatedCluster) invalidEvents() []Event {
	r := sim.random
	sim.after(r.span(0, Second/2), sim.invalidEvents)
	id := sim.ids[len(sim.ids)-1-r.below(min(len(sim.ids), 20))]
	m := pick(r, sim.machines...).entry
	outcome := Outcome(r.below(int(OutcomeNotSent) + 1))
	reason := Reason(r.below(int(ReasonDrained) + 1))
	switch r.below(12) {
	case 0:
		return []Event{AttemptEnded{ID: id, Outcome: outcome, Machine: m.Machine, Reason: reason, Final: r.chance(0.5)}}
	case 1:
		return []Event{AttemptAccepted{ID: id, Attempt: r.below(5), Machine: m.Machine}}
	case 2:
		return []Event{UsageReported{ID: id, Metric: UsageMetric(r.below(8)), Value: pick(r, 5*r.float(), 1e16)}}
	case 3:
		return []Event{ProbeCompleted{Machine: m.Machine, Outcome: outcome}}
	case 4:
		return []Event{ProbeCompleted{Machine: "unlisted", Outcome: outcome}}
	case 5:
		return []Event{ContainerRemoved{ID: id}, ContainerRemoved{ID: id}}
	case 6:
		return []Event{TimerFired{Name: "unknown"}}
	case 7:
		m.MachineType = len(sim.config.MachineTypes) + 1
		return []Event{MachineListUpdate{Mode: DeltaUpdate, Entries: []MachineEntry{m}}}
	case 8:
		request := sim.request()
		request.WorkloadClass = len(sim.config.WorkloadClasses) + r.below(2)
		sim.digest.fold(explanationOrdinal, sim.scheduler.Explain(request))
		return []Event{pick[Event](r, RequestReceived{PlacementRequest: request},
			ContainerAdopted{PlacementRequest: request, Machine: m.Machine})}
	case 9:
		request := sim.request()
		request.Tenant = 50
		return []Event{sim.submit(request)}
	case 10:
		return []Event{
			MachineListUpdate{Mode: pick(r, FullSnapshot, RestoredSnapshot)},
			MachineListUpdate{Mode: UpdateFailed},
			sim.fullUpdate(FullSnapshot),
		}
	default:
		request := sim.request()
		request.Deadline = sim.now - r.span(0, Second)
		return []Event{sim.submit(request)}
	}
}
