package scheduler

// startLatencyTracker follows, for each workload class, the share of this scheduler's containers that began to run
// later than the class's latency objective after they were sent. It counts all machines together, so it tells nothing
// of any machine, its room or its load.
type startLatencyTracker struct {
	acceptMeansRunning bool
	lateRatios         []float64 // moving shares, by workload class
}

func newStartLatencyTracker(config *Config) *startLatencyTracker {
	return &startLatencyTracker{
		acceptMeansRunning: config.AcceptMeansRunning,
		lateRatios:         make([]float64, len(config.WorkloadClasses)),
	}
}

// recordAccepted counts a start where machines accept only what runs.
func (t *startLatencyTracker) recordAccepted(c *container, now Time) {
	if t.acceptMeansRunning {
		t.recordStart(c, now)
	}
}

// recordRunning counts a start where machines accept what has yet to start, and report when it runs.
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

// lateRatio is the moving share of late starts in the container's class.
func (t *startLatencyTracker) lateRatio(c *container) float64 {
	return t.lateRatios[c.request.WorkloadClass]
}
