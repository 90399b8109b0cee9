package simulation

import (
	"fmt"
	"math"

	"glenport/scheduler"
)

const simMaxTries = 12 // tries of one container; at-most-once containers get half as many

// simContainer is a container that a client wants to run.
type simContainer struct {
	number            int
	workloadClass     int
	client            string
	ignoresRetryAfter bool
	scheduledRetry    bool // the next try comes at the time that the limiter gave
	firstTry          scheduler.Time
	tries             int
}

// submitNext submits a new container and schedules the next one. Arrivals follow a Poisson process.
func (sim *Simulation) submitNext() {
	sim.nextID++
	c := &simContainer{number: sim.nextID, firstTry: sim.now}
	switch r := sim.rng.Float64(); {
	case r < 0.5:
		c.workloadClass = simIdempotent
	case r < 0.85:
		c.workloadClass = simIdempotentWithKey
	default:
		c.workloadClass = simAtMostOnce
	}
	c.client = fmt.Sprint("c", sim.rng.IntN(200))
	c.ignoresRetryAfter = sim.rng.Float64() < sim.IgnoringClients
	sim.firstTrySecond(c).Submitted++
	sim.submit(c)
	sim.schedule(scheduler.Time(sim.rng.ExpFloat64()/sim.Rate*float64(scheduler.Second)), sim.submitNext)
}

// firstTrySecond returns the counts for the second of a container's first try.
func (sim *Simulation) firstTrySecond(c *simContainer) *SimSecond {
	return &sim.Seconds[int(c.firstTry/scheduler.Second)]
}

// submit submits a container to a random scheduler.
func (sim *Simulation) submit(c *simContainer) {
	c.tries++
	if c.tries > 1 {
		sim.Seconds[int(sim.now/scheduler.Second)].Retried++
	}
	s := sim.instances[sim.rng.IntN(len(sim.instances))]
	scheduled := c.scheduledRetry
	c.scheduledRetry = false
	if scheduled {
		sim.ScheduledRetries++
	}
	if retryAfter, shed := s.shed(c); shed {
		sim.firstTrySecond(c).Shed++
		c.scheduledRetry = !c.ignoresRetryAfter
		sim.retry(c, retryAfter)
		return
	}
	if scheduled {
		sim.AdmittedRetries++
	}
	s.receive(c)
}

// retry handles a rejected, shed or failed try: the client gives up, or submits the container again after a time that
// depends on the damping and on whether the client obeys retry-after.
func (sim *Simulation) retry(c *simContainer, retryAfter scheduler.Time) {
	if c.tries >= simMaxTries || c.workloadClass == simAtMostOnce && c.tries >= simMaxTries/2 {
		sim.firstTrySecond(c).Abandoned++
		return
	}
	wait := 50*scheduler.Millisecond + scheduler.Time(sim.rng.Float64()*float64(100*scheduler.Millisecond))
	switch {
	case c.ignoresRetryAfter:
	case sim.Damping == Exponential || sim.Damping == Limited && retryAfter == 0:
		span := float64(200*scheduler.Millisecond) * math.Exp2(float64(min(c.tries, 7)))
		wait = scheduler.Time(span/2 + sim.rng.Float64()*span/2)
	case sim.Damping == Limited:
		wait = retryAfter
	}
	sim.schedule(wait, func() { sim.submit(c) })
}
