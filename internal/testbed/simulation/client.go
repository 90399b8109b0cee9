package simulation

import (
	"fmt"
	"math"

	"glenport/scheduler"
)

const simMaxTries = 12 // of one container; half of that for at-most-once ones

// simContainer is a container that a client wants to run.
type simContainer struct {
	number         int
	workloadClass  int
	client         string
	ignoresAdvice  bool
	scheduledRetry bool // the next try is at the time that the limiter gave
	firstTry       scheduler.Time
	tries          int
}

// nextClient submits the next container; arrivals are Poisson.
func (sim *Simulation) nextClient() {
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
	c.ignoresAdvice = sim.rng.Float64() < sim.IgnoringClients
	sim.secondOf(c).Submitted++
	sim.submit(c)
	sim.schedule(scheduler.Time(sim.rng.ExpFloat64()/sim.Rate*float64(scheduler.Second)), sim.nextClient)
}

// secondOf is the second of a container's first try.
func (sim *Simulation) secondOf(c *simContainer) *SimSecond {
	return &sim.Seconds[int(c.firstTry/scheduler.Second)]
}

// submit sends a container to a scheduler drawn at random.
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
		sim.secondOf(c).Shed++
		c.scheduledRetry = !c.ignoresAdvice
		sim.retry(c, retryAfter)
		return
	}
	if scheduled {
		sim.AdmittedRetries++
	}
	s.receive(c)
}

// retry is what a client does that was rejected or shed: it gives up, or submits again after a time that depends on the
// damping and on whether it heeds advice.
func (sim *Simulation) retry(c *simContainer, retryAfter scheduler.Time) {
	if c.tries >= simMaxTries || c.workloadClass == simAtMostOnce && c.tries >= simMaxTries/2 {
		sim.secondOf(c).Abandoned++
		return
	}
	wait := 50*scheduler.Millisecond + scheduler.Time(sim.rng.Float64()*float64(100*scheduler.Millisecond))
	switch {
	case c.ignoresAdvice:
	case sim.Damping == Exponential || sim.Damping == Limited && retryAfter == 0:
		span := float64(200*scheduler.Millisecond) * math.Exp2(float64(min(c.tries, 7)))
		wait = scheduler.Time(span/2 + sim.rng.Float64()*span/2)
	case sim.Damping == Limited:
		wait = retryAfter
	}
	sim.schedule(wait, func() { sim.submit(c) })
}
