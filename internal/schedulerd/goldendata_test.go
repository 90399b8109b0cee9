package schedulerd

import (
	"glenport/internal/protocol"
	"glenport/internal/schedulerd/overload"
	"glenport/internal/schedulerd/reconcile"
	"glenport/internal/schedulerd/recovery"
	"glenport/internal/schedulerd/warmstart"
	"glenport/scheduler"
)

func goldenRequest(n float64, id string) scheduler.PlacementRequest {
	return scheduler.PlacementRequest{
		ID: scheduler.ContainerID("container-" + id), IdempotencyKey: "key-" + id, Service: "service-" + id,
		WorkloadClass: 10 + int(n), Tenant: 20 + int(n), Cores: n + 0.25, Memory: n + 0.5,
		Deadline: scheduler.Time(1000 + n), ExpectedRuntime: scheduler.Time(2000 + n), ClientRetry: true,
	}
}

func goldenAttempt(n float64, id string, incarnation, number uint64) reconcile.Attempt {
	return reconcile.Attempt{
		Request: goldenRequest(n, id), Machine: scheduler.MachineID("machine-" + id),
		Incarnation: incarnation, Number: number, Running: true,
	}
}

// goldenAttempts are sorted by number. The log deletes the third one.
var goldenAttempts = []reconcile.Attempt{
	goldenAttempt(1, "one", 101, 0x11),
	goldenAttempt(2, "two", 102, 0x22),
	goldenAttempt(3, "three", 103, 0x33),
	goldenAttempt(4, "four", 104, 0x1122334455667788),
}

var goldenSends = []warmstart.SlowStartSends{
	{Machine: "machine-five", Incarnation: 205, Times: []scheduler.Time{3001, 3002, 3003}},
	{Machine: "machine-six", Incarnation: 206, Times: []scheduler.Time{3004}},
}

var goldenHistory = warmstart.LogHistory{
	SendsRecordedSince: warmstart.Timestamp{
		Clock: 17_000_000_000_001, Uptime: 17_000_002, BootID: "boot-of-the-record",
	},
	Coverage: recovery.LogSynced,
}

var goldenEntries = []protocol.MachineEntry{
	{
		Machine: "machine-seven", Address: "127.0.0.7:7007", Zone: 31, MachineType: 32, RackGroup: 33,
		State: protocol.MachineDraining, FreeCores: 34.5, FreeMemory: 35.5, PowerHint: 36.5,
		Incarnation: 207, Age: 5001,
	},
	{
		Machine: "machine-eight", Address: "127.0.0.8:8008", Zone: 41, MachineType: 42, RackGroup: 43,
		State: protocol.MachineGone, FreeCores: 44.5, FreeMemory: 45.5, PowerHint: 46.5,
		Incarnation: 208, Age: -1,
	},
}

var goldenLearned = scheduler.Snapshot{
	Machines: []scheduler.MachineSnapshot{{
		Machine: "machine-seven", StartedAt: 4001, OutlierLogOdds: 5.25,
		EjectedUntil: 4002, EjectionTime: 4003, SelfDrainingUntil: 4004,
		FailureEvidence: []scheduler.FailureEvidence{{LogOdds: 0.125, AsOf: 4005}, {LogOdds: 1.125, AsOf: 4006}},
		RecentSends:     []scheduler.Time{4007, 4008},
	}},
	TrafficClasses: []scheduler.TrafficClass{
		{LossRatio: 0.0625, SuspicionThreshold: 6.5},
		{LossRatio: 0.1875, SuspicionThreshold: 7.5},
		{LossRatio: 0.3125, SuspicionThreshold: 8.5},
	},
	FullRatio: 0.4375, RejectedWeight: 0.5625, SendsKnownSince: 4009,
}

// goldenSnapshot has a single map entry, because several entries would be encoded in random order.
func goldenSnapshot() *WarmStartSnapshot {
	return &WarmStartSnapshot{
		TakenAt:         warmstart.Timestamp{Clock: 17_000_000_000_101, Uptime: 17_000_102, BootID: "boot-of-the-file"},
		ClassNames:      []string{"class-a", "class-b", "tenant-a"},
		Learned:         goldenLearned,
		Incarnations:    map[scheduler.MachineID]uint64{"machine-seven": 207},
		ListVersion:     301,
		Entries:         []entryRecord{newEntryRecord(goldenEntries[0]), newEntryRecord(goldenEntries[1])},
		OrderlyShutdown: true,
		Overload: &overload.Snapshot{
			Limit: 91.5, Throughput: 92.5, Latency: []float64{0.71, 0.72}, BaselineLatency: []float64{0.81, 0.82},
		},
	}
}
