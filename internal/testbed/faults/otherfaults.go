package faults

import "time"

// listUnavailable takes the machine list down.
type listUnavailable struct{}

func (listUnavailable) inject(i *Injector, f Fault) {
	i.List.BecomeUnreachable()
	i.wait(f.Duration)
	i.List.BecomeReachable()
}

// listStale lets the machine list lag by as many seconds as its size says.
type listStale struct{}

func (listStale) inject(i *Injector, f Fault) {
	i.List.SetStaleness(time.Duration(f.Size * float64(time.Second)))
	i.wait(f.Duration)
	i.List.SetStaleness(0)
}

// schedulerKill kills a fraction of the schedulers and starts them again.
type schedulerKill struct{}

func (schedulerKill) inject(i *Injector, f Fault) {
	killed := i.pick(f.Fraction, len(i.Schedulers))
	for _, index := range killed {
		i.KillScheduler(i.Schedulers[index])
	}
	i.wait(f.Duration)
	for _, index := range killed {
		if err := i.StartScheduler(i.Schedulers[index]); err != nil {
			i.log.Printf("scheduler %s did not start again: %v", i.Schedulers[index].Name, err)
		}
	}
}

// burst multiplies the rate of submissions by its size.
type burst struct{}

func (burst) inject(i *Injector, f Fault) {
	i.Clients.SetRate(i.rate * f.Size)
	i.wait(f.Duration)
	i.Clients.SetRate(i.rate)
}

// clientRetries has clients submit a fraction of what waits once more.
type clientRetries struct{}

func (clientRetries) inject(i *Injector, f Fault) {
	i.Clients.Redeploy(f.Fraction)
	i.wait(f.Duration)
}
