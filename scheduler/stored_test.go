package scheduler

import (
	"bytes"
	"encoding/hex"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"glenport/internal/testutil"
)

const storedFile = "testdata/stored.txt"

// storedValue is a value of a type that other packages write to disk, with its name in testdata/stored.txt.
type storedValue struct {
	name  string
	value any
}

// storedValues are described in testdata/stored.md.
func storedValues() []storedValue {
	return []storedValue{
		{"knowledge", Snapshot{
			Machines: []MachineSnapshot{
				{
					Machine: "m-1", StartedAt: 11, OutlierLogOdds: 1.25, EjectedUntil: 12, EjectionTime: 13,
					SelfDrainingUntil: 14, RecentSends: []Time{17, 18},
					FailureEvidence: []FailureEvidence{{LogOdds: 2.5, AsOf: 15}, {LogOdds: 3.75, AsOf: 16}},
				},
				{Machine: "m-2", StartedAt: 21},
			},
			TrafficClasses: []TrafficClass{
				{LossRatio: 0.5, SuspicionThreshold: 4.5}, {LossRatio: 0.25, SuspicionThreshold: -1.5},
			},
			FullRatio: 0.375, RejectedWeight: 1.75, SendsKnownSince: 19,
		}},
		{"knowledge, empty", Snapshot{}},
		{"request", PlacementRequest{
			ID: "c-1", IdempotencyKey: "k-1", Service: "s-1", WorkloadClass: 1, Tenant: 2,
			Cores: 3.5, Memory: 4.25, Deadline: 5, ExpectedRuntime: 6, ClientRetry: true,
		}},
		{"request, empty", PlacementRequest{}},
		{"settings", Config{
			Seed: 1, SchedulerIndex: 2, SchedulerCount: 3,
			WorkloadClasses: []WorkloadClass{
				{
					Idempotency: IdempotentWithKey, DedupScope: ScopeZone, DedupWindow: 4, LatencyObjective: 5,
					PlacementTimeout: 6, MachineType: -1, SpreadScope: ScopeRackGroup, MaxPerScope: 7,
					PriorityWeight: 1.5,
				},
				{Idempotency: AtMostOnce, DedupScope: ScopeFleet, SpreadScope: ScopeMachine},
			},
			MachineTypes:    []MachineType{{Cores: 8.5, Memory: 9.5}, {}},
			Tenants:         []Tenant{{QuotaCores: 10.5}},
			OverQuotaWeight: 0.25, CoresOvercommit: 2.5, MemoryOvercommit: 1.25, MeanCores: 0.75, MeanMemory: 1.75,
			AcceptMeansRunning: true, UsageReports: true, ListTracksRequests: true, ProbesAllowed: true,
			MaxAttempts: 11, AnswerGrace: 12, ListOnRequest: true, ResyncInterval: 13,
			SlowStartPeriod: 14, SlowStartWindow: 15, SlowStartBudget: 16,
		}},
		{"settings, empty", Config{}},
	}
}

// TestStoredStructsKeepTheirEncoding guards against a renamed field that changes the format on disk. It compares with
// bytes from before the fields had tags; these are never recorded again.
func TestStoredStructsKeepTheirEncoding(t *testing.T) {
	values := storedValues()
	lines := readLines(t, storedFile)
	testutil.Require(t, len(lines) == len(values), "%d values recorded, %d known", len(lines), len(values))
	for i, v := range values {
		t.Run(v.name, func(t *testing.T) {
			name, digits, _ := strings.Cut(lines[i], ": ")
			testutil.Require(t, name == v.name, "line %d holds %q, want %q", i+1, name, v.name)
			checkEncoding(t, v.value, digits)
		})
	}
}

// checkEncoding decodes a recorded value, encodes it again and compares both results.
func checkEncoding(t *testing.T, value any, digits string) {
	t.Helper()
	recorded, err := hex.DecodeString(digits)
	testutil.NoError(t, err)
	read := reflect.New(reflect.TypeOf(value))
	testutil.NoError(t, cbor.Unmarshal(recorded, read.Interface()))
	if !reflect.DeepEqual(read.Elem().Interface(), value) {
		t.Errorf("read %+v, want %+v", read.Elem(), value)
	}
	written, err := cbor.Marshal(value)
	testutil.NoError(t, err)
	testutil.Expect(t, bytes.Equal(written, recorded), "written %x, recorded %x", written, recorded)
}
