package controller

import (
	"glenport/scheduler"
)

// WorkloadClass is what the controller needs of a workload class.
type WorkloadClass struct {
	Idempotency      scheduler.Idempotency
	PlacementTimeout scheduler.Time // within which a machine has to accept
	DedupWindow      scheduler.Time // for which machines remember an idempotency key
}

// unknownClass stands for a workload class that is not configured: what is safe for any work.
var unknownClass = WorkloadClass{Idempotency: scheduler.AtMostOnce, PlacementTimeout: scheduler.Second}

// Config is what one incarnation of the controller starts with.
type Config struct {
	Seed uint64 // of its random numbers
	// keys and request ids are numbered above it, so that none of an earlier incarnation comes again
	FirstSequence   uint64
	SchedulerCount  int
	WorkloadClasses []WorkloadClass
}

// Controller is the state of all jobs. It holds a job while containers of it are wanted or not yet ended, a request
// while its container is being placed or runs, an orphan until it is resolved.
type Controller struct {
	workloadClasses []WorkloadClass
	now             scheduler.Time
	randomState     uint64
	lastSequence    uint64
	actions         []Action
	jobs            map[string]*job
	requests        map[string]*replica       // by request id
	connected       []bool                    // by scheduler
	orphans         map[Orphan]scheduler.Time // when each is cancelled; 0: not scheduled
	timers          timerHeap
	timerAt         scheduler.Time // of the last SetTimer
	changed         []*replica     // in this call, in order
}

// New begins an incarnation. No scheduler is connected yet.
func New(config Config) *Controller {
	return &Controller{
		workloadClasses: config.WorkloadClasses,
		// a linear congruential step, so that near seeds part
		randomState:  config.Seed*2862933555777941757 + 3037000493,
		lastSequence: config.FirstSequence,
		jobs:         map[string]*job{},
		requests:     map[string]*replica{},
		connected:    make([]bool, config.SchedulerCount),
		orphans:      map[Orphan]scheduler.Time{},
	}
}

// Handle applies events at a time, which never goes back, and returns the actions that follow, in order.
func (c *Controller) Handle(now scheduler.Time, events []Event) []Action {
	c.now, c.actions = now, nil
	for _, e := range events {
		c.apply(e)
	}
	c.fireTimers()
	nextOrphan := c.cancelOrphans()
	c.emitChanges()
	c.requestTimer(nextOrphan)
	return c.actions
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

func (c *Controller) emit(a Action) { c.actions = append(c.actions, a) }

// markChanged has the state of a replica emitted at the end of the call.
func (c *Controller) markChanged(r *replica) {
	if !r.changed {
		r.changed = true
		c.changed = append(c.changed, r)
	}
}

func (c *Controller) emitChanges() {
	for _, r := range c.changed {
		r.changed = false
		if !r.removed {
			c.emit(ContainerChanged{r.Container})
		}
	}
	c.changed = c.changed[:0]
}

// nextSequence numbers keys, requests and timers.
func (c *Controller) nextSequence() uint64 {
	c.lastSequence++
	return c.lastSequence
}

// random is the next number of a xorshift generator, from 0 to below 1.
func (c *Controller) random() float64 {
	c.randomState ^= c.randomState << 13
	c.randomState ^= c.randomState >> 7
	c.randomState ^= c.randomState << 17
	return float64(c.randomState>>11) / (1 << 53)
}

// jitter is a random delay below span: what happens to many containers at once is not followed by requests for all at
// once.
func (c *Controller) jitter(span scheduler.Time) scheduler.Time {
	return scheduler.Time(c.random() * float64(span))
}

// classOf is the workload class of a replica's job.
func (c *Controller) classOf(r *replica) WorkloadClass {
	if class := r.job.spec.WorkloadClass; class < len(c.workloadClasses) {
		return c.workloadClasses[class]
	}
	return unknownClass
}

func (c *Controller) idempotent(r *replica) bool {
	return c.classOf(r).Idempotency == scheduler.Idempotent
}
