package scheduler

// goldenGroup is a group of sequences that share a kind of configuration.
type goldenGroup struct {
	name   string
	adjust func(r *random, o *sequenceOptions)
}

var goldenGroups = []goldenGroup{
	{"mixed", func(*random, *sequenceOptions) {}},
	{"idempotent", withIdempotency(Idempotent)},
	{"idempotent with a key", withIdempotency(IdempotentWithKey)},
	{"at most once", withIdempotency(AtMostOnce)},
	{"spread", func(r *random, o *sequenceOptions) {
		o.services = 1 + r.below(3)
		for i := range o.config.WorkloadClasses {
			w := &o.config.WorkloadClasses[i]
			w.SpreadScope, w.MaxPerScope = pick(r, ScopeMachine, ScopeRackGroup, ScopeZone), 1+r.below(3)
		}
	}},
	{"slow start", func(r *random, o *sequenceOptions) {
		o.changeInterval = Second / 2
		o.config.SlowStartPeriod, o.config.SlowStartWindow = 8*Second, pick(r, Second, 2*Second)
		o.config.SchedulerCount = pick(r, 1, 2, 3, 40)
		o.config.SchedulerIndex = r.below(o.config.SchedulerCount)
		o.config.SlowStartBudget = pick(r, 0, 1, 2, 5, 12, 60)
	}},
	{"overload", func(r *random, o *sequenceOptions) {
		o.arrivalInterval, o.size, o.runtime, o.machines = 30*Millisecond, 4, 20*Second, 1+r.below(5)
	}},
	{"tenants", func(r *random, o *sequenceOptions) {
		o.arrivalInterval, o.size, o.runtime, o.machines = 40*Millisecond, 3, 20*Second, 1+r.below(4)
		o.config.Tenants = []Tenant{{5}, {20}, {40}}
		for i := range o.config.WorkloadClasses {
			o.config.WorkloadClasses[i].PriorityWeight = 1 + float64(i)
		}
	}},
	{"usage reports", func(_ *random, o *sequenceOptions) {
		o.config.UsageReports, o.config.ListTracksRequests = true, true
		o.runtime = 15 * Second
	}},
	{"faulty machines", func(r *random, o *sequenceOptions) {
		o.faultyRatio = 0.2 + 0.8*r.float()
		o.config.ProbesAllowed = true
	}},
	{"no probes", func(r *random, o *sequenceOptions) {
		o.faultyRatio = 0.2 + 0.8*r.float()
		o.config.ProbesAllowed = false
	}},
	{"failing classes", func(r *random, o *sequenceOptions) {
		o.faults, o.faultyRatio = []simulatedFault{failsOneClass, failsOneTenant}, 0.3
		o.config.Tenants = []Tenant{{20}, {20}, {20}}
		o.config.ListTracksRequests = true
		o.arrivalInterval, o.runtime, o.machines = 40*Millisecond, Second, 3+r.below(5)
		if r.chance(0.2) {
			o.sameFailingClass, o.faults, o.faultyRatio = true, []simulatedFault{failsOneClass}, 1
		}
	}},
	{"list on request", func(r *random, o *sequenceOptions) {
		o.config.ListOnRequest, o.config.ResyncInterval = true, pick(r, 2*Second, 10*Second)
		o.listFailureRatio = pick(r, 0, 0.2, 0.7)
	}},
	{"drains", func(_ *random, o *sequenceOptions) {
		o.changeInterval, o.faults, o.faultyRatio = Second/3, []simulatedFault{drainingItself, resetting}, 0.3
	}},
	{"scheduler restarts", func(r *random, o *sequenceOptions) {
		o.restarts, o.faultyRatio = true, 0.3
		o.config.SlowStartPeriod, o.config.SlowStartWindow, o.config.SlowStartBudget = 6*Second, Second, 4+r.below(30)
		o.config.SchedulerCount, o.config.SchedulerIndex = 2, r.below(2)
	}},
	{"lost answers", func(_ *random, o *sequenceOptions) { o.unansweredRatio = 0.4 }},
	{"odd input", func(r *random, o *sequenceOptions) {
		o.withInvalidEvents = true
		o.config.SchedulerCount, o.config.SchedulerIndex = 0, 0
		o.config.UsageReports, o.config.ListTracksRequests = r.chance(0.7), r.chance(0.7)
		o.config.MachineTypes = append(o.config.MachineTypes, MachineType{})
	}},
	{"many machines", func(_ *random, o *sequenceOptions) { o.machines, o.services = 60, 20 }},
	{"self-reported starts", func(r *random, o *sequenceOptions) {
		o.selfReports, o.changeInterval = true, Second/3
		o.config.ListOnRequest, o.config.ResyncInterval = true, pick(r, 2*Second, 10*Second)
		o.listFailureRatio = pick(r, 0.3, 0.9)
	}},
}

func withIdempotency(e Idempotency) func(r *random, o *sequenceOptions) {
	return func(_ *random, o *sequenceOptions) {
		for i := range o.config.WorkloadClasses {
			o.config.WorkloadClasses[i].Idempotency = e
		}
		o.faultyRatio = 0.5
	}
}

func drawOptions(r *random) *sequenceOptions {
	// The order of the fields is the order in which random numbers are drawn.
	o := &sequenceOptions{
		machines:         2 + r.below(12),
		services:         1 + r.below(8),
		arrivalInterval:  r.span(40*Millisecond, 300*Millisecond),
		size:             1 + 2*r.float(),
		runtime:          r.span(Second/2, 8*Second),
		faultyRatio:      pick(r, 0, 0.15, 0.4),
		unansweredRatio:  pick(r, 0, 0, 0.05),
		changeInterval:   r.span(Second, 6*Second),
		retryRatio:       r.float(),
		listFailureRatio: pick(r, 0, 0.3),
		faults: []simulatedFault{
			unreachable, silent, erroring, failsOneClass, failsOneTenant, resetting, drainingItself,
			refusing,
		},
	}
	o.config = Config{
		Seed:               r.next(),
		SchedulerCount:     pick(r, 1, 3, 10),
		OverQuotaWeight:    pick(r, 0, 0.1, 0.5),
		CoresOvercommit:    pick(r, 1, 2, 2.5),
		MemoryOvercommit:   pick(r, 1, 1.5, 2),
		MeanCores:          pick(r, 0.5, 0.96, 2),
		MeanMemory:         pick(r, 0.7, 1.73, 3),
		AcceptMeansRunning: r.chance(0.5),
		UsageReports:       r.chance(0.5),
		ListTracksRequests: r.chance(0.5),
		ProbesAllowed:      r.chance(0.7),
		MaxAttempts:        pick(r, 1, 2, 4, 4, 6),
		AnswerGrace:        pick(r, 80, Second/2),
		ListOnRequest:      r.chance(0.3),
		ResyncInterval:     10 * Second,
		SlowStartPeriod:    pick(r, 0, 5*Second),
		SlowStartWindow:    pick(r, Second, 3*Second),
		SlowStartBudget:    pick(r, 0, 3, 30, 100),
	}
	drawFleet(r, &o.config)
	return o
}

// drawFleet adds machine types, tenants and workload classes.
func drawFleet(r *random, c *Config) {
	c.SchedulerIndex = r.below(c.SchedulerCount)
	for range 1 + r.below(3) {
		size := MachineType{Cores: float64(4 + r.below(30)), Memory: float64(6 + r.below(50))}
		c.MachineTypes = append(c.MachineTypes, size)
	}
	for range r.below(4) {
		c.Tenants = append(c.Tenants, Tenant{QuotaCores: float64(5 + r.below(50))})
	}
	for range 1 + r.below(4) {
		c.WorkloadClasses = append(c.WorkloadClasses, drawWorkloadClass(r, c))
	}
}

func drawWorkloadClass(r *random, c *Config) WorkloadClass {
	timeout := r.span(Second, 6*Second)
	class := WorkloadClass{
		Idempotency:      pick(r, Idempotent, IdempotentWithKey, AtMostOnce),
		LatencyObjective: timeout / 4,
		PlacementTimeout: timeout,
		MachineType:      -1,
		PriorityWeight:   0.5 + 2*r.float(),
	}
	if class.Idempotency == IdempotentWithKey || r.chance(0.1) {
		class.DedupScope = pick(r, ScopeNone, ScopeMachine, ScopeRackGroup, ScopeZone, ScopeFleet)
		class.DedupWindow = r.span(Second/2, 6*Second)
	}
	if r.chance(0.2) {
		class.MachineType = r.below(len(c.MachineTypes))
	}
	if r.chance(0.3) {
		class.SpreadScope = pick(r, ScopeMachine, ScopeRackGroup, ScopeZone)
		class.MaxPerScope = 1 + r.below(4)
	}
	return class
}
