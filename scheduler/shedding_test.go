package scheduler

import (
	"strconv"
	"testing"

	"glenport/internal/testutil"
)

// While attempts find their machines full, requests of low priority and of tenants over their quota are shed.
func TestLowPriorityIsShedWhileMachinesAreFull(t *testing.T) {
	for _, tc := range []struct {
		name          string
		fullRatio     float64
		class, tenant int
		clientRetry   bool
		least, most   int
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
			s, rejected := testScheduler(config), 0
			for i := range 1000 {
				s.shedder.quotas.cores = []float64{20, 80}
				s.shedder.fullRatio = tc.fullRatio
				s.shedder.rejectedWeight = tc.fullRatio * config.WorkloadClasses[1].PriorityWeight
				request := smallRequest(ContainerID(strconv.Itoa(i)), "s", 5*Second)
				request.WorkloadClass, request.Tenant, request.ClientRetry = tc.class, tc.tenant, tc.clientRetry
				if _, ok := lastAction(s.Handle(0, []Event{RequestReceived{request}})).(Reject); ok {
					rejected++
				}
			}
			testutil.Expect(t, rejected >= tc.least && rejected <= tc.most,
				"%d of 1000 rejected, want %d to %d", rejected, tc.least, tc.most)
		})
	}
}

// A shed request makes no attempt, so the share of attempts on full machines must expire without one. Otherwise a
// scheduler could shed all requests of its only client forever, even after room is free again.
func TestRequestsAreShedOnlyOnRecentAttempts(t *testing.T) {
	for _, tc := range []struct {
		name     string
		since    Time // time since the last attempt
		shedding bool
	}{
		{"just now", 0, true},
		{"at the maximum age", fullRatioMaxAge, true},
		{"later", fullRatioMaxAge + 1, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := testScheduler(testConfig(Idempotent))
			filler := &container{class: &s.config.WorkloadClasses[0]}
			for range averagingSpan {
				s.shedder.recordNoRoom(filler, 10*Second)
			}
			now := 10*Second + tc.since
			testutil.Equal(t, s.shedder.isShedding(now), tc.shedding, "load is shed")
			s.shedder.rejectedWeight = 1e6 // far above the request's weight, so that it is certainly shed
			request := smallRequest("x", "s", now+5*Second)
			_, rejected := lastAction(s.Handle(now, []Event{RequestReceived{request}})).(Reject)
			testutil.Equal(t, rejected, tc.shedding, "the request is rejected")
			s.shedder.recordNoRoom(filler, now)
			testutil.Equal(t, s.shedder.isShedding(now), tc.shedding, "load is shed after one more attempt")
		})
	}
}

func TestQuotaToUseRatioComparesUseWithQuota(t *testing.T) {
	for _, tc := range []struct {
		name   string
		quotas []Tenant
		cores  []float64
		tenant int
		want   float64
	}{
		{"within its quota", []Tenant{{50}, {50}}, []float64{10, 10}, 0, 1},
		{"twice its quota", []Tenant{{25}, {75}}, []float64{20, 20}, 0, 0.5},
		{"nothing reserved", []Tenant{{50}, {50}}, []float64{0, 10}, 0, 1},
		{"no quotas", []Tenant{{0}, {0}}, []float64{10, 10}, 0, 1},
		{"no tenant", []Tenant{{50}}, []float64{10}, 1, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			q := newTenantQuotas(tc.quotas)
			for tenant, cores := range tc.cores {
				q.reserve(tenant, cores+1)
				q.release(tenant, 1)
			}
			testutil.Equal(t, q.quotaToUseRatio(tc.tenant), tc.want, "share")
		})
	}
}
