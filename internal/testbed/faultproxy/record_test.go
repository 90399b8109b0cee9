package faultproxy

import (
	"bytes"
	"errors"
	"fmt"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"glenport/internal/golden"
	"glenport/internal/protocol"
	"glenport/internal/testutil"
	"glenport/internal/testutil/frames"
	"glenport/scheduler"

	"github.com/fxamacker/cbor/v2"
)

// goldenRecord holds the paths of a recording in one version of the format and of its contents as text.
type goldenRecord struct{ format, record, contents string }

var (
	goldenVersion1 = goldenRecord{"glenport record 1", "testdata/record.bin", "testdata/record.txt"}
	goldenVersion2 = goldenRecord{"glenport record 2", "testdata/record2.bin", "testdata/record2.txt"}
)

func goldenHeader() Header {
	return Header{Format: goldenVersion2.format, DrainGrace: 1001, Slack: 1002, Config: scheduler.Config{
		Seed: 1<<64 - 1, SchedulerIndex: 2001, SchedulerCount: 2002,
		WorkloadClasses: []scheduler.WorkloadClass{
			{
				Idempotency: scheduler.Idempotent, DedupScope: scheduler.ScopeNone,
				SpreadScope: scheduler.ScopeMachine, DedupWindow: 3001, LatencyObjective: 3002, PlacementTimeout: 3003,
				MachineType: -1, MaxPerScope: 3004, PriorityWeight: 3005.5,
			},
			{
				Idempotency: scheduler.IdempotentWithKey, DedupScope: scheduler.ScopeRackGroup,
				SpreadScope: scheduler.ScopeZone, DedupWindow: 3011, LatencyObjective: 3012, PlacementTimeout: 3013,
				MachineType: 3014, MaxPerScope: 3015, PriorityWeight: 0.25,
			},
			{
				Idempotency: scheduler.AtMostOnce, DedupScope: scheduler.ScopeFleet,
				SpreadScope: scheduler.ScopeNone, DedupWindow: 3021, LatencyObjective: 3022, PlacementTimeout: 3023,
				MachineType: 3024, MaxPerScope: 3025, PriorityWeight: 1,
			},
		},
		MachineTypes:    []scheduler.MachineType{{Cores: 4001.5, Memory: 4002.5}, {Cores: 4003, Memory: 4004}},
		Tenants:         []scheduler.Tenant{{QuotaCores: 5001.5}, {QuotaCores: 5002}},
		OverQuotaWeight: 6001.5,
		CoresOvercommit: 6002.5, MemoryOvercommit: 6003.5, MeanCores: 6004.5, MeanMemory: 6005.5,
		AcceptMeansRunning: true, UsageReports: false, ListTracksRequests: true,
		ProbesAllowed: false, ListOnRequest: true,
		MaxAttempts: 6006, AnswerGrace: 6007, ResyncInterval: 6008,
		SlowStartPeriod: 6009, SlowStartWindow: 6010, SlowStartBudget: 6011,
	}}
}

func encodedFrame(t *testing.T, f protocol.Frame) []byte {
	t.Helper()
	return frames.Encode(t, f)[lengthPrefixSize:]
}

// connEntry returns an entry for a connection with a different number in each field, counted from at.
func connEntry(at int64, kind EntryKind, peer protocol.Role, peerName string, frame []byte) Entry {
	return Entry{
		At: at, Kind: kind, ConnID: uint32(at + 1), Scheduler: fmt.Sprint("scheduler-", at+2),
		Peer: peer, PeerName: fmt.Sprint(peerName, "-", at+3), Frame: frame, Lag: at + 4,
	}
}

func goldenEntries(t *testing.T) []Entry {
	t.Helper()
	offer := &protocol.Offer{
		AttemptID: 7015, Timeout: 7016,
		Spec: protocol.ContainerSpec{ContainerID: "c", IdempotencyKey: "k", Service: "s"},
	}
	accept := &protocol.Accept{AttemptID: 7025, Running: true}
	listError := &protocol.MachineListError{Message: "text 7035"}
	return []Entry{
		connEntry(7001, Opened, protocol.RoleMachine, "machine", nil),
		connEntry(7011, FromScheduler, protocol.RoleMachine, "machine", encodedFrame(t, offer)),
		connEntry(7021, ToScheduler, protocol.RoleMachine, "machine", encodedFrame(t, accept)),
		connEntry(7031, Lost, protocol.RoleMachineList, "list", encodedFrame(t, listError)),
		connEntry(7041, Closed, protocol.RoleClient, "client", nil),
		{At: 7051, Kind: Killed, Scheduler: "scheduler-7053"},
		{At: 7061, Kind: Started, Scheduler: "scheduler-7063", Peer: protocol.RoleScheduler},
		{At: -1, Kind: 255, ConnID: 1<<32 - 1, Lag: 1<<63 - 1},
	}
}

// formatContents prints the contents of a recording under the field names of the format.
func formatContents(h Header, entries []Entry) string {
	var out strings.Builder
	c := h.Config
	row(&out, "Format %q, DrainGrace %d, Slack %d", h.Format, h.DrainGrace, h.Slack)
	row(&out, "Seed %d, Me %d, Placers %d", c.Seed, c.SchedulerIndex, c.SchedulerCount)
	for _, w := range c.WorkloadClasses {
		row(&out, "Workload: Effect %d, Repeats %d, Window %d, Agreed %d, HardStop %d, Kind %d, "+
			"Spread %d, Most %d, Gain %v",
			w.Idempotency, w.DedupScope, w.DedupWindow, w.LatencyObjective, w.PlacementTimeout, w.MachineType,
			w.SpreadScope, w.MaxPerScope, w.PriorityWeight)
	}
	for _, k := range c.MachineTypes {
		row(&out, "Kind: Cores %v, Memory %v", k.Cores, k.Memory)
	}
	for _, tenant := range c.Tenants {
		row(&out, "Customer: Cores %v", tenant.QuotaCores)
	}
	row(&out, "OverShare %v, AcceptCores %v, AcceptMemory %v, MeanCores %v, MeanMemory %v",
		c.OverQuotaWeight, c.CoresOvercommit, c.MemoryOvercommit, c.MeanCores, c.MeanMemory)
	row(&out, "YesRuns %t, UseNotes %t, ListedAsks %t, MayProbe %t, MostBids %d, AnswerGrace %d, ListOnAsk %t",
		c.AcceptMeansRunning, c.UsageReports, c.ListTracksRequests, c.ProbesAllowed, c.MaxAttempts, c.AnswerGrace,
		c.ListOnRequest)
	row(&out, "AskWithin %d, ColdFor %d, ColdWindow %d, ColdBids %d",
		c.ResyncInterval, c.SlowStartPeriod, c.SlowStartWindow, c.SlowStartBudget)
	for _, e := range entries {
		lag := fmt.Sprintf(", Lag %d", e.Lag)
		if h.Format == goldenVersion1.format {
			lag = ""
		}
		row(&out, "Entry: At %d, Sort %d, Link %d, Placer %q, Far %d, Name %q, Frame %x%s",
			e.At, e.Kind, e.ConnID, e.Scheduler, e.Peer, e.PeerName, e.Frame, lag)
	}
	return out.String()
}

func row(out *strings.Builder, format string, values ...any) {
	fmt.Fprintf(out, format+"\n", values...)
}

func encoded(t *testing.T, h Header, entries []Entry) []byte {
	t.Helper()
	var out bytes.Buffer
	enc := cbor.NewEncoder(&out)
	testutil.NoError(t, enc.Encode(h))
	for _, e := range entries {
		if h.Format == goldenVersion1.format {
			testutil.NoError(t, enc.Encode(entryVersion1{
				At: e.At, Kind: e.Kind, ConnID: e.ConnID, Scheduler: e.Scheduler, Peer: e.Peer, PeerName: e.PeerName,
				Frame: e.Frame,
			}))
			continue
		}
		testutil.NoError(t, enc.Encode(e))
	}
	return out.Bytes()
}

func readAll(t *testing.T, path string) (Header, []Entry) {
	t.Helper()
	var h Header
	var entries []Entry
	testutil.NoError(t, Read(path, &h, func(e *Entry) error {
		entries = append(entries, *e)
		return nil
	}))
	return h, entries
}

// A recording that an earlier release wrote must be decoded with all its values and encoded again to the same bytes.
func TestGoldenRecordIsRead(t *testing.T) { testGoldenRecord(t, goldenVersion2, goldenEntries(t)) }

// A recording in version 1 of the format, in which entries have no lag, must be decoded and encoded in the same way.
func TestGoldenRecordOfVersion1IsRead(t *testing.T) {
	entries := goldenEntries(t)
	for i := range entries {
		entries[i].Lag = 0
	}
	testGoldenRecord(t, goldenVersion1, entries)
}

func testGoldenRecord(t *testing.T, record goldenRecord, wantEntries []Entry) {
	t.Helper()
	wantHeader := goldenHeader()
	wantHeader.Format = record.format
	if golden.Updating() {
		testutil.WriteFile(t, record.record, encoded(t, wantHeader, wantEntries))
		testutil.WriteFile(t, record.contents, []byte(formatContents(wantHeader, wantEntries)))
	}
	file := testutil.ReadFile(t, record.record)
	text := testutil.ReadFile(t, record.contents)
	h, entries := readAll(t, record.record)
	testutil.Expect(t, reflect.DeepEqual(h, wantHeader), "header %+v, want %+v", h, wantHeader)
	testutil.Expect(t, reflect.DeepEqual(entries, wantEntries), "entries %+v, want %+v", entries, wantEntries)
	if got := formatContents(h, entries); got != string(text) {
		t.Errorf("read\n%swant\n%s", got, text)
	}
	if got := encoded(t, h, entries); !bytes.Equal(got, file) {
		t.Errorf("encoded as\n%x, want\n%x", got, file)
	}
	if f, err := entries[1].Decoded(); err != nil || f.(*protocol.Offer).AttemptID != 7015 {
		t.Errorf("decoded frame is %+v, %v", f, err)
	}
}

// The writer must write the header and all entries in order, with ascending timestamps.
func TestWrittenRecordIsReadAgain(t *testing.T) {
	path := filepath.Join(t.TempDir(), "record")
	h := goldenHeader()
	h.Format = "" // set by the writer
	w, err := Create(path, h)
	testutil.NoError(t, err)
	want := goldenEntries(t)
	for _, e := range want {
		w.add(e)
	}
	w.RecordStart("scheduler-8001")
	want = append(want, Entry{Kind: Started, Scheduler: "scheduler-8001"})
	testutil.NoError(t, w.Close())
	got, entries := readAll(t, path)
	testutil.Expect(t, reflect.DeepEqual(got, goldenHeader()), "header %+v", got)
	file := testutil.ReadFile(t, path)
	again := encoded(t, got, entries)
	testutil.Expect(t, bytes.Equal(again, file), "encoded as\n%x, want\n%x", again, file)
	last := int64(0)
	for i := range entries {
		testutil.Expect(t, entries[i].At >= last, "entry %d is at %d, after an entry at %d", i, entries[i].At, last)
		last = entries[i].At
		entries[i].At = want[i].At
	}
	testutil.Expect(t, reflect.DeepEqual(entries, want), "entries %+v, want %+v", entries, want)
}

// A file of an unknown format and a file that ends within an entry must be rejected.
func TestDamagedRecordIsRefused(t *testing.T) {
	other := goldenHeader()
	other.Format = "glenport record 3"
	whole := encoded(t, goldenHeader(), goldenEntries(t)[:2])
	for title, tc := range map[string]struct {
		file []byte
		want string
	}{
		"empty":          {nil, " is neither glenport record 1 nor glenport record 2 (EOF)"},
		"another format": {encoded(t, other, nil), " is neither glenport record 1 nor glenport record 2 (<nil>)"},
		"cut short":      {whole[:len(whole)-3], ": entry 2: unexpected EOF"},
	} {
		path := filepath.Join(t.TempDir(), "record")
		testutil.WriteFile(t, path, tc.file)
		err := Read(path, new(Header), func(*Entry) error { return nil })
		testutil.Expect(t, err != nil && err.Error() == path+tc.want, "%s: %v, want %s", title, err, path+tc.want)
		var formatError *FormatError
		isFormat := errors.As(err, &formatError)
		testutil.Expect(t, isFormat == (title != "cut short"), "%s: %v is a FormatError: %v", title, err, isFormat)
	}
}
