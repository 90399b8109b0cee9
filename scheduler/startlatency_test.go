package scheduler

import (
	"fmt"
	"testing"

	"glenport/internal/testutil"
)

// startAll starts containers, all with the same latency.
func startAll(s *Scheduler, latency Time) {
	for i := range 4 * averagingSpan {
		id := ContainerID(fmt.Sprint("started", i))
		m := submit(s, s.now, id, string(id))
		accepted := AttemptAccepted{ID: id, Machine: m}
		running := UsageReported{ID: id, Machine: m, Metric: MetricRunning}
		if s.config.AcceptMeansRunning {
			s.Handle(s.now+latency, []Event{accepted})
		} else {
			s.Handle(s.now, []Event{accepted})
			s.Handle(s.now+latency, []Event{running})
		}
	}
}

func TestLateStartsTakeTheFirstBucket(t *testing.T) {
	for _, acceptMeansRunning := range []bool{false, true} {
		config := testConfig(Idempotent)
		config.AcceptMeansRunning = acceptMeansRunning
		for latency, late := range map[Time]bool{config.WorkloadClasses[0].LatencyObjective: false, 2 * Second: true} {
			s := testScheduler(config)
			startAll(s, latency)
			c := s.containers.add(smallRequest("x", "s", 0))
			buckets := map[uint64]bool{}
			for range 100 {
				buckets[s.draw.bucket(c, s.now)] = true
			}
			testutil.Expect(t, (len(buckets) == 1) == late, "accept means running %t, latency %d: %d buckets",
				acceptMeansRunning, latency, len(buckets))
			for range averagingSpan {
				s.shedder.recordNoRoom(c, s.now)
			}
			share := s.draw.firstBucketShare(c, s.now)
			testutil.Expect(t, share == 0, "a share of %.2f takes the first bucket while load is shed", share)
		}
	}
}
