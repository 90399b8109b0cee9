package protocol

import (
	"encoding/hex"
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"

	"glenport/internal/testutil"
)

// invalidFrame is a frame that the decoder must refuse, or that is just valid if its title says so.
type invalidFrame struct {
	title string
	body  []byte // frame number and CBOR, without the length
}

// invalidSet collects invalid frames.
type invalidSet struct {
	t   *testing.T
	all []invalidFrame
}

// raw adds a frame that is given in hexadecimal.
func (s *invalidSet) raw(title, code string) {
	s.t.Helper()
	body, err := hex.DecodeString(code)
	testutil.NoError(s.t, err)
	s.all = append(s.all, invalidFrame{title, body})
}

// add adds a frame that Append would refuse to encode.
func (s *invalidSet) add(title string, f Frame) {
	s.t.Helper()
	body, err := encoder.Marshal(f)
	testutil.NoError(s.t, err)
	s.all = append(s.all, invalidFrame{title, append([]byte{byte(f.kind())}, body...)})
}

// addSpec adds all frames that hold the spec of a container, with a changed spec.
func (s *invalidSet) addSpec(title string, change func(*ContainerSpec)) {
	s.t.Helper()
	spec := goldenSpec(1)
	change(&spec)
	s.add("Offer, "+title, &Offer{AttemptID: 1, Spec: spec})
	s.add("Submit, "+title, &Submit{TimeToDeadline: 1, Spec: spec})
	s.add("ExplainRequest, "+title, &ExplainRequest{Seq: 1, Spec: spec})
	s.add("Inventory, "+title, &Inventory{Containers: []InventoryItem{{Spec: goldenSpec(2)}, {Spec: spec}}})
}

// addEntry adds a MachineListUpdate with a changed second entry.
func (s *invalidSet) addEntry(title string, change func(*MachineEntry)) {
	s.t.Helper()
	entry := MachineEntry{Machine: "m", Address: "a"}
	change(&entry)
	entries := []MachineEntry{{Machine: "good", Address: "a"}, entry}
	s.add("MachineListUpdate, "+title, &MachineListUpdate{Entries: entries})
}

var (
	longName   = strings.Repeat("n", 201)
	notANumber = math.NaN()
	infinity   = math.Inf(1)
)

const (
	tooLong  = Duration(315_360_000_001)
	tooLarge = 1<<20 + 1
)

// invalidFrames returns a frame for each reason for which frames are refused, in the order of the golden file.
func invalidFrames(t *testing.T) []invalidFrame {
	t.Helper()
	s := &invalidSet{t: t}
	s.addMalformed()
	s.addConnection()
	s.addSpecs()
	s.addMachine()
	s.addMachineList()
	s.addStatus()
	s.addClient()
	return s.all
}

func (s *invalidSet) addMalformed() {
	var names strings.Builder
	for i := range 65 {
		fmt.Fprintf(&names, "62%x00", fmt.Sprintf("%02d", i))
	}
	s.raw("nothing", "")
	s.raw("number 0", "00")
	s.raw("number 19, no longer in use", "1380")
	s.raw("number 28", "1c80")
	s.raw("number 255", "ff80")
	s.raw("no body", "07")
	s.raw("no CBOR", "07ff")
	s.raw("cut short", "078119")
	s.raw("not an array", "0701")
	s.raw("a map in place of the array", "07a10102")
	s.raw("no fields", "0780")
	s.raw("too many fields", "07820102")
	s.raw("a field too many for one without fields", "0e8101")
	s.raw("text where a number belongs", "07816161")
	s.raw("a number where text belongs", "168101")
	s.raw("a number where a flag belongs", "03820101")
	s.raw("a negative number where none may be", "078120")
	s.raw("a fraction where a whole number belongs", "0781f93e00")
	s.raw("a number too large for its field", "05830119010001")
	s.raw("bytes after the frame", "07810100")
	s.raw("an array without a length", "079f01ff")
	s.raw("text without a length", "16817f6161ff")
	s.raw("a tag", "0781c001")
	s.raw("text that is no UTF-8", "168161ff")
	s.raw("a report with one name twice", "088201a2616101616102")
	s.raw("a report with a number for its name", "088201a10102")
	s.raw("a report of 65 values", "088201b841"+names.String())
	s.raw("arrays seven deep", "0c8381818181818180")
	s.raw("more entries than may be", "0c8300009a00100001")
}

func (s *invalidSet) addConnection() {
	s.add("Hello without a name", &Hello{Magic: "glenport", Version: 1, Role: RoleClient})
	s.add("Hello, name too long", &Hello{Magic: "glenport", Version: 1, Role: RoleClient, Name: longName})
	s.add("Hello, another magic", &Hello{Magic: "glenpoort", Version: 1, Role: RoleClient, Name: "n"})
	s.add("Hello, version 0", &Hello{Magic: "glenport", Role: RoleClient, Name: "n"})
	s.add("Hello, version 2", &Hello{Magic: "glenport", Version: 2, Role: RoleClient, Name: "n"})
	s.add("Hello, role 0", &Hello{Magic: "glenport", Version: 1, Name: "n"})
	s.add("Hello, role 5", &Hello{Magic: "glenport", Version: 1, Role: 5, Name: "n"})
	s.add("Hello, two faults: the first is told", &Hello{Magic: "x", Version: 9, Role: 9, Name: longName})
}

func (s *invalidSet) addSpecs() {
	s.addSpec("no container", func(w *ContainerSpec) { w.ContainerID = "" })
	s.addSpec("container too long", func(w *ContainerSpec) { w.ContainerID = longName })
	s.addSpec("no key", func(w *ContainerSpec) { w.IdempotencyKey = "" })
	s.addSpec("key too long", func(w *ContainerSpec) { w.IdempotencyKey = longName })
	s.addSpec("no service", func(w *ContainerSpec) { w.Service = "" })
	s.addSpec("service too long", func(w *ContainerSpec) { w.Service = longName })
	s.addSpec("workload below 0", func(w *ContainerSpec) { w.WorkloadClass = -1 })
	s.addSpec("workload too large", func(w *ContainerSpec) { w.WorkloadClass = tooLarge })
	s.addSpec("customer below 0", func(w *ContainerSpec) { w.Tenant = -1 })
	s.addSpec("customer too large", func(w *ContainerSpec) { w.Tenant = tooLarge })
	s.addSpec("cores below 0", func(w *ContainerSpec) { w.Cores = -0.5 })
	s.addSpec("cores no number", func(w *ContainerSpec) { w.Cores = notANumber })
	s.addSpec("memory below 0", func(w *ContainerSpec) { w.Memory = -0.5 })
	s.addSpec("memory without bounds", func(w *ContainerSpec) { w.Memory = infinity })
	s.addSpec("window below 0", func(w *ContainerSpec) { w.DedupWindow = -1 })
	s.addSpec("window too long", func(w *ContainerSpec) { w.DedupWindow = tooLong })
	s.addSpec("run for below 0", func(w *ContainerSpec) { w.ExpectedRuntime = -1 })
	s.addSpec("run for too long", func(w *ContainerSpec) { w.ExpectedRuntime = tooLong })
}

func (s *invalidSet) addMachine() {
	s.add("Offer, wait below 0", &Offer{Timeout: -1, Spec: goldenSpec(1)})
	s.add("Offer, wait too long", &Offer{Timeout: tooLong, Spec: goldenSpec(1)})
	s.add("Result, outcome 5", &Result{Outcome: 5})
	s.add("Result, reason 8", &Result{Reason: 8})
	s.add("Result, report without a name", &Result{Report: map[string]float64{"": 1}})
	s.add("Result, report with a long name", &Result{Report: map[string]float64{longName: 1}})
	s.add("Result, report with no number", &Result{Report: map[string]float64{"a": notANumber}})
	s.add("UsageReport, metric 0", &UsageReport{})
	s.add("UsageReport, metric 6", &UsageReport{Metric: 6})
	s.add("UsageReport, value below 0", &UsageReport{Metric: 1, Value: -1})
	s.add("UsageReport, value too large", &UsageReport{Metric: 1, Value: 1.1e12})
	s.add("ProbeReply, report with no number", &ProbeReply{Report: map[string]float64{"a": -infinity}})
}

func (s *invalidSet) addMachineList() {
	s.addEntry("no machine", func(e *MachineEntry) { e.Machine = "" })
	s.addEntry("machine too long", func(e *MachineEntry) { e.Machine = longName })
	s.addEntry("no address", func(e *MachineEntry) { e.Address = "" })
	s.addEntry("address too long", func(e *MachineEntry) { e.Address = longName })
	s.addEntry("no address, and gone: valid", func(e *MachineEntry) { e.Address, e.State = "", MachineGone })
	s.addEntry("zone below 0", func(e *MachineEntry) { e.Zone = -1 })
	s.addEntry("kind below 0", func(e *MachineEntry) { e.MachineType = -1 })
	s.addEntry("cell too large", func(e *MachineEntry) { e.RackGroup = tooLarge })
	s.addEntry("state 3", func(e *MachineEntry) { e.State = 3 })
	s.addEntry("free cores no number", func(e *MachineEntry) { e.FreeCores = notANumber })
	s.addEntry("free memory no number", func(e *MachineEntry) { e.FreeMemory = infinity })
	s.addEntry("hint no number", func(e *MachineEntry) { e.PowerHint = notANumber })
	s.addEntry("age too long", func(e *MachineEntry) { e.Age = tooLong })
}

func (s *invalidSet) addStatus() {
	s.add("Submit, time left below 0", &Submit{TimeToDeadline: -1, Spec: goldenSpec(1)})
	s.add("Submit, time left too long", &Submit{TimeToDeadline: tooLong, Spec: goldenSpec(1)})
	s.add("ExplainReply, share no number", &ExplainReply{FullRatio: notANumber})
	for i := range 13 {
		reply := ExplainReply{}
		reflect.ValueOf(&reply).Elem().Field(3 + i).SetInt(int64([]int{-1, 1<<20 + 1}[i%2]))
		s.add(fmt.Sprintf("ExplainReply, count %d out of range", i+1), &reply)
	}
	s.add("WatchMachineList, version below 0", &WatchMachineList{SinceVersion: -1})
}

func (s *invalidSet) addClient() {
	s.add("CancelContainer, no container", &CancelContainer{})
	s.add("CancelContainer, container too long", &CancelContainer{ContainerID: longName})
	s.add("CancelContainer, key too long: valid", &CancelContainer{ContainerID: "c", IdempotencyKey: longName})
	s.add("Lookup, no container", &Lookup{IdempotencyKey: "k"})
	s.add("Lookup, no key", &Lookup{ContainerID: "c"})
	s.add("Lookup, key too long", &Lookup{ContainerID: "c", IdempotencyKey: longName})
	s.add("PlacementReply, no container", &PlacementReply{Verdict: VerdictPlaced})
	s.add("PlacementReply, verdict 0", &PlacementReply{ContainerID: "c"})
	s.add("PlacementReply, verdict 5", &PlacementReply{ContainerID: "c", Verdict: 5})
	s.add("PlacementReply, hold-off below 0", &PlacementReply{ContainerID: "c", Verdict: VerdictPlaced, RetryAfter: -1})
	longRetry := &PlacementReply{ContainerID: "c", Verdict: VerdictPlaced, RetryAfter: tooLong}
	s.add("PlacementReply, hold-off too long", longRetry)
	s.add("Termination, no container", &Termination{})
	s.add("Termination, outcome 5", &Termination{ContainerID: "c", Outcome: 5})
	s.add("Termination, reason 8", &Termination{ContainerID: "c", Reason: 8})
	s.add("StatusReply, no name of a value", &StatusReply{Stats: []Stat{{Value: 1}}})
	stats := []Stat{{Name: "a", Value: 1}, {Name: "open", Value: notANumber}}
	s.add("StatusReply, value no number", &StatusReply{Stats: stats})
}
