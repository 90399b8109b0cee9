package scheduler

import (
	"fmt"
	"math"
	"testing"

	"glenport/internal/testutil"
)

func TestDrawOddsFollowHonoredCapacity(t *testing.T) {
	plain := map[MachineID]float64{"a": 10, "b": 40, "c": 10, "d": 10}
	honored := map[MachineID]float64{"a": 10, "b": 40 - (35 - 1), "c": 10, "d": 10} // one core was requested
	for _, tc := range []struct {
		name         string
		usageReports bool
		setup        func(*Scheduler)
		want         map[MachineID]float64 // weights
	}{
		{"by capacity", false, func(*Scheduler) {}, plain},
		{"not by placement", false, func(s *Scheduler) {
			for i := range 30 {
				adopt(s, fmt.Sprint("own", i), "busy", "b")
			}
		}, plain},
		{"not by reported room", false, func(s *Scheduler) {
			listMachines(s, 1, DeltaUpdate, MachineEntry{Machine: "b", MachineType: 1, FreeCores: -99, FreeMemory: -99})
		}, plain},
		{"not by late starts", false, func(s *Scheduler) { s.latency.lateRatios[0] = 1 }, plain},
		{"by honored capacity", true, func(s *Scheduler) {
			adopt(s, "heavy", "other", "b")
			s.Handle(1, []Event{UsageReported{ID: "heavy", Machine: "b", Metric: MetricCoresUsed, Value: 35}})
		}, honored},
	} {
		t.Run(tc.name, func(t *testing.T) {
			config := testConfig(Idempotent)
			config.UsageReports = tc.usageReports
			s := testScheduler(config)
			tc.setup(s)
			sum := 0.0
			for _, weight := range tc.want {
				sum += weight
			}
			drawn := drawOdds(s, 20000)
			for id, weight := range tc.want {
				if got, want := drawn[id], weight/sum; math.Abs(got-want) > 0.015 {
					t.Errorf("%s: drawn %.3f of the time, want %.3f", id, got, want)
				}
			}
		})
	}
}

// drawOdds makes one draw for each of many services and returns each machine's share of the draws.
func drawOdds(s *Scheduler, draws int) map[MachineID]float64 {
	odds := map[MachineID]float64{}
	for i := range draws {
		c := s.containers.add(smallRequest("x", fmt.Sprint("s", i), 0))
		odds[s.draw.draw(c, s.machines.all(), s.now).id] += 1 / float64(draws)
		s.containers.close(c)
	}
	return odds
}

// The draw skips a machine whose variate exceeds the best. If exceeds held for a variate's own value, rounding could
// skip the machine that should be drawn.
func TestVariateNeverExceedsItsOwnValue(t *testing.T) {
	generator := pcg{1}
	for _, rate := range []float64{1e-12, 0.02, 1, 40, 1e12, math.Inf(1)} {
		for shift := range 54 * 100 { // down to the least numbers that the generator returns, and 0
			uniform := float64(generator.next()>>(11+shift%54)) / (1 << 53)
			v := variate{uniform: uniform, rate: rate}
			if v.exceeds(v.value()) {
				t.Errorf("variate of uniform %g at rate %g exceeds its own value %g", uniform, rate, v.value())
			}
		}
	}
}

// A late Restore inserts earlier sends at the front of a ledger. Sends from before the window that are still in the
// ledger would then follow the inserted sends, so they would not be dropped and would count again.
func TestDrawTrimsLedgersOfMachinesInSlowStart(t *testing.T) {
	s := settledScheduler(nil, nil)
	for _, m := range s.machines.all() {
		m.startAt(s.now - Second)
		m.sends.record(s.now - 10*Second)
	}
	submit(s, s.now, "x", "s")
	for _, m := range s.machines.all() {
		testutil.Expect(t, len(m.sends.sendTimes) == 0 || m.sends.sendTimes[0] >= s.now,
			"the ledger of %s still has a send before its window", m.id)
	}
}

func TestHonoredCapacityExcludesExtraneousLoad(t *testing.T) {
	for _, tc := range []struct {
		name                                 string
		usageReports                         bool
		used, requested, listRequested, want float64
	}{
		{"no usage reports", false, 30, 1, 1, 40},
		{"within the requests", true, 10, 4, 12, 40},
		{"beyond the listed requests", true, 20, 4, 12, 32},
		{"beyond own requests, list late", true, 20, 15, 12, 35},
		{"floor", true, 500, 4, 12, 40 * minWeightShare},
	} {
		t.Run(tc.name, func(t *testing.T) {
			config := testConfig(Idempotent)
			config.UsageReports = tc.usageReports
			m := &machine{listing: listing{capacity: 40, requested: resources{cores: tc.listRequested}}}
			m.load.used.cores, m.load.requested.cores = tc.used, tc.requested
			model := newCapacityModel(&config)
			got := model.honored(m)
			testutil.Expect(t, math.Abs(got-tc.want) <= 1e-9, "honored %.2f, want %.2f", got, tc.want)
		})
	}
}
