package scheduler

import (
	"fmt"
	"testing"
)

// While attempts find no room, requests of low priority make way for others, and a tenant over its quota too.
func TestLowPriorityIsShedWhileMachinesAreFull(t *testing.T) {
	for _, tc := range []struct {
		name        string
		fullRatio   float64
		class       int
		tenant      int
		clientRetry bool
		least, most int
	}{
		{"room, low priority", 0.1, 0, 0, false, 0, 0},
		{"full, low priority", 0.35, 0, 0, false, 620, 780},
		{"full, high priority", 0.9, 1, 0, false, 0, 0},
		{"full, high priority, client retry", 0.35, 1, 0, true, 620, 780},
		{"full, high priority, over quota", 0.35, 1, 1, false, 400, 700},
		{"room, over quota", 0.1, 1, 1, false, 0, 0},
		{"room, client retry", 0.1, 1, 0, true, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			config := testConfig(Idempotent)
			config.WorkloadClasses = append(config.WorkloadClasses, config.WorkloadClasses[0])
			config.WorkloadClasses[1].PriorityWeight = 2 * config.WorkloadClasses[0].PriorityWeight
			config.Tenants = []Tenant{{QuotaCores: 50}, {QuotaCores: 50}}
			s, n := testScheduler(config), 0
			for i := 0; i < 1000; i++ {
				s.quotas.cores[0], s.quotas.cores[1] = 20, 80
				s.shedder.fullRatio, s.shedder.rejectedWeight = tc.fullRatio, tc.fullRatio*config.WorkloadClasses[1].PriorityWeight
				id := ContainerID(fmt.Sprint(i))
				actions := s.Handle(0, []Event{RequestReceived{PlacementRequest{ID: id, Service: "s", WorkloadClass: tc.class,
					Tenant: tc.tenant, ClientRetry: tc.clientRetry, Cores: 1, Memory: 1, Deadline: 5 * Second}}})
				if _, ok := lastAction(actions).(Reject); ok {
					n++
				}
			}
			if n < tc.least || n > tc.most {
				t.Errorf("%d of 1000 rejected, want %d to %d", n, tc.least, tc.most)
			}
		})
	}
}
