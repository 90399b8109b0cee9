package server

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"glenport/internal/config"
	"glenport/internal/controller"
	"glenport/internal/golden"
	"glenport/internal/storage/vfs"
	"glenport/internal/storage/wal"
	"glenport/internal/testutil"
	"glenport/scheduler"

	"github.com/fxamacker/cbor/v2"
)

const (
	goldenFolder    = "testdata/state"
	goldenText      = "testdata/state.txt"
	goldenJSON      = "testdata/objects.txt"
	goldenCeiling   = 5_000_000
	goldenScheduler = "127.0.0.1:7001"
)

// Records of the golden folder. For each kind, one record has every field set.
var (
	goldenJob = JobRecord{
		Job: Job{
			ID: "reports", Labels: map[string]string{"team": "north"}, Service: "report", WorkloadClass: "report-run",
			Tenant: "schools", Cores: 1.5, MemoryGiB: 2.25, RunForMS: 60_000, RunOnce: true, Count: 3, Version: 41,
		},
		CreationKey: "key-1", RequestDigest: []byte{0xde, 0xad, 0xbe, 0xef},
	}
	goldenPlainJob = JobRecord{
		Job: Job{ID: "plain", Service: "web", WorkloadClass: "matcher", Cores: 0.5, MemoryGiB: 1, Version: 42},
	}

	goldenSpec = controller.Spec{
		Service: "report", WorkloadClass: 1, Tenant: 2, Cores: 1.5, Memory: 2.25, RunFor: 600_000, RunOnce: true,
	}

	goldenContainer = ContainerRecord{SchedulerAddress: goldenScheduler, Container: controller.Container{
		Job: "reports", Index: 2, State: controller.StateRunning, Terminating: true, Machine: "m17", Scheduler: 1,
		Sticky: true, EnteredStateAt: 17_000_000_000_001, NextStepAt: 17_000_000_000_002, Attempts: 3, Starts: 4,
		LastStatus: "runs", WasRefused: true, IdempotencyKey: "reports/2/31", RequestID: "reports/2#32",
		Submitted: true, BeingReplaced: true, SubmittedSpec: goldenSpec,
	}}
	goldenPlainContainer = ContainerRecord{Container: controller.Container{
		Job: "plain", Scheduler: -1, LastStatus: "not asked for yet",
		IdempotencyKey: "plain/0/30",
	}}

	goldenOrphan = OrphanRecord{SchedulerAddress: goldenScheduler, IdempotencyKey: "reports/1/29"}
)

type goldenRecord struct {
	kind, key string
	value     any
}

func goldenRecords() []goldenRecord {
	records := []goldenRecord{
		{RecordJob, "reports", &goldenJob},
		{RecordJob, "plain", &goldenPlainJob},
		{RecordContainer, "reports.2", goldenContainer},
		{RecordContainer, "plain.0", goldenPlainContainer},
		{RecordOrphan, goldenScheduler + " reports/1/29", goldenOrphan},
	}
	// one container in each state
	for state := controller.StatePending; state <= controller.StateCompleted; state++ {
		c := goldenPlainContainer
		c.Container.Job, c.Container.Index, c.Container.State = "states", int(state), state
		records = append(records, goldenRecord{RecordContainer, containerID("states", int(state)), c})
	}
	return records
}

func goldenConfig(folder string) Config {
	return Config{
		Name: "controller", Schedulers: []string{"127.0.0.1:7000", goldenScheduler}, Seed: 1, StateDir: folder,
		SchedulerConfig: &config.Scheduler{
			WorkloadClasses: []string{"matcher", "report-run"}, Tenants: []string{"offices", "farms", "schools"},
			Policy: scheduler.Config{WorkloadClasses: []scheduler.WorkloadClass{{}, {}}},
		},
	}
}

// openGolden opens a server on a state folder without serving. closeServer closes it.
func openGolden(t *testing.T, folder string) (s *Server, closeServer func()) {
	t.Helper()
	s, err := New(goldenConfig(folder), newCache(), discardLog)
	testutil.NoError(t, err)
	return s, func() {
		s.Stop()
		s.config.Schedulers, s.schedulers = nil, nil // no scheduler is dialed
		testutil.ExpectNoError(t, s.Run())
	}
}

// storeOf returns the state store of a server with a state folder.
func storeOf(t *testing.T, s *Server) *stateStore {
	t.Helper()
	store, ok := s.storage.(*stateStore)
	testutil.Require(t, ok, "storage is %T, want a state store", s.storage)
	return store
}

// writeGolden writes the golden folder through the log of a server, as a running controller does.
func writeGolden(t *testing.T) {
	t.Helper()
	testutil.NoError(t, os.RemoveAll(goldenFolder))
	s, closeServer := openGolden(t, goldenFolder)
	log := storeOf(t, s).log
	changes := []wal.Change{wal.Put(RecordVersionCeiling, versionCeilingKey, goldenCeiling)}
	for _, r := range goldenRecords() {
		changes = append(changes, wal.Put(r.kind, r.key, r.value))
	}
	testutil.NoError(t, log.CommitSync(changes...))
	closeServer()
	testutil.NoError(t, os.Remove(filepath.Join(goldenFolder, "lock")))
	var words strings.Builder
	words.WriteString(
		"# The records of the state folder beside: kind and key, what they hold in CBOR diagnostic notation.\n",
	)
	for _, kind := range log.State().Kinds() {
		testutil.NoError(t, log.State().ForEach(kind, func(key string, value []byte) error {
			text, err := cbor.Diagnose(value)
			fmt.Fprintf(&words, "%s %q %s\n", kind, key, text)
			return err
		}))
	}
	testutil.WriteFile(t, goldenText, []byte(words.String()))
}

// goldenState returns the encoded records of the golden folder by kind and key.
func goldenState(t *testing.T) map[string][]byte {
	t.Helper()
	folder, err := vfs.OpenReadOnly(goldenFolder)
	testutil.NoError(t, err)
	state, err := wal.Load(folder, false)
	testutil.NoError(t, err)
	raw := map[string][]byte{}
	for _, kind := range state.Kinds() {
		testutil.NoError(t, state.ForEach(kind, func(key string, value []byte) error {
			raw[kind+" "+key] = bytes.Clone(value)
			return nil
		}))
	}
	return raw
}

// TestStoredRecordsKeepTheirBytes decodes each record of the golden folder, compares every field, and compares the
// record's encoding with the stored bytes.
func TestStoredRecordsKeepTheirBytes(t *testing.T) {
	if golden.Updating() {
		writeGolden(t)
	}
	raw := goldenState(t)
	records := append(goldenRecords(), goldenRecord{RecordVersionCeiling, versionCeilingKey, int64(goldenCeiling)})
	testutil.Expect(t, len(raw) == len(records), "%d records in %s, want %d", len(raw), goldenFolder, len(records))
	for _, r := range records {
		t.Run(r.kind+" "+r.key, func(t *testing.T) {
			stored := raw[r.kind+" "+r.key]
			want := reflect.Indirect(reflect.ValueOf(r.value))
			got := reflect.New(want.Type())
			testutil.NoError(t, cbor.Unmarshal(stored, got.Interface()))
			wantEqual(t, "read", got.Elem().Interface(), want.Interface())
			again := wal.Put(r.kind, r.key, r.value).Value
			testutil.Expect(t, bytes.Equal(again, stored), "encoded %x, stored %x", again, stored)
		})
	}
}

func wantEqual(t *testing.T, what string, got, want any) {
	t.Helper()
	testutil.Expect(t, reflect.DeepEqual(got, want), "%s: got %+v, want %+v", what, got, want)
}

// TestControllerRestoresGoldenFolder opens a server on a copy of the golden folder, as a restart does.
func TestControllerRestoresGoldenFolder(t *testing.T) {
	folder := t.TempDir()
	testutil.NoError(t, os.CopyFS(folder, os.DirFS(goldenFolder)))
	s, closeServer := openGolden(t, folder)
	defer closeServer()
	store := storeOf(t, s)
	wantEqual(t, "ceiling", store.versionCeiling, int64(goldenCeiling+versionCeilingStep))
	wantEqual(t, "last version", s.Cache.LastReserved(), int64(goldenCeiling))
	wantEqual(t, "jobs on disk", store.jobs, map[string]JobRecord{"reports": goldenJob, "plain": goldenPlainJob})
	for id, want := range map[string]Job{"reports": goldenJob.Job, "plain": goldenPlainJob.Job} {
		o := s.Cache.Get(KindJobs, id)
		testutil.Expect(t, o != nil && o.Version == want.Version && reflect.DeepEqual(o.Value, want),
			"%s: %+v, want %+v", id, o, want)
	}
	testutil.Require(t, len(s.events) == 1, "%d events, want one", len(s.events))
	restored, ok := s.events[0].(controller.StateRestored)
	testutil.Require(t, ok, "event is %T, want controller.StateRestored", s.events[0])
	plainSpec := controller.Spec{Service: "web", Tenant: 3, Cores: 0.5, Memory: 1}
	wantEqual(t, "jobs", restored.Jobs, []controller.JobSet{
		{Job: "plain", Spec: plainSpec}, {Job: "reports", Count: 3, Spec: goldenSpec},
	})
	wantEqual(t, "orphans", restored.Orphans, []controller.Orphan{{Scheduler: 1, IdempotencyKey: "reports/1/29"}})
	wantContainers := map[string]controller.Container{}
	for _, r := range goldenRecords() {
		if c, ok := r.value.(ContainerRecord); ok {
			wantContainers[r.key] = c.Container
		}
	}
	byID := map[string]controller.Container{}
	for _, c := range restored.Containers {
		byID[containerID(c.Job, c.Index)] = c
	}
	wantEqual(t, "number of containers", len(restored.Containers), len(wantContainers))
	wantEqual(t, "containers", byID, wantContainers)
}

// TestObjectsMatchGoldenJSON compares the JSON of each kind of object, with all fields set and with none, with
// testdata/objects.txt, and decodes it again.
func TestObjectsMatchGoldenJSON(t *testing.T) {
	objects := []any{
		goldenJob.Job,
		Job{},
		Container{
			ID: "reports.2", Job: "reports", Index: 2, State: "running", Terminating: true, Machine: "m17",
			Scheduler: "p1", SinceMS: 5, UntilMS: 6, Attempts: 7, Starts: 8, LastStatus: "runs", Version: 9,
		},
		Container{},
		Machine{
			ID: "m17", Zone: 2, MachineType: "large", State: "serving", FreeCores: 1.5, FreeMemoryGiB: 2.5,
			Incarnation: 1 << 60, Version: 3,
		},
		Machine{},
	}
	var got strings.Builder
	for _, o := range objects {
		line, err := json.Marshal(o)
		testutil.NoError(t, err)
		got.Write(append(line, '\n'))
		back := reflect.New(reflect.TypeOf(o))
		if err := json.Unmarshal(line, back.Interface()); err != nil || !reflect.DeepEqual(back.Elem().Interface(), o) {
			t.Errorf("%s decoded as %+v, error %v", line, back.Elem(), err)
		}
	}
	for state := controller.StatePending; state <= controller.StateCompleted; state++ {
		fmt.Fprintf(&got, "state %d %s\n", state, state)
	}
	golden.CheckText(t, goldenJSON, got.String())
}
