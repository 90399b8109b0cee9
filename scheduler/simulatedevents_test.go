package scheduler

import "fmt"

// This file holds the events that occur in the simulated cluster without an action of the scheduler.

// machineEntries returns the machine list entries of some machines.
func (w *simulatedCluster) machineEntries(machines []*simulatedMachine) []MachineEntry {
	var all []MachineEntry
	for _, m := range machines {
		e := m.entry
		k := w.config.MachineTypes[e.MachineType]
		e.FreeCores, e.FreeMemory = k.Cores-m.used, k.Memory-m.memory
		if w.random.chance(0.1) {
			e.FreeCores -= 3 // requests of other schedulers
		}
		all = append(all, e)
	}
	return all
}

func (w *simulatedCluster) fullUpdate(mode UpdateMode) MachineListUpdate {
	var present []*simulatedMachine
	for _, m := range w.machines {
		if m.entry.State != MachineGone || w.random.chance(0.5) {
			present = append(present, m)
		}
	}
	w.version++
	return MachineListUpdate{Mode: mode, Version: w.version, Entries: w.machineEntries(present)}
}

// start sends a new scheduler the events that a starting process sends.
func (w *simulatedCluster) start() {
	var events []Event
	if w.random.chance(0.9) {
		events = append(events, w.fullUpdate(RestoredSnapshot))
	}
	w.handle(events)
	for range w.random.below(4) {
		w.handle([]Event{w.adopt()})
	}
	if w.random.chance(0.8) {
		w.handle([]Event{w.fullUpdate(FullSnapshot)})
	}
}

func (w *simulatedCluster) adopt() Event {
	request := w.request()
	m := pick(w.random, w.machines...)
	w.containers[request.ID] = &simulatedContainer{request: request, at: m, running: true, attempt: 1}
	w.ids = append(w.ids, request.ID)
	w.reserve(w.containers[request.ID], 1)
	w.run(w.containers[request.ID])
	id := m.entry.Machine
	if w.random.chance(0.3) {
		id = "unlisted"
		c := w.containers[request.ID]
		w.after(w.random.span(0, Second), func() []Event { return w.end(c, 1, AttemptEnded{Outcome: OutcomeLost}) })
	}
	return ContainerAdopted{PlacementRequest: request, Machine: id}
}

func (w *simulatedCluster) request() PlacementRequest {
	r := w.random
	class := r.below(len(w.config.WorkloadClasses))
	service := fmt.Sprint("s", r.below(w.services))
	size := w.size * (0.3 + 1.4*r.float())
	if r.chance(0.02) {
		size *= 30
	}
	request := PlacementRequest{
		ID:             ContainerID(fmt.Sprint("c", len(w.ids), "-", r.below(10))),
		IdempotencyKey: service,
		Service:        service,
		WorkloadClass:  class,
		Tenant:         r.below(len(w.config.Tenants) + 1),
		Cores:          size,
		Memory:         size * (0.5 + 2*r.float()),
		Deadline:       w.now + w.config.WorkloadClasses[class].PlacementTimeout,
		ClientRetry:    r.chance(0.05),
	}
	if r.chance(0.03) {
		request.Deadline = w.now + Time(r.below(50)) // around deadlineMargin
	}
	if r.chance(0.3) {
		request.ExpectedRuntime = r.span(0, 2*w.runtime)
	}
	return request
}

func (w *simulatedCluster) arrive() []Event {
	w.after(w.random.span(0, 2*w.arrival), w.arrive)
	var events []Event
	for range pick(w.random, 1, 1, 1, 3) {
		events = append(events, w.submit(w.request()))
	}
	return events
}

func (w *simulatedCluster) submit(request PlacementRequest) Event {
	w.containers[request.ID] = &simulatedContainer{request: request}
	w.ids = append(w.ids, request.ID)
	if w.random.chance(0.04) {
		w.after(w.random.span(0, 4*Second), func() []Event { return w.remove(request.ID) })
	}
	return RequestReceived{PlacementRequest: request}
}

// remove removes a container. Its open attempt ends later.
func (w *simulatedCluster) remove(id ContainerID) []Event {
	c := w.containers[id]
	if c.ended {
		return nil
	}
	if c.at != nil {
		attempt := c.attempt
		w.after(w.random.span(0, 300*Millisecond), func() []Event {
			return w.end(c, attempt, AttemptEnded{Final: true, Outcome: OutcomeStopped})
		})
	}
	return []Event{ContainerRemoved{ID: id}}
}

// change changes the fleet at random and returns the update of the machine list.
func (w *simulatedCluster) change() []Event {
	r := w.random
	w.after(r.span(0, 2*w.churn), w.change)
	m := pick(r, w.machines...)
	changed := []*simulatedMachine{m}
	switch r.below(8) {
	case 0:
		m.entry.State = MachineDraining
	case 1:
		m.entry.State = MachineGone
	case 2, 3: // a new incarnation
		m.entry.State, m.entry.StartedAt = MachineServing, w.now-r.span(0, Second/2)
		w.setFault(m)
	case 4:
		m.entry.State = MachineServing
	case 5:
		changed = []*simulatedMachine{w.addMachine(w.now - r.span(0, Second))}
	case 6:
		w.setFault(m)
		return nil
	default:
		changed = append(changed, pick(r, w.machines...))
	}
	if w.selfReports && r.chance(0.7) {
		return []Event{MachineListUpdate{Mode: SelfReported, Entries: w.machineEntries(changed)}}
	}
	if r.chance(0.1) {
		return nil // reported with the next full update only
	}
	if r.chance(0.15) {
		return []Event{w.fullUpdate(FullSnapshot)}
	}
	w.version++
	return []Event{MachineListUpdate{Mode: DeltaUpdate, Version: w.version, Entries: w.machineEntries(changed)}}
}

// restart replaces the scheduler by a new one, which restores the snapshot of the old one. Some snapshots are altered.
func (w *simulatedCluster) restart() []Event {
	r := w.random
	w.after(r.span(Second, 10*Second), w.restart)
	snapshot := w.scheduler.Snapshot()
	w.digest.fold(snapshotOrdinal, snapshot)
	w.incarnation++
	w.scheduler = New(w.config)
	w.handle([]Event{w.fullUpdate(RestoredSnapshot)})
	switch r.below(8) {
	case 0:
		snapshot.TrafficClasses = nil
	case 1:
		for i := range snapshot.Machines {
			m := &snapshot.Machines[i]
			m.FailureEvidence = append(m.FailureEvidence, FailureEvidence{LogOdds: 5, AsOf: w.now})
		}
	case 4:
		for i := range snapshot.Machines {
			snapshot.Machines[i].OutlierLogOdds, snapshot.Machines[i].EjectionTime = 4, 0
		}
	case 2:
		snapshot.SendsKnownSince = w.now
	case 3:
		snapshot.Machines = append(snapshot.Machines, MachineSnapshot{
			Machine: "m0", StartedAt: 77, OutlierLogOdds: 9,
			EjectedUntil: w.now + Second,
		})
	}
	if r.chance(0.9) {
		w.scheduler.Restore(snapshot)
	}
	w.afterUnlessRestarted(r.span(0, Second), func() []Event { // for machines that enter the list late
		late := Snapshot{SendsKnownSince: snapshot.SendsKnownSince, Machines: snapshot.Machines}
		if r.chance(0.5) {
			w.scheduler.Restore(late)
		}
		return nil
	})
	var events []Event
	for _, id := range w.ids {
		if c := w.containers[id]; c.running && !c.ended {
			events = append(events, ContainerAdopted{PlacementRequest: c.request, Machine: c.at.entry.Machine})
		} else {
			c.ended = true
		}
	}
	return events
}

// invalidEvents returns events that a correct process would not send.
func (w *simulatedCluster) invalidEvents() []Event {
	r := w.random
	w.after(r.span(0, Second/2), w.invalidEvents)
	id := w.ids[len(w.ids)-1-r.below(min(len(w.ids), 20))]
	m := pick(r, w.machines...).entry
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
		m.MachineType = len(w.config.MachineTypes) + 1
		return []Event{MachineListUpdate{Mode: DeltaUpdate, Entries: []MachineEntry{m}}}
	case 8:
		request := w.request()
		request.WorkloadClass = len(w.config.WorkloadClasses) + r.below(2)
		w.digest.fold(explanationOrdinal, w.scheduler.Explain(request))
		return []Event{pick[Event](r, RequestReceived{PlacementRequest: request},
			ContainerAdopted{PlacementRequest: request, Machine: m.Machine})}
	case 9:
		request := w.request()
		request.Tenant = 50
		return []Event{w.submit(request)}
	case 10:
		return []Event{
			MachineListUpdate{Mode: pick(r, FullSnapshot, RestoredSnapshot)},
			MachineListUpdate{Mode: UpdateFailed},
			w.fullUpdate(FullSnapshot),
		}
	default:
		request := w.request()
		request.Deadline = w.now - r.span(0, Second)
		return []Event{w.submit(request)}
	}
}
