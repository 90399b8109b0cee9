package controller

import "glenport/scheduler"

// WorkloadClass holds the settings of a workload class that the controller needs.
type WorkloadClass struct {
	Idempotency      scheduler.Idempotency
	PlacementTimeout scheduler.Time // time within which a machine must accept
	DedupWindow      scheduler.Time // time for which machines remember an idempotency key
}

// unknownClass is used for a workload class that is not configured. Its settings are safe for any work.
var unknownClass = WorkloadClass{Idempotency: scheduler.AtMostOnce, PlacementTimeout: scheduler.Second}

// workloadClasses holds the workload classes in the order in which Spec.WorkloadClass numbers them.
type workloadClasses []WorkloadClass

// classOf returns the workload class of a job.
func (w workloadClasses) classOf(j *job) WorkloadClass {
	if class := j.spec.WorkloadClass; class < len(w) {
		return w[class]
	}
	return unknownClass
}

func (w workloadClasses) idempotent(j *job) bool {
	return w.classOf(j).Idempotency == scheduler.Idempotent
}

// Config is the configuration of one incarnation of the controller.
type Config struct {
	Seed uint64 // seed of the random numbers
	// Idempotency keys and request ids get numbers above FirstSequence, so that no key or id of an earlier
	// incarnation is reused.
	FirstSequence   uint64
	SchedulerCount  int
	WorkloadClasses []WorkloadClass
}

// Controller holds the state of all jobs and dispatches each event to the component that owns the affected state. A job
// is kept while containers of it are wanted or have not ended, a request while its container is being placed or runs,
// and an orphan until it is resolved.
type Controller struct {
	clock      *clock
	sequence   *sequence
	jobs       *jobRegistry
	schedulers *schedulerSet
	requests   *requestTable
	timers     *timerQueue
	orphans    *orphanTable
	outbox     *outbox
	lifecycle  *lifecycle
}

// New returns the controller of a new incarnation, with no scheduler connected.
func New(config Config) *Controller {
	c := &Controller{
		clock: &clock{}, sequence: &sequence{last: config.FirstSequence}, jobs: newJobRegistry(),
		schedulers: newSchedulerSet(config.SchedulerCount), outbox: newOutbox(),
	}
	c.requests = newRequestTable(c.sequence)
	c.timers = newTimerQueue(c.clock, c.sequence)
	c.orphans = newOrphanTable(c.clock, c.schedulers)
	c.lifecycle = &lifecycle{
		clock: c.clock, sequence: c.sequence, random: newRandomSource(config.Seed), classes: config.WorkloadClasses,
		jobs: c.jobs, schedulers: c.schedulers, requests: c.requests, timers: c.timers, orphans: c.orphans,
		outbox: c.outbox,
	}
	return c
}

// Handle applies events that occurred at now and returns the resulting actions in order. The value of now must not
// decrease from call to call.
func (c *Controller) Handle(now scheduler.Time, events []Event) []Action {
	c.clock.set(now)
	for _, e := range events {
		c.apply(e)
	}
	for r := c.timers.nextDue(); r != nil; r = c.timers.nextDue() {
		c.lifecycle.handleTimer(r)
	}
	nextOrphan := c.cancelDueOrphans()
	c.outbox.emitChanges()
	if after, ok := c.timers.nextWakeup(nextOrphan); ok {
		c.outbox.emit(SetTimer{after})
	}
	return c.outbox.take()
}

func (c *Controller) apply(e Event) {
	switch e := e.(type) {
	case JobSet:
		c.setJob(e)
	case JobDeleted:
		c.deleteJob(e)
	case StateRestored:
		c.restoreState(e)
	case SchedulerConnection:
		c.updateConnection(e)
	case PlacementAnswered:
		c.handleAnswer(e)
	case ContainerEnded:
		c.handleContainerEnd(e)
	case TimerFired: // each call of Handle runs the timers that are due
	}
}

func (c *Controller) setJob(e JobSet) {
	j := c.jobs.find(e.Job)
	if j == nil {
		j = &job{id: e.Job, spec: e.Spec}
		c.jobs.add(j)
	}
	j.update(e)
	c.lifecycle.scale(j)
	c.lifecycle.rollOut(j)
}

func (c *Controller) deleteJob(e JobDeleted) {
	if j := c.jobs.find(e.Job); j != nil {
		j.count = 0
		c.lifecycle.scale(j)
	}
}

// restoreState adopts the state that an earlier incarnation stored. Containers that may be running are looked up at the
// scheduler that received their request. Placements are requested at a limited rate.
func (c *Controller) restoreState(e StateRestored) {
	for _, set := range e.Jobs {
		c.jobs.add(&job{id: set.Job, spec: set.Spec, revision: restoredRevision, count: set.Count})
	}
	for position, stored := range sortedContainers(e.Containers) {
		r := c.restoreReplica(&stored)
		c.sequence.skipTo(max(trailingNumber("/", r.idempotencyKey), trailingNumber("#", r.requestID)))
		c.lifecycle.resume(r, recoveryPhase(&stored), position)
	}
	for _, orphan := range e.Orphans {
		c.orphans.restore(orphan)
	}
	for _, j := range c.jobs.sorted() {
		c.lifecycle.scale(j)
	}
}

func (c *Controller) updateConnection(e SchedulerConnection) {
	if !c.schedulers.apply(e) {
		return
	}
	c.orphans.reschedule(e.Scheduler)
	for _, r := range c.jobs.sortedReplicas() {
		if e.Connected {
			c.lifecycle.handleSchedulerConnected(r, e.Scheduler)
		} else if r.scheduler == e.Scheduler {
			c.lifecycle.handleSchedulerLost(r)
		}
	}
}

func (c *Controller) handleAnswer(e PlacementAnswered) {
	if orphan, ok := parseOrphanRequestID(e.RequestID); ok {
		c.handleOrphanAnswer(orphan, e)
		return
	}
	if r := c.requests.find(e.RequestID); r != nil {
		c.lifecycle.handleAnswer(r, e)
	}
}

// handleOrphanAnswer resolves an orphan once its scheduler is certain that no copy runs. If a copy runs, the end of its
// container resolves the orphan.
func (c *Controller) handleOrphanAnswer(orphan Orphan, e PlacementAnswered) {
	if e.Verdict == VerdictRefused {
		c.orphans.scheduleRetry(orphan, e.RetryAfter)
		return
	}
	c.resolveOrphan(orphan)
}

func (c *Controller) handleContainerEnd(e ContainerEnded) {
	if orphan, ok := parseOrphanRequestID(e.RequestID); ok {
		c.resolveOrphan(orphan)
		return
	}
	if r := c.requests.find(e.RequestID); r != nil {
		c.lifecycle.handleEnd(r, e)
	}
}

func (c *Controller) resolveOrphan(orphan Orphan) {
	if c.orphans.resolve(orphan) {
		c.outbox.emit(OrphanResolved{orphan})
	}
}

// cancelDueOrphans cancels the orphans that are due. It returns the time at which the next one is due, or 0 if there is
// none.
func (c *Controller) cancelDueOrphans() (next scheduler.Time) {
	due, next := c.orphans.takeDue()
	for _, orphan := range due {
		c.outbox.emit(CancelRequest{orphan.Scheduler, orphan.requestID(), orphan.IdempotencyKey})
	}
	return next
}
