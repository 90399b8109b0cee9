package protocol

import (
	"bytes"
	"encoding/hex"
	"flag"
	"fmt"
	"math"
	"os"
	"reflect"
	"regexp"
	"sort"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "record the golden files of this package anew")

const (
	framesFile  = "testdata/frames.txt"
	invalidFile = "testdata/invalid_frames.txt"
)

type namedFrame struct {
	title string
	frame Frame
}

func goldenSpec(n int) ContainerSpec {
	return ContainerSpec{ContainerID: fmt.Sprint("container-", n), IdempotencyKey: fmt.Sprint("key-", n), Service: fmt.Sprint("service-", n),
		WorkloadClass: n + 1, Tenant: n + 2, Cores: float64(n) + 0.25, Memory: float64(n) + 0.5, DedupWindow: Duration(n + 3),
		ExpectedRuntime: Duration(n + 4), ClientRetry: true}
}

// goldenFrames has each kind of frame with a distinct value in every field, and each value of each enumeration.
func goldenFrames() []namedFrame {
	frames := []namedFrame{
		{"1 Hello, scheduler", &Hello{Magic: "glenport", Version: 1, Role: RoleScheduler, Name: "scheduler-1", Incarnation: 11}},
		{"1 Hello, machine", &Hello{Magic: "glenport", Version: 1, Role: RoleMachine, Name: "machine-1", Incarnation: 12}},
		{"1 Hello, machine list", &Hello{Magic: "glenport", Version: 1, Role: RoleMachineList, Name: "list-1", Incarnation: 13}},
		{"1 Hello, client", &Hello{Magic: "glenport", Version: 1, Role: RoleClient, Name: "client-1", Incarnation: 1 << 63}},
		{"2 Offer", &Offer{AttemptID: 1001, Timeout: 1002, Spec: goldenSpec(1100)}},
		{"3 Accept, running", &Accept{AttemptID: 2001, Running: true}},
		{"3 Accept, not yet running", &Accept{AttemptID: 2002}},
		{"4 Result", &Result{AttemptID: 3001, Outcome: OutcomeFull, Reason: ReasonNoMemory, Report: map[string]float64{"queue": 3.5}}},
		{"4 Result without a report", &Result{AttemptID: 3002}},
		{"5 UsageReport", &UsageReport{AttemptID: 4001, Metric: 5, Value: 0.75}},
		{"6 CancelAttempt", &CancelAttempt{SchedulerIncarnation: 5001, AttemptID: 5002}},
		{"7 Probe", &Probe{Seq: 6001}},
		{"8 ProbeReply", &ProbeReply{Seq: 7001, Report: map[string]float64{"util": 0.125}}},
		{"9 Inventory", &Inventory{MachineIncarnation: 8001, Containers: []InventoryItem{
			{SchedulerIncarnation: 8002, AttemptID: 8003, Running: true, Spec: goldenSpec(8100)},
			{SchedulerIncarnation: 8004, AttemptID: 8005, Spec: goldenSpec(8200)}}}},
		{"10 FetchMachineList", &FetchMachineList{}},
		{"11 WatchMachineList", &WatchMachineList{Enabled: true, SinceVersion: 9001}},
		{"12 MachineListUpdate", &MachineListUpdate{FullSnapshot: true, Version: 10001, Entries: []MachineEntry{
			{Machine: "machine-2", Address: "127.0.0.1:2", Zone: 10002, MachineType: 10003, RackGroup: 10004, State: MachineDraining,
				FreeCores: 10005.5, FreeMemory: -10006.5, PowerHint: 1.75, Incarnation: 10007, Age: -10008},
			{Machine: "machine-3", Zone: 10009, MachineType: 10010, RackGroup: 10011, State: MachineGone, FreeCores: 10012.25,
				FreeMemory: 10013.25, PowerHint: 1.25, Incarnation: 10014, Age: 10015}}}},
		{"13 MachineListError", &MachineListError{Message: "text 11001"}},
		{"14 Heartbeat", &Heartbeat{}},
		{"15 Submit", &Submit{TimeToDeadline: 12001, Spec: goldenSpec(12100)}},
		{"16 CancelContainer", &CancelContainer{ContainerID: "container-13001", IdempotencyKey: "key-13002"}},
		{"17 PlacementReply", &PlacementReply{ContainerID: "container-14001", Verdict: VerdictRejected, Machine: "machine-14002",
			RetryAfter: 14003, Message: "text 14004"}},
		{"18 Termination", &Termination{ContainerID: "container-15001", Machine: "machine-15002", Outcome: OutcomeLost, Reason: ReasonDrained}},
		{"20 StatusRequest", &StatusRequest{}},
		{"21 StatusReply", &StatusReply{Name: "scheduler-16001", Stats: []Stat{
			{Name: "open", Value: 16002, Unit: "containers"}, {Name: "lag", Value: 0.016003, Unit: "s"}}}},
		{"22 Goodbye", &Goodbye{Message: "text 17001"}},
		{"23 ExplainRequest", &ExplainRequest{Seq: 18001, Spec: goldenSpec(18100)}},
		{"24 ExplainReply", &ExplainReply{Seq: 19001, Known: true, Machines: 19002, Gone: 19003, WrongMachineType: 19004, Draining: 19005,
			TooSmall: 19006, SelfDraining: 19007, SpreadExhausted: 19008, SlowStartExhausted: 19009, Ejected: 19010, Suspected: 19011,
			InsufficientCores: 19012, InsufficientMemory: 19013, Eligible: 19014, SheddingLoad: true, FullRatio: 0.19015, ListAge: 19016}},
		{"24 ExplainReply, list never heard", &ExplainReply{Seq: 19017, ListAge: -1}},
		{"25 RoutesRequest", &RoutesRequest{Service: "service-20001"}},
		{"26 RoutesReply", &RoutesReply{
			Peers: []BGPPeerStatus{{Address: "127.0.0.1:179", ASN: 21001, State: "Established", Routes: 21002, PendingRoutes: 21003,
				UpdatesSent: 21004, BytesSent: 21005, SessionsEnded: 21006, LastError: "text 21007"}},
			Services: []ServiceRoute{{Service: "service-21008", Prefix: "10.0.0.0/24", Announced: true, LocalPreference: 21009,
				Running: 21010, Draining: 21011, MinRunning: 21012, Penalty: 21013.5, Suppressed: true, NextChangeIn: 21014}}}},
		{"27 Lookup", &Lookup{ContainerID: "container-22001", IdempotencyKey: "key-22002"}},
	}
	for i, o := range []Outcome{OutcomeFinished, OutcomeErrored, OutcomeFull, OutcomeStopped, OutcomeLost} {
		frames = append(frames, namedFrame{fmt.Sprint("4 Result, outcome ", i), &Result{AttemptID: 23001, Outcome: o}})
	}
	for i, r := range []Reason{ReasonNone, ReasonNoCores, ReasonNoMemory, ReasonQueueTooLong, ReasonWrongMachine, ReasonOutOfMemory, ReasonPreempted, ReasonDrained} {
		frames = append(frames, namedFrame{fmt.Sprint("18 Termination, reason ", i),
			&Termination{ContainerID: "container-24001", Outcome: OutcomeStopped, Reason: r}})
	}
	for i, v := range []Verdict{VerdictPlaced, VerdictRejected, VerdictFailed, VerdictNotAdmitted} {
		frames = append(frames, namedFrame{fmt.Sprint("17 PlacementReply, verdict ", i+1), &PlacementReply{ContainerID: "container-25001", Verdict: v}})
	}
	for i, s := range []MachineState{MachineServing, MachineDraining, MachineGone} {
		frames = append(frames, namedFrame{fmt.Sprint("12 MachineListUpdate, state ", i),
			&MachineListUpdate{Entries: []MachineEntry{{Machine: "machine-26001", Address: "127.0.0.1:3", State: s}}}})
	}
	for m := uint8(1); m <= 5; m++ {
		frames = append(frames, namedFrame{fmt.Sprint("5 UsageReport, metric ", m), &UsageReport{AttemptID: 27001, Metric: m}})
	}
	longest := strings.Repeat("n", 200)
	return append(frames,
		namedFrame{"16 CancelContainer, the longest name, no key", &CancelContainer{ContainerID: longest}},
		namedFrame{"15 Submit, the longest time", &Submit{TimeToDeadline: 315_360_000_000, Spec: goldenSpec(28100)}},
		namedFrame{"5 UsageReport, the largest number", &UsageReport{AttemptID: 1<<64 - 1, Metric: 1, Value: 1e12}},
		namedFrame{"24 ExplainReply, the largest count", &ExplainReply{Machines: 1 << 20}})
}

// words lists the values of a frame in their order on the wire, under the names of docs/protocol.md as the cbor tags
// hold them.
func words(out *strings.Builder, path string, v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		words(out, path, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			field := v.Type().Field(i)
			if field.Name == "_" {
				continue
			}
			name := field.Name
			if tag := field.Tag.Get("cbor"); tag != "" {
				name = tag
			}
			words(out, path+"."+name, v.Field(i))
		}
	case reflect.Slice:
		if v.IsNil() {
			fmt.Fprintf(out, "%s = none\n", path)
		}
		for i := range v.Len() {
			words(out, fmt.Sprintf("%s[%d]", path, i), v.Index(i))
		}
	case reflect.Map:
		if v.IsNil() {
			fmt.Fprintf(out, "%s = none\n", path)
		}
		keys := v.MapKeys()
		sort.Slice(keys, func(a, b int) bool { return keys[a].String() < keys[b].String() })
		for _, k := range keys {
			words(out, fmt.Sprintf("%s[%s]", path, k), v.MapIndex(k))
		}
	case reflect.String:
		fmt.Fprintf(out, "%s = %q\n", path, v.String())
	case reflect.Bool:
		fmt.Fprintf(out, "%s = %t\n", path, v.Bool())
	case reflect.Float64:
		fmt.Fprintf(out, "%s = %v\n", path, v.Float())
	case reflect.Int, reflect.Int64:
		fmt.Fprintf(out, "%s = %d\n", path, v.Int())
	case reflect.Uint, reflect.Uint8, reflect.Uint32, reflect.Uint64:
		fmt.Fprintf(out, "%s = %d\n", path, v.Uint())
	default:
		panic("a frame holds a " + v.Kind().String())
	}
}

func describe(f Frame) string {
	var out strings.Builder
	words(&out, "", reflect.ValueOf(f))
	return out.String()
}

// section is one entry of a golden file: a title, lines of text, and bytes.
type section struct {
	title, text string
	bytes       []byte
}

func readSections(t *testing.T, file string) []section {
	t.Helper()
	content, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var all []section
	for _, part := range strings.Split(string(content), "\n== ")[1:] {
		title, rest, _ := strings.Cut(part, "\n")
		text, code, ok := strings.Cut("\n"+rest, "\nbytes ")
		if !ok {
			t.Fatalf("%s: %s has no bytes", file, title)
		}
		raw, err := hex.DecodeString(strings.Join(strings.Fields(code), ""))
		if err != nil {
			t.Fatalf("%s: %s: %v", file, title, err)
		}
		if text != "" {
			text = text[1:] + "\n"
		}
		all = append(all, section{title, text, raw})
	}
	return all
}

func writeSections(t *testing.T, file, head string, all []section) {
	t.Helper()
	out := strings.Builder{}
	out.WriteString(head)
	for _, s := range all {
		fmt.Fprintf(&out, "\n== %s\n%sbytes ", s.title, s.text)
		for rest := s.bytes; len(rest) > 0; {
			n := min(len(rest), 48)
			fmt.Fprintf(&out, "%x\n", rest[:n])
			rest = rest[n:]
		}
		if len(s.bytes) == 0 {
			out.WriteString("\n")
		}
	}
	if err := os.WriteFile(file, []byte(out.String()), 0o644); err != nil {
		t.Fatal(err)
	}
}

// The bytes of each frame on the wire are those of version 1 of the protocol, in both directions.
func TestFramesKeepTheirBytes(t *testing.T) {
	frames := goldenFrames()
	if *update {
		var all []section
		for _, f := range frames {
			all = append(all, section{f.title, describe(f.frame), stream(t, f.frame)})
		}
		writeSections(t, framesFile, "Frames of protocol version 1: number and name, fields in their order on the wire\n"+
			"(names as in docs/protocol.md), bytes with the length in front.\n", all)
	}
	recorded := readSections(t, framesFile)
	if len(recorded) != len(frames) {
		t.Fatalf("%d frames are recorded, %d known", len(recorded), len(frames))
	}
	kinds := map[byte]bool{}
	for i, want := range recorded {
		t.Run(want.title, func(t *testing.T) {
			known := frames[i]
			if known.title != want.title {
				t.Fatalf("%s is recorded in place of %s", want.title, known.title)
			}
			kinds[want.bytes[4]] = true
			if !strings.HasPrefix(want.title, fmt.Sprint(want.bytes[4], " ")) {
				t.Errorf("frame number %d", want.bytes[4])
			}
			decoded, err := ReadFrame(bytes.NewReader(want.bytes), MaxFrame)
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(decoded, known.frame) {
				t.Errorf("decoded as %+v, want %+v", decoded, known.frame)
			}
			if got := describe(decoded); got != want.text {
				t.Errorf("decoded as\n%swant\n%s", got, want.text)
			}
			for from, f := range map[string]Frame{"decoded": decoded, "built": known.frame} {
				if got := stream(t, f); !bytes.Equal(got, want.bytes) {
					t.Errorf("%s frame is encoded as\n%x, want\n%x", from, got, want.bytes)
				}
			}
		})
	}
	for kind, fresh := range frameTypes {
		if (fresh != nil) != kinds[byte(kind)] {
			t.Errorf("frame %d: known %t, recorded %t", kind, fresh != nil, kinds[byte(kind)])
		}
	}
}

// A report of several values has no order on the wire, so only its decoding is compared.
func TestReportOfSeveralValuesIsDecoded(t *testing.T) {
	p, err := hex.DecodeString("0484190bb90000" + "a3" + "6162fb3ff8000000000000" + "6161fb4004000000000000" + "6163f93c00")
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(p)
	if err != nil {
		t.Fatal(err)
	}
	if want := (&Result{AttemptID: 3001, Report: map[string]float64{"a": 2.5, "b": 1.5, "c": 1}}); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Go's names of types in the texts of errors are no part of the protocol.
var goType = regexp.MustCompile(`\*?\b[a-z]+\.[A-Z]\w*`)

func errorText(err error) string {
	if err == nil {
		return "none\n"
	}
	return goType.ReplaceAllString(err.Error(), "FRAME") + "\n"
}

type invalidFrame struct {
	title string
	body  []byte // frame number and CBOR, without the length
}

// invalidFrames has each way in which a frame may be refused.
func invalidFrames(t *testing.T) []invalidFrame {
	var all []invalidFrame
	raw := func(title, code string) {
		p, err := hex.DecodeString(code)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, invalidFrame{title, p})
	}
	names := ""
	for i := range 65 {
		names += fmt.Sprintf("62%x00", fmt.Sprintf("%02d", i))
	}
	raw("nothing", "")
	raw("number 0", "00")
	raw("number 19, no longer in use", "1380")
	raw("number 28", "1c80")
	raw("number 255", "ff80")
	raw("no body", "07")
	raw("no CBOR", "07ff")
	raw("cut short", "078119")
	raw("not an array", "0701")
	raw("a map in place of the array", "07a10102")
	raw("no fields", "0780")
	raw("too many fields", "07820102")
	raw("a field too many for one without fields", "0e8101")
	raw("text where a number belongs", "07816161")
	raw("a number where text belongs", "168101")
	raw("a number where a flag belongs", "03820101")
	raw("a negative number where none may be", "078120")
	raw("a fraction where a whole number belongs", "0781f93e00")
	raw("a number too large for its field", "05830119010001")
	raw("bytes after the frame", "07810100")
	raw("an array without a length", "079f01ff")
	raw("text without a length", "16817f6161ff")
	raw("a tag", "0781c001")
	raw("text that is no UTF-8", "168161ff")
	raw("a report with one name twice", "088201a2616101616102")
	raw("a report with a number for its name", "088201a10102")
	raw("a report of 65 values", "088201b841"+names)
	raw("arrays seven deep", "0c8381818181818180")
	raw("more entries than may be", "0c8300009a00100001")

	of := func(title string, f Frame) {
		body, err := encoder.Marshal(f)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, invalidFrame{title, append([]byte{f.kind()}, body...)})
	}
	long := strings.Repeat("n", 201)
	nan, inf := math.NaN(), math.Inf(1)
	of("Hello without a name", &Hello{Magic: "glenport", Version: 1, Role: RoleClient})
	of("Hello, name too long", &Hello{Magic: "glenport", Version: 1, Role: RoleClient, Name: long})
	of("Hello, another magic", &Hello{Magic: "glenpoort", Version: 1, Role: RoleClient, Name: "n"})
	of("Hello, version 0", &Hello{Magic: "glenport", Role: RoleClient, Name: "n"})
	of("Hello, version 2", &Hello{Magic: "glenport", Version: 2, Role: RoleClient, Name: "n"})
	of("Hello, role 0", &Hello{Magic: "glenport", Version: 1, Name: "n"})
	of("Hello, role 5", &Hello{Magic: "glenport", Version: 1, Role: 5, Name: "n"})
	of("Hello, two faults: the first is told", &Hello{Magic: "x", Version: 9, Role: 9, Name: long})
	spec := func(title string, change func(*ContainerSpec)) {
		w := goldenSpec(1)
		change(&w)
		of("Offer, "+title, &Offer{AttemptID: 1, Spec: w})
		of("Submit, "+title, &Submit{TimeToDeadline: 1, Spec: w})
		of("ExplainRequest, "+title, &ExplainRequest{Seq: 1, Spec: w})
		of("Inventory, "+title, &Inventory{Containers: []InventoryItem{{Spec: goldenSpec(2)}, {Spec: w}}})
	}
	spec("no container", func(w *ContainerSpec) { w.ContainerID = "" })
	spec("container too long", func(w *ContainerSpec) { w.ContainerID = long })
	spec("no key", func(w *ContainerSpec) { w.IdempotencyKey = "" })
	spec("key too long", func(w *ContainerSpec) { w.IdempotencyKey = long })
	spec("no service", func(w *ContainerSpec) { w.Service = "" })
	spec("service too long", func(w *ContainerSpec) { w.Service = long })
	spec("workload below 0", func(w *ContainerSpec) { w.WorkloadClass = -1 })
	spec("workload too large", func(w *ContainerSpec) { w.WorkloadClass = 1<<20 + 1 })
	spec("customer below 0", func(w *ContainerSpec) { w.Tenant = -1 })
	spec("customer too large", func(w *ContainerSpec) { w.Tenant = 1<<20 + 1 })
	spec("cores below 0", func(w *ContainerSpec) { w.Cores = -0.5 })
	spec("cores no number", func(w *ContainerSpec) { w.Cores = nan })
	spec("memory below 0", func(w *ContainerSpec) { w.Memory = -0.5 })
	spec("memory without bounds", func(w *ContainerSpec) { w.Memory = inf })
	spec("window below 0", func(w *ContainerSpec) { w.DedupWindow = -1 })
	spec("window too long", func(w *ContainerSpec) { w.DedupWindow = 315_360_000_001 })
	spec("run for below 0", func(w *ContainerSpec) { w.ExpectedRuntime = -1 })
	spec("run for too long", func(w *ContainerSpec) { w.ExpectedRuntime = 315_360_000_001 })
	of("Offer, wait below 0", &Offer{Timeout: -1, Spec: goldenSpec(1)})
	of("Offer, wait too long", &Offer{Timeout: 315_360_000_001, Spec: goldenSpec(1)})
	of("Result, outcome 5", &Result{Outcome: 5})
	of("Result, reason 8", &Result{Reason: 8})
	of("Result, report without a name", &Result{Report: map[string]float64{"": 1}})
	of("Result, report with a long name", &Result{Report: map[string]float64{long: 1}})
	of("Result, report with no number", &Result{Report: map[string]float64{"a": nan}})
	of("UsageReport, metric 0", &UsageReport{})
	of("UsageReport, metric 6", &UsageReport{Metric: 6})
	of("UsageReport, value below 0", &UsageReport{Metric: 1, Value: -1})
	of("UsageReport, value too large", &UsageReport{Metric: 1, Value: 1.1e12})
	of("ProbeReply, report with no number", &ProbeReply{Report: map[string]float64{"a": -inf}})
	entry := func(title string, change func(*MachineEntry)) {
		e := MachineEntry{Machine: "m", Address: "a"}
		change(&e)
		of("MachineListUpdate, "+title, &MachineListUpdate{Entries: []MachineEntry{{Machine: "good", Address: "a"}, e}})
	}
	entry("no machine", func(e *MachineEntry) { e.Machine = "" })
	entry("machine too long", func(e *MachineEntry) { e.Machine = long })
	entry("no address", func(e *MachineEntry) { e.Address = "" })
	entry("address too long", func(e *MachineEntry) { e.Address = long })
	entry("no address, and gone: valid", func(e *MachineEntry) { e.Address, e.State = "", MachineGone })
	entry("zone below 0", func(e *MachineEntry) { e.Zone = -1 })
	entry("kind below 0", func(e *MachineEntry) { e.MachineType = -1 })
	entry("cell too large", func(e *MachineEntry) { e.RackGroup = 1<<20 + 1 })
	entry("state 3", func(e *MachineEntry) { e.State = 3 })
	entry("free cores no number", func(e *MachineEntry) { e.FreeCores = nan })
	entry("free memory no number", func(e *MachineEntry) { e.FreeMemory = inf })
	entry("hint no number", func(e *MachineEntry) { e.PowerHint = nan })
	entry("age too long", func(e *MachineEntry) { e.Age = 315_360_000_001 })
	of("Submit, time left below 0", &Submit{TimeToDeadline: -1, Spec: goldenSpec(1)})
	of("Submit, time left too long", &Submit{TimeToDeadline: 315_360_000_001, Spec: goldenSpec(1)})
	of("ExplainReply, share no number", &ExplainReply{FullRatio: nan})
	for i := range 13 {
		why := ExplainReply{}
		reflect.ValueOf(&why).Elem().Field(3 + i).SetInt(int64([]int{-1, 1<<20 + 1}[i%2]))
		of(fmt.Sprintf("ExplainReply, count %d out of range", i+1), &why)
	}
	of("WatchMachineList, version below 0", &WatchMachineList{SinceVersion: -1})
	of("CancelContainer, no container", &CancelContainer{})
	of("CancelContainer, container too long", &CancelContainer{ContainerID: long})
	of("CancelContainer, key too long: valid", &CancelContainer{ContainerID: "c", IdempotencyKey: long})
	of("Lookup, no container", &Lookup{IdempotencyKey: "k"})
	of("Lookup, no key", &Lookup{ContainerID: "c"})
	of("Lookup, key too long", &Lookup{ContainerID: "c", IdempotencyKey: long})
	of("PlacementReply, no container", &PlacementReply{Verdict: VerdictPlaced})
	of("PlacementReply, verdict 0", &PlacementReply{ContainerID: "c"})
	of("PlacementReply, verdict 5", &PlacementReply{ContainerID: "c", Verdict: 5})
	of("PlacementReply, hold-off below 0", &PlacementReply{ContainerID: "c", Verdict: VerdictPlaced, RetryAfter: -1})
	of("PlacementReply, hold-off too long", &PlacementReply{ContainerID: "c", Verdict: VerdictPlaced, RetryAfter: 315_360_000_001})
	of("Termination, no container", &Termination{})
	of("Termination, outcome 5", &Termination{ContainerID: "c", Outcome: 5})
	of("Termination, reason 8", &Termination{ContainerID: "c", Reason: 8})
	of("StatusReply, no name of a value", &StatusReply{Stats: []Stat{{Value: 1}}})
	of("StatusReply, value no number", &StatusReply{Stats: []Stat{{Name: "a", Value: 1}, {Name: "open", Value: nan}}})
	return all
}

// Each frame that is out of range or malformed is refused, when it is received and when it is to be sent, with the
// error that was recorded.
func TestInvalidFramesKeepTheirErrors(t *testing.T) {
	frames := invalidFrames(t)
	if *update {
		var all []section
		for _, f := range frames {
			_, err := Decode(f.body)
			all = append(all, section{f.title, errorText(err), f.body})
		}
		writeSections(t, invalidFile, "Frames that are refused (some that just pass): the error, where FRAME stands for a name in Go,\n"+
			"and the bytes without the length in front.\n", all)
	}
	recorded := readSections(t, invalidFile)
	if len(recorded) != len(frames) {
		t.Fatalf("%d frames are recorded, %d known", len(recorded), len(frames))
	}
	for i, want := range recorded {
		t.Run(want.title, func(t *testing.T) {
			if frames[i].title != want.title || !bytes.Equal(frames[i].body, want.bytes) {
				t.Fatalf("%s %x is recorded in place of %s %x", want.title, want.bytes, frames[i].title, frames[i].body)
			}
			f, err := Decode(want.bytes)
			if got := errorText(err); got != want.text {
				t.Errorf("error %swant %s", got, want.text)
			}
			if (f == nil) != (err != nil) {
				t.Errorf("a frame %v with the error %v", f, err)
			}
		})
	}
}

// What is refused when it is received is not sent either.
func TestInvalidFramesAreNotSent(t *testing.T) {
	for _, invalid := range invalidFrames(t) {
		if len(invalid.body) == 0 || int(invalid.body[0]) >= len(frameTypes) || frameTypes[invalid.body[0]] == nil {
			continue
		}
		f := frameTypes[invalid.body[0]]()
		if decoder.Unmarshal(invalid.body[1:], f) != nil {
			continue
		}
		_, received := Decode(invalid.body)
		b, sent := Append([]byte("before"), f)
		if errorText(received) != errorText(sent) {
			t.Errorf("%s: received with %v, sent with %v", invalid.title, received, sent)
		}
		if sent != nil && string(b) != "before" {
			t.Errorf("%s: what stood before is now %q", invalid.title, b)
		}
	}
}

// Sizes of frames are limits that both sides know.
func TestFrameSizesAreLimited(t *testing.T) {
	if MaxClientFrame != 65536 || MaxFrame != 16777216 || Version != 1 {
		t.Errorf("limits %d and %d, version %d", MaxClientFrame, MaxFrame, Version)
	}
	text := func(n int) *Goodbye { return &Goodbye{Message: strings.Repeat("x", n)} }
	overhead := len(stream(t, text(1<<16))) - 4 - 1<<16
	if _, err := Append(nil, text(MaxFrame-overhead)); err != nil {
		t.Errorf("the largest frame is not sent: %v", err)
	}
	_, err := Append(nil, text(MaxFrame-overhead+1))
	if got := errorText(err); got != "FRAME of 16777217 bytes is over the limit of 16777216\n" {
		t.Errorf("one more byte: %s", got)
	}
	hello := stream(t, NewHello(RoleClient, "client", 1))
	for _, limit := range []struct {
		max, first, size int
		want             string
	}{
		{0, 0, 1024, "FRAME out of turn\n"}, // taken, and no Hello
		{0, 0, 1025, "frame of 1025 bytes is over the limit of 1024\n"},
		{0, 1, 1025, "none\n"},
		{MaxClientFrame, 1, MaxClientFrame, "none\n"},
		{MaxClientFrame, 1, MaxClientFrame + 1, "frame of 65537 bytes is over the limit of 65536\n"},
	} {
		r := Reader{MaxSize: limit.max}
		input := append(bytes.Repeat(hello, limit.first), stream(t, text(limit.size-4))...)
		input = fitted(t, input, len(hello)*limit.first, limit.size)
		if got := errorText(r.Feed(input, func(Frame) error { return nil })); got != limit.want {
			t.Errorf("%+v: %s", limit, got)
		}
	}
	_, err = ReadFrame(bytes.NewReader(stream(t, text(100))), 50)
	if got := errorText(err); got != "frame of 104 bytes is over the limit of 50\n" {
		t.Errorf("read with a limit of 50: %s", got)
	}
}

// fitted checks that a frame in front of which so many bytes stand has the size wanted, in bytes after its length, and
// makes it so where the length of its text takes more or fewer bytes than thought.
func fitted(t *testing.T, p []byte, before, size int) []byte {
	t.Helper()
	for off := len(p) - before - 4 - size; off != 0; off = len(p) - before - 4 - size {
		f, err := Decode(p[before+4:])
		if err != nil {
			t.Fatal(err)
		}
		bye := f.(*Goodbye)
		bye.Message = strings.Repeat("x", len(bye.Message)-off)
		p = append(p[:before:before], stream(t, bye)...)
	}
	return p
}

// Names of the enumerated values stand in logs and in what the commands print.
func TestEnumeratedValuesKeepTheirTexts(t *testing.T) {
	var got []string
	for i := range 6 {
		got = append(got, Role(i).String(), Outcome(i).String(), Verdict(i).String(), MachineState(i).String())
	}
	for i := range 9 {
		got = append(got, Reason(i).String())
	}
	want := "|finished||serving|placer|erred|placed|draining|machine|full|pushed back|gone|list|stopped|given up|unknown 3|" +
		"owner|lost|turned away|unknown 4|unknown 5|unknown 5|unknown 5|unknown 5|" +
		"-|no cores|no memory|long queue|not here|evicted|pushed out|sent away|unknown 8"
	if s := strings.Join(got, "|"); s != want {
		t.Errorf("got\n%s, want\n%s", s, want)
	}
}
