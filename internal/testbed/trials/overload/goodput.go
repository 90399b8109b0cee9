package overload

import (
	"math/rand/v2"
	"sync"
	"time"

	"glenport/internal/testbed/cluster"
	"glenport/internal/testbed/process"
	"glenport/internal/testbed/simulation"
	"glenport/scheduler"
)

// goodputMeter counts, for each second, the containers that were placed within their latency objective.
type goodputMeter struct {
	classes   []scheduler.WorkloadClass
	startedAt time.Time
	mu        sync.Mutex
	perSecond []float64
}

func newGoodputMeter(c *cluster.Cluster, began time.Time, seconds int) *goodputMeter {
	return &goodputMeter{
		classes: c.Config.Policy.WorkloadClasses, startedAt: began, perSecond: make([]float64, seconds),
	}
}

func (g *goodputMeter) recordPlacement(class int, took time.Duration) {
	objective := time.Duration(g.classes[class].LatencyObjective) * process.Tick
	if second := int(time.Since(g.startedAt).Seconds()); took <= objective && second < len(g.perSecond) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.perSecond[second]++
	}
}

// clientBackoff returns the function that gives the time a client waits before a retry. The clients call that function
// with their lock held.
func clientBackoff(d simulation.Damping, random *rand.Rand) func(tries int, retryAfter time.Duration) time.Duration {
	return func(tries int, retryAfter time.Duration) time.Duration {
		switch {
		case d == simulation.Exponential || d == simulation.Limited && retryAfter == 0:
			span := 200 * time.Millisecond << min(tries+1, 7)
			return span/2 + time.Duration(random.Int64N(int64(span/2)))
		case d == simulation.Limited:
			return retryAfter
		}
		return 50*time.Millisecond + time.Duration(random.Int64N(int64(100*time.Millisecond)))
	}
}
