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

func goldenSpec(n int) Work {
	return Work{Container: fmt.Sprint("container-", n), Key: fmt.Sprint("key-", n), Service: fmt.Sprint("service-", n),
		Workload: n + 1, Customer: n + 2, Cores: float64(n) + 0.25, Memory: float64(n) + 0.5, Window: Span(n + 3),
		RunFor: Span(n + 4), Again: true}
}

// goldenFrames has each kind of frame with a distinct value in every field, and each value of each enumeration.
func goldenFrames() []namedFrame {
	frames := []namedFrame{
		{"1 Hello, scheduler", &Hello{Magic: "glenport", Version: 1, Role: Placer, Name: "scheduler-1", Life: 11}},
		{"1 Hello, machine", &Hello{Magic: "glenport", Version: 1, Role: Machine, Name: "machine-1", Life: 12}},
		{"1 Hello, machine list", &Hello{Magic: "glenport", Version: 1, Role: List, Name: "list-1", Life: 13}},
		{"1 Hello, client", &Hello{Magic: "glenport", Version: 1, Role: Owner, Name: "client-1", Life: 1 << 63}},
		{"2 Offer", &Offer{Bid: 1001, Wait: 1002, Work: goldenSpec(1100)}},
		{"3 Accept, running", &Yes{Bid: 2001, Running: true}},
		{"3 Accept, not yet running", &Yes{Bid: 2002}},
		{"4 Result", &Result{Bid: 3001, Outcome: Full, Reason: NoMemory, Report: map[string]float64{"queue": 3.5}}},
		{"4 Result without a report", &Result{Bid: 3002}},
		{"5 UsageReport", &Note{Bid: 4001, Sort: 5, Amount: 0.75}},
		{"6 CancelAttempt", &Withdraw{Life: 5001, Bid: 5002}},
		{"7 Probe", &Probe{Seq: 6001}},
		{"8 ProbeReply", &Probed{Seq: 7001, Report: map[string]float64{"util": 0.125}}},
		{"9 Inventory", &Holds{Incarnation: 8001, Held: []Holding{
			{Life: 8002, Bid: 8003, Running: true, Work: goldenSpec(8100)},
			{Life: 8004, Bid: 8005, Work: goldenSpec(8200)}}}},
		{"10 FetchMachineList", &Fetch{}},
		{"11 WatchMachineList", &Watch{On: true, Since: 9001}},
		{"12 MachineListUpdate", &Listed{Whole: true, Version: 10001, Entries: []Entry{
			{Machine: "machine-2", Addr: "127.0.0.1:2", Zone: 10002, Kind: 10003, Cell: 10004, State: Draining,
				FreeCores: 10005.5, FreeMemory: -10006.5, Hint: 1.75, Incarnation: 10007, Age: -10008},
			{Machine: "machine-3", Zone: 10009, Kind: 10010, Cell: 10011, State: Gone, FreeCores: 10012.25,
				FreeMemory: 10013.25, Hint: 1.25, Incarnation: 10014, Age: 10015}}}},
		{"13 MachineListError", &Failed{Text: "text 11001"}},
		{"14 Heartbeat", &Beat{}},
		{"15 Submit", &Submit{Left: 12001, Work: goldenSpec(12100)}},
		{"16 CancelContainer", &Cancel{Container: "container-13001", Key: "key-13002"}},
		{"17 PlacementReply", &Answer{Container: "container-14001", Verdict: PushedBack, Machine: "machine-14002",
			HoldOff: 14003, Text: "text 14004"}},
		{"18 Termination", &Fate{Container: "container-15001", Machine: "machine-15002", Outcome: Lost, Reason: SentAway}},
		{"20 StatusRequest", &AskStatus{}},
		{"21 StatusReply", &Status{Name: "scheduler-16001", Figures: []Figure{
			{Name: "open", Value: 16002, Unit: "containers"}, {Name: "lag", Value: 0.016003, Unit: "s"}}}},
		{"22 Goodbye", &Bye{Text: "text 17001"}},
		{"23 ExplainRequest", &AskWhy{Seq: 18001, Work: goldenSpec(18100)}},
		{"24 ExplainReply", &Why{Seq: 19001, Known: true, Machines: 19002, Gone: 19003, OtherKind: 19004, Draining: 19005,
			TooSmall: 19006, Closing: 19007, SpreadFull: 19008, ColdSpent: 19009, Resting: 19010, Shunned: 19011,
			NoCores: 19012, NoMemory: 19013, Free: 19014, Yielding: true, NoRoomShare: 0.19015, ListAge: 19016}},
		{"24 ExplainReply, list never heard", &Why{Seq: 19017, ListAge: -1}},
		{"25 RoutesRequest", &AskRoutes{Service: "service-20001"}},
		{"26 RoutesReply", &Routes{
			Peers: []RoutePeer{{Addr: "127.0.0.1:179", AS: 21001, State: "Established", Routes: 21002, Due: 21003,
				Updates: 21004, Bytes: 21005, Ends: 21006, Why: "text 21007"}},
			Services: []RouteOf{{Service: "service-21008", Prefix: "10.0.0.0/24", Announced: true, Preference: 21009,
				Running: 21010, Draining: 21011, Least: 21012, Penalty: 21013.5, Suppressed: true, Next: 21014}}}},
		{"27 Lookup", &Look{Container: "container-22001", Key: "key-22002"}},
	}
	for i, o := range []Outcome{Finished, Erred, Full, Stopped, Lost} {
		frames = append(frames, namedFrame{fmt.Sprint("4 Result, outcome ", i), &Result{Bid: 23001, Outcome: o}})
	}
	for i, r := range []Reason{NoReason, NoCores, NoMemory, LongQueue, NotHere, Evicted, PushedOut, SentAway} {
		frames = append(frames, namedFrame{fmt.Sprint("18 Termination, reason ", i),
			&Fate{Container: "container-24001", Outcome: Stopped, Reason: r}})
	}
	for i, v := range []Verdict{Placed, PushedBack, GivenUp, TurnedAway} {
		frames = append(frames, namedFrame{fmt.Sprint("17 PlacementReply, verdict ", i+1), &Answer{Container: "container-25001", Verdict: v}})
	}
	for i, s := range []State{Serving, Draining, Gone} {
		frames = append(frames, namedFrame{fmt.Sprint("12 MachineListUpdate, state ", i),
			&Listed{Entries: []Entry{{Machine: "machine-26001", Addr: "127.0.0.1:3", State: s}}}})
	}
	for m := uint8(1); m <= 5; m++ {
		frames = append(frames, namedFrame{fmt.Sprint("5 UsageReport, metric ", m), &Note{Bid: 27001, Sort: m}})
	}
	longest := strings.Repeat("n", 200)
	return append(frames,
		namedFrame{"16 CancelContainer, the longest name, no key", &Cancel{Container: longest}},
		namedFrame{"15 Submit, the longest time", &Submit{Left: 315_360_000_000, Work: goldenSpec(28100)}},
		namedFrame{"5 UsageReport, the largest number", &Note{Bid: 1<<64 - 1, Sort: 1, Amount: 1e12}},
		namedFrame{"24 ExplainReply, the largest count", &Why{Machines: 1 << 20}})
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
			decoded, err := Read(bytes.NewReader(want.bytes), MostFrame)
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
	for kind, fresh := range sorts {
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
	if want := (&Result{Bid: 3001, Report: map[string]float64{"a": 2.5, "b": 1.5, "c": 1}}); !reflect.DeepEqual(got, want) {
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
		all = append(all, invalidFrame{title, append([]byte{f.sort()}, body...)})
	}
	long := strings.Repeat("n", 201)
	nan, inf := math.NaN(), math.Inf(1)
	of("Hello without a name", &Hello{Magic: "glenport", Version: 1, Role: Owner})
	of("Hello, name too long", &Hello{Magic: "glenport", Version: 1, Role: Owner, Name: long})
	of("Hello, another magic", &Hello{Magic: "glenpoort", Version: 1, Role: Owner, Name: "n"})
	of("Hello, version 0", &Hello{Magic: "glenport", Role: Owner, Name: "n"})
	of("Hello, version 2", &Hello{Magic: "glenport", Version: 2, Role: Owner, Name: "n"})
	of("Hello, role 0", &Hello{Magic: "glenport", Version: 1, Name: "n"})
	of("Hello, role 5", &Hello{Magic: "glenport", Version: 1, Role: 5, Name: "n"})
	of("Hello, two faults: the first is told", &Hello{Magic: "x", Version: 9, Role: 9, Name: long})
	spec := func(title string, change func(*Work)) {
		w := goldenSpec(1)
		change(&w)
		of("Offer, "+title, &Offer{Bid: 1, Work: w})
		of("Submit, "+title, &Submit{Left: 1, Work: w})
		of("ExplainRequest, "+title, &AskWhy{Seq: 1, Work: w})
		of("Inventory, "+title, &Holds{Held: []Holding{{Work: goldenSpec(2)}, {Work: w}}})
	}
	spec("no container", func(w *Work) { w.Container = "" })
	spec("container too long", func(w *Work) { w.Container = long })
	spec("no key", func(w *Work) { w.Key = "" })
	spec("key too long", func(w *Work) { w.Key = long })
	spec("no service", func(w *Work) { w.Service = "" })
	spec("service too long", func(w *Work) { w.Service = long })
	spec("workload below 0", func(w *Work) { w.Workload = -1 })
	spec("workload too large", func(w *Work) { w.Workload = 1<<20 + 1 })
	spec("customer below 0", func(w *Work) { w.Customer = -1 })
	spec("customer too large", func(w *Work) { w.Customer = 1<<20 + 1 })
	spec("cores below 0", func(w *Work) { w.Cores = -0.5 })
	spec("cores no number", func(w *Work) { w.Cores = nan })
	spec("memory below 0", func(w *Work) { w.Memory = -0.5 })
	spec("memory without bounds", func(w *Work) { w.Memory = inf })
	spec("window below 0", func(w *Work) { w.Window = -1 })
	spec("window too long", func(w *Work) { w.Window = 315_360_000_001 })
	spec("run for below 0", func(w *Work) { w.RunFor = -1 })
	spec("run for too long", func(w *Work) { w.RunFor = 315_360_000_001 })
	of("Offer, wait below 0", &Offer{Wait: -1, Work: goldenSpec(1)})
	of("Offer, wait too long", &Offer{Wait: 315_360_000_001, Work: goldenSpec(1)})
	of("Result, outcome 5", &Result{Outcome: 5})
	of("Result, reason 8", &Result{Reason: 8})
	of("Result, report without a name", &Result{Report: map[string]float64{"": 1}})
	of("Result, report with a long name", &Result{Report: map[string]float64{long: 1}})
	of("Result, report with no number", &Result{Report: map[string]float64{"a": nan}})
	of("UsageReport, metric 0", &Note{})
	of("UsageReport, metric 6", &Note{Sort: 6})
	of("UsageReport, value below 0", &Note{Sort: 1, Amount: -1})
	of("UsageReport, value too large", &Note{Sort: 1, Amount: 1.1e12})
	of("ProbeReply, report with no number", &Probed{Report: map[string]float64{"a": -inf}})
	entry := func(title string, change func(*Entry)) {
		e := Entry{Machine: "m", Addr: "a"}
		change(&e)
		of("MachineListUpdate, "+title, &Listed{Entries: []Entry{{Machine: "good", Addr: "a"}, e}})
	}
	entry("no machine", func(e *Entry) { e.Machine = "" })
	entry("machine too long", func(e *Entry) { e.Machine = long })
	entry("no address", func(e *Entry) { e.Addr = "" })
	entry("address too long", func(e *Entry) { e.Addr = long })
	entry("no address, and gone: valid", func(e *Entry) { e.Addr, e.State = "", Gone })
	entry("zone below 0", func(e *Entry) { e.Zone = -1 })
	entry("kind below 0", func(e *Entry) { e.Kind = -1 })
	entry("cell too large", func(e *Entry) { e.Cell = 1<<20 + 1 })
	entry("state 3", func(e *Entry) { e.State = 3 })
	entry("free cores no number", func(e *Entry) { e.FreeCores = nan })
	entry("free memory no number", func(e *Entry) { e.FreeMemory = inf })
	entry("hint no number", func(e *Entry) { e.Hint = nan })
	entry("age too long", func(e *Entry) { e.Age = 315_360_000_001 })
	of("Submit, time left below 0", &Submit{Left: -1, Work: goldenSpec(1)})
	of("Submit, time left too long", &Submit{Left: 315_360_000_001, Work: goldenSpec(1)})
	of("ExplainReply, share no number", &Why{NoRoomShare: nan})
	for i := range 13 {
		why := Why{}
		reflect.ValueOf(&why).Elem().Field(3 + i).SetInt(int64([]int{-1, 1<<20 + 1}[i%2]))
		of(fmt.Sprintf("ExplainReply, count %d out of range", i+1), &why)
	}
	of("WatchMachineList, version below 0", &Watch{Since: -1})
	of("CancelContainer, no container", &Cancel{})
	of("CancelContainer, container too long", &Cancel{Container: long})
	of("CancelContainer, key too long: valid", &Cancel{Container: "c", Key: long})
	of("Lookup, no container", &Look{Key: "k"})
	of("Lookup, no key", &Look{Container: "c"})
	of("Lookup, key too long", &Look{Container: "c", Key: long})
	of("PlacementReply, no container", &Answer{Verdict: Placed})
	of("PlacementReply, verdict 0", &Answer{Container: "c"})
	of("PlacementReply, verdict 5", &Answer{Container: "c", Verdict: 5})
	of("PlacementReply, hold-off below 0", &Answer{Container: "c", Verdict: Placed, HoldOff: -1})
	of("PlacementReply, hold-off too long", &Answer{Container: "c", Verdict: Placed, HoldOff: 315_360_000_001})
	of("Termination, no container", &Fate{})
	of("Termination, outcome 5", &Fate{Container: "c", Outcome: 5})
	of("Termination, reason 8", &Fate{Container: "c", Reason: 8})
	of("StatusReply, no name of a value", &Status{Figures: []Figure{{Value: 1}}})
	of("StatusReply, value no number", &Status{Figures: []Figure{{Name: "a", Value: 1}, {Name: "open", Value: nan}}})
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
		if len(invalid.body) == 0 || int(invalid.body[0]) >= len(sorts) || sorts[invalid.body[0]] == nil {
			continue
		}
		f := sorts[invalid.body[0]]()
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
	if SmallFrame != 65536 || MostFrame != 16777216 || Version != 1 {
		t.Errorf("limits %d and %d, version %d", SmallFrame, MostFrame, Version)
	}
	text := func(n int) *Bye { return &Bye{Text: strings.Repeat("x", n)} }
	overhead := len(stream(t, text(1<<16))) - 4 - 1<<16
	if _, err := Append(nil, text(MostFrame-overhead)); err != nil {
		t.Errorf("the largest frame is not sent: %v", err)
	}
	_, err := Append(nil, text(MostFrame-overhead+1))
	if got := errorText(err); got != "FRAME of 16777217 bytes is over the limit of 16777216\n" {
		t.Errorf("one more byte: %s", got)
	}
	hello := stream(t, Greeting(Owner, "client", 1))
	for _, limit := range []struct {
		max, first, size int
		want             string
	}{
		{0, 0, 1024, "FRAME out of turn\n"}, // taken, and no Hello
		{0, 0, 1025, "frame of 1025 bytes is over the limit of 1024\n"},
		{0, 1, 1025, "none\n"},
		{SmallFrame, 1, SmallFrame, "none\n"},
		{SmallFrame, 1, SmallFrame + 1, "frame of 65537 bytes is over the limit of 65536\n"},
	} {
		r := Reader{Most: limit.max}
		input := append(bytes.Repeat(hello, limit.first), stream(t, text(limit.size-4))...)
		input = fitted(t, input, len(hello)*limit.first, limit.size)
		if got := errorText(r.Feed(input, func(Frame) error { return nil })); got != limit.want {
			t.Errorf("%+v: %s", limit, got)
		}
	}
	_, err = Read(bytes.NewReader(stream(t, text(100))), 50)
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
		bye := f.(*Bye)
		bye.Text = strings.Repeat("x", len(bye.Text)-off)
		p = append(p[:before:before], stream(t, bye)...)
	}
	return p
}

// Names of the enumerated values stand in logs and in what the commands print.
func TestEnumeratedValuesKeepTheirTexts(t *testing.T) {
	var got []string
	for i := range 6 {
		got = append(got, Role(i).String(), Outcome(i).String(), Verdict(i).String(), State(i).String())
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
