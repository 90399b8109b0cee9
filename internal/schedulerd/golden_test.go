package schedulerd

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"

	"glenport/internal/golden"
	"glenport/internal/schedulerd/reconcile"
	"glenport/internal/schedulerd/warmstart"
	"glenport/internal/storage/vfs"
	"glenport/internal/storage/wal"
	"glenport/internal/testutil"
	"glenport/internal/testutil/frames"
	"glenport/scheduler"

	"github.com/fxamacker/cbor/v2"
)

// Stored data of a scheduler, written by the last release before the names in this package were changed:
//
//	testdata/state       a state folder: snapshot, log and the file "knowledge"
//	testdata/state.txt   its contents, one line for each field under its stored name
//	testdata/export.json the same file "knowledge" as `glenport state export` prints it
//	testdata/list        the machine list of version 1, in a separate file
//
// These files change only with the storage format, not with names in the code.
const (
	goldenState  = "testdata/state"
	goldenText   = "testdata/state.txt"
	goldenExport = "testdata/export.json"
	goldenList   = "testdata/list"
)

// commitGolden commits changes to the log of a folder.
func commitGolden(t *testing.T, path string, change func(*stateStore)) {
	t.Helper()
	d, err := openStateDir(path)
	testutil.NoError(t, err)
	st := &stateStore{journal: &journal{}, dir: d}
	_, err = st.openLog(d)
	testutil.NoError(t, err)
	change(st)
	st.commit()
	testutil.NoError(t, st.closeLog())
	testutil.NoError(t, d.Close())
}

// writeGoldenState writes the folder with the code that servers use. The snapshot of the log holds three attempts, the
// sends and the incarnation. The log then deletes one attempt, puts another and replaces the sends.
func writeGoldenState(t *testing.T, path string) {
	t.Helper()
	commitGolden(t, path, func(st *stateStore) {
		st.history = goldenHistory
		st.changes = append(st.changes, st.historyChange())
		for _, logged := range goldenAttempts[:3] {
			a := &attempt{
				number: logged.Number, incarnation: logged.Incarnation, container: &container{request: logged.Request},
				machine: &machine{id: logged.Machine},
			}
			st.putAttempt(a.record())
		}
		for _, sent := range goldenSends {
			st.putSends(warmstart.SlowStartSends{Machine: sent.Machine, Incarnation: 1, Times: []scheduler.Time{1}})
		}
	})
	d, err := vfs.OpenLocked(path)
	testutil.NoError(t, err)
	_, _, err = wal.Compact(d)
	testutil.NoError(t, err)
	testutil.NoError(t, d.Close())
	commitGolden(t, path, func(st *stateStore) {
		st.removeAttempt(goldenAttempts[2].Number)
		st.putAttempt(goldenAttempts[3])
		for _, sent := range goldenSends {
			st.putSends(sent)
		}
		testutil.NoError(t, goldenSnapshot().write(st.dir))
	})
	testutil.NoError(t, os.Remove(filepath.Join(path, "lock")))
}

// goldenListFile returns the file of version 1: the clock, the length, and a list frame without its length prefix.
func goldenListFile(t *testing.T) []byte {
	t.Helper()
	frame := frames.Encode(t, fullList(302, goldenEntries...))
	return append(binary.BigEndian.AppendUint64(nil, 17_000_000_000_201), frame...)
}

// With -update, run on the release that first wrote the data, the test creates the golden files.
func TestStateIsWrittenAsGoldenBytes(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	writeGoldenState(t, path)
	if golden.Updating() {
		testutil.NoError(t, os.RemoveAll(goldenState))
		testutil.NoError(t, os.CopyFS(goldenState, os.DirFS(path)))
		testutil.WriteFile(t, goldenList, goldenListFile(t))
		testutil.WriteFile(t, goldenText, []byte(describeState(t, goldenState)))
		testutil.WriteFile(t, goldenExport, exportJSON(t, goldenSnapshot()))
	}
	want, err := os.ReadDir(goldenState)
	testutil.NoError(t, err)
	got, err := os.ReadDir(path)
	testutil.NoError(t, err)
	testutil.Expect(t, len(got) == len(want) && len(want) == 3, "files %v, want %v", got, want)
	for _, f := range want {
		got := testutil.ReadFile(t, filepath.Join(path, f.Name()))
		if want := testutil.ReadFile(t, filepath.Join(goldenState, f.Name())); !bytes.Equal(got, want) {
			t.Errorf("file %s differs from the golden bytes", f.Name())
		}
	}
	testutil.Expect(t, bytes.Equal(goldenListFile(t), testutil.ReadFile(t, goldenList)),
		"the list of version 1 differs from the golden bytes")
	if got := describeState(t, path); got != string(testutil.ReadFile(t, goldenText)) {
		t.Errorf("the stored names differ:\n%s", got)
	}
	if got := exportJSON(t, goldenSnapshot()); !bytes.Equal(got, testutil.ReadFile(t, goldenExport)) {
		t.Errorf("the export is\n%s", got)
	}
}

func TestGoldenStateIsRead(t *testing.T) {
	settings := testConfig(t)
	settings.StateDir = t.TempDir()
	testutil.NoError(t, os.CopyFS(settings.StateDir, os.DirFS(goldenState)))
	server, err := New(settings, newWarmStartScript(scheduler.Snapshot{}), discardLog)
	testutil.NoError(t, err)
	defer func() { // Run releases the loop when it returns
		server.Stop()
		testutil.ExpectNoError(t, server.Run())
	}()
	loaded := server.state.loadedState
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
		testutil.Expect(t, reflect.DeepEqual(record.got, record.want),
			"%s: read %+v, want %+v", record.name, record.got, record.want)
		path := zeroField(record.name, reflect.ValueOf(record.want))
		testutil.Expect(t, path == "", "%s is zero in the golden data and not checked", path)
	}
	for i, r := range loaded.snapshot.Entries {
		if r.entry() != goldenEntries[i] {
			t.Errorf("entry %d: read %+v", i, r.entry())
		}
	}
}

func TestGoldenListOfVersion1IsRead(t *testing.T) {
	got, err := readLegacyList(goldenList)
	testutil.NoError(t, err)
	want := &WarmStartSnapshot{
		TakenAt:     warmstart.Timestamp{Clock: 17_000_000_000_201},
		ListVersion: 302,
		Entries:     goldenSnapshot().Entries,
	}
	testutil.Expect(t, reflect.DeepEqual(got, want), "read %+v, want %+v", got, want)
}

// Nil slices and maps are exported as null.
func TestEmptySnapshotIsExported(t *testing.T) {
	empty := WarmStartSnapshot{Learned: scheduler.Snapshot{Machines: []scheduler.MachineSnapshot{{}}}}
	got, err := json.Marshal(map[string]any{"kind": "knowledge", "value": empty})
	testutil.NoError(t, err)
	want := `{"kind":"knowledge","value":{"At":{"Clock":0,"Up":0,"Boot":""},"Names":null,` +
		`"Learned":{"Machines":[{"Machine":"","Started":0,"Sick":0,"RestUntil":0,"Rest":0,"ShutUntil":0,` +
		`"Doubts":null,"Cold":null}],"Traits":null,"Full":0,"Missed":0,"SentSince":0},` +
		`"Starts":null,"ListIs":0,"Entries":null,"AtAnOrder":false,"Door":null}}`
	testutil.Expect(t, string(got) == want, "got\n%s\nwant\n%s", got, want)
}

// An infinite suspicion threshold survives encoding.
func TestInfiniteThresholdIsStored(t *testing.T) {
	d, err := vfs.OpenLocked(t.TempDir())
	testutil.NoError(t, err)
	defer closeIgnoringError(d)
	want := &WarmStartSnapshot{Learned: scheduler.Snapshot{TrafficClasses: []scheduler.TrafficClass{
		{LossRatio: 0.5, SuspicionThreshold: math.Inf(1)},
	}}}
	testutil.NoError(t, want.write(d))
	got, err := ReadWarmStart(d)
	testutil.NoError(t, err)
	testutil.Expect(t, reflect.DeepEqual(got.Learned, want.Learned), "read %+v", got.Learned)
}

// field is a field, element or pointer target with its path.
type field struct {
	path  string
	value reflect.Value
}

// fieldsOf returns the fields, elements or pointer target of a value.
func fieldsOf(path string, v reflect.Value) (fields []field) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			fields = append(fields, field{path, v.Elem()})
		}
	case reflect.Slice:
		for i := range v.Len() {
			fields = append(fields, field{fmt.Sprintf("%s[%d]", path, i), v.Index(i)})
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.Name != "_" {
				fields = append(fields, field{path + "." + f.Name, v.Field(i)})
			}
		}
	default: // a scalar
	}
	return fields
}

// zeroField returns the path of a field that is zero in the golden data, or "" if there is none.
func zeroField(path string, v reflect.Value) string {
	for _, f := range fieldsOf(path, v) {
		if zero := zeroField(f.path, f.value); zero != "" {
			return zero
		}
	}
	isStruct, isEmpty := v.Kind() == reflect.Struct, v.Kind() == reflect.Slice && v.Len() == 0
	if !isStruct && (v.IsZero() || isEmpty) {
		return path
	}
	return ""
}

// describeState lists the fields in a state folder under their stored names, without the types of this program.
func describeState(t *testing.T, path string) string {
	t.Helper()
	d, err := vfs.OpenReadOnly(path)
	testutil.NoError(t, err)
	records, err := wal.Load(d, false)
	testutil.NoError(t, err)
	decode, err := cbor.DecOptions{DefaultMapType: reflect.TypeFor[map[string]any]()}.DecMode()
	testutil.NoError(t, err)
	var lines []string
	value := func(name string, p []byte) error {
		var v any
		err := decode.Unmarshal(p, &v)
		lines = describe(lines, name, v)
		return err
	}
	for _, kind := range records.Kinds() {
		err := records.ForEach(kind, func(key string, p []byte) error { return value(kind+" "+key+":", p) })
		testutil.NoError(t, err)
	}
	version, body, err := wal.ReadChecksummed(d, "knowledge", "GLENKNW", 255)
	testutil.NoError(t, err)
	testutil.NoError(t, value(fmt.Sprintf("knowledge version %d:", version), body))
	return strings.Join(lines, "\n") + "\n"
}

func describe(lines []string, path string, v any) []string {
	switch v := v.(type) {
	case map[string]any:
		for _, name := range slices.Sorted(maps.Keys(v)) {
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

// exportJSON returns a snapshot in the format of `glenport state export`, indented.
func exportJSON(t *testing.T, k *WarmStartSnapshot) []byte {
	t.Helper()
	p, err := json.MarshalIndent(k, "", "  ")
	testutil.NoError(t, err)
	return append(p, '\n')
}
