package scheduler

// Explain counts the machines by the first obstacle that keeps a request from them, as of the last batch. The
// room by the machine list is one of them. It changes no decision.
func (s *Scheduler) Explain(r PlacementRequest) Explanation {
	x := Explanation{SheddingLoad: s.fullRatio > sheddingThreshold, FullRatio: s.fullRatio}
	if r.WorkloadClass >= len(s.config.WorkloadClasses) {
		return x
	}
	c := &container{request: r, class: &s.config.WorkloadClasses[r.WorkloadClass], service: &service{}}
	if known := s.services[r.Service]; known != nil {
		c.service = known
	}
	for _, m := range s.machineOrder {
		if m.state == MachineGone {
			x.Gone++
			continue
		}
		x.Machines++
		*s.explainMachine(&x, c, m)++
	}
	return x
}

// explainMachine returns the count that a machine falls under. A lack of room comes before passing obstacles.
func (s *Scheduler) explainMachine(x *Explanation, c *container, m *machine) *int {
	o := s.obstacle(c, m)
	switch o {
	case wrongMachineType:
		return &x.WrongMachineType
	case notServing:
		return &x.Draining
	case tooSmall:
		return &x.TooSmall
	}
	requested, limit := m.knownRequested(), s.acceptLimit(m)
	requested.add(c.requested())
	switch {
	case s.config.ListTracksRequests && requested.cores > limit.cores:
		return &x.InsufficientCores
	case s.config.ListTracksRequests && requested.memory > limit.memory:
		return &x.InsufficientMemory
	case o == selfDraining:
		return &x.SelfDraining
	case o == spreadExhausted:
		return &x.SpreadExhausted
	case o == slowStartExhausted:
		return &x.SlowStartExhausted
	case m.isEjected():
		return &x.Ejected
	case s.suspectedForClass(c, m):
		return &x.Suspected
	}
	return &x.Eligible
}
