package scheduler

// startLatencyTracker tracks, for each workload class, the share of this scheduler's containers that started late: the
// time from the send to the start exceeded the class's latency objective. It does not distinguish machines, so its
// ratios say nothing about the room or load of any machine.
type startLatencyTracker struct {
	acceptMeansRunning bool
	lateRatios         []float64 // moving shares of late starts, by workload class
}

func newStartLatencyTracker(config *Config) *startLatencyTracker {
	return &startLatencyTracker{
		acceptMeansRunning: config.AcceptMeansRunning,
		lateRatios:         make([]float64, len(config.WorkloadClasses)),
	}
}

// recordAccepted records a start if machines accept a container only once it runs.
func (t *startLatencyTracker) recordAccepted(c *container, now Time) {
	if t.acceptMeansRunning {
		t.recordStart(c, now)
	}
}

// recordRunning records a start if machines accept a container before it starts, and report separately that it runs.
func (t *startLatencyTracker) recordRunning(c *container, now Time) {
	if !t.acceptMeansRunning {
		t.recordStart(c, now)
	}
}

func (t *startLatencyTracker) recordStart(c *container, now Time) {
	ratio := &t.lateRatios[c.request.WorkloadClass]
	*ratio -= *ratio / averagingSpan
	if now-c.sentAt > c.class.LatencyObjective {
		*ratio += 1.0 / averagingSpan
	}
}

// lateRatio returns the moving share of late starts in the container's workload class.
func (t *startLatencyTracker) lateRatio(c *container) float64 {
	return t.lateRatios[c.request.WorkloadClass]
}
