package controller

import "glenport/scheduler"

// WorkloadClass is what the controller needs of a workload class.
type WorkloadClass struct {
	Idempotency      scheduler.Idempotency
	PlacementTimeout scheduler.Time // within which a machine has to accept
	DedupWindow      scheduler.Time // for which machines remember an idempotency key
}

// unknownClass stands for a workload class that is not configured: what is safe for any work.
var unknownClass = WorkloadClass{Idempotency: scheduler.AtMostOnce, PlacementTimeout: scheduler.Second}

// workloadClasses are the classes by the positions that specs name.
type workloadClasses []WorkloadClass

// of is the workload class of a job.
func (w workloadClasses) of(j *job) WorkloadClass {
	if class := j.spec.WorkloadClass; class < len(w) {
		return w[class]
	}
	return unknownClass
}

func (w workloadClasses) idempotent(j *job) bool { return w.of(j).Idempotency == scheduler.Idempotent }

// Config is what one incarnation of the controller starts with.
type Config struct {
	Seed uint64 // of its random numbers
	// keys and request ids are numbered above it, so that none of an earlier incarnation comes again
	FirstSequence   uint64
	SchedulerCount  int
	WorkloadClasses []WorkloadClass
}

// Controller is the state of all jobs. It holds a job while containers of it are wanted or not yet ended, a request
// while its container is being placed or runs, an orphan until it is resolved. It passes each event to the component
// that owns what the event is about.
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

// New begins an incarnation. No scheduler is connected yet.
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

// Handle applies events at a time, which never goes back, and returns the actions that follow, in order.
func (c *Controller) Handle(now scheduler.Time, events []Event) []Action {
	c.clock.set(now)
	for _, e := range events {
		c.apply(e)
	}
	for r := c.timers.nextDue(); r != nil; r = c.timers.nextDue() {
		c.lifecycle.timerFired(r)
	}
	nextOrphan := c.cancelOrphans()
	c.outbox.emitChanges()
	if after, ok := c.timers.wakeup(nextOrphan); ok {
		c.outbox.emit(SetTimer{after})
	}
	return c.outbox.take()
}

func (c *Controller) apply(e Event) {
	switch e := e.(type) {
	case JobSet:
		c.jobSet(e)
	case JobDeleted:
		c.jobDeleted(e)
	case StateRestored:
		c.stateRestored(e)
	case SchedulerConnection:
		c.schedulerConnection(e)
	case PlacementAnswered:
		c.placementAnswered(e)
	case ContainerEnded:
		c.containerEnded(e)
	case TimerFired: // timers fire in each call
	}
}

func (c *Controller) jobSet(e JobSet) {
	j := c.jobs.find(e.Job)
	if j == nil {
		j = &job{id: e.Job, spec: e.Spec}
		c.jobs.add(j)
	}
	j.update(e)
	c.lifecycle.scale(j)
	c.lifecycle.rollOut(j)
}

func (c *Controller) jobDeleted(e JobDeleted) {
	if j := c.jobs.find(e.Job); j != nil {
		j.count = 0
		c.lifecycle.scale(j)
	}
}

// stateRestored adopts what an earlier incarnation has stored. What may run is looked up at the scheduler that was sent
// the request; placements are requested at a limited rate.
func (c *Controller) stateRestored(e StateRestored) {
	for _, set := range e.Jobs {
		c.jobs.add(&job{id: set.Job, spec: set.Spec, revision: restoredRevision, count: set.Count})
	}
	for position, stored := range sortedContainers(e.Containers) {
		r := c.restoreReplica(&stored)
		c.sequence.skipTo(max(sequenceAfter("/", r.idempotencyKey), sequenceAfter("#", r.requestID)))
		c.lifecycle.restored(r, recoveryPhase(&stored), position)
	}
	for _, orphan := range e.Orphans {
		c.orphans.restore(orphan)
	}
	for _, j := range c.jobs.sorted() {
		c.lifecycle.scale(j)
	}
}

func (c *Controller) schedulerConnection(e SchedulerConnection) {
	if !c.schedulers.apply(e) {
		return
	}
	c.orphans.connectionChanged(e.Scheduler)
	for _, r := range c.jobs.sortedReplicas() {
		if e.Connected {
			c.lifecycle.schedulerConnected(r, e.Scheduler)
		} else if r.scheduler == e.Scheduler {
			c.lifecycle.schedulerLost(r)
		}
	}
}

func (c *Controller) placementAnswered(e PlacementAnswered) {
	if orphan, ok := parseOrphanRequestID(e.RequestID); ok {
		c.orphanAnswered(orphan, e)
		return
	}
	if r := c.requests.find(e.RequestID); r != nil {
		c.lifecycle.answered(r, e)
	}
}

// orphanAnswered resolves an orphan once its scheduler is sure that nothing of it runs. What runs is resolved by its
// end.
func (c *Controller) orphanAnswered(orphan Orphan, e PlacementAnswered) {
	if e.Verdict == VerdictRefused {
		c.orphans.refused(orphan, e.RetryAfter)
		return
	}
	c.resolveOrphan(orphan)
}

func (c *Controller) containerEnded(e ContainerEnded) {
	if orphan, ok := parseOrphanRequestID(e.RequestID); ok {
		c.resolveOrphan(orphan)
		return
	}
	if r := c.requests.find(e.RequestID); r != nil {
		c.lifecycle.ended(r, e)
	}
}

func (c *Controller) resolveOrphan(orphan Orphan) {
	if c.orphans.resolve(orphan) {
		c.outbox.emit(OrphanResolved{orphan})
	}
}

// cancelOrphans cancels the orphans that are due and returns when the next are; 0 where none is.
func (c *Controller) cancelOrphans() (next scheduler.Time) {
	due, next := c.orphans.takeDue()
	for _, orphan := range due {
		c.outbox.emit(CancelRequest{orphan.Scheduler, orphan.requestID(), orphan.IdempotencyKey})
	}
	return next
}
