package wal

import (
	"strings"
	"testing"

	"glenport/internal/storage/faultfs"
	"glenport/internal/storage/vfs"
	"glenport/internal/testutil"
	_ "glenport/internal/testutil/fixedseed"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func putText(key, value string) Change { return Change{Kind: "k", Key: key, Value: []byte(value)} }

// commitAndWait commits and returns the error that the done function received.
func commitAndWait(l *Log, durable bool, changes ...Change) error {
	done := make(chan error, 1)
	l.Commit(changes, durable, func(err error) { done <- err })
	return <-done
}

func mustCommit(t testutil.TB, l *Log, durable bool, changes ...Change) {
	t.Helper()
	testutil.NoError(t, commitAndWait(l, durable, changes...))
}

func mustOpen(t testutil.TB, fs vfs.FS, options Options) (*Log, Stats) {
	t.Helper()
	l, stats, err := Open(fs, options)
	if err != nil {
		t.Fatal("not opened:", err)
	}
	return l, stats
}

func mustClose(t testutil.TB, l *Log) {
	t.Helper()
	testutil.NoError(t, l.Close())
}

func mustCompact(t testutil.TB, fs vfs.FS) {
	t.Helper()
	if _, _, err := Compact(fs); err != nil {
		t.Fatal(err)
	}
}

func mustLoad(t testutil.TB, fs vfs.FS) *State {
	t.Helper()
	state, err := Load(fs, false)
	testutil.NoError(t, err)
	return state
}

func mustList(t testutil.TB, fs vfs.FS) []string {
	t.Helper()
	names, err := fs.List()
	testutil.NoError(t, err)
	return names
}

func mustRead(t testutil.TB, fs vfs.FS, name string) []byte {
	t.Helper()
	data, err := fs.Read(name)
	testutil.NoError(t, err)
	return data
}

func mustRemove(t testutil.TB, fs vfs.FS, name string) {
	t.Helper()
	testutil.NoError(t, fs.Remove(name))
}

func mustCreate(t testutil.TB, fs vfs.FS, name string, data []byte) {
	t.Helper()
	file, err := fs.Create(name)
	testutil.NoError(t, err)
	if _, err := file.Write(data); err != nil {
		t.Fatal(err)
	}
}

func mustTruncate(t testutil.TB, fs vfs.FS, name string, size int) {
	t.Helper()
	file, err := fs.Append(name)
	testutil.NoError(t, err)
	testutil.NoError(t, file.Truncate(int64(size)))
	testutil.NoError(t, file.Sync())
}

// mustFlipBit flips a bit of the first segment.
func mustFlipBit(t testutil.TB, fs *faultfs.FS, bit int) {
	t.Helper()
	testutil.NoError(t, fs.FlipBit(firstSegment, bit))
}

// valuesOf returns the values of kind "k".
func valuesOf(t testutil.TB, s *State) map[string]string {
	t.Helper()
	values := map[string]string{}
	err := s.ForEach("k", func(key string, value []byte) error {
		values[key] = string(value)
		return nil
	})
	testutil.NoError(t, err)
	return values
}

// newestSnapshot returns the name of the snapshot of a directory, or an empty name. The directory has at most one.
func newestSnapshot(t testutil.TB, fs vfs.FS) string {
	t.Helper()
	for _, name := range mustList(t, fs) {
		if strings.HasPrefix(name, snapshotPrefix) {
			return name
		}
	}
	return ""
}
