package faults

import "time"

// listUnavailable makes the machine list unreachable.
type listUnavailable struct{}

func (listUnavailable) inject(i *Injector, f Fault) {
	i.List.BecomeUnreachable()
	i.wait(f.Duration)
	i.List.BecomeReachable()
}

// listStale adds a delay to the lag of the machine list. The size of the fault is the delay in seconds.
type listStale struct{}

func (listStale) inject(i *Injector, f Fault) {
	i.List.SetStaleness(time.Duration(f.Size * float64(time.Second)))
	i.wait(f.Duration)
	i.List.SetStaleness(0)
}

// schedulerKill kills a fraction of the schedulers and restarts them after the duration of the fault.
type schedulerKill struct{}

func (schedulerKill) inject(i *Injector, f Fault) {
	killed := i.pick(f.Fraction, len(i.Schedulers))
	for _, index := range killed {
		i.KillScheduler(i.Schedulers[index])
	}
	i.wait(f.Duration)
	for _, index := range killed {
		if err := i.StartScheduler(i.Schedulers[index]); err != nil {
			i.log.Printf("restart of scheduler %s failed: %v", i.Schedulers[index].Name, err)
		}
	}
}

// burst multiplies the submission rate by the size of the fault.
type burst struct{}

func (burst) inject(i *Injector, f Fault) {
	i.Clients.SetRate(i.rate * f.Size)
	i.wait(f.Duration)
	i.Clients.SetRate(i.rate)
}

// clientRetries makes clients cancel a fraction of the placed containers and submit them again.
type clientRetries struct{}

func (clientRetries) inject(i *Injector, f Fault) {
	i.Clients.Redeploy(f.Fraction)
	i.wait(f.Duration)
}
