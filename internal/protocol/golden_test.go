package protocol

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"glenport/internal/testutil"
)

const framesFile = "testdata/frames.txt"

type namedFrame struct {
	title string
	frame Frame
}

// goldenSpec returns a spec with a distinct value in each field.
func goldenSpec(n int) ContainerSpec {
	return ContainerSpec{
		ContainerID:     fmt.Sprint("container-", n),
		IdempotencyKey:  fmt.Sprint("key-", n),
		Service:         fmt.Sprint("service-", n),
		WorkloadClass:   n + 1,
		Tenant:          n + 2,
		Cores:           float64(n) + 0.25,
		Memory:          float64(n) + 0.5,
		DedupWindow:     Duration(n + 3),
		ExpectedRuntime: Duration(n + 4),
		ClientRetry:     true,
	}
}

// goldenFrames returns each kind of frame with a distinct value in every field, frames for all values of each
// enumeration, and frames at the limits, in the order of the golden file.
func goldenFrames() []namedFrame {
	return slices.Concat(goldenConnectionFrames(), goldenMachineFrames(), goldenListFrames(), goldenClientFrames(),
		goldenStatusFrames(), goldenEnumerations(), goldenLimits())
}

func goldenConnectionFrames() []namedFrame {
	hello := func(role Role, name string, incarnation uint64) *Hello {
		return &Hello{Magic: "glenport", Version: 1, Role: role, Name: name, Incarnation: incarnation}
	}
	return []namedFrame{
		{"1 Hello, scheduler", hello(RoleScheduler, "scheduler-1", 11)},
		{"1 Hello, machine", hello(RoleMachine, "machine-1", 12)},
		{"1 Hello, machine list", hello(RoleMachineList, "list-1", 13)},
		{"1 Hello, client", hello(RoleClient, "client-1", 1<<63)},
	}
}

func goldenMachineFrames() []namedFrame {
	return []namedFrame{
		{"2 Offer", &Offer{AttemptID: 1001, Timeout: 1002, Spec: goldenSpec(1100)}},
		{"3 Accept, running", &Accept{AttemptID: 2001, Running: true}},
		{"3 Accept, not yet running", &Accept{AttemptID: 2002}},
		{"4 Result", &Result{
			AttemptID: 3001, Outcome: OutcomeFull, Reason: ReasonNoMemory,
			Report: map[string]float64{"queue": 3.5},
		}},
		{"4 Result without a report", &Result{AttemptID: 3002}},
		{"5 UsageReport", &UsageReport{AttemptID: 4001, Metric: MetricMachineMemory, Value: 0.75}},
		{"6 CancelAttempt", &CancelAttempt{SchedulerIncarnation: 5001, AttemptID: 5002}},
		{"7 Probe", &Probe{Seq: 6001}},
		{"8 ProbeReply", &ProbeReply{Seq: 7001, Report: map[string]float64{"util": 0.125}}},
		{"9 Inventory", &Inventory{MachineIncarnation: 8001, Containers: []InventoryItem{
			{SchedulerIncarnation: 8002, AttemptID: 8003, Running: true, Spec: goldenSpec(8100)},
			{SchedulerIncarnation: 8004, AttemptID: 8005, Spec: goldenSpec(8200)},
		}}},
	}
}

func goldenListFrames() []namedFrame {
	return []namedFrame{
		{"10 FetchMachineList", &FetchMachineList{}},
		{"11 WatchMachineList", &WatchMachineList{Enabled: true, SinceVersion: 9001}},
		{"12 MachineListUpdate", &MachineListUpdate{FullSnapshot: true, Version: 10001, Entries: []MachineEntry{
			{
				Machine: "machine-2", Address: "127.0.0.1:2", Zone: 10002, MachineType: 10003, RackGroup: 10004,
				State: MachineDraining, FreeCores: 10005.5, FreeMemory: -10006.5, PowerHint: 1.75,
				Incarnation: 10007, Age: -10008,
			},
			{
				Machine: "machine-3", Zone: 10009, MachineType: 10010, RackGroup: 10011, State: MachineGone,
				FreeCores: 10012.25, FreeMemory: 10013.25, PowerHint: 1.25, Incarnation: 10014, Age: 10015,
			},
		}}},
		{"13 MachineListError", &MachineListError{Message: "text 11001"}},
		{"14 Heartbeat", &Heartbeat{}},
	}
}

func goldenClientFrames() []namedFrame {
	return []namedFrame{
		{"15 Submit", &Submit{TimeToDeadline: 12001, Spec: goldenSpec(12100)}},
		{"16 CancelContainer", &CancelContainer{ContainerID: "container-13001", IdempotencyKey: "key-13002"}},
		{"17 PlacementReply", &PlacementReply{
			ContainerID: "container-14001", Verdict: VerdictRejected,
			Machine: "machine-14002", RetryAfter: 14003, Message: "text 14004",
		}},
		{"18 Termination", &Termination{
			ContainerID: "container-15001", Machine: "machine-15002", Outcome: OutcomeLost,
			Reason: ReasonDrained,
		}},
	}
}

func goldenStatusFrames() []namedFrame {
	return []namedFrame{
		{"20 StatusRequest", &StatusRequest{}},
		{"21 StatusReply", &StatusReply{Name: "scheduler-16001", Stats: []Stat{
			{Name: "open", Value: 16002, Unit: "containers"}, {Name: "lag", Value: 0.016003, Unit: "s"},
		}}},
		{"22 Goodbye", &Goodbye{Message: "text 17001"}},
		{"23 ExplainRequest", &ExplainRequest{Seq: 18001, Spec: goldenSpec(18100)}},
		{"24 ExplainReply", &ExplainReply{
			Seq: 19001, Known: true, Machines: 19002, Gone: 19003, WrongMachineType: 19004,
			Draining: 19005, TooSmall: 19006, SelfDraining: 19007, SpreadExhausted: 19008, SlowStartExhausted: 19009,
			Ejected: 19010, Suspected: 19011, InsufficientCores: 19012, InsufficientMemory: 19013, Eligible: 19014,
			SheddingLoad: true, FullRatio: 0.19015, ListAge: 19016,
		}},
		{"24 ExplainReply, list never heard", &ExplainReply{Seq: 19017, ListAge: -1}},
		{"25 RoutesRequest", &RoutesRequest{Service: "service-20001"}},
		{"26 RoutesReply", &RoutesReply{
			Peers: []BGPPeerStatus{
				{
					Address: "127.0.0.1:179", ASN: 21001, State: "Established", Routes: 21002,
					PendingRoutes: 21003, UpdatesSent: 21004, BytesSent: 21005, SessionsEnded: 21006,
					LastError: "text 21007",
				},
			},
			Services: []ServiceRoute{
				{
					Service: "service-21008", Prefix: "10.0.0.0/24", Announced: true, LocalPreference: 21009,
					Running: 21010, Draining: 21011, MinRunning: 21012, Penalty: 21013.5, Suppressed: true,
					NextChangeIn: 21014,
				},
			},
		}},
		{"27 Lookup", &Lookup{ContainerID: "container-22001", IdempotencyKey: "key-22002"}},
	}
}

func goldenEnumerations() []namedFrame {
	var frames []namedFrame
	add := func(title string, value int, f Frame) {
		frames = append(frames, namedFrame{fmt.Sprint(title, " ", value), f})
	}
	for i, outcome := range []Outcome{OutcomeFinished, OutcomeErrored, OutcomeFull, OutcomeStopped, OutcomeLost} {
		add("4 Result, outcome", i, &Result{AttemptID: 23001, Outcome: outcome})
	}
	for i, reason := range []Reason{
		ReasonNone, ReasonNoCores, ReasonNoMemory, ReasonQueueTooLong, ReasonWrongMachine,
		ReasonOutOfMemory, ReasonPreempted, ReasonDrained,
	} {
		frame := &Termination{ContainerID: "container-24001", Outcome: OutcomeStopped, Reason: reason}
		add("18 Termination, reason", i, frame)
	}
	for i, verdict := range []Verdict{VerdictPlaced, VerdictRejected, VerdictFailed, VerdictNotAdmitted} {
		add("17 PlacementReply, verdict", i+1, &PlacementReply{ContainerID: "container-25001", Verdict: verdict})
	}
	for i, state := range []MachineState{MachineServing, MachineDraining, MachineGone} {
		entry := MachineEntry{Machine: "machine-26001", Address: "127.0.0.1:3", State: state}
		add("12 MachineListUpdate, state", i, &MachineListUpdate{Entries: []MachineEntry{entry}})
	}
	for i, metric := range []UsageMetric{
		MetricRunning, MetricCoresUsed, MetricMemoryUsed, MetricServedShare, MetricMachineMemory,
	} {
		add("5 UsageReport, metric", i+1, &UsageReport{AttemptID: 27001, Metric: metric})
	}
	return frames
}

func goldenLimits() []namedFrame {
	return []namedFrame{
		{"16 CancelContainer, the longest name, no key", &CancelContainer{ContainerID: strings.Repeat("n", 200)}},
		{"15 Submit, the longest time", &Submit{TimeToDeadline: 315_360_000_000, Spec: goldenSpec(28100)}},
		{"5 UsageReport, the largest number", &UsageReport{AttemptID: 1<<64 - 1, Metric: MetricRunning, Value: 1e12}},
		{"24 ExplainReply, the largest count", &ExplainReply{Machines: 1 << 20}},
	}
}

// Each frame is encoded to and decoded from the recorded bytes of version 1 of the protocol.
func TestFramesKeepTheirBytes(t *testing.T) {
	const head = "Frames of protocol version 1: number and name, fields in their order on the wire\n" +
		"(names as in docs/protocol.md), bytes with the length in front.\n"
	frames := goldenFrames()
	var known []section
	for _, f := range frames {
		known = append(known, section{f.title, describe(f.frame), stream(t, f.frame)})
	}
	kinds := map[byte]bool{}
	for i, want := range recordedSections(t, framesFile, head, known) {
		kinds[want.bytes[lengthSize]] = true
		t.Run(want.title, func(t *testing.T) { checkGoldenFrame(t, want, frames[i].frame) })
	}
	for number := range 256 {
		if known := newFrame(kind(number)) != nil; known != kinds[byte(number)] {
			t.Errorf("frame %d: known %t, recorded %t", number, known, kinds[byte(number)])
		}
	}
}

// checkGoldenFrame decodes a recorded frame, compares its values, and compares the bytes of its encoding.
func checkGoldenFrame(t *testing.T, want section, known Frame) {
	t.Helper()
	number := want.bytes[lengthSize]
	testutil.Expect(t, strings.HasPrefix(want.title, fmt.Sprint(number, " ")), "frame number %d", number)
	decoded, err := ReadFrame(bytes.NewReader(want.bytes), MaxFrame)
	testutil.NoError(t, err)
	testutil.Expect(t, reflect.DeepEqual(decoded, known), "decoded as %+v, want %+v", decoded, known)
	if got := describe(decoded); got != want.text {
		t.Errorf("decoded as\n%swant\n%s", got, want.text)
	}
	for from, f := range map[string]Frame{"decoded": decoded, "built": known} {
		if got := stream(t, f); !bytes.Equal(got, want.bytes) {
			t.Errorf("%s frame is encoded as\n%x, want\n%x", from, got, want.bytes)
		}
	}
}

// The values of a report have no fixed order on the wire, so only the decoding of several values is checked.
func TestReportOfSeveralValuesIsDecoded(t *testing.T) {
	const code = "0484190bb90000" + "a3" + "6162fb3ff8000000000000" + "6161fb4004000000000000" + "6163f93c00"
	p, err := hex.DecodeString(code)
	testutil.NoError(t, err)
	got, err := Decode(p)
	testutil.NoError(t, err)
	want := &Result{AttemptID: 3001, Report: map[string]float64{"a": 2.5, "b": 1.5, "c": 1}}
	testutil.DeepEqual(t, got, want)
}
