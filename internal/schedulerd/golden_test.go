package schedulerd

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"testing"

	"glenport/internal/golden"
	"glenport/internal/protocol"
	"glenport/internal/schedulerd/overload"
	"glenport/internal/schedulerd/reconcile"
	"glenport/internal/schedulerd/recovery"
	"glenport/internal/schedulerd/warmstart"
	"glenport/internal/storage/vfs"
	"glenport/internal/storage/wal"
	"glenport/scheduler"

	"github.com/fxamacker/cbor/v2"
)

// The stored data of a scheduler, as the release before the renaming of this package wrote it:
//
//	testdata/state       a state folder: snapshot, log and the file "knowledge"
//	testdata/state.txt   what it holds, one line for each field under its stored name
//	testdata/export.json the same file "knowledge" as `glenport state export` shows it
//	testdata/list        the machine list of version 1, a file of its own
//
// They change with the storage format alone, never with names in the code.
const (
	goldenState  = "testdata/state"
	goldenText   = "testdata/state.txt"
	goldenExport = "testdata/export.json"
	goldenList   = "testdata/list"
)

func goldenRequest(n float64, id string) scheduler.PlacementRequest {
	return scheduler.PlacementRequest{
		ID:              scheduler.ContainerID("container-" + id),
		IdempotencyKey:  "key-" + id,
		Service:         "service-" + id,
		WorkloadClass:   10 + int(n),
		Tenant:          20 + int(n),
		Cores:           n + 0.25,
		Memory:          n + 0.5,
		Deadline:        scheduler.Time(1000 + n),
		ExpectedRuntime: scheduler.Time(2000 + n),
		ClientRetry:     true,
	}
}

// Attempts by number. Number 3 is deleted again by the log.
var goldenAttempts = []reconcile.Attempt{
	{Request: goldenRequest(1, "one"), Machine: "machine-one", Incarnation: 101, Number: 0x11, Running: true},
	{Request: goldenRequest(2, "two"), Machine: "machine-two", Incarnation: 102, Number: 0x22, Running: true},
	{Request: goldenRequest(3, "three"), Machine: "machine-three", Incarnation: 103, Number: 0x33, Running: true},
	{
		Request:     goldenRequest(4, "four"),
		Machine:     "machine-four",
		Incarnation: 104,
		Number:      0x1122334455667788,
		Running:     true,
	},
}

var goldenSends = []warmstart.SlowStartSends{
	{Machine: "machine-five", Incarnation: 205, Times: []scheduler.Time{3001, 3002, 3003}},
	{Machine: "machine-six", Incarnation: 206, Times: []scheduler.Time{3004}},
}

var goldenHistory = warmstart.LogHistory{
	SendsRecordedSince: warmstart.Timestamp{
		Clock:  17_000_000_000_001,
		Uptime: 17_000_002,
		BootID: "boot-of-the-record",
	},
	Coverage: recovery.LogSynced,
}

var goldenEntries = []protocol.MachineEntry{
	{
		Machine:     "machine-seven",
		Address:     "127.0.0.7:7007",
		Zone:        31,
		MachineType: 32,
		RackGroup:   33,
		State:       protocol.MachineDraining,
		FreeCores:   34.5,
		FreeMemory:  35.5,
		PowerHint:   36.5,
		Incarnation: 207,
		Age:         5001,
	},
	{
		Machine:     "machine-eight",
		Address:     "127.0.0.8:8008",
		Zone:        41,
		MachineType: 42,
		RackGroup:   43,
		State:       protocol.MachineGone,
		FreeCores:   44.5,
		FreeMemory:  45.5,
		PowerHint:   46.5,
		Incarnation: 208,
		Age:         -1,
	},
}

// There is one entry in the map: the order in which several are encoded is random.
func goldenSnapshot() *WarmStartSnapshot {
	return &WarmStartSnapshot{
		TakenAt:    warmstart.Timestamp{Clock: 17_000_000_000_101, Uptime: 17_000_102, BootID: "boot-of-the-file"},
		ClassNames: []string{"class-a", "class-b", "tenant-a"},
		Learned: scheduler.Snapshot{
			Machines: []scheduler.MachineSnapshot{
				{
					Machine:           "machine-seven",
					StartedAt:         4001,
					OutlierLogOdds:    5.25,
					EjectedUntil:      4002,
					EjectionTime:      4003,
					SelfDrainingUntil: 4004,
					FailureEvidence: []scheduler.FailureEvidence{
						{LogOdds: 0.125, AsOf: 4005},
						{LogOdds: 1.125, AsOf: 4006},
					},
					RecentSends: []scheduler.Time{4007, 4008},
				},
			},
			TrafficClasses: []scheduler.TrafficClass{
				{LossRatio: 0.0625, SuspicionThreshold: 6.5},
				{LossRatio: 0.1875, SuspicionThreshold: 7.5},
				{LossRatio: 0.3125, SuspicionThreshold: 8.5},
			},
			FullRatio:       0.4375,
			RejectedWeight:  0.5625,
			SendsKnownSince: 4009,
		},
		Incarnations:    map[scheduler.MachineID]uint64{"machine-seven": 207},
		ListVersion:     301,
		Entries:         []entryRecord{recordOfEntry(goldenEntries[0]), recordOfEntry(goldenEntries[1])},
		OrderlyShutdown: true,
		Overload: &overload.Snapshot{
			Limit:           91.5,
			Throughput:      92.5,
			Latency:         []float64{0.71, 0.72},
			BaselineLatency: []float64{0.81, 0.82},
		},
	}
}

// writeGoldenState writes the folder by the package's own writing path: three attempts, the sends and the incarnation
// go into the snapshot; the log deletes one attempt, puts another and replaces a send.
func writeGoldenState(t *testing.T, path string) {
	t.Helper()
	commit := func(change func(*stateStore)) {
		d, err := openStateDir(path)
		if err != nil {
			t.Fatal(err)
		}
		st := &stateStore{journal: &journal{}, dir: d}
		if _, err := st.openLog(d); err != nil {
			t.Fatal(err)
		}
		change(st)
		st.commit()
		if err := st.closeLog(); err != nil {
			t.Fatal(err)
		}
		if err := d.Close(); err != nil {
			t.Fatal(err)
		}
	}
	commit(func(st *stateStore) {
		st.history = goldenHistory
		st.changes = append(st.changes, st.historyChange())
		for _, logged := range goldenAttempts[:3] {
			a := &attempt{
				number: logged.Number, incarnation: logged.Incarnation, container: &container{request: logged.Request},
				machine: &machine{id: logged.Machine},
			}
			st.put(AttemptKind, attemptKey(a.number), a.record())
		}
		for _, sent := range goldenSends {
			st.put(
				SendKind,
				string(sent.Machine),
				warmstart.SlowStartSends{Machine: sent.Machine, Incarnation: 1, Times: []scheduler.Time{1}},
			)
		}
	})
	d, err := vfs.OpenLocked(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := wal.Compact(d); err != nil {
		t.Fatal(err)
	}
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
	commit(func(st *stateStore) {
		st.remove(AttemptKind, attemptKey(goldenAttempts[2].Number))
		st.put(AttemptKind, attemptKey(goldenAttempts[3].Number), goldenAttempts[3])
		for _, sent := range goldenSends {
			st.put(SendKind, string(sent.Machine), sent)
		}
		if err := goldenSnapshot().write(st.dir); err != nil {
			t.Fatal(err)
		}
	})
	if err := os.Remove(filepath.Join(path, "lock")); err != nil {
		t.Fatal(err)
	}
}

// goldenListFile is the file of version 1: the clock, the length, and a list frame without its length.
func goldenListFile(t *testing.T) []byte {
	t.Helper()
	frame, err := protocol.Append(
		nil,
		&protocol.MachineListUpdate{FullSnapshot: true, Version: 302, Entries: goldenEntries},
	)
	if err != nil {
		t.Fatal(err)
	}
	return append(binary.BigEndian.AppendUint64(nil, 17_000_000_000_201), frame...)
}

func readFile(t *testing.T, path string) []byte {
	t.Helper()
	p, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func writeFile(t *testing.T, path string, p []byte) {
	t.Helper()
	if err := os.WriteFile(path, p, 0o644); err != nil {
		t.Fatal(err)
	}
}

// Run on the program that first wrote the data, with -update, this makes the golden files.
func TestWritingPathGivesGoldenBytes(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	writeGoldenState(t, path)
	if golden.Updating() {
		if err := os.RemoveAll(goldenState); err != nil {
			t.Fatal(err)
		}
		if err := os.CopyFS(goldenState, os.DirFS(path)); err != nil {
			t.Fatal(err)
		}
		writeFile(t, goldenList, goldenListFile(t))
		writeFile(t, goldenText, []byte(describeState(t, goldenState)))
		writeFile(t, goldenExport, exported(t, goldenSnapshot()))
	}
	want, err := os.ReadDir(goldenState)
	if err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadDir(path)
	if err != nil {
		t.Fatal(err)
	}
	if len(got) != len(want) || len(want) != 3 {
		t.Errorf("files %v, want %v", got, want)
	}
	for _, f := range want {
		if !bytes.Equal(readFile(t, filepath.Join(path, f.Name())), readFile(t, filepath.Join(goldenState, f.Name()))) {
			t.Errorf("file %s is written with other bytes", f.Name())
		}
	}
	if !bytes.Equal(goldenListFile(t), readFile(t, goldenList)) {
		t.Error("the list of version 1 is encoded with other bytes")
	}
	if got := describeState(t, path); got != string(readFile(t, goldenText)) {
		t.Errorf("the records are named otherwise:\n%s", got)
	}
	if got := exported(t, goldenSnapshot()); !bytes.Equal(got, readFile(t, goldenExport)) {
		t.Errorf("the export is\n%s", got)
	}
}

func TestGoldenStateIsRead(t *testing.T) {
	settings := testConfig(t)
	settings.StateDir = t.TempDir()
	if err := os.CopyFS(settings.StateDir, os.DirFS(goldenState)); err != nil {
		t.Fatal(err)
	}
	server, err := New(settings, newWarmStartScript(scheduler.Snapshot{}), discardLog)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { // the loop is released when Run returns
		server.Stop()
		if err := server.Run(); err != nil {
			t.Error(err)
		}
	}()
	loaded := server.state.loaded
	attempts := []reconcile.Attempt{goldenAttempts[0], goldenAttempts[1], goldenAttempts[3]}
	for _, record := range []struct {
		name      string
		got, want any
	}{
		{"incarnation", loaded.history, goldenHistory},
		{"attempts", loaded.attempts, attempts},
		{"sends", loaded.sends, goldenSends},
		{"snapshot", loaded.snapshot, goldenSnapshot()},
	} {
		if !reflect.DeepEqual(record.got, record.want) {
			t.Errorf("%s: read %+v, want %+v", record.name, record.got, record.want)
		}
		if record.name == "snapshot" {
			for i, r := range loaded.snapshot.Entries {
				if r.entry() != goldenEntries[i] {
					t.Errorf("entry %d: read %+v", i, r.entry())
				}
			}
		}
		if path := zeroField(record.name, reflect.ValueOf(record.want)); path != "" {
			t.Errorf("%s has no value to be compared", path)
		}
	}
}

func TestGoldenListOfVersion1IsRead(t *testing.T) {
	got, err := readLegacyList(goldenList)
	if err != nil {
		t.Fatal(err)
	}
	want := &WarmStartSnapshot{
		TakenAt:     warmstart.Timestamp{Clock: 17_000_000_000_201},
		ListVersion: 302,
		Entries:     goldenSnapshot().Entries,
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v, want %+v", got, want)
	}
}

// What is empty is exported as null.
func TestEmptySnapshotIsExported(t *testing.T) {
	empty := WarmStartSnapshot{Learned: scheduler.Snapshot{Machines: []scheduler.MachineSnapshot{{}}}}
	got, err := json.Marshal(map[string]any{"kind": "knowledge", "value": empty})
	if err != nil {
		t.Fatal(err)
	}
	want := `{"kind":"knowledge","value":{"At":{"Clock":0,"Up":0,"Boot":""},"Names":null,"Learned":{"Machines":[{"Machine":"",` +
		`"Started":0,"Sick":0,"RestUntil":0,"Rest":0,"ShutUntil":0,"Doubts":null,"Cold":null}],"Traits":null,"Full":0,"Missed":0,` +
		`"SentSince":0},"Starts":null,"ListIs":0,"Entries":null,"AtAnOrder":false,"Door":null}}`
	if string(got) != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

// A threshold that nothing reaches is infinite, which CBOR can encode.
func TestInfiniteThresholdIsStored(t *testing.T) {
	d, err := vfs.OpenLocked(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer closeAgain(d)
	want := &WarmStartSnapshot{Learned: scheduler.Snapshot{TrafficClasses: []scheduler.TrafficClass{
		{LossRatio: 0.5, SuspicionThreshold: math.Inf(1)},
	}}}
	if err := want.write(d); err != nil {
		t.Fatal(err)
	}
	got, err := ReadWarmStart(d)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got.Learned, want.Learned) {
		t.Errorf("read %+v", got.Learned)
	}
}

// zeroField gives the path of a field that the golden data leave at its zero value; "" where there is none.
func zeroField(path string, v reflect.Value) string {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			return zeroField(path, v.Elem())
		}
	case reflect.Slice:
		for i := range v.Len() {
			if p := zeroField(fmt.Sprintf("%s[%d]", path, i), v.Index(i)); p != "" {
				return p
			}
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.Name != "_" {
				if p := zeroField(path+"."+f.Name, v.Field(i)); p != "" {
					return p
				}
			}
		}
		return ""
	}
	if v.IsZero() || v.Kind() == reflect.Slice && v.Len() == 0 {
		return path
	}
	return ""
}

// describeState lists the fields of a folder under the names in its bytes, without the types of this program.
func describeState(t *testing.T, path string) string {
	t.Helper()
	d, err := vfs.OpenReadOnly(path)
	if err != nil {
		t.Fatal(err)
	}
	records, err := wal.Load(d, false)
	if err != nil {
		t.Fatal(err)
	}
	decode, err := cbor.DecOptions{DefaultMapType: reflect.TypeFor[map[string]any]()}.DecMode()
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	value := func(name string, p []byte) error {
		var v any
		err := decode.Unmarshal(p, &v)
		lines = describe(lines, name, v)
		return err
	}
	for _, kind := range records.Kinds() {
		if err := records.ForEach(
			kind,
			func(key string, p []byte) error { return value(kind+" "+key+":", p) },
		); err != nil {
			t.Fatal(err)
		}
	}
	version, body, err := wal.ReadChecksummed(d, "knowledge", "GLENKNW", 255)
	if err != nil {
		t.Fatal(err)
	}
	if err := value(fmt.Sprintf("knowledge version %d:", version), body); err != nil {
		t.Fatal(err)
	}
	return strings.Join(lines, "\n") + "\n"
}

func describe(lines []string, path string, v any) []string {
	switch v := v.(type) {
	case map[string]any:
		var names []string
		for name := range v {
			names = append(names, name)
		}
		sort.Strings(names)
		for _, name := range names {
			lines = describe(lines, path+" "+name, v[name])
		}
		return lines
	case []any:
		for i := range v {
			lines = describe(lines, fmt.Sprintf("%s[%d]", path, i), v[i])
		}
		return lines
	case string:
		return append(lines, path+" = "+strconv.Quote(v))
	}
	return append(lines, fmt.Sprintf("%s = %v", path, v))
}

// exported is a snapshot as `glenport state export` writes it, indented.
func exported(t *testing.T, k *WarmStartSnapshot) []byte {
	t.Helper()
	p, err := json.MarshalIndent(k, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return append(p, '\n')
}
