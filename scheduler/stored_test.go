package scheduler

import (
	"encoding/hex"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

const storedFile = "testdata/stored.txt"

// storedValue is a value of a type that is written to disk by others, with what it is called in testdata/stored.txt.
type storedValue struct {
	name  string
	value any
}

// storedValues are described in testdata/stored.md.
func storedValues() []storedValue {
	return []storedValue{
		{"knowledge", Knowledge{
			Machines: []Learned{
				{Machine: "m-1", Started: 11, Sick: 1.25, RestUntil: 12, Rest: 13, ShutUntil: 14,
					Doubts: []Doubt{{Odds: 2.5, At: 15}, {Odds: 3.75, At: 16}}, Cold: []Time{17, 18}},
				{Machine: "m-2", Started: 21},
			},
			Traits: []Trait{{Lost: 0.5, Bar: 4.5}, {Lost: 0.25, Bar: -1.5}},
			Full:   0.375, Missed: 1.75, SentSince: 19}},
		{"knowledge, empty", Knowledge{}},
		{"request", Ask{ID: "c-1", Key: "k-1", Service: "s-1", Workload: 1, Customer: 2, Cores: 3.5, Memory: 4.25,
			Due: 5, Life: 6, Again: true}},
		{"request, empty", Ask{}},
		{"settings", Terms{
			Seed: 1, Me: 2, Placers: 3,
			Workloads: []Workload{{Effect: Numbered, Repeats: OneZone, Window: 4, Agreed: 5, HardStop: 6, Kind: -1,
				Spread: OneCell, Most: 7, Gain: 1.5}, {Effect: AtMostOnce, Repeats: Everywhere, Spread: OneMachine}},
			Kinds:     []Kind{{Cores: 8.5, Memory: 9.5}, {}},
			Customers: []Customer{{Cores: 10.5}},
			OverShare: 0.25, AcceptCores: 2.5, AcceptMemory: 1.25, MeanCores: 0.75, MeanMemory: 1.75,
			YesRuns: true, UseNotes: true, ListedAsks: true, MayProbe: true, MostBids: 11, AnswerGrace: 12,
			ListOnAsk: true, AskWithin: 13, ColdFor: 14, ColdWindow: 15, ColdBids: 16}},
		{"settings, empty", Terms{}},
	}
}

// TestStoredStructsKeepTheirEncoding reads bytes that were written before the fields had tags: names in the
// code may change, names on disk may not.
func TestStoredStructsKeepTheirEncoding(t *testing.T) {
	values := storedValues()
	if *update {
		var lines []string
		for _, v := range values {
			body, err := cbor.Marshal(v.value)
			if err != nil {
				t.Fatal(err)
			}
			lines = append(lines, v.name+": "+hex.EncodeToString(body))
		}
		writeLines(t, storedFile, lines)
	}
	lines := readLines(t, storedFile)
	if len(lines) != len(values) {
		t.Fatalf("%d values recorded, %d known", len(lines), len(values))
	}
	for i, v := range values {
		t.Run(v.name, func(t *testing.T) {
			name, digits, _ := strings.Cut(lines[i], ": ")
			recorded, err := hex.DecodeString(digits)
			if err != nil || name != v.name {
				t.Fatalf("line %d holds %q, want %q (%v)", i+1, name, v.name, err)
			}
			read := reflect.New(reflect.TypeOf(v.value))
			if err := cbor.Unmarshal(recorded, read.Interface()); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(read.Elem().Interface(), v.value) {
				t.Errorf("read %+v, want %+v", read.Elem(), v.value)
			}
			written, err := cbor.Marshal(v.value)
			if err != nil {
				t.Fatal(err)
			}
			if digits := hex.EncodeToString(written); digits != hex.EncodeToString(recorded) {
				t.Errorf("written %s, recorded %x", digits, recorded)
			}
		})
	}
}
