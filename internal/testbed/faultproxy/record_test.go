package faultproxy

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"glenport/internal/golden"
	"glenport/internal/protocol"
	"glenport/scheduler"

	"github.com/fxamacker/cbor/v2"
)

const (
	goldenRecord = "testdata/record.bin"
	goldenWords  = "testdata/record.txt"
)

func goldenHeader() Header {
	return Header{Format: "glenport record 1", DrainGrace: 1001, Slack: 1002, Config: scheduler.Config{
		Seed:           1<<64 - 1,
		SchedulerIndex: 2001,
		SchedulerCount: 2002,
		WorkloadClasses: []scheduler.WorkloadClass{
			{
				Idempotency:      scheduler.Idempotent,
				DedupScope:       scheduler.ScopeNone,
				DedupWindow:      3001,
				LatencyObjective: 3002,
				PlacementTimeout: 3003,
				MachineType:      -1,
				SpreadScope:      scheduler.ScopeMachine,
				MaxPerScope:      3004,
				PriorityWeight:   3005.5,
			},
			{
				Idempotency:      scheduler.IdempotentWithKey,
				DedupScope:       scheduler.ScopeRackGroup,
				DedupWindow:      3011,
				LatencyObjective: 3012,
				PlacementTimeout: 3013,
				MachineType:      3014,
				SpreadScope:      scheduler.ScopeZone,
				MaxPerScope:      3015,
				PriorityWeight:   0.25,
			},
			{
				Idempotency:      scheduler.AtMostOnce,
				DedupScope:       scheduler.ScopeFleet,
				DedupWindow:      3021,
				LatencyObjective: 3022,
				PlacementTimeout: 3023,
				MachineType:      3024,
				SpreadScope:      scheduler.ScopeNone,
				MaxPerScope:      3025,
				PriorityWeight:   1,
			},
		},
		MachineTypes:       []scheduler.MachineType{{Cores: 4001.5, Memory: 4002.5}, {Cores: 4003, Memory: 4004}},
		Tenants:            []scheduler.Tenant{{QuotaCores: 5001.5}, {QuotaCores: 5002}},
		OverQuotaWeight:    6001.5,
		CoresOvercommit:    6002.5,
		MemoryOvercommit:   6003.5,
		MeanCores:          6004.5,
		MeanMemory:         6005.5,
		AcceptMeansRunning: true,
		UsageReports:       false,
		ListTracksRequests: true,
		ProbesAllowed:      false,
		MaxAttempts:        6006,
		AnswerGrace:        6007,
		ListOnRequest:      true,
		ResyncInterval:     6008,
		SlowStartPeriod:    6009,
		SlowStartWindow:    6010,
		SlowStartBudget:    6011,
	}}
}

func goldenEntries(t *testing.T) []Entry {
	frame := func(f protocol.Frame) []byte {
		p, err := protocol.Append(nil, f)
		if err != nil {
			t.Fatal(err)
		}
		return p[4:]
	}
	return []Entry{
		{
			At:        7001,
			Kind:      Opened,
			ConnID:    7002,
			Scheduler: "scheduler-7003",
			Peer:      protocol.RoleMachine,
			PeerName:  "machine-7004",
		},
		{
			At:        7011,
			Kind:      FromScheduler,
			ConnID:    7012,
			Scheduler: "scheduler-7013",
			Peer:      protocol.RoleMachine,
			PeerName:  "machine-7014",
			Frame: frame(
				&protocol.Offer{
					AttemptID: 7015,
					Timeout:   7016,
					Spec:      protocol.ContainerSpec{ContainerID: "c", IdempotencyKey: "k", Service: "s"},
				},
			),
		},
		{
			At:        7021,
			Kind:      ToScheduler,
			ConnID:    7022,
			Scheduler: "scheduler-7023",
			Peer:      protocol.RoleMachine,
			PeerName:  "machine-7024",
			Frame:     frame(&protocol.Accept{AttemptID: 7025, Running: true}),
		},
		{
			At:        7031,
			Kind:      Lost,
			ConnID:    7032,
			Scheduler: "scheduler-7033",
			Peer:      protocol.RoleMachineList,
			PeerName:  "list-7034",
			Frame:     frame(&protocol.MachineListError{Message: "text 7035"}),
		},
		{
			At:        7041,
			Kind:      Closed,
			ConnID:    7042,
			Scheduler: "scheduler-7043",
			Peer:      protocol.RoleClient,
			PeerName:  "client-7044",
		},
		{At: 7051, Kind: Killed, Scheduler: "scheduler-7053"},
		{At: 7061, Kind: Started, Scheduler: "scheduler-7063", Peer: protocol.RoleScheduler},
		{At: -1, Kind: 255, ConnID: 1<<32 - 1},
	}
}

// words lists what a record holds, by the names that the fields had when the format was made.
func words(h Header, entries []Entry) string {
	var out strings.Builder
	terms := h.Config
	fmt.Fprintf(&out, "Format %q, DrainGrace %d, Slack %d\n", h.Format, h.DrainGrace, h.Slack)
	fmt.Fprintf(&out, "Seed %d, Me %d, Placers %d\n", terms.Seed, terms.SchedulerIndex, terms.SchedulerCount)
	for _, w := range terms.WorkloadClasses {
		fmt.Fprintf(
			&out,
			"Workload: Effect %d, Repeats %d, Window %d, Agreed %d, HardStop %d, Kind %d, Spread %d, Most %d, Gain %v\n",
			w.Idempotency,
			w.DedupScope,
			w.DedupWindow,
			w.LatencyObjective,
			w.PlacementTimeout,
			w.MachineType,
			w.SpreadScope,
			w.MaxPerScope,
			w.PriorityWeight,
		)
	}
	for _, k := range terms.MachineTypes {
		fmt.Fprintf(&out, "Kind: Cores %v, Memory %v\n", k.Cores, k.Memory)
	}
	for _, c := range terms.Tenants {
		fmt.Fprintf(&out, "Customer: Cores %v\n", c.QuotaCores)
	}
	fmt.Fprintf(
		&out,
		"OverShare %v, AcceptCores %v, AcceptMemory %v, MeanCores %v, MeanMemory %v\n",
		terms.OverQuotaWeight,
		terms.CoresOvercommit,
		terms.MemoryOvercommit,
		terms.MeanCores,
		terms.MeanMemory,
	)
	fmt.Fprintf(
		&out,
		"YesRuns %t, UseNotes %t, ListedAsks %t, MayProbe %t, MostBids %d, AnswerGrace %d, ListOnAsk %t\n",
		terms.AcceptMeansRunning,
		terms.UsageReports,
		terms.ListTracksRequests,
		terms.ProbesAllowed,
		terms.MaxAttempts,
		terms.AnswerGrace,
		terms.ListOnRequest,
	)
	fmt.Fprintf(
		&out,
		"AskWithin %d, ColdFor %d, ColdWindow %d, ColdBids %d\n",
		terms.ResyncInterval,
		terms.SlowStartPeriod,
		terms.SlowStartWindow,
		terms.SlowStartBudget,
	)
	for _, e := range entries {
		fmt.Fprintf(
			&out,
			"Entry: At %d, Sort %d, Link %d, Placer %q, Far %d, Name %q, Frame %x\n",
			e.At,
			e.Kind,
			e.ConnID,
			e.Scheduler,
			e.Peer,
			e.PeerName,
			e.Frame,
		)
	}
	return out.String()
}

func encoded(t *testing.T, h Header, entries []Entry) []byte {
	t.Helper()
	var out bytes.Buffer
	enc := cbor.NewEncoder(&out)
	if err := enc.Encode(h); err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		if err := enc.Encode(e); err != nil {
			t.Fatal(err)
		}
	}
	return out.Bytes()
}

func readAll(t *testing.T, path string) (Header, []Entry) {
	t.Helper()
	var h Header
	var entries []Entry
	if err := Read(path, &h, func(e *Entry) error {
		entries = append(entries, *e)
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	return h, entries
}

// A record that an earlier version wrote is read with each of its values, and encoded again to the same bytes.
func TestGoldenRecordIsRead(t *testing.T) {
	wantHeader, wantEntries := goldenHeader(), goldenEntries(t)
	if golden.Updating() {
		if err := os.WriteFile(goldenRecord, encoded(t, wantHeader, wantEntries), 0o644); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(goldenWords, []byte(words(wantHeader, wantEntries)), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	file, err := os.ReadFile(goldenRecord)
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(goldenWords)
	if err != nil {
		t.Fatal(err)
	}
	h, entries := readAll(t, goldenRecord)
	if !reflect.DeepEqual(h, wantHeader) {
		t.Errorf("header %+v, want %+v", h, wantHeader)
	}
	if !reflect.DeepEqual(entries, wantEntries) {
		t.Errorf("entries %+v, want %+v", entries, wantEntries)
	}
	if got := words(h, entries); got != string(text) {
		t.Errorf("read\n%swant\n%s", got, text)
	}
	if got := encoded(t, h, entries); !bytes.Equal(got, file) {
		t.Errorf("encoded as\n%x, want\n%x", got, file)
	}
	if f, err := entries[1].Decoded(); err != nil || f.(*protocol.Offer).AttemptID != 7015 {
		t.Errorf("a frame of the record is %+v, %v", f, err)
	}
}

// What the writer writes is the header and each entry in turn, stamped in order.
func TestWrittenRecordIsReadAgain(t *testing.T) {
	path := filepath.Join(t.TempDir(), "record")
	h := goldenHeader()
	h.Format = "" // the writer's to set
	w, err := Create(path, h)
	if err != nil {
		t.Fatal(err)
	}
	want := goldenEntries(t)
	for _, e := range want {
		w.add(e)
	}
	w.RecordLifecycle(Killed, "scheduler-8001")
	want = append(want, Entry{Kind: Killed, Scheduler: "scheduler-8001"})
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	got, entries := readAll(t, path)
	if !reflect.DeepEqual(got, goldenHeader()) {
		t.Errorf("header %+v", got)
	}
	file, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if again := encoded(t, got, entries); !bytes.Equal(again, file) {
		t.Errorf("encoded as\n%x, want\n%x", again, file)
	}
	last := int64(0)
	for i := range entries {
		if entries[i].At < last {
			t.Errorf("entry %d is of %d, after one of %d", i, entries[i].At, last)
		}
		last = entries[i].At
		entries[i].At = want[i].At
	}
	if !reflect.DeepEqual(entries, want) {
		t.Errorf("entries %+v, want %+v", entries, want)
	}
}

// A file of another format, and one that ends in an entry, are refused.
func TestDamagedRecordIsRefused(t *testing.T) {
	other := goldenHeader()
	other.Format = "glenport record 2"
	whole := encoded(t, goldenHeader(), goldenEntries(t)[:2])
	for title, tc := range map[string]struct {
		file []byte
		want string
	}{
		"empty":          {nil, " is no glenport record 1 (EOF)"},
		"another format": {encoded(t, other, nil), " is no glenport record 1 (<nil>)"},
		"cut short":      {whole[:len(whole)-3], ": entry 2: unexpected EOF"},
	} {
		path := filepath.Join(t.TempDir(), "record")
		if err := os.WriteFile(path, tc.file, 0o644); err != nil {
			t.Fatal(err)
		}
		err := Read(path, new(Header), func(*Entry) error { return nil })
		if err == nil || err.Error() != path+tc.want {
			t.Errorf("%s: %v, want %s", title, err, path+tc.want)
		}
		var formatError *FormatError
		if isFormat := errors.As(err, &formatError); isFormat != (title != "cut short") {
			t.Errorf("%s: %v is a FormatError: %v", title, err, isFormat)
		}
	}
}
