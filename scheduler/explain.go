package scheduler

// explainer finds out why no machine is found for a request.
type explainer struct {
	eligibility *eligibility
	classes     *classFailureDetector
}

// Explain counts the machines by the first obstacle to a placement of the request on them, as of the last batch. Unlike
// a draw, it also counts a shortage of resources by the machine list. It does not affect any decision.
func (s *Scheduler) Explain(r PlacementRequest) Explanation {
	explanation := Explanation{SheddingLoad: s.shedder.isShedding(s.now), FullRatio: s.shedder.currentFullRatio(s.now)}
	c := s.containers.newUnregistered(r)
	if c == nil {
		return explanation
	}
	for _, m := range s.machines.all() {
		if m.listing.state == MachineGone {
			explanation.Gone++
			continue
		}
		explanation.Machines++
		*s.explainer.counterFor(&explanation, c, m, s.now)++
	}
	return explanation
}

// counterFor returns the counter for a machine. A shortage of resources precedes temporary obstacles.
func (e *explainer) counterFor(x *Explanation, c *container, m *machine, now Time) *int {
	first := e.eligibility.firstObstacle(c, m, now)
	if first.isPermanent() {
		return obstacleCount(x, first)
	}
	switch e.eligibility.shortageFor(c, m) {
	case shortOfCores:
		return &x.InsufficientCores
	case shortOfMemory:
		return &x.InsufficientMemory
	case noShortage:
	}
	if first != noObstacle {
		return obstacleCount(x, first)
	}
	switch suspicionLevelOf(m, e.classes.classesOf(c), e.classes, now) {
	case ejected:
		return &x.Ejected
	case suspectedOfClass:
		return &x.Suspected
	case notSuspected, noCandidate:
	}
	return &x.Eligible
}

func obstacleCount(x *Explanation, o obstacle) *int {
	switch o {
	case wrongMachineType:
		return &x.WrongMachineType
	case notServing:
		return &x.Draining
	case tooSmall:
		return &x.TooSmall
	case selfDraining:
		return &x.SelfDraining
	case spreadExhausted:
		return &x.SpreadExhausted
	case slowStartExhausted:
		return &x.SlowStartExhausted
	case noObstacle:
	}
	return &x.Eligible
}
