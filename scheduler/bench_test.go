package scheduler

import (
	"fmt"
	"testing"
)

const benchmarkMachines = 300

// benchmarkScheduler returns a scheduler with machines of two types and three workload classes: one for any machine,
// one for one machine type, and one spread over rack groups.
func benchmarkScheduler() *Scheduler {
	config := testConfig(Idempotent)
	anywhere := config.WorkloadClasses[0]
	oneType, spread := anywhere, anywhere
	oneType.MachineType = 1
	spread.SpreadScope, spread.MaxPerScope = ScopeRackGroup, 4
	config.WorkloadClasses = []WorkloadClass{anywhere, oneType, spread}
	config.Tenants = []Tenant{{QuotaCores: 50}, {QuotaCores: 50}}
	config.UsageReports = true
	s := New(config)
	var entries []MachineEntry
	for i := range benchmarkMachines {
		entries = append(entries, MachineEntry{
			Machine: MachineID(fmt.Sprint("machine-", i)), Zone: i % 3, RackGroup: i / 10, MachineType: i % 2,
			FreeCores: 5, FreeMemory: 10,
		})
	}
	s.Handle(0, []Event{MachineListUpdate{Mode: FullSnapshot, Entries: entries}})
	return s
}

// BenchmarkPlacement measures the handling of a container from its request to its final outcome.
func BenchmarkPlacement(b *testing.B) {
	for class, name := range []string{"anywhere", "one machine type", "spread"} {
		b.Run(name, func(b *testing.B) {
			s := benchmarkScheduler()
			services := make([]string, 64)
			for i := range services {
				services[i] = fmt.Sprint("service-", i)
			}
			request := PlacementRequest{WorkloadClass: class, Cores: 1, Memory: 1}
			now := Time(0)
			for i := 0; b.Loop(); i++ {
				now += Millisecond
				request.ID, request.Service, request.Deadline = "c", services[i%len(services)], now+6*Second
				s.Handle(now, []Event{RequestReceived{request}})
				s.Handle(now, []Event{AttemptAccepted{ID: "c"}, AttemptEnded{ID: "c", Final: true}})
			}
		})
	}
}
