package schedulerd

import (
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"glenport/internal/config"
	"glenport/internal/storage/vfs"
	"glenport/internal/storage/wal"
	"glenport/internal/testutil"
)

// faultyDir is a state folder with injected faults: a full disk, or syncs that block.
type faultyDir struct {
	stateDir
	full atomic.Bool
	gate sync.RWMutex // syncs block while it is locked
}

type faultyFile struct {
	vfs.File
	dir *faultyDir
}

func (d *faultyDir) Create(name string) (vfs.File, error) {
	if d.full.Load() {
		return nil, syscall.ENOSPC
	}
	f, err := d.stateDir.Create(name)
	return faultyFile{f, d}, err
}

func (d *faultyDir) Append(name string) (vfs.File, error) {
	f, err := d.stateDir.Append(name)
	return faultyFile{f, d}, err
}

func (f faultyFile) Write(p []byte) (int, error) {
	if f.dir.full.Load() {
		return 0, syscall.ENOSPC
	}
	return f.File.Write(p)
}

func (f faultyFile) Sync() error {
	f.dir.gate.RLock()
	defer f.dir.gate.RUnlock()
	return f.File.Sync()
}

// useFaultyDir replaces the state folder of all servers of the test with a faultyDir.
func useFaultyDir(t *testing.T, settings *config.Scheduler) *faultyDir {
	t.Helper()
	d := &faultyDir{}
	settings.StateDir = t.TempDir()
	original := openStateDir
	openStateDir = func(path string) (stateDir, error) {
		var err error
		d.stateDir, err = vfs.OpenLocked(path)
		return d, err
	}
	t.Cleanup(func() { openStateDir = original })
	return d
}

// countRecords counts the records of a kind in a folder that is not locked.
func countRecords(t *testing.T, path, kind string) (n int) {
	t.Helper()
	d, err := vfs.OpenLocked(path)
	testutil.NoError(t, err)
	defer closeIgnoringError(d)
	records, err := wal.Load(d, false)
	testutil.NoError(t, err)
	testutil.NoError(t, records.ForEach(kind, func(string, []byte) error { n++; return nil }))
	return n
}

// copyState copies a state folder in the state in which SIGKILL would leave it.
func copyState(t *testing.T, path string) string {
	t.Helper()
	to := t.TempDir()
	testutil.NoError(t, os.CopyFS(to, os.DirFS(path)))
	return to
}
