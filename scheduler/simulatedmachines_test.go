package scheduler

import "fmt"

// This file holds the answers of the simulated cluster to the scheduler's actions.

func (w *simulatedCluster) addMachine(startedAt Time) *simulatedMachine {
	r := w.random
	n := len(w.machines)
	m := &simulatedMachine{entry: MachineEntry{
		Machine:     MachineID(fmt.Sprint("m", n)),
		Zone:        n % 3,
		RackGroup:   n / 2,
		MachineType: r.below(len(w.config.MachineTypes)),
		StartedAt:   startedAt,
		PowerHint:   r.float(),
	}}
	w.setFault(m)
	w.machines = append(w.machines, m)
	w.byID[m.entry.Machine] = m
	return m
}

func (w *simulatedCluster) setFault(m *simulatedMachine) {
	m.fault = healthy
	if w.random.chance(w.faultyRatio) {
		m.fault = pick(w.random, w.faults...)
	}
	m.class = w.random.below(len(w.config.WorkloadClasses))
	if w.oneClass {
		m.class = 0
	}
	m.tenant = w.random.below(len(w.config.Tenants) + 1)
}

func (w *simulatedCluster) applyAction(a Action) {
	r := w.random
	switch a := a.(type) {
	case StartAttempt:
		w.attempt(a)
	case Reject:
		w.handleReject(a.ID)
	case Fail:
		if c := w.containers[a.ID]; c != nil && c.at == nil {
			c.ended = true
		}
	case SetTimer:
		w.afterUnlessRestarted(a.After, func() []Event { return []Event{TimerFired{Name: a.Name}} })
	case WatchMachineList:
		w.afterUnlessRestarted(r.span(Millisecond, 200*Millisecond), func() []Event {
			if r.chance(w.listFailureRatio) {
				return []Event{MachineListUpdate{Mode: UpdateFailed}}
			}
			return []Event{w.fullUpdate(FullSnapshot)}
		})
	case Probe:
		w.probe(w.byID[a.Machine])
	}
}

func (w *simulatedCluster) handleReject(id ContainerID) {
	c := w.containers[id]
	if c.at == nil {
		c.ended = true
	}
	if w.random.chance(w.retryRatio) {
		again := c.request
		again.ID += "+"
		w.after(w.random.span(100*Millisecond, 2*Second), func() []Event {
			again.ClientRetry = true
			again.Deadline = w.now + w.config.WorkloadClasses[again.WorkloadClass].PlacementTimeout
			return []Event{w.submit(again)}
		})
	}
}

func (w *simulatedCluster) probe(m *simulatedMachine) {
	r := w.random
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
	w.afterUnlessRestarted(e.Elapsed, func() []Event { return []Event{e} })
}

// reserve adds a container's request to the use of its machine; with sign -1 it subtracts it.
func (w *simulatedCluster) reserve(c *simulatedContainer, sign float64) {
	c.at.used += sign * c.request.Cores
	c.at.memory += sign * c.request.Memory
}

// attempt draws the outcome of an attempt and schedules it.
func (w *simulatedCluster) attempt(a StartAttempt) {
	r := w.random
	c := w.containers[a.ID]
	c.attempt++
	c.at = w.byID[a.Machine]
	w.reserve(c, 1)
	attempt := c.attempt
	wait := a.Timeout
	if wait == 0 {
		wait = c.request.Deadline - w.now
	}
	if r.chance(w.unansweredRatio) {
		return
	}
	e, span := w.outcome(c, wait)
	w.afterUnlessRestarted(span, func() []Event {
		if e.Outcome != OutcomeFinished || e.Final {
			return w.end(c, attempt, e)
		}
		return w.accept(c, attempt)
	})
}

// outcome draws the outcome of an attempt and its delay. OutcomeFinished without Final stands for an acceptance.
func (w *simulatedCluster) outcome(c *simulatedContainer, wait Time) (AttemptEnded, Time) {
	r := w.random
	m, request := c.at, &c.request
	k := w.config.MachineTypes[m.entry.MachineType]
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
	case m.used > k.Cores*w.config.CoresOvercommit:
		return AttemptEnded{Outcome: OutcomeFull, Reason: ReasonNoCores}, quick
	case m.memory > k.Memory*w.config.MemoryOvercommit:
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

func (w *simulatedCluster) accept(c *simulatedContainer, attempt int) []Event {
	r := w.random
	if c.at == nil || c.attempt != attempt {
		return nil
	}
	if r.chance(0.02) { // it ran to its end before it was accepted
		return w.end(c, attempt, AttemptEnded{Outcome: OutcomeFinished})
	}
	if r.chance(0.02) { // the acceptance crosses a cancellation
		w.after(20*Millisecond, func() []Event { return w.end(c, attempt, AttemptEnded{Outcome: OutcomeStopped}) })
	} else {
		c.running = true
		w.run(c)
	}
	return []Event{AttemptAccepted{
		ID: c.request.ID, Attempt: attempt, Machine: c.at.entry.Machine,
		Elapsed: r.span(0, Second),
	}}
}

// run schedules the usage reports and the end of a running container.
func (w *simulatedCluster) run(c *simulatedContainer) {
	r := w.random
	attempt := c.attempt
	if w.config.UsageReports || r.chance(0.1) {
		for n := range 2 {
			w.after(r.span(0, w.runtime), func() []Event {
				if c.at == nil || c.attempt != attempt {
					return nil
				}
				return []Event{UsageReported{
					ID: c.request.ID, Machine: c.at.entry.Machine, Attempt: attempt,
					Metric: pick(r, MetricCoresUsed, MetricMemoryUsed, MetricRunning+UsageMetric(n)),
					Value:  2 * w.size * r.float(),
				}}
			})
		}
	}
	e := AttemptEnded{
		Final: true, Outcome: OutcomeFinished, Elapsed: r.span(0, 2*w.runtime),
		Report: LoadReport{"cores": r.float()},
	}
	switch {
	case c.at.fault == resetting:
		e.Outcome = OutcomeLost
	case c.at.fault == drainingItself:
		e.Outcome, e.Reason = OutcomeLost, ReasonDrained
	case r.chance(0.05):
		e.Outcome, e.Reason = OutcomeLost, pick(r, ReasonNone, ReasonOutOfMemory, ReasonPreempted, ReasonDrained)
	case r.chance(0.03):
		e.Outcome = OutcomeErrored
	}
	e.Final = !r.chance(0.15) // if false, the container is placed again
	w.after(e.Elapsed, func() []Event { return w.end(c, attempt, e) })
}

func (w *simulatedCluster) end(c *simulatedContainer, attempt int, e AttemptEnded) []Event {
	if c.at == nil || c.attempt != attempt {
		return nil
	}
	w.reserve(c, -1)
	e.ID, e.Attempt, e.Machine = c.request.ID, attempt, c.at.entry.Machine
	c.running, c.ended = false, e.Final
	c.at = nil
	return []Event{e}
}
