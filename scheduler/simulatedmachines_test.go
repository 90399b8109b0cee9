package scheduler

import "fmt"

// This file holds the answers of the simulated cluster to the scheduler's actions.

func (sim *simulatedCluster) addMachine(startedAt Time) *simulatedMachine {
	r := sim.random
	n := len(sim.machines)
	m := &simulatedMachine{entry: MachineEntry{
		Machine:     MachineID(fmt.Sprint("m", n)),
		Zone:        n % 3,
		RackGroup:   n / 2,
		MachineType: r.below(len(sim.config.MachineTypes)),
		StartedAt:   startedAt,
		PowerHint:   r.float(),
	}}
	sim.setFault(m)
	sim.machines = append(sim.machines, m)
	sim.byID[m.entry.Machine] = m
	return m
}

func (sim *simulatedCluster) setFault(m *simulatedMachine) {
	m.fault = healthy
	if sim.random.chance(sim.faultyRatio) {
		m.fault = pick(sim.random, sim.faults...)
	}
	m.class = sim.random.below(len(sim.config.WorkloadClasses))
	if sim.sameFailingClass {
		m.class = 0
	}
	m.tenant = sim.random.below(len(sim.config.Tenants) + 1)
}

func (sim *simulatedCluster) applyAction(a Action) {
	r := sim.random
	switch a := a.(type) {
	case StartAttempt:
		sim.attempt(a)
	case Reject:
		sim.handleReject(a.ID)
	case Fail:
		if c := sim.containers[a.ID]; c != nil && c.machine == nil {
			c.ended = true
		}
	case SetTimer:
		sim.afterUnlessRestarted(a.After, func() []Event { return []Event{TimerFired{Name: a.Name}} })
	case WatchMachineList:
		sim.afterUnlessRestarted(r.span(Millisecond, 200*Millisecond), func() []Event {
			if r.chance(sim.listFailureRatio) {
				return []Event{MachineListUpdate{Mode: UpdateFailed}}
			}
			return []Event{sim.fullUpdate(FullSnapshot)}
		})
	case Probe:
		sim.probe(sim.byID[a.Machine])
	}
}

func (sim *simulatedCluster) handleReject(id ContainerID) {
	c := sim.containers[id]
	if c.machine == nil {
		c.ended = true
	}
	if sim.random.chance(sim.retryRatio) {
		again := c.request
		again.ID += "+"
		sim.after(sim.random.span(100*Millisecond, 2*Second), func() []Event {
			again.ClientRetry = true
			again.Deadline = sim.now + sim.config.WorkloadClasses[again.WorkloadClass].PlacementTimeout
			return []Event{sim.submit(again)}
		})
	}
}

func (sim *simulatedCluster) probe(m *simulatedMachine) {
	r := sim.random
	elapsed := r.span(Millisecond, 50*Millisecond)
	e := ProbeCompleted{Machine: m.entry.Machine, Outcome: OutcomeFinished, Elapsed: elapsed}
	switch {
	case r.chance(0.05):
		e.Outcome = OutcomeNotSent
	case r.chance(0.03):
		return
	case m.fault == unreachable, m.entry.State == MachineGone:
		e.Outcome = OutcomeConnectFailed
	case m.fault == silent, m.fault == erroring && r.chance(0.5):
		e.Outcome, e.Elapsed = OutcomeTimedOut, Second
	}
	sim.afterUnlessRestarted(e.Elapsed, func() []Event { return []Event{e} })
}

// reserve adds a container's request to the use of its machine; with sign -1 it subtracts it.
func (sim *simulatedCluster) reserve(c *simulatedContainer, sign float64) {
	c.machine.usedCores += sign * c.request.Cores
	c.machine.usedMemory += sign * c.request.Memory
}

// attempt draws the outcome of an attempt and schedules it.
func (sim *simulatedCluster) attempt(a StartAttempt) {
	r := sim.random
	c := sim.containers[a.ID]
	c.attempt++
	c.machine = sim.byID[a.Machine]
	sim.reserve(c, 1)
	attempt := c.attempt
	wait := a.Timeout
	if wait == 0 {
		wait = c.request.Deadline - sim.now
	}
	if r.chance(sim.unansweredRatio) {
		return
	}
	e, span := sim.outcome(c, wait)
	sim.afterUnlessRestarted(span, func() []Event {
		if e.Outcome != OutcomeFinished || e.Final {
			return sim.end(c, attempt, e)
		}
		return sim.accept(c, attempt)
	})
}

// outcome draws the outcome of an attempt and its delay. OutcomeFinished without Final stands for an acceptance.
func (sim *simulatedCluster) outcome(c *simulatedContainer, wait Time) (AttemptEnded, Time) {
	r := sim.random
	m, request := c.machine, &c.request
	k := sim.config.MachineTypes[m.entry.MachineType]
	quick := r.span(Millisecond, 60*Millisecond)
	switch {
	case m.entry.State == MachineGone || m.fault == unreachable:
		return AttemptEnded{Outcome: OutcomeConnectFailed}, quick
	case m.fault == silent, m.fault == failsOneClass && m.class == request.WorkloadClass, r.chance(0.01):
		return AttemptEnded{Outcome: OutcomeTimedOut}, wait
	case m.fault == erroring || r.chance(0.01):
		return AttemptEnded{Outcome: OutcomeErrored}, quick
	case m.fault == failsOneTenant && m.tenant == request.Tenant:
		return AttemptEnded{Outcome: OutcomeFull}, quick
	case m.fault == drainingItself && r.chance(0.5):
		return AttemptEnded{Outcome: OutcomeFull, Reason: ReasonWrongMachine}, quick
	case m.fault == refusing:
		reason := pick(r, ReasonNone, ReasonNoMemory, ReasonQueueTooLong)
		return AttemptEnded{Outcome: OutcomeFull, Reason: reason}, quick
	case m.usedCores > k.Cores*sim.config.CoresOvercommit:
		return AttemptEnded{Outcome: OutcomeFull, Reason: ReasonNoCores}, quick
	case m.usedMemory > k.Memory*sim.config.MemoryOvercommit:
		return AttemptEnded{Outcome: OutcomeFull, Reason: ReasonNoMemory}, quick
	}
	if r.chance(0.01) {
		return AttemptEnded{Outcome: OutcomeNotSent}, 0
	}
	if r.chance(0.01) {
		return AttemptEnded{Outcome: OutcomeLost}, quick
	}
	if r.chance(0.01) {
		return AttemptEnded{Outcome: OutcomeFinished, Final: false, Reason: ReasonOutOfMemory}, quick
	}
	return AttemptEnded{Outcome: OutcomeFinished}, min(wait, r.span(5*Millisecond, Second))
}

func (sim *simulatedCluster) accept(c *simulatedContainer, attempt int) []Event {
	r := sim.random
	if c.machine == nil || c.attempt != attempt {
		return nil
	}
	if r.chance(0.02) { // it ran to its end before it was accepted
		return sim.end(c, attempt, AttemptEnded{Outcome: OutcomeFinished})
	}
	if r.chance(0.02) { // the acceptance crosses a cancellation
		sim.after(20*Millisecond, func() []Event { return sim.end(c, attempt, AttemptEnded{Outcome: OutcomeStopped}) })
	} else {
		c.running = true
		sim.run(c)
	}
	return []Event{AttemptAccepted{
		ID: c.request.ID, Attempt: attempt, Machine: c.machine.entry.Machine,
		Elapsed: r.span(0, Second),
	}}
}

// run schedules the usage reports and the end of a running container.
func (sim *simulatedCluster) run(c *simulatedContainer) {
	r := sim.random
	attempt := c.attempt
	if sim.config.UsageReports || r.chance(0.1) {
		for n := range 2 {
			sim.after(r.span(0, sim.runtime), func() []Event {
				if c.machine == nil || c.attempt != attempt {
					return nil
				}
				return []Event{UsageReported{
					ID: c.request.ID, Machine: c.machine.entry.Machine, Attempt: attempt,
					Metric: pick(r, MetricCoresUsed, MetricMemoryUsed, MetricRunning+UsageMetric(n)),
					Value:  2 * sim.size * r.float(),
				}}
			})
		}
	}
	e := AttemptEnded{
		Final: true, Outcome: OutcomeFinished, Elapsed: r.span(0, 2*sim.runtime),
		Report: LoadReport{"cores": r.float()},
	}
	switch {
	case c.machine.fault == resetting:
		e.Outcome = OutcomeLost
	case c.machine.fault == drainingItself:
		e.Outcome, e.Reason = OutcomeLost, ReasonDrained
	case r.chance(0.05):
		e.Outcome, e.Reason = OutcomeLost, pick(r, ReasonNone, ReasonOutOfMemory, ReasonPreempted, ReasonDrained)
	case r.chance(0.03):
		e.Outcome = OutcomeErrored
	}
	e.Final = !r.chance(0.15) // if false, the container is placed again
	sim.after(e.Elapsed, func() []Event { return sim.end(c, attempt, e) })
}

func (sim *simulatedCluster) end(c *simulatedContainer, attempt int, e AttemptEnded) []Event {
	if c.machine == nil || c.attempt != attempt {
		return nil
	}
	sim.reserve(c, -1)
	e.ID, e.Attempt, e.Machine = c.request.ID, attempt, c.machine.entry.Machine
	c.running, c.ended = false, e.Final
	c.machine = nil
	return []Event{e}
}
